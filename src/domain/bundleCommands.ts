/** The commands of deployments whose operator declares one whole bundle at a time. */
import * as z from "zod";

const count = z.int().min(0);
const account = z.string().min(1).max(256);

/** Longest bundle taken, in characters: the line limit between processes, with room for escapes. */
export const MAX_BUNDLE_LENGTH = 4 * 1024 * 1024;

/** A declared bundle under the operator's own revision. The highest revision stays in force. */
export const putBundleCommand = z.strictObject({
    type: z.literal("putBundle"),
    revision: count,
    /** As the operator sent it; read back unchanged. */
    text: z.string().max(MAX_BUNDLE_LENGTH),
    /** Prepaid tokens of each client account that has a limit. */
    prepaid: z.array(z.strictObject({ account, tokens: count })).max(600_000),
});

/** What one router has done with its grants of prepaid tokens, and what it would like. */
export const prepaidReportCommand = z.strictObject({
    type: z.literal("reportPrepaid"),
    router: z.string().min(1).max(128),
    /** New at each start of the router. */
    incarnation: z.string().min(1).max(64),
    /** Rises with each report of an incarnation; an older one that comes late is ignored. */
    sequence: z.int().min(1),
    /** The newest report whose answer the router has; 0 before the first. */
    answered: count,
    /** How long the router's process has run, in milliseconds. */
    uptimeMs: count,
    /** The time of day at the router's box when it made the report, in milliseconds since 1970. */
    wallMs: count,
    /** Without an answer for so long, the router may commit all that it was granted. Milliseconds. */
    wholeAfterMs: count,
    /** The router has stopped: what is left of its grants is given back. */
    closing: z.boolean(),
    /**
     * Set by the leader where the router runs anew: how long its predecessor can have lived after its last answered
     * and after its newest report, in milliseconds. Left out where nobody can say.
     */
    predecessor: z.strictObject({ sinceAnsweredMs: count, sinceNewestMs: count }).optional(),
    /** An account that is left out stands as the newest report before said that named it, which was answered. */
    accounts: z.array(z.strictObject({
        account,
        /** Tokens consumed or reserved so far by this incarnation, and those that requests wait to reserve. */
        committed: count,
        /**
         * Until the next report is answered the router commits at most `committed`, `burst` and `perSecond` for each
         * second since this one was answered, until `wholeAfterMs`; and never more than it was granted.
         */
        burst: count,
        perSecond: count,
        /** Most that the router lets `committed` come to until it hears more; never above what it was granted. */
        ceiling: count,
        /** Tokens it would like to have beyond `committed`. */
        wanted: count,
    })).max(20_000),
});
export type PutBundleCommand = z.infer<typeof putBundleCommand>;
export type PrepaidReportCommand = z.infer<typeof prepaidReportCommand>;

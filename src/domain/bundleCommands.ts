/** Replicated commands of deployments that are configured by bundles. */
import * as z from "zod";
import { nameSchema } from "./bundle.js";

const count = z.int().min(0);

/** Maximum bundle length in characters. Fits the line limit between processes after escaping. */
export const MAX_BUNDLE_LENGTH = 4 * 1024 * 1024;

/** Declares a bundle under the operator's revision. The highest revision remains in effect. */
export const putBundleCommand = z.strictObject({
    type: z.literal("putBundle"),
    revision: count,
    /** The operator's original text, returned unchanged. */
    text: z.string().max(MAX_BUNDLE_LENGTH),
    /** Limits of the client accounts that have one. */
    prepaid: z.array(z.strictObject({ account: nameSchema, tokens: count })).max(600_000),
});

/** Reports how a router has used its grants of prepaid tokens, and requests new ones. */
export const prepaidReportCommand = z.strictObject({
    type: z.literal("reportPrepaid"),
    router: z.string().min(1).max(128),
    /** Unique for each start of the router. */
    incarnation: z.string().min(1).max(64),
    /** Increases with each report of an incarnation; outdated reports are ignored. */
    sequence: z.int().min(1),
    /** Sequence number of the newest report whose answer the router has received; 0 before the first. */
    answered: count,
    /** Uptime of the router process, in milliseconds. */
    uptimeMs: count,
    /** Wall-clock time of the router's box when it created the report, in milliseconds since the Unix epoch. */
    wallMs: count,
    /** Time without an answer after which the router may commit its whole grant, in milliseconds. */
    wholeAfterMs: count,
    /** The router has stopped and returns the rest of its grants. */
    closing: z.boolean(),
    /**
     * Set by the leader if the router has restarted: maximum time that its previous process can have run after its last
     * answered report and after its newest report, in milliseconds. Omitted if unknown.
     */
    predecessor: z.strictObject({ sinceAnsweredMs: count, sinceNewestMs: count }).optional(),
    /** An omitted account is unchanged since the newest report that included it, which was answered. */
    accounts: z.array(z.strictObject({
        account: nameSchema,
        /** Tokens that this incarnation has consumed or reserved, or for which its requests wait. */
        committed: count,
        /**
         * Until the next report is answered, the router commits at most `committed` + `burst`, plus `perSecond` for
         * each second since this report was answered, until `wholeAfterMs`. It never commits more than its grant.
         */
        burst: count,
        perSecond: count,
        /**
         * Maximum value of `committed` until the router receives the next answer. Above its grant only if the account has had no limit
         * at this router: it is then what it has consumed or reserved.
         */
        ceiling: count,
        /** Tokens requested beyond `committed`. */
        wanted: count,
    })).max(20_000),
});
export type PutBundleCommand = z.infer<typeof putBundleCommand>;
export type PrepaidReportCommand = z.infer<typeof prepaidReportCommand>;

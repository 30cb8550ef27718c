/** The commands of deployments whose operator declares one whole bundle at a time. */
import { z } from "zod";

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
    /** The router has stopped: what is left of its grants is given back. */
    closing: z.boolean(),
    accounts: z.array(z.strictObject({
        account,
        /** Tokens consumed or reserved so far by this incarnation. */
        committed: count,
        /** Most that the router lets `committed` come to until it hears more; never above what it was granted. */
        ceiling: count,
        /** Tokens it would like to have beyond `committed`. */
        wanted: count,
    })).max(20_000),
});
export type PutBundleCommand = z.infer<typeof putBundleCommand>;
export type PrepaidReportCommand = z.infer<typeof prepaidReportCommand>;

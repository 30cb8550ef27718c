/** Replicated log commands on upstreams that ended and the requests they interrupted. */
import * as z from "zod";

/** Content hash of a request, see requestFingerprint.ts. */
export const fingerprintSchema = z.string().regex(/^[0-9a-f]{16}$/);

/** Interrupted requests in one report; exceeds what one upstream runs and queues. */
export const MAX_INTERRUPTED_REQUESTS = 256;

/** A request that was interrupted when its upstream ended. */
export const interruptedRequestSchema = z.strictObject({
    fingerprint: fingerprintSchema,
    /** Whether the upstream had begun to answer, which proves that the request was running. */
    hasBegun: z.boolean(),
});
export type InterruptedRequest = z.infer<typeof interruptedRequestSchema>;

/** Identifies an upstream incarnation, see `getIncarnationKey`. */
export const lifeKeySchema = z.string().min(1).max(160);

/** Records that an upstream incarnation ended and what one router lost there. Other routers may add to the same end. */
export const recordUpstreamEndCommand = z.strictObject({
    type: z.literal("recordUpstreamEnd"),
    life: lifeKeySchema,
    /** Set by the leader: an incarnation that ended at about the same time, so that both ends are attributed to one cause. */
    togetherWith: lifeKeySchema.optional(),
    requests: z.array(interruptedRequestSchema).min(1).max(MAX_INTERRUPTED_REQUESTS),
});
export type RecordUpstreamEndCommand = z.infer<typeof recordUpstreamEndCommand>;

/** Clears requests that received a complete answer. */
export const clearRequestsCommand = z.strictObject({
    type: z.literal("clearRequests"),
    fingerprints: z.array(fingerprintSchema).min(1).max(MAX_INTERRUPTED_REQUESTS),
});
export type ClearRequestsCommand = z.infer<typeof clearRequestsCommand>;

/** Expires the ends recorded up to a log index. */
export const forgetUpstreamEndsCommand = z.strictObject({
    type: z.literal("forgetUpstreamEnds"),
    upTo: z.int().min(0),
});
export type ForgetUpstreamEndsCommand = z.infer<typeof forgetUpstreamEndsCommand>;

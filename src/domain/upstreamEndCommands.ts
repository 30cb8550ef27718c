/** The commands of the replicated log about upstreams that ended and the requests that were there. */
import * as z from "zod";

/** Names a request by what it asks, see requestFingerprint.ts. */
export const fingerprintSchema = z.string().regex(/^[0-9a-f]{16}$/);

/** Most requests that one report names: more than run and wait at one upstream. */
export const MOST_BROKEN_REQUESTS = 256;

/** A request that broke off at an upstream. */
export const brokenRequestSchema = z.strictObject({
    fingerprint: fingerprintSchema,
    /** Whether the upstream had begun to answer it, so that it certainly ran. */
    hasBegun: z.boolean(),
});
export type BrokenRequest = z.infer<typeof brokenRequestSchema>;

/** Names a life of an upstream, see `getLifeKey`. */
export const lifeKeySchema = z.string().min(1).max(160);

/** A life of an upstream has ended, and one router tells what broke off there. Other routers may tell more of the same life. */
export const recordUpstreamEndCommand = z.strictObject({
    type: z.literal("recordUpstreamEnd"),
    life: lifeKeySchema,
    /** Set by the leader: a life that ended at the same moment, so that one cause has probably ended both. */
    togetherWith: lifeKeySchema.optional(),
    requests: z.array(brokenRequestSchema).min(1).max(MOST_BROKEN_REQUESTS),
});
export type RecordUpstreamEndCommand = z.infer<typeof recordUpstreamEndCommand>;

/** Requests that were answered whole: nothing is held against them any more. */
export const clearRequestsCommand = z.strictObject({
    type: z.literal("clearRequests"),
    fingerprints: z.array(fingerprintSchema).min(1).max(MOST_BROKEN_REQUESTS),
});
export type ClearRequestsCommand = z.infer<typeof clearRequestsCommand>;

/** Ends that were recorded up to an index of the log are long ago, and no longer held against anybody. */
export const forgetUpstreamEndsCommand = z.strictObject({
    type: z.literal("forgetUpstreamEnds"),
    upTo: z.int().min(0),
});
export type ForgetUpstreamEndsCommand = z.infer<typeof forgetUpstreamEndsCommand>;

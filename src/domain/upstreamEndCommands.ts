/** Replicated log commands on upstreams that ended and the requests they interrupted. */
import * as z from "zod";
import { ATTRIBUTE_PATTERN, MAX_ATTRIBUTES } from "./requestAttributes.js";

/** Content hash of a request, see requestFingerprint.ts. */
export const fingerprintSchema = z.string().regex(/^[0-9a-f]{16}$/);

/** See requestAttributes.ts. */
export const requestAttributeSchema = z.string().regex(ATTRIBUTE_PATTERN);

/** Interrupted requests in one report; exceeds what one upstream runs and queues. */
export const MAX_INTERRUPTED_REQUESTS = 256;

/** A request that was interrupted when its upstream ended. */
export const interruptedRequestSchema = z.strictObject({
    fingerprint: fingerprintSchema,
    /** Whether the upstream had begun to answer, which proves that the request was running. */
    hasBegun: z.boolean(),
    /** How long its answer had run, in milliseconds. Omitted if it had not begun, and by earlier versions. */
    answerMs: z.int().min(0).optional(),
    /** What it may share with other requests. Omitted by earlier versions. */
    shared: z.array(requestAttributeSchema).max(MAX_ATTRIBUTES).optional(),
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

/** Clears requests that received a complete answer. Proposed by earlier versions. */
export const clearRequestsCommand = z.strictObject({
    type: z.literal("clearRequests"),
    fingerprints: z.array(fingerprintSchema).min(1).max(MAX_INTERRUPTED_REQUESTS),
});
export type ClearRequestsCommand = z.infer<typeof clearRequestsCommand>;

/** Attributes cleared by one report. */
export const MAX_CLEARED_ATTRIBUTES = 256;

/** An attribute of a request that survived, and the log index of the last end that this says something about. */
export const clearedAttributeSchema = z.strictObject({ attribute: requestAttributeSchema, upTo: z.int().min(0) });
export type ClearedAttribute = z.infer<typeof clearedAttributeSchema>;

/** Clears attributes of requests that survived. */
export const clearAttributesCommand = z.strictObject({
    type: z.literal("clearAttributes"),
    cleared: z.array(clearedAttributeSchema).min(1).max(MAX_CLEARED_ATTRIBUTES),
});
export type ClearAttributesCommand = z.infer<typeof clearAttributesCommand>;

/** Expires the ends recorded up to a log index. */
export const forgetUpstreamEndsCommand = z.strictObject({
    type: z.literal("forgetUpstreamEnds"),
    upTo: z.int().min(0),
});
export type ForgetUpstreamEndsCommand = z.infer<typeof forgetUpstreamEndsCommand>;

/** Settings of how requests that end upstreams are found. */
import * as z from "zod";

/** Section of a controller. */
export const upstreamEndsSchema = z.strictObject({
    /** How long an end counts against what it interrupted. */
    retentionMs: z.int().min(60_000).max(86_400_000),
    /**
     * Upstreams that end within this time are attributed to one cause. Must exceed the time in which routers detect an end; a
     * longer window merges independent ends.
     */
    momentWindowMs: z.int().min(1).max(1_000),
});
export type UpstreamEndsOptions = z.infer<typeof upstreamEndsSchema>;

/** Section of a router. */
export const survivorsSchema = z.strictObject({
    /** Attributes of requests of which the router remembers when one survived last. */
    maxAttributes: z.int().min(100).max(1_000_000),
});
export type SurvivorsOptions = z.infer<typeof survivorsSchema>;

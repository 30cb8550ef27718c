/** Settings of how often requests are sent again. */
import * as z from "zod";

const windowMs = z.int().min(1_000).max(600_000);

/** Section of a router. Times in milliseconds. */
export const repeatsSchema = z.strictObject({
    /** Period over which the platform bounds the repeats of all routers. */
    windowMs,
    /** Repeats of all routers for each request to a service. */
    ratio: z.number().min(0).max(1_000),
    /** How long a request waits for a permit at least; longer if its latency goal allows. */
    permitWaitMs: z.int().min(0).max(5_000),
    /** Timeout of a call that asks for permits. */
    claimTimeoutMs: z.int().min(1).max(10_000),
    /** Time without permits for a service after a call that brought none. */
    minClaimIntervalMs: z.int().min(1).max(60_000),
});
export type RepeatsOptions = z.infer<typeof repeatsSchema>;

/** Section of a controller. Times in milliseconds. */
export const repeatPermitsSchema = z.strictObject({
    /** Permits for each service that may be used in any window, by all routers. */
    maxPermits: z.number().min(0).max(1_000_000),
    /** Period over which the platform bounds the repeats of all routers. */
    windowMs,
    /** Time in which a permit may be used, from when its router asked for it. */
    lifetimeMs: z.int().min(10).max(60_000),
});
export type RepeatPermitsOptions = z.infer<typeof repeatPermitsSchema>;

/** Decides how long the router delays reading the next events of a stream, so that one read carries several of them. */

export interface ReadDelayOptions {
    /** Delay at `fullUtilization` and above, in milliseconds. */
    readonly maxDelayMs: number;
    /** Utilization of the event loop, from 0 to 1, up to which reads are not delayed. */
    readonly minUtilization: number;
    /** Utilization of the event loop, from 0 to 1, from which on reads are delayed by `maxDelayMs`. */
    readonly fullUtilization: number;
}

/**
 * Computes the delay, in milliseconds: it grows linearly from 0 at `minUtilization` to `maxDelayMs` at `fullUtilization`.
 * `utilization`: smoothed fraction of time in which the event loop was busy, from 0 to 1.
 */
export function computeReadDelayMs(utilization: number, options: ReadDelayOptions): number {
    const { maxDelayMs, minUtilization, fullUtilization } = options;
    const fraction = (utilization - minUtilization) / (fullUtilization - minUtilization);
    return Math.min(1, Math.max(0, fraction)) * maxDelayMs;
}

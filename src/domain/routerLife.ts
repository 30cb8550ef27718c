/**
 * How long a router's process can have lived after a report of its own, when another process runs in its place: the
 * book of prepaid tokens goes by it (see prepaidBook.ts), so the answer must never be too short.
 *
 * Where the leader that took the report still leads, its monotonic clock tells. Else nothing runs on through a loss of
 * power but boxes' clocks of the time of day, any of which may step. Each of them is a witness by itself, against its
 * own reading of before, and the longest span that one of them has seen is believed. It is too short only where the time
 * of day of every witness was set back within it.
 */

/** Part by which the clocks of two boxes may run apart, a hundred times what quartz clocks do. */
const CLOCK_MARGIN = 1.02;
/** Added to what a monotonic clock measured, for its grain, in milliseconds. */
const CLOCK_GRAIN_MS = 20;
/** Added to what clocks of the time of day witnessed, which are slewed now and then, in milliseconds. */
const WITNESS_MARGIN_MS = 100;
/** One clock alone may have stepped. */
const LEAST_WITNESSES = 2;

/** What is known of the time from when a report was taken until another process of the router started. Milliseconds. */
export interface LifeEvidence {
    /** By the monotonic clock of the leader that took it. */
    readonly measuredMs: number | undefined;
    /** By clocks of the time of day, each on a box of its own. */
    readonly witnessedMs: readonly number[];
}

/** Longest time that the router's earlier process can have lived after the report; undefined where nobody can say. */
export function computeLongestLifeMs({ measuredMs, witnessedMs }: LifeEvidence): number | undefined {
    if (measuredMs !== undefined) {
        return Math.ceil(Math.max(0, measuredMs) * CLOCK_MARGIN + CLOCK_GRAIN_MS);
    }
    return witnessedMs.length < LEAST_WITNESSES
        ? undefined
        : Math.ceil(Math.max(0, ...witnessedMs) * CLOCK_MARGIN + WITNESS_MARGIN_MS);
}

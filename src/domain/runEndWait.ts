/**
 * Decides how long a router waits for the end of a run after it has closed its half of the upstream's connection.
 *
 * An upstream has to learn within half a second that a caller has left, also one that ignores a closed half and is told by a reset
 * alone. That time is one budget: what passes before the close is read, at the router that relays the connection and at the one that
 * serves it, is taken from the wait. The wait serves accounts: only a run that is known to have ended frees the rest of its tokens.
 */

/** Half a second less the way of the reset. */
const STOP_BUDGET_MS = 400;
/** Upstreams that end with their connection do so far sooner. */
const MAX_WAIT_MS = 200;

/**
 * Returns the longest wait, in milliseconds; 0 if the upstream is to be reset at once. `closeAgeMs`: longest time since the caller's
 * close arrived. `lagMs`: lag of the event loop, by which the wait may end late.
 */
export function computeRunEndWaitMs(closeAgeMs: number, lagMs: number): number {
    return Math.max(0, Math.min(MAX_WAIT_MS, STOP_BUDGET_MS - closeAgeMs - lagMs));
}

/**
 * Whether there is time left to send a request to an upstream.
 *
 * The load that this answers: a router that lags behind its callers. What cannot be back in time is refused at once as not
 * run, with when to come back; sent on, it would run for a caller that has been told otherwise, and one that may not be
 * repeated could not be refused as not run any more.
 */

/** Least time that is worth a sending, in milliseconds: a round trip to a caller and one to an upstream. */
const LEAST_SENDING_MS = 15;
/** Turns of a late event loop that a sending waits for: one for a connection to the upstream, one to read the answer. */
const LATE_TURNS = 2;

/** `leftMs`: until the request's deadline. `loopLateMs`: how late the event loop is just now. Milliseconds. */
export function isWorthSending(leftMs: number, loopLateMs: number): boolean {
    return leftMs > LEAST_SENDING_MS + LATE_TURNS * loopLateMs;
}

/**
 * Determines whether enough time is left to send a request to an upstream.
 *
 * The load that this guards against: a router that is overloaded. A request that cannot be answered by its deadline is
 * rejected at once as not run, with a retry delay. If it were sent, it would run after its caller has been told that it
 * failed, and a request that must not be repeated could no longer be rejected as not run.
 */

/** Minimum time for sending, in milliseconds: a round trip to the caller and one to the upstream. */
const MIN_SEND_TIME_MS = 15;
/** Delayed event loop turns that sending takes: one to connect to the upstream, one to read the answer. */
const EVENT_LOOP_TURNS = 2;

/**
 * `remainingMs`: time until the request's deadline. `eventLoopDelayMs`: current delay of the event loop. Milliseconds.
 */
export function hasTimeToSend(remainingMs: number, eventLoopDelayMs: number): boolean {
    return remainingMs > MIN_SEND_TIME_MS + EVENT_LOOP_TURNS * eventLoopDelayMs;
}

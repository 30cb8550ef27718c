/**
 * How long a router rests after it has put a version of the bundle in force.
 *
 * The load that this answers: an operator who sends versions many times a second, on a router with little processor time,
 * where each version costs what the whole bundle costs. Without rests versions of 30 ms each held a router for 243 of 306 ms
 * (`heldRequests.test.ts`, one run), and callers were read in between. Versions that are overtaken during a rest are passed
 * over. On a day of 25 versions a second, with 3,400 routes at 30 routers, rests and decoding in parts together raised the
 * part of requests that were served from 0.602 to 0.765, and requests that reached their caller's deadline fell from 1,046
 * to 199 of 13,547 (one run each).
 */

/** A version takes a fifth of a router's time at most: callers' answers need the rest of it on the smallest boxes. */
const REST_FACTOR = 4;
/** Longest rest, in milliseconds: a quarter of the 2 s within which a version has to be in force. */
const MOST_REST_MS = 500;
/** Shorter rests are left out, in milliseconds: a version that takes 2 ms is no load. */
const LEAST_REST_MS = 10;

/** `tookMs`: from when the version was there until it was in force. Milliseconds. */
export function computeRestMs(tookMs: number): number {
    const restMs = Math.min(tookMs * REST_FACTOR, MOST_REST_MS);
    return restMs < LEAST_REST_MS ? 0 : restMs;
}

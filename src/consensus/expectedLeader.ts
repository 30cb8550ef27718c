/** Decides whether a leader can be expected soon at a replica that has lost contact with one. Times in milliseconds. */

/**
 * Election timeouts after the last contact with a majority within which a new leader is expected: up to two pass before the
 * loss of the leader is noticed, and up to two with each election that ends without a leader.
 */
const LEADER_EXPECTED_TIMEOUTS = 6;

/** `lastContactAt`: the last contact with a leader or, as the leader, with a majority. Monotonic clock. */
export function isLeaderExpected(lastContactAt: number, now: number, electionTimeoutMs: number): boolean {
    return now - lastContactAt < electionTimeoutMs * LEADER_EXPECTED_TIMEOUTS;
}

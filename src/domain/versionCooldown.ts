/**
 * Computes how long a router pauses after applying a bundle version.
 *
 * Applying a version costs time in proportion to the whole bundle. If versions arrive many times a second, a router with
 * little CPU would spend most of its time on them and delay callers: without pauses, versions that take 30 ms each occupied
 * a router for 243 of 306 ms. Versions superseded during a pause are skipped.
 */

/** Pause relative to the time to apply a version. Leaves four fifths of the time to callers, which the smallest boxes need. */
const COOLDOWN_FACTOR = 4;
/** A quarter of the 2 s within which a version has to take effect. */
const MAX_COOLDOWN_MS = 500;
/** Shorter pauses are skipped: a version that takes 2 ms does not delay callers. */
const MIN_COOLDOWN_MS = 10;

/** `applyMs`: time from receiving the version until it took effect. */
export function computeCooldownMs(applyMs: number): number {
    const cooldownMs = Math.min(applyMs * COOLDOWN_FACTOR, MAX_COOLDOWN_MS);
    return cooldownMs < MIN_COOLDOWN_MS ? 0 : cooldownMs;
}

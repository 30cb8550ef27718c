/**
 * Tracks the backoff that upstreams have requested from this router. An upstream that rejects a request states how long
 * this router should not send to it; later answers to earlier requests do not cancel that.
 */
import { getIncarnationKey, type UpstreamIncarnation } from "./upstreamRegistry.js";

/** Maximum backoff in milliseconds, so that an erroneous value cannot exclude an upstream for hours. */
export const MAX_BACKOFF_MS = 300_000;

export class UpstreamBackoffs {
    /** End of the backoff, keyed by incarnation: it does not apply after a restart. Monotonic clock, milliseconds. */
    private readonly until = new Map<string, number>();

    /** Records a requested backoff; the one that ends last applies. Returns when it ends. */
    record(upstream: UpstreamIncarnation, backoffMs: number, now: number): number {
        const key = getIncarnationKey(upstream);
        const until = Math.max(now + Math.min(backoffMs, MAX_BACKOFF_MS), this.until.get(key) ?? -Infinity);
        this.until.set(key, until);
        return until;
    }

    /** Returns when an upstream's backoff ends; -Infinity if it has requested none. */
    getUntil(upstream: UpstreamIncarnation): number {
        // Avoids building a key in the common case of no backoff.
        return this.until.size === 0 ? -Infinity : this.until.get(getIncarnationKey(upstream)) ?? -Infinity;
    }

    /** Returns the number of upstreams with a backoff in effect. */
    count(now: number): number {
        this.evictExpired(now);
        return this.until.size;
    }

    private evictExpired(now: number): void {
        for (const [key, until] of this.until) {
            if (until <= now) {
                this.until.delete(key);
            }
        }
    }
}

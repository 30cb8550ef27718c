/**
 * The rests that upstreams have asked this router for. An upstream that turns a request away says for how long it wants
 * nothing more from this router; answers to requests that were sent before do not take that back.
 */
import { getLifeKey, type UpstreamLife } from "./upstreamRegistry.js";

/** Longest rest that is kept to, in milliseconds: a mistaken value must not keep an upstream out for hours. */
export const MOST_REST_MS = 300_000;

export class UpstreamRests {
    /** Until when each rests, by the key of its life: the life after it has asked for nothing. Monotonic clock, milliseconds. */
    private readonly until = new Map<string, number>();

    /** Takes an upstream's wish; the longest of several holds. Answers until when it rests. */
    record(upstream: UpstreamLife, restMs: number, now: number): number {
        const key = getLifeKey(upstream);
        const until = Math.max(now + Math.min(restMs, MOST_REST_MS), this.until.get(key) ?? -Infinity);
        this.until.set(key, until);
        return until;
    }

    /** Until when an upstream rests; -Infinity where it has asked for nothing. */
    getUntil(upstream: UpstreamLife): number {
        // Most of the time nobody rests, and then no key has to be made.
        return this.until.size === 0 ? -Infinity : this.until.get(getLifeKey(upstream)) ?? -Infinity;
    }

    /** Upstreams that rest. */
    count(now: number): number {
        this.forgetOver(now);
        return this.until.size;
    }

    private forgetOver(now: number): void {
        for (const [key, until] of this.until) {
            if (until <= now) {
                this.until.delete(key);
            }
        }
    }
}

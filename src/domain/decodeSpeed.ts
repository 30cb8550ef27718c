/**
 * Estimates the time between the output tokens of one upstream incarnation, from the gaps between the events that its
 * streams deliver. Times are monotonic, in milliseconds.
 */

/** Tokens after which a sample has replaced half of the estimate: about one short answer, so that single steps are averaged. */
const HALF_WEIGHT_TOKENS = 48;
/** A gap longer than the estimate by this factor is a stall. */
const STALL_FACTOR = 10;
/** Shorter gaps are never stalls: network and event loop jitter exceed several decoding steps. Milliseconds. */
const MIN_STALL_MS = 100;
/** Consecutive stalls after which the upstream counts as slow; otherwise one that slowed down permanently would never be measured. */
const MAX_CONSECUTIVE_STALLS = 3;
/** Caps a sample after consecutive stalls, as a multiple of the estimate, so that it rises in steps. */
const MAX_SAMPLE_FACTOR = 3;

export class DecodeSpeed {
    private estimate: number | undefined;
    private stalledAt = -Infinity;
    private consecutiveStalls = 0;
    private stalls = 0;

    /** Undefined until the first gap was measured. */
    get msPerToken(): number | undefined {
        return this.estimate;
    }

    /** Number of stalls; a stall that several streams observe counts once. */
    get stallCount(): number {
        return this.stalls;
    }

    /** Records that `tokens` arrived at `now`, `gapMs` after the previous tokens of the same stream. */
    recordGap(tokens: number, gapMs: number, now: number): void {
        if (tokens <= 0) {
            return;
        }
        let sample = gapMs / tokens;
        if (this.estimate === undefined) {
            this.estimate = sample;
            return;
        }
        if (gapMs > Math.max(MIN_STALL_MS, STALL_FACTOR * this.estimate * tokens)) {
            this.recordStall(gapMs, now);
            if (this.consecutiveStalls <= MAX_CONSECUTIVE_STALLS) {
                return;
            }
            sample = Math.min(sample, this.estimate * MAX_SAMPLE_FACTOR);
        }
        else {
            this.consecutiveStalls = 0;
        }
        this.estimate += (sample - this.estimate) * (1 - 2 ** (-tokens / HALF_WEIGHT_TOKENS));
    }

    /** Gaps that overlap the previous stall are the same stall, as seen by another stream. */
    private recordStall(gapMs: number, now: number): void {
        if (now - gapMs >= this.stalledAt) {
            this.stalls += 1;
            this.consecutiveStalls += 1;
            this.stalledAt = now;
        }
    }
}

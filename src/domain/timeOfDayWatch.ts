/**
 * Notices when a box's time of day steps, by its monotonic clock, which does not. What was read before a step cannot be
 * compared with what is read after it, and a clock that has stepped may soon step back unseen, while nothing runs.
 *
 * Where the time of day is found ahead, the box may have been suspended instead: the monotonic clock does not count that
 * time. The two cannot be told apart by these clocks (node reads no clock that counts suspensions: its `os.uptime` is not
 * the box's on the platform, where it went on by 6.3 s in 8.0 s). So who must not
 * measure a span too short adds what the time of day has been ahead by, and who must not take old news for fresh takes it
 * for a suspension.
 */

/** A smaller difference between two looks is the correction of a clock that runs on. Milliseconds. */
const LEAST_STEP_MS = 50;
/** A step that has not been taken back for so long was the correction of a clock that had been wrong. Milliseconds. */
const SETTLED_MS = 60_000;

export class TimeOfDayWatch {
    /** The time of day at which the monotonic clock began, as of the last look. */
    private originMs: number | undefined;
    private steppedAt: number | undefined;
    private ahead = 0;
    private missedMs = 0;
    private missedAt = -Infinity;

    /** Goes on from what an earlier process saw: how far its steps had come to. Milliseconds. */
    resume(aheadMs: number): void {
        this.ahead = aheadMs;
    }

    /** How far the steps so far come to, in milliseconds; 0 once they have been taken back. */
    getAheadMs(): number {
        return this.ahead;
    }

    /**
     * Time that the monotonic clock may have missed since this process began, with what has not been looked at yet: it only
     * grows, and steps ahead of the time of day count too. Milliseconds.
     */
    getMissedMs(wallMs: number, monotonicMs: number): number {
        const stepMs = wallMs - monotonicMs - (this.originMs ?? wallMs - monotonicMs);
        return this.missedMs + (stepMs < LEAST_STEP_MS ? 0 : stepMs);
    }

    /** When time was last missed, or a step ahead was seen, on the monotonic clock; long ago where it never was. */
    getMissedAt(wallMs: number, monotonicMs: number): number {
        return this.getMissedMs(wallMs, monotonicMs) > this.missedMs ? monotonicMs : this.missedAt;
    }

    /** Looks at both clocks; answers whether the time of day has stepped since the last look. */
    observe(wallMs: number, monotonicMs: number): boolean {
        const originMs = wallMs - monotonicMs;
        const stepMs = originMs - (this.originMs ?? originMs);
        this.missedAt = this.getMissedAt(wallMs, monotonicMs);
        this.missedMs = this.getMissedMs(wallMs, monotonicMs);
        this.originMs = originMs;
        this.steppedAt ??= monotonicMs;
        if (Math.abs(stepMs) < LEAST_STEP_MS) {
            return false;
        }
        this.steppedAt = monotonicMs;
        this.ahead = Math.abs(this.ahead + stepMs) < LEAST_STEP_MS ? 0 : this.ahead + stepMs;
        return true;
    }

    /** Whether the time of day can be gone by: it has not stepped, or its steps were taken back or stay. */
    isSteady(monotonicMs: number): boolean {
        return this.ahead === 0 || monotonicMs - (this.steppedAt ?? monotonicMs) > SETTLED_MS;
    }
}

/**
 * Detects steps of a box's wall clock by comparing it with the monotonic clock. Wall-clock readings from before and
 * after a step cannot be compared, and a clock that has stepped may step back undetected while no process runs.
 *
 * A forward step may also be a suspension of the box, which the monotonic clock does not count; Node.js offers no
 * clock that distinguishes the two (on the platform, `os.uptime` is not the uptime of the box). Callers that must
 * not underestimate a duration add the forward steps, and callers that must not accept stale data treat them as
 * suspensions.
 */

/** Smaller differences between two observations are attributed to clock slewing. */
const MIN_STEP_MS = 50;
/** A step that has persisted for this long is assumed to have corrected the clock. */
const STEP_ACCEPTED_AFTER_MS = 60_000;

export class WallClockMonitor {
    /** Wall-clock time of the monotonic clock's zero point, as last observed. */
    private monotonicOriginMs: number | undefined;
    private lastStepAt: number | undefined;
    private offsetMs = 0;
    private missedMs = 0;
    private lastMissedAt = -Infinity;

    /** Restores the accumulated steps observed by an earlier process, in milliseconds. */
    restoreOffset(offsetMs: number): void {
        this.offsetMs = offsetMs;
    }

    /** Returns the sum of the steps so far in milliseconds, or 0 once they have been reversed. */
    getStepOffsetMs(): number {
        return this.offsetMs;
    }

    /**
     * Returns the milliseconds that the monotonic clock may have missed since this process began, including any step
     * since the last observation. Forward steps are counted and never subtracted.
     */
    getMissedMs(wallMs: number, monotonicMs: number): number {
        const stepMs = wallMs - monotonicMs - (this.monotonicOriginMs ?? wallMs - monotonicMs);
        return this.missedMs + (stepMs < MIN_STEP_MS ? 0 : stepMs);
    }

    /** Returns when the last forward step was observed, on the monotonic clock; -Infinity if none was. */
    getLastMissedAt(wallMs: number, monotonicMs: number): number {
        return this.getMissedMs(wallMs, monotonicMs) > this.missedMs ? monotonicMs : this.lastMissedAt;
    }

    /** Compares both clocks. Returns whether the wall clock has stepped since the last call. */
    observe(wallMs: number, monotonicMs: number): boolean {
        const originMs = wallMs - monotonicMs;
        const stepMs = originMs - (this.monotonicOriginMs ?? originMs);
        this.lastMissedAt = this.getLastMissedAt(wallMs, monotonicMs);
        this.missedMs = this.getMissedMs(wallMs, monotonicMs);
        this.monotonicOriginMs = originMs;
        this.lastStepAt ??= monotonicMs;
        if (Math.abs(stepMs) < MIN_STEP_MS) {
            return false;
        }
        this.lastStepAt = monotonicMs;
        this.offsetMs = Math.abs(this.offsetMs + stepMs) < MIN_STEP_MS ? 0 : this.offsetMs + stepMs;
        return true;
    }

    /** Whether the wall clock can be trusted: it has not stepped, or its steps were reversed or have persisted. */
    isTrusted(monotonicMs: number): boolean {
        return this.offsetMs === 0 || monotonicMs - (this.lastStepAt ?? monotonicMs) > STEP_ACCEPTED_AFTER_MS;
    }
}

/**
 * Tells when a request that is read now probably arrived, on a box that lags behind.
 *
 * The load that this answers: a router whose box has little processor time reads requests up to seconds after they came,
 * for instance right after everything has lost power and all callers come back. Counted from when it was read, a request
 * seems fresh, and is sent on when its time is up. All that one turn of the event loop reads came while the turn before
 * ran, on average in its middle; a timer that is late by that turn shows how long it was.
 */

/** Lateness of the timer that is ignored, in milliseconds: timers are late by a few without any load. */
const IGNORED_MS = 20;

/** Times are on the monotonic clock, in milliseconds. */
export class ArrivalClock {
    private dueAt: number;
    /** How late the newest tick was, where that counts. */
    private lateMs = 0;

    /** `tickMs`: how often `recordTick` is called where nothing holds it up. */
    constructor(private readonly tickMs: number, now: number) {
        this.dueAt = now + tickMs;
    }

    /** Called by a timer. */
    recordTick(now: number): void {
        const lateMs = now - this.dueAt;
        this.lateMs = lateMs > IGNORED_MS ? lateMs : 0;
        this.dueAt = now + this.tickMs;
    }

    /** When a request that is read at `now` probably arrived. */
    estimateArrival(now: number): number {
        return now - this.lateMs / 2;
    }
}

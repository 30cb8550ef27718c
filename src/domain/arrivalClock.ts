/**
 * Tells when what is read now probably reached this box, on a box that lags behind.
 *
 * The load that this answers: a router with little processor time whose event loop takes long turns, for instance after
 * everything has lost power and all callers come back. It reads requests up to several turns after they came. Counted from
 * when it was read, a request seems fresh; it is sent on when its time is up and held past its route's time-out: with turns
 * of 0.2 s a request on a new connection counted from 0.33 s after it was sent (`heldRequests.test.ts`, one run).
 *
 * What one poll finds came while the turn before ran, on average in its middle. Where the loop is in time, what is read came
 * just now, but no earlier than the running turn's first tick was due: a later tick would have run before it.
 */

/** Lateness of a tick that is ignored, in milliseconds: timers are late by a few without any load. */
const IGNORED_MS = 20;

/** When a connection was taken: its first request came with it, unless it was read in a later turn than the next. */
export interface ConnectionArrival {
    /** Monotonic clock, milliseconds. */
    readonly arrivedAt: number;
    readonly turn: number;
}

/** Times are on the monotonic clock, in milliseconds. */
export class ArrivalClock {
    /** When the newest tick ran, and when it was due. */
    private tickAt: number;
    private dueAt: number;
    private turn = 0;
    /** What is read now was found by the first poll after the tick. */
    private isFirstPoll = false;

    /** `tickMs`: how often `recordTick` is called where nothing holds it up. */
    constructor(private readonly tickMs: number, now: number) {
        this.tickAt = now;
        this.dueAt = now;
    }

    /** Called by a timer, and so at the start of each turn that is late. */
    recordTick(now: number): void {
        this.dueAt = this.tickAt + this.tickMs;
        this.tickAt = now;
        this.turn += 1;
        this.isFirstPoll = true;
    }

    /** Called after the first poll that follows a tick. */
    recordPolled(): void {
        this.isFirstPoll = false;
    }

    /** How late the newest tick was; 0 where that does not count. Milliseconds. */
    getLateMs(): number {
        const lateMs = this.tickAt - this.dueAt;
        return lateMs > IGNORED_MS ? lateMs : 0;
    }

    /** When what is read at `now` probably arrived. */
    estimateArrival(now: number): number {
        return this.isFirstPoll
            ? Math.min(now, this.tickAt) - this.getLateMs() / 2
            : Math.min(now, this.tickAt + this.tickMs);
    }

    /** The same of a connection that is taken at `now`. */
    createConnectionArrival(now: number): ConnectionArrival {
        return { arrivedAt: this.estimateArrival(now), turn: this.turn };
    }

    /** When the first request on a connection probably arrived, which is read at `now`. */
    estimateFirstArrival(connection: ConnectionArrival, now: number): number {
        const arrivedAt = this.estimateArrival(now);
        // Where the loop is in time, ticks are no turns, and the request was read as it came.
        const cameTogether = this.turn <= connection.turn + 1 && this.getLateMs() > 0;
        return cameTogether ? Math.min(arrivedAt, connection.arrivedAt) : arrivedAt;
    }
}

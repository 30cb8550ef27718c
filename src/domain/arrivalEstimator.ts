/**
 * Estimates when requests reached this box while its event loop lags.
 *
 * A starved event loop reads a request several turns after it arrived. If the time-out counted from the read, the router
 * would forward requests that have already expired and hold callers past the time-out of their route: with turns of 0.2 s,
 * the first request on a connection was read 0.33 s after it had been sent.
 *
 * Data found by a poll arrived during the previous turn, on average halfway through. Without lag, data arrived when it was
 * read, but no earlier than the next tick was due: otherwise that tick would have run first.
 */

/** Timer jitter of an unloaded event loop. */
const MIN_LATENESS_MS = 20;
/**
 * A request that is read within this time after its connection was accepted, which had waited for that, was there already, in
 * milliseconds. Callers may open connections ahead of requests.
 */
const FIRST_REQUEST_WINDOW_MS = 250;

/** Estimated arrival of a connection. Its first request arrived with it if it was read no later than in the next turn. */
export interface ConnectionArrival {
    /** Monotonic clock, milliseconds. */
    readonly arrivedAt: number;
    readonly acceptedAt: number;
    readonly turn: number;
}

/** All times are monotonic, in milliseconds. */
export class ArrivalEstimator {
    /** When the last tick ran and when it was due. */
    private lastTickAt: number;
    private tickDueAt: number;
    private currentTurn = 0;
    /** Whether data read now was found by the first poll after the last tick. */
    private isFirstPollAfterTick = false;

    /** `tickMs`: nominal interval between calls of `recordTick`. */
    constructor(private readonly tickMs: number, now: number) {
        this.lastTickAt = now;
        this.tickDueAt = now;
    }

    /** Called by a timer, which runs at the start of each delayed turn. */
    recordTick(now: number): void {
        this.tickDueAt = this.lastTickAt + this.tickMs;
        this.lastTickAt = now;
        this.currentTurn += 1;
        this.isFirstPollAfterTick = true;
    }

    /** Called after the first poll that follows a tick. */
    recordPollEnd(): void {
        this.isFirstPollAfterTick = false;
    }

    /** Lateness of the last tick in milliseconds; 0 if within timer jitter. */
    getLagMs(): number {
        const latenessMs = this.lastTickAt - this.tickDueAt;
        return latenessMs > MIN_LATENESS_MS ? latenessMs : 0;
    }

    /** Estimates when data that is read at `now` arrived. */
    estimateArrival(now: number): number {
        return this.isFirstPollAfterTick
            ? Math.min(now, this.lastTickAt) - this.getLagMs() / 2
            : Math.min(now, this.lastTickAt + this.tickMs);
    }

    /** Returns the longest time for which data that is read at `now` may have been there, in milliseconds. */
    getMaxReadDelayMs(now: number): number {
        const sinceTickMs = Math.max(0, now - this.lastTickAt);
        const lagMs = this.isFirstPollAfterTick ? this.getLagMs() : 0;
        // The turn that delayed the tick began with a poll after the tick before it.
        return lagMs > 0 ? sinceTickMs + lagMs + this.tickMs : sinceTickMs;
    }

    /** `arrivedAt`: estimated arrival of a connection that is accepted at `now`. */
    createConnectionArrival(now: number, arrivedAt: number): ConnectionArrival {
        return { arrivedAt, acceptedAt: now, turn: this.currentTurn };
    }

    /** Estimates when the first request of a connection arrived, given that it is read at `now`. */
    estimateFirstArrival(connection: ConnectionArrival, now: number): number {
        const arrivedAt = this.estimateArrival(now);
        // Without lag the tick count does not advance with the turns, and requests are read as they arrive.
        const isNextTurn = this.currentTurn <= connection.turn + 1 && this.getLagMs() > 0;
        const hasWaited = connection.acceptedAt - connection.arrivedAt > MIN_LATENESS_MS;
        const arrivedTogether = isNextTurn || (hasWaited && now - connection.acceptedAt <= FIRST_REQUEST_WINDOW_MS);
        return arrivedTogether ? Math.min(arrivedAt, connection.arrivedAt) : arrivedAt;
    }
}

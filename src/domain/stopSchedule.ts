/** The phases of a router's planned stop. */

/**
 * `announcing`: requests are served, and callers are told with each answer that the connection closes. `closing`: further requests are
 * refused, and connections are closed once the router owns no request of them. `over`: what is left is cut off.
 */
export type StopPhase = "announcing" | "closing" | "over";

/** Times in milliseconds. */
export interface StopScheduleOptions {
    /** Time after which load balancers send no more new connections. */
    readonly announceMs: number;
    /** Time from the beginning until the platform kills the process. */
    readonly gracePeriodMs: number;
    /** Part of the grace period that is reserved for what follows the last request. */
    readonly closingMarginMs: number;
}

/** All times are monotonic, in milliseconds. The phase depends on the time alone, so that a late timer does not extend one. */
export class StopSchedule {
    constructor(private readonly startedAt: number, private readonly options: StopScheduleOptions) {}

    getPhase(now: number): StopPhase {
        const elapsedMs = now - this.startedAt;
        if (elapsedMs >= this.options.gracePeriodMs - this.options.closingMarginMs) {
            return "over";
        }
        return elapsedMs >= this.options.announceMs ? "closing" : "announcing";
    }

    /** Returns the time until further requests are refused; 0 if they are already. */
    getClosesInMs(now: number): number {
        return Math.max(0, this.startedAt + this.options.announceMs - now);
    }

    getElapsedMs(now: number): number {
        return now - this.startedAt;
    }
}

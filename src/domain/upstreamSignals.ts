/** What an upstream says of its own state beside an answer: how much it takes, whether it leaves, whether it wants a rest. */
export interface UpstreamSignals {
    /** Requests a second that it takes from all routers together, as long as it says so; undefined where it names no limit. */
    readonly limitPerSecond: number | undefined;
    /** It is about to end and takes no new work. */
    readonly isLeaving: boolean;
    /** How long it wants nothing more from this router, in milliseconds; undefined where it does not ask for it. */
    readonly restMs: number | undefined;
    /** What it said that could not be read, as NAME=VALUE; it counts as not said. */
    readonly unreadable: readonly string[];
}

/** Signals of an upstream that says nothing of itself. */
export const NO_SIGNALS: UpstreamSignals = {
    limitPerSecond: undefined,
    isLeaving: false,
    restMs: undefined,
    unreadable: [],
};

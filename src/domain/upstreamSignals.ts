/**
 * State that an upstream reports along with an answer: its rate limit, whether it is leaving, and a requested backoff.
 */
export interface UpstreamSignals {
    /**
     * Requests per second that it accepts from all routers; undefined if it names no limit. Applies until an answer
     * names another limit or none.
     */
    readonly limitPerSecond: number | undefined;
    /** It is shutting down and accepts no new work. */
    readonly isLeaving: boolean;
    /** How long this router should not send to it, in milliseconds; undefined if it requests no backoff. */
    readonly backoffMs: number | undefined;
    /** Signals that could not be parsed, as NAME=VALUE; they are ignored. */
    readonly unparsed: readonly string[];
}

export const NO_SIGNALS: UpstreamSignals = {
    limitPerSecond: undefined,
    isLeaving: false,
    backoffMs: undefined,
    unparsed: [],
};

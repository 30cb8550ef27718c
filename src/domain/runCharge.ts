/**
 * Computes what a run is charged to its client account, from what the router knows of it.
 *
 * An upstream hands out tokens for as long as it does not know that its caller has left, up to the maximum that the request
 * allows. What a run has not used is therefore free only once it is known that the run has ended.
 */

/** `ended`: it generates nothing more, and all events that it sent were counted. `unknown`: it may go on to its maximum. */
export type RunState = "notRun" | "answered" | "ended" | "unknown";

/** Counts are tokens unless stated otherwise. */
export interface RunUsage {
    /** Maximum consumption of the run. */
    readonly reserved: number;
    /** Of the prompt, unless an earlier run of the request was charged for it. */
    readonly promptTokens: number;
    /** Number of events that were received. */
    readonly eventCount: number;
    /** Maximum number of tokens in one event; undefined if the answer is not one whose events tell what was generated. */
    readonly tokensPerEvent: number | undefined;
}

/** Events that an upstream may have generated, but not sent any more, while it noticed that the connection was closed. */
const MAX_UNSENT_EVENTS = 4;

export function computeRunCharge(state: RunState, usage: RunUsage): number {
    const { reserved, promptTokens, eventCount, tokensPerEvent } = usage;
    if (state === "notRun") {
        return 0;
    }
    if (state === "unknown" || tokensPerEvent === undefined) {
        return reserved;
    }
    const countedEvents = state === "ended" ? eventCount + MAX_UNSENT_EVENTS : eventCount;
    return Math.min(reserved, promptTokens + countedEvents * tokensPerEvent);
}

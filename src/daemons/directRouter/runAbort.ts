/** Tells when a request is given up before its answer is complete: its caller has left, or its time is over. */
import type { PassThroughSink } from "../../ports/answerSink.js";

/** `gone`: the caller has closed its connection. `late`: the deadline has passed. */
export type AbortCause = "gone" | "late";

export class RunAbort {
    cause: AbortCause | undefined;

    /** `deadline`: monotonic clock, milliseconds. */
    constructor(private readonly sink: PassThroughSink, private readonly deadline: number) {}

    /**
     * Calls `handle` when the request is given up, until the function that it returns is called. `closeAgeMs`: longest time since the
     * caller's close arrived, in milliseconds; undefined if it has not left.
     */
    watch(handle: (closeAgeMs: number | undefined) => void): () => void {
        const abort = (cause: AbortCause, closeAgeMs?: number): void => {
            this.cause ??= cause;
            handle(closeAgeMs);
        };
        const timer = setTimeout(() => abort("late"), Math.max(0, this.deadline - performance.now()));
        this.sink.onDisconnect(closeAgeMs => abort("gone", closeAgeMs));
        return () => clearTimeout(timer);
    }

    /** Whether the caller has left, also if the event loop has not read that yet. */
    hasCallerLeft(): boolean {
        if (this.sink.hasCallerLeft()) {
            this.cause ??= "gone";
        }
        return this.cause === "gone";
    }
}

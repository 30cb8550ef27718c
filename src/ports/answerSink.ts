/** Destination of the answer to a caller's request. */
import type { Refusal } from "../domain/resultCodes.js";

export abstract class PassThroughSink {
    /** Called each time the request is about to be sent to an upstream: from then on it may run. */
    confirmSend(): void {
        // Nobody has to know, unless another router relays the connection.
    }

    /**
     * Sends the upstream's status and headers unchanged. `isEndKnown`: whether the end of the answer shows in its framing or in
     * its events. Otherwise it is sent without framing, because its completeness must not be asserted.
     */
    abstract sendHead(status: number, headers: readonly string[], isEndKnown: boolean): void;
    /** Sends bytes of the body. Returns false if the caller reads too slowly; `onDrain` then signals when to continue. */
    abstract write(bytes: Buffer): boolean;
    /** Ends a complete answer. */
    abstract end(): void;
    /** Aborts an incomplete answer, so that the caller can detect the truncation. */
    abstract abort(): void;
    /** Answers with a refusal by the router itself. */
    abstract sendRefusal(refusal: Refusal): void;
    /** Calls `handler` each time the send buffer has drained. */
    abstract onDrain(handler: () => void): void;
    /** Whether the caller has closed its connection. Reads what has arrived, also what the event loop has not read yet. */
    abstract hasCallerLeft(): boolean;
    /**
     * Calls `handler` once if the caller disconnects before the answer has ended. `closeAgeMs`: longest time since the close arrived
     * at this process, in milliseconds.
     */
    abstract onDisconnect(handler: (closeAgeMs: number) => void): void;
}

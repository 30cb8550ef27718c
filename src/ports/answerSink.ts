/** Where the answer to a caller's request goes. */
import type { Refusal } from "../domain/resultCodes.js";

export abstract class PassThroughSink {
    /**
     * Sends an upstream's head unchanged. An answer that is not framed is not framed here either: nobody can say whether
     * it was whole, so it must not be made to look so.
     */
    abstract sendHead(status: number, headers: readonly string[], isFramed: boolean): void;
    /** Sends bytes of the body; answers false where the caller reads too slowly, until `onDrain`. */
    abstract write(bytes: Buffer): boolean;
    /** Ends an answer that is whole. */
    abstract end(): void;
    /** Breaks off an answer that is not whole, so that the caller can tell. */
    abstract breakOff(): void;
    /** Answers by a refusal of the router's own. */
    abstract refuse(refusal: Refusal): void;
    /** Calls back whenever the caller has read what was waiting. */
    abstract onDrain(handler: () => void): void;
    /** Calls back once if the caller goes away before the answer has ended. */
    abstract onGone(handler: () => void): void;
}

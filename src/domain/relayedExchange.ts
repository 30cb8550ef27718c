/**
 * The request under way on a relayed connection, as the relaying router knows it. Its bytes are retained until the answer begins, so that the
 * relaying router can serve or refuse the request itself when the router that serves it is lost.
 */
import { AnswerFraming } from "./answerFraming.js";

/** Limits the bytes of requests that all relayed connections of a router retain. */
export class RequestRetention {
    private retainedBytes = 0;

    /** `maxBytes`: of all requests; `maxRequestBytes`: of one. */
    constructor(private readonly maxBytes: number, private readonly maxRequestBytes: number) {}

    /** Reserves `bytes` for a request that retains `requestBytes` already; false if either limit is exceeded. */
    tryReserve(bytes: number, requestBytes: number): boolean {
        const isReserved = this.retainedBytes + bytes <= this.maxBytes && requestBytes + bytes <= this.maxRequestBytes;
        this.retainedBytes += isReserved ? bytes : 0;
        return isReserved;
    }

    release(bytes: number): void {
        this.retainedBytes -= bytes;
    }

    getRetainedBytes(): number {
        return this.retainedBytes;
    }
}

/** How the connection to the serving router ended. A reset discards what was sent before it, also a confirmation. */
export type NeighbourEnd = "closed" | "reset";

/** What becomes of a caller's connection whose serving router has ended it, or is lost. */
export type LossAction =
    /** It carries no request. */
    | { readonly type: "idle"; }
    /** The caller has a part of an answer. */
    | { readonly type: "answering"; readonly isUnframed: boolean; }
    /** No answer has begun. `bytes`: the request; undefined if it was not retained. */
    | { readonly type: "unanswered"; readonly bytes: Buffer | undefined; readonly mayHaveRun: boolean; }
    /** Bytes that the framing does not explain. */
    | { readonly type: "unknown"; };

const HEAD_METHOD = "HEAD ";

export class RelayedExchange {
    private readonly framing = new AnswerFraming();
    /** Of the request under way; undefined if it was too large. */
    private chunks: Buffer[] | undefined = [];
    private chunkBytes = 0;
    private hasRequest = false;
    /** Whether bytes have come that may belong to a request behind the one under way. */
    private isPipelined = false;
    private isHead = false;
    private startedAt = 0;

    constructor(private readonly retention: RequestRetention) {}

    /** Records bytes of a request that are passed on. `now`: monotonic clock, milliseconds. */
    recordRequest(bytes: Buffer, now: number): void {
        if (!this.hasRequest) {
            this.hasRequest = true;
            this.startedAt = now;
            this.isHead = bytes.toString("latin1", 0, HEAD_METHOD.length) === HEAD_METHOD;
        }
        else if (this.framing.isAnswering()) {
            this.isPipelined = true;
        }
        this.retain(bytes);
    }

    /** Reads bytes of an answer, and returns those for the caller. */
    readAnswer(bytes: Buffer): Buffer {
        const passed = this.framing.read(bytes, this.isHead, () => this.endRequest());
        if (this.framing.isAnswering()) {
            this.release();
        }
        return passed;
    }

    /** Returns when the request under way began. Monotonic clock, milliseconds. */
    getStartedAt(): number {
        return this.startedAt;
    }

    /** Whether a request is under way, no byte of whose answer has been passed on. */
    isUnanswered(): boolean {
        return this.resolveLoss("closed").type === "unanswered";
    }

    /** Decides what becomes of the connection when the serving router has ended it. */
    resolveLoss(end: NeighbourEnd): LossAction {
        const { framing } = this;
        if (!framing.isKnown() || this.isPipelined) {
            return { type: "unknown" };
        }
        if (framing.isAnswering()) {
            return { type: "answering", isUnframed: framing.isUnframed() };
        }
        if (!this.hasRequest) {
            return { type: "idle" };
        }
        const bytes = this.chunks === undefined ? undefined : Buffer.concat(this.chunks);
        return { type: "unanswered", bytes, mayHaveRun: end === "reset" || framing.mayHaveBeenSent() };
    }

    /** Releases what is retained. */
    release(): void {
        this.retention.release(this.chunkBytes);
        this.chunkBytes = 0;
        this.chunks = undefined;
    }

    private retain(bytes: Buffer): void {
        if (this.chunks === undefined) {
            return;
        }
        if (this.retention.tryReserve(bytes.length, this.chunkBytes)) {
            this.chunks.push(bytes);
            this.chunkBytes += bytes.length;
        }
        else {
            this.release();
        }
    }

    private endRequest(): void {
        this.release();
        this.chunks = [];
        this.hasRequest = false;
    }
}

/**
 * The request under way on a relayed connection, as the relaying router knows it. Its bytes are retained until the answer begins, so that the
 * relaying router can serve or refuse the request itself when the router that serves it is lost.
 */
import { AnswerFraming, RequestFraming } from "./messageFraming.js";

/** Pieces of a request are merged up to this size. */
const MAX_MERGED_BYTES = 4_096;

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

/**
 * What a relayed connection carries. `idle`: no request. `unanswered`: a request, no byte of whose answer was passed on. `answering`: a part of an
 * answer was. `unframed`: the same, of an answer that the connection ends. `unknown`: several requests, or bytes that the framing does not explain.
 */
export type ExchangeState = "idle" | "unanswered" | "answering" | "unframed" | "unknown";

/** What a router needs to know of a request in order to wait for its answer. */
export interface RequestTerms {
    /** Whether its route allows another attempt. */
    readonly mayRepeat: boolean;
    /** From when the request was passed on, in milliseconds. */
    readonly timeoutMs: number;
}

/** What becomes of a connection without a link to its serving router. `wait`: until `until`, monotonic clock, milliseconds. */
export type LostLinkAction =
    | { readonly type: "detach"; }
    | { readonly type: "failOver"; }
    | { readonly type: "wait"; readonly until: number; };

/**
 * Longest silence on a relayed connection without a link to its serving router, in milliseconds. A process that is only paused or slow goes on; the
 * system finds out within about this time that a box is gone.
 */
const MAX_SILENCE_MS = 10_000;

/**
 * Decides how long a serving router is waited for without a link to it, which may be paused, slow or about to end (`isStopping`): a request that may be
 * repeated is not kept waiting; the others may be running. `terms`: of an unanswered request. Monotonic clock, milliseconds.
 */
export function resolveLostLink(
    exchange: Pick<RelayedExchange, "getState" | "getStartedAt">,
    terms: RequestTerms | undefined,
    isStopping: boolean,
    quietSince: number,
): LostLinkAction {
    const state = exchange.getState();
    if (state === "idle") {
        return { type: "detach" };
    }
    if (state !== "unanswered" || terms === undefined) {
        return { type: "wait", until: quietSince + MAX_SILENCE_MS };
    }
    return terms.mayRepeat && !isStopping
        ? { type: "failOver" }
        : { type: "wait", until: exchange.getStartedAt() + terms.timeoutMs };
}

/** How the connection to the serving router ended. A reset discards what was sent before it, also a confirmation. */
export type NeighbourEnd = "closed" | "reset";

const HEAD_REQUEST = /^HEAD /;

export class RelayedExchange {
    private readonly requests = new RequestFraming(() => this.beginRequest());
    private readonly answers = new AnswerFraming(
        () => HEAD_REQUEST.test(this.requests.tryGetHead() ?? ""),
        () => this.endRequest(),
    );
    /** Of the request under way; undefined if it was too large. */
    private chunks: Buffer[] | undefined = [];
    private chunkBytes = 0;
    private hasRequest = false;
    /** Whether a request has come before the answer to the one before it had ended; its bytes are not told apart. */
    private isPipelined = false;
    private startedAt = 0;

    constructor(private readonly retention: RequestRetention) {}

    /** Records bytes of requests that are passed on. `now`: monotonic clock, milliseconds. */
    recordRequest(bytes: Buffer, now: number): void {
        const isFirst = !this.hasRequest;
        this.requests.read(bytes);
        this.startedAt = isFirst ? now : this.startedAt;
        if (!this.answers.isInMessage()) {
            this.retain(bytes);
        }
    }

    /** Reads bytes of answers, and returns those for the caller. */
    readAnswer(bytes: Buffer): Buffer {
        const passed = this.answers.read(bytes);
        if (this.answers.isInMessage()) {
            this.release();
        }
        return passed;
    }

    getState(): ExchangeState {
        if (!this.answers.isKnown() || !this.requests.isKnown() || this.isPipelined) {
            return "unknown";
        }
        if (this.answers.isInMessage()) {
            return this.answers.isUnframed() ? "unframed" : "answering";
        }
        if (!this.hasRequest) {
            // The rest of a request whose answer has ended is no further request.
            return this.requests.isInMessage() ? "unknown" : "idle";
        }
        return "unanswered";
    }

    /** Returns when the request under way began. Monotonic clock, milliseconds. */
    getStartedAt(): number {
        return this.startedAt;
    }

    /** Returns the head of the request that was begun last; undefined until it is whole. */
    tryGetHead(): string | undefined {
        return this.requests.tryGetHead();
    }

    /** Returns the bytes of the unanswered request; undefined if they were not retained. */
    tryGetRequest(): Buffer | undefined {
        return this.chunks && Buffer.concat(this.chunks);
    }

    /** Whether the serving router may have sent the unanswered request to an upstream. */
    mayHaveRun(end: NeighbourEnd): boolean {
        return this.getState() === "unanswered" && (end === "reset" || this.answers.mayHaveBeenSent());
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
            this.addChunk(this.chunks, bytes);
            this.chunkBytes += bytes.length;
        }
        else {
            this.release();
        }
    }

    /** A buffer for each small piece would cost many times its bytes. */
    private addChunk(chunks: Buffer[], bytes: Buffer): void {
        const last = chunks.at(-1);
        if (last !== undefined && last.length + bytes.length <= MAX_MERGED_BYTES) {
            chunks[chunks.length - 1] = Buffer.concat([last, bytes]);
        }
        else {
            chunks.push(bytes);
        }
    }

    private beginRequest(): void {
        this.isPipelined ||= this.hasRequest;
        this.hasRequest = true;
    }

    private endRequest(): void {
        this.release();
        this.chunks = [];
        this.hasRequest = false;
    }
}

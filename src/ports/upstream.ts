/** The upstream of a sidecar: a model engine or a plain service. */
import type { AnswerPiece, EngineOrder, StartRunParams } from "../protocol/runMethods.js";

type RunRequest = StartRunParams["request"];
export type ChatRequest = Extract<RunRequest, { type: "chat"; }>;
export type PlainRequest = Extract<RunRequest, { type: "plain"; }>;

/** The pieces of an answer that an upstream sent together. */
export interface UpstreamEvent {
    readonly pieces: AnswerPiece[];
    /** Token counts reported by the engine, if any. */
    readonly promptTokens?: number | undefined;
    readonly outputTokens?: number | undefined;
}

/** The Retry-After header of an upstream that rejected a request. */
export interface RetryAfterNotice {
    /** Requested delay in milliseconds; undefined if the header is invalid. */
    readonly retryAfterMs: number | undefined;
    /** The header as received. */
    readonly headerValue: string;
}

/** Load reported by an engine, with a delay. */
export interface EngineLoad {
    readonly running: number;
    readonly waiting: number;
}

/** Runs requests on an upstream. Fails with RefusalErrors whose `ran` says whether the upstream may have run the request. */
export abstract class UpstreamClient {
    private retryAfterListener: (rest: RetryAfterNotice) => void = () => undefined;

    /** Calls `listener` whenever the upstream rejects a request with Retry-After. */
    onRetryAfter(listener: (rest: RetryAfterNotice) => void): void {
        this.retryAfterListener = listener;
    }

    protected notifyRetryAfter(rest: RetryAfterNotice): void {
        this.retryAfterListener(rest);
    }

    /** Streams a chat answer until it is complete; throws if it is not. A lower `priority` runs first. */
    abstract runChat(
        request: ChatRequest,
        requestId: string,
        outputCap: number,
        priority: number,
        signal: AbortSignal,
    ): AsyncGenerator<UpstreamEvent>;
    /** Passes a plain HTTP call through. */
    abstract runPlain(request: PlainRequest, requestId: string, signal: AbortSignal): AsyncGenerator<UpstreamEvent>;
    abstract sendOrder(order: EngineOrder): Promise<void>;
}

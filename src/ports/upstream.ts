/** What stands behind a sidecar: a model engine or a plain service. */
import type { AnswerPiece, EngineOrder, StartRunParams } from "../protocol/runMethods.js";

type RunRequest = StartRunParams["request"];
export type ChatRequest = Extract<RunRequest, { type: "chat"; }>;
export type PlainRequest = Extract<RunRequest, { type: "plain"; }>;

/** What came from an upstream in one go. */
export interface UpstreamEvent {
    readonly pieces: AnswerPiece[];
    /** The engine's own counts, where it tells them. Tokens. */
    readonly promptTokens?: number | undefined;
    readonly outputTokens?: number | undefined;
}

/** How loaded an engine says it is; late. */
export interface EngineLoad {
    readonly running: number;
    readonly waiting: number;
}

/** Runs requests at one upstream. Failures are RefusalErrors whose `ran` says whether the upstream may have run it. */
export abstract class UpstreamClient {
    /** Streams a chat answer. Ends when the answer is whole; throws otherwise. `priority`: lower goes first. */
    abstract runChat(
        request: ChatRequest,
        requestId: string,
        outputCap: number,
        priority: number,
        signal: AbortSignal,
    ): AsyncGenerator<UpstreamEvent>;
    /** Passes a plain call through. */
    abstract runPlain(request: PlainRequest, requestId: string, signal: AbortSignal): AsyncGenerator<UpstreamEvent>;
    /** Gives the engine an order. */
    abstract giveOrder(order: EngineOrder): Promise<void>;
}

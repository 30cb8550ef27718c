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

/** A wish of an upstream that has turned a request away. */
export interface AskedRest {
    /** How long it wants nothing more, in milliseconds; undefined where what it said cannot be read. */
    readonly restMs: number | undefined;
    /** What it said. */
    readonly said: string;
}

/** How loaded an engine says it is; late. */
export interface EngineLoad {
    readonly running: number;
    readonly waiting: number;
}

/** Runs requests at one upstream. Failures are RefusalErrors whose `ran` says whether the upstream may have run it. */
export abstract class UpstreamClient {
    private restListener: (rest: AskedRest) => void = () => undefined;

    /** Has `listener` told whenever the upstream turns a request away and asks for rest. */
    onRest(listener: (rest: AskedRest) => void): void {
        this.restListener = listener;
    }

    /** Tells who listens of a rest. */
    protected noteRest(rest: AskedRest): void {
        this.restListener(rest);
    }

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

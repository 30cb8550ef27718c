/** One caller's request inside a router, and where its answer goes. */
import type { ServiceSpec } from "../../domain/objects.js";
import type { Refusal } from "../../domain/resultCodes.js";
import type { Ranking } from "../../domain/tokenBounds.js";
import type { AnswerPiece, StartRunParams } from "../../protocol/runMethods.js";
import type { ClaimKey } from "./claimClient.js";

/** Everything a router has worked out about a request before it runs. */
export interface Job extends ClaimKey {
    /** Whether the caller gave the key, so that it may come back with it. */
    readonly keyed: boolean;
    readonly account: string;
    readonly service: string;
    readonly serviceSpec: ServiceSpec;
    readonly budget: string;
    readonly repeatable: boolean;
    /** Monotonic clock, milliseconds. */
    readonly deadline: number;
    readonly ranking: Ranking;
    /** Bounds in tokens. */
    readonly promptBound: number;
    readonly outputCap: number;
    readonly request: StartRunParams["request"];
    /** The prompt as text, for affinity. */
    readonly prompt: string;
}

/** What a whole answer cost. Tokens. */
export interface AnswerUsage {
    readonly promptTokens: number;
    readonly outputTokens: number;
}

/** Takes an answer to its caller. */
export abstract class AnswerSink {
    /** Passes pieces on; resolves when the caller can take more. */
    abstract writePieces(pieces: readonly AnswerPiece[]): Promise<void>;
    /** Ends a whole answer. */
    abstract end(usage: AnswerUsage): void;
    /** Ends with a refusal: as the whole answer, or after a part of it. */
    abstract fail(refusal: Refusal): void;
    /** Whether anything has reached the caller that cannot be taken back. */
    abstract hasBegun(): boolean;
    /** Whether the caller is gone. */
    abstract isGone(): boolean;
}

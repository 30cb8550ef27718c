/** A caller's request as processed by a router, and the sink for its answer. */
import type { ServiceSpec } from "../../domain/objects.js";
import { createRefusal, type Refusal, RefusalError } from "../../domain/resultCodes.js";
import type { Ranking } from "../../domain/tokenBounds.js";
import type { AnswerPiece, StartRunParams } from "../../protocol/runMethods.js";
import type { ClaimKey } from "./claimClient.js";

/** A validated request with everything that its runs need. */
export interface Job extends ClaimKey {
    /** Whether the caller sent an idempotency key, and may therefore retry the request. */
    readonly hasIdempotencyKey: boolean;
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

/** Tokens used by a complete answer. */
export interface AnswerUsage {
    readonly promptTokens: number;
    readonly outputTokens: number;
}

/** Writes an answer to its caller. */
export abstract class AnswerSink {
    /** Writes pieces; resolves when the caller can receive more. */
    abstract writePieces(pieces: readonly AnswerPiece[]): Promise<void>;
    /** Ends a complete answer. */
    abstract end(usage: AnswerUsage): void;
    /** Ends with a refusal, which may follow a partial answer. */
    abstract fail(refusal: Refusal): void;
    /** Whether a part of the answer has been sent and cannot be discarded. */
    abstract hasStarted(): boolean;
    /** Whether the caller has disconnected. */
    abstract isDisconnected(): boolean;
    /** The same, once what had arrived from the caller was read. */
    abstract hasCallerLeft(): Promise<boolean>;
}

/** Refuses to run a request whose caller has left, unless the caller can fetch the answer by its key. */
export async function checkCallerPresent(job: Job, sink: AnswerSink): Promise<void> {
    if (!job.hasIdempotencyKey && await sink.hasCallerLeft()) {
        throw new RefusalError(createRefusal("runCancelled", "the caller left before the run was sent"));
    }
}

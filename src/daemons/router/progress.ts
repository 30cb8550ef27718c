/** Progress of a request across its runs, and the parameters of its next run. */
import type { Upstream } from "../../domain/configView.js";
import type { Reservation } from "../../domain/grantStore.js";
import { createRandomId } from "../../domain/identifiers.js";
import { createRefusal, type Ran, type Refusal } from "../../domain/resultCodes.js";
import type { AnswerPiece, RunEnd, StartRunParams } from "../../protocol/runMethods.js";
import type { Job } from "./job.js";

/** Outcome of one run as known to the router. */
export type RunOutcome =
    | { readonly type: "whole"; readonly end: RunEnd; }
    | { readonly type: "failed"; readonly refusal: Refusal; };

/** The part of an answer that has been sent to the caller, across all runs. */
export interface RequestProgress {
    position: number;
    text: string;
    /** Output tokens sent by runs that ended early. */
    outputTokens: number;
    /** Whether another run can continue the answer from `text` alone. */
    resumable: boolean;
    /** Whether any run of the request is known to have executed. */
    ran: Ran;
    promptTokens: number | undefined;
    /** The upstream that sent the first part of the answer, as declared then; undefined before. */
    firstUpstream: Upstream | undefined;
}

export function createProgress(ran: Ran): RequestProgress {
    return {
        position: 0,
        text: "",
        outputTokens: 0,
        resumable: true,
        ran,
        promptTokens: undefined,
        firstUpstream: undefined,
    };
}

export function createRunOutcome(end: RunEnd): RunOutcome & { end: RunEnd; } {
    return end.refusal === undefined ? { type: "whole", end } : { type: "failed", refusal: end.refusal, end };
}

/** Computes the token bounds of the next run. Text already sent counts towards the prompt instead of the output. */
export function computeTokenBounds(job: Job, progress: RequestProgress): { promptBound: number; outputCap: number; } {
    return {
        promptBound: job.promptBound + Buffer.byteLength(progress.text),
        outputCap: Math.max(1, job.outputCap - progress.outputTokens),
    };
}

export function createRunParams(
    job: Job,
    progress: RequestProgress,
    upstream: Upstream,
    reservation: Reservation,
    uncertain: boolean,
    remainingMs: number,
): Omit<StartRunParams, "listener"> {
    const request = job.request.type === "chat"
        ? { ...job.request, resumeFrom: progress.position, resumeText: progress.text }
        : job.request;
    return {
        requestId: job.requestId,
        runId: `${job.requestId}#${createRandomId()}`,
        digest: job.digest,
        account: job.account,
        service: job.service,
        upstream: upstream.name,
        budget: job.budget,
        grant: reservation.grant.id,
        ...computeTokenBounds(job, progress),
        ...job.ranking,
        deadlineMs: Math.max(0, remainingMs),
        uncertain,
        keep: job.hasIdempotencyKey || !job.repeatable,
        cancelWhenLost: !job.hasIdempotencyKey && job.repeatable,
        request,
    };
}

/**
 * Replaces the refusal of a run that was cancelled although its caller is still connected: at its deadline, or by its
 * sidecar, which does not continue a repeatable run after its connection to the router was lost.
 */
export function replaceCancellation(end: RunEnd, isPastDeadline: boolean, retryAfterMs: number): RunEnd {
    if (end.refusal?.code !== "runCancelled") {
        return end;
    }
    const { ran } = end.refusal;
    const refusal = isPastDeadline
        ? createRefusal("deadlinePassed", undefined, ran, retryAfterMs)
        : createRefusal(
            "upstreamFailed",
            "the sidecar cancelled the run as its connection was lost",
            ran,
            retryAfterMs,
        );
    return { ...end, refusal };
}

export function getResumePosition(params: Omit<StartRunParams, "listener">): number {
    return params.request.type === "chat" ? params.request.resumeFrom : 0;
}

export function recordPieces(progress: RequestProgress, pieces: readonly AnswerPiece[]): void {
    progress.position += pieces.length;
    for (const piece of pieces) {
        if (!("delta" in piece)) {
            progress.resumable = false;
            continue;
        }
        const content = piece.delta["content"];
        if (typeof content === "string") {
            progress.text += content;
        }
        if (piece.delta["tool_calls"] !== undefined) {
            progress.resumable = false;
        }
    }
}

/** Whether another attempt would end in the same way. */
export function isFinalRefusal({ code }: Refusal): boolean {
    return code === "upstreamRefused"
        || code === "runCancelled"
        || code === "deadlinePassed"
        || code === "requestIdReused"
        || code === "readerTooSlow";
}

/** Whether another attempt takes one of the service's retries. */
export function shouldSpendRetryBudget({ code, ran }: Refusal): boolean {
    return code === "queueFull" || code === "deadlineTooClose" || ran !== "no";
}

/** Records a run that ended early. The first one that sent a part of the answer determines who may continue it. */
export function recordBrokenRun(progress: RequestProgress, upstream: Upstream): void {
    if (progress.position > 0) {
        progress.firstUpstream ??= upstream;
    }
}

/** Whether an upstream may send the rest of the answer: it has the model version that began it. */
export function canContinueAt({ firstUpstream }: RequestProgress, upstream: Upstream): boolean {
    return firstUpstream === undefined || upstream.model === firstUpstream.model;
}

/** Returns the one that allows fewer retries. */
export function combineRan(a: Ran, b: Ran): Ran {
    const increasing: readonly Ran[] = ["no", "unknown", "yes"];
    return increasing.indexOf(a) >= increasing.indexOf(b) ? a : b;
}

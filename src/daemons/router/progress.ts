/** How far a request has come over its runs, and what the next run of it looks like. */
import type { Upstream } from "../../domain/configView.js";
import type { Reservation } from "../../domain/grantStore.js";
import { createRandomId } from "../../domain/identifiers.js";
import type { Ran, Refusal } from "../../domain/resultCodes.js";
import type { AnswerPiece, RunEnd, StartRunParams } from "../../protocol/runMethods.js";
import type { Job } from "./job.js";

/** How one run ended, as far as the router knows. */
export type RunOutcome =
    | { readonly type: "whole"; readonly end: RunEnd; }
    | { readonly type: "failed"; readonly refusal: Refusal; };

/** What the caller of a request has been sent so far, over all runs. */
export interface Progress {
    position: number;
    text: string;
    /** Output tokens told by runs that ended early. */
    outputTokens: number;
    /** Whether the answer can be continued by another run from its text alone. */
    resumable: boolean;
    /** What is known of whether anything ran. */
    ran: Ran;
    promptTokens: number | undefined;
}

export function createProgress(ran: Ran): Progress {
    return { position: 0, text: "", outputTokens: 0, resumable: true, ran, promptTokens: undefined };
}

export function createOutcome(end: RunEnd): RunOutcome & { end: RunEnd; } {
    return end.refusal === undefined ? { type: "whole", end } : { type: "failed", refusal: end.refusal, end };
}

/** Bounds of the next run: what the caller has had already moves from the output to the prompt. */
export function getBounds(job: Job, progress: Progress): { promptBound: number; outputCap: number; } {
    return {
        promptBound: job.promptBound + Buffer.byteLength(progress.text),
        outputCap: Math.max(1, job.outputCap - progress.outputTokens),
    };
}

export function createRunParams(
    job: Job,
    progress: Progress,
    upstream: Upstream,
    reservation: Reservation,
    uncertain: boolean,
    leftMs: number,
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
        ...getBounds(job, progress),
        ...job.ranking,
        deadlineMs: Math.max(0, leftMs),
        uncertain,
        keep: job.keyed || !job.repeatable,
        cancelWhenLost: !job.keyed && job.repeatable,
        request,
    };
}

export function getResumeFrom(params: Omit<StartRunParams, "listener">): number {
    return params.request.type === "chat" ? params.request.resumeFrom : 0;
}

export function addToProgress(progress: Progress, pieces: readonly AnswerPiece[]): void {
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

export function getWorse(a: Ran, b: Ran): Ran {
    const order: readonly Ran[] = ["no", "unknown", "yes"];
    return order.indexOf(a) >= order.indexOf(b) ? a : b;
}

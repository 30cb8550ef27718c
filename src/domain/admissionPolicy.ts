/**
 * Decides before a request is sent whether its upstreams can still serve it in time. A request that they cannot serve is
 * refused at once, with the time until enough of the backlog is processed, instead of occupying an upstream until its deadline.
 *
 * The estimates may be wrong, so a request is refused only if they exceed its remaining time by a margin. Answers that began
 * when they were expected to confirm the estimates, and the margin shrinks: with a fixed margin above 1, a lasting overload
 * would keep the backlog at that margin, and every admitted request would miss its deadline.
 */
import * as z from "zod";
import type { ServiceOutlook } from "./upstreamSelection.js";

/** The settings section `admission`. */
export const admissionSchema = z.object({
    /** A request is refused if its first token is expected after this multiple of its remaining time. */
    firstTokenMargin: z.number().min(1).max(10),
    /** The same for the end of the whole answer. */
    wholeAnswerMargin: z.number().min(1).max(10),
    /** Bounds of Retry-After, in milliseconds. */
    minRetryAfterMs: z.number().min(10).max(10_000),
    maxRetryAfterMs: z.number().min(100).max(60_000),
}).refine(({ minRetryAfterMs, maxRetryAfterMs }) => minRetryAfterMs <= maxRetryAfterMs, {
    path: ["minRetryAfterMs"],
    message: "must not exceed maxRetryAfterMs",
});
export type AdmissionOptions = z.infer<typeof admissionSchema>;

/** Part of the Retry-After that is added at random at most, so that retries are spread out. */
const RETRY_SPREAD_FRACTION = 0.5;
/** Part of the latency goal that a request may wait before its prompt is processed, without a shortage. */
export const SHORTAGE_GOAL_FRACTION = 0.5;
/**
 * Multiple of the remaining time at which confirmed estimates lead to a refusal. The rest is for what they leave out: the way to
 * the caller, and streams that slow down because others begin.
 */
const CONFIRMED_MARGIN = 0.8;
/** Shorter expected waits do not confirm anything: network latency and event loop lag dominate. Milliseconds. */
const MIN_SAMPLE_MS = 100;
/** Weight of one answer in the accuracy of the estimates; the first answers weigh more, as in a mean. */
const MIN_SMOOTHING_FACTOR = 0.2;
/** Mean relative earliness above which estimates are not confirmed at all. */
const MAX_CONFIRMED_EARLINESS = 0.5;
/** A sample counts as at most this multiple of its estimate, so that one stall does not outweigh many answers. */
const MAX_SAMPLE_RATIO = 2;

/** Whether upstreams are short: even the best one lets a request wait for more than half of its latency goal. */
export function isShort(outlook: ServiceOutlook | undefined, goalMs: number): boolean {
    return outlook !== undefined && outlook.isRecent && !outlook.hasIdle && goalMs > 0
        && outlook.queueWaitMs > goalMs * SHORTAGE_GOAL_FRACTION;
}

export class AdmissionPolicy {
    /** Mean ratio of actual to expected time of the first token. */
    private ratio = 1;
    /** Mean of how much lower the ratio of single answers is. Later ones are no reason to admit more. */
    private earliness = 1;
    private sampleCount = 0;
    private refusals = 0;

    constructor(private readonly options: AdmissionOptions, private readonly random: () => number) {}

    /** Returns the Retry-After in milliseconds if a request with this remaining time has to be refused. */
    tryGetRetryAfterMs(outlook: ServiceOutlook | undefined, remainingMs: number): number | undefined {
        if (outlook === undefined || outlook.hasIdle || !outlook.isRecent) {
            return undefined;
        }
        const correction = this.getCorrection();
        const firstTokenMs = outlook.firstTokenMs * correction;
        const endMs = outlook.endMs * correction;
        const firstTokenMargin = this.getMargin(this.options.firstTokenMargin);
        const wholeAnswerMargin = this.getMargin(this.options.wholeAnswerMargin);
        if (firstTokenMs <= remainingMs * firstTokenMargin && endMs <= remainingMs * wholeAnswerMargin) {
            return undefined;
        }
        this.refusals += 1;
        // A retry should find the end within its time, not only within the margin.
        return this.drawRetryAfterMs(endMs - remainingMs * Math.min(1, wholeAnswerMargin));
    }

    /** Records when an admitted request had its first token, in milliseconds after it was sent. */
    recordFirstToken(expectedMs: number, actualMs: number): void {
        if (expectedMs < MIN_SAMPLE_MS) {
            return;
        }
        const sample = Math.min(MAX_SAMPLE_RATIO, actualMs / expectedMs);
        this.sampleCount += 1;
        // The initial values count as one sample.
        const smoothingFactor = Math.max(MIN_SMOOTHING_FACTOR, 1 / (this.sampleCount + 1));
        this.earliness += (Math.max(0, this.ratio - sample) - this.earliness) * smoothingFactor;
        this.ratio += (sample - this.ratio) * smoothingFactor;
    }

    /** Number of refused requests since the process started. */
    get refusalCount(): number {
        return this.refusals;
    }

    /** How well answers have confirmed the estimates, from 0 to 1. */
    getConfidence(): number {
        return Math.max(0, 1 - this.earliness / MAX_CONFIRMED_EARLINESS);
    }

    /** Factor by which the estimates are corrected. */
    private getCorrection(): number {
        return 1 + (this.ratio - 1) * this.getConfidence();
    }

    private getMargin(unconfirmedMargin: number): number {
        return unconfirmedMargin + (CONFIRMED_MARGIN - unconfirmedMargin) * this.getConfidence();
    }

    /**
     * Draws a Retry-After in milliseconds. `waitMs`: time until the backlog has fallen enough. The base is bounded first, so that
     * long waits are spread out too.
     */
    drawRetryAfterMs(waitMs: number): number {
        const { minRetryAfterMs, maxRetryAfterMs } = this.options;
        const maxBaseMs = maxRetryAfterMs / (1 + RETRY_SPREAD_FRACTION);
        const baseMs = Math.max(Math.min(minRetryAfterMs, maxBaseMs), Math.min(maxBaseMs, waitMs));
        const retryAfterMs = Math.round(baseMs * (1 + RETRY_SPREAD_FRACTION * this.random()));
        return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, retryAfterMs));
    }
}

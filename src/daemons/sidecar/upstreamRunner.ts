/** Admits the runs of one upstream, queues them by rank, executes them, and records their usage. */
import { createUsageRecord, type UsageRecord } from "../../domain/billStore.js";
import type { RankRule, Upstream } from "../../domain/configView.js";
import { type QueueEntry, RankQueue } from "../../domain/rankQueue.js";
import { createRefusal, getRefusal, type Refusal, RefusalError } from "../../domain/resultCodes.js";
import { UpstreamBackoffs } from "../../domain/upstreamBackoffs.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import type { RetryAfterNotice, UpstreamClient } from "../../ports/upstream.js";
import type { SidecarLoad, StartRunParams } from "../../protocol/runMethods.js";
import type { Run } from "./run.js";

/** Maximum estimated wait of a run that is queued. */
const MAX_WAIT_MS = 60_000;
const MAX_QUEUE_LENGTH = 2_000;
/** Minimum retry-after for a run rejected for its deadline: the time of one or two runs. */
const MIN_RETRY_AFTER_MS = 100;
/** How long the slowest listener may acknowledge nothing before its run is cancelled. */
const LISTENER_STALL_MS = 30_000;

interface QueuedRun extends QueueEntry {
    readonly run: Run;
    readonly start: () => void;
    readonly refuse: (refusal: Refusal) => void;
}

export class UpstreamRunner {
    private readonly queue: RankQueue<QueuedRun>;
    private closeRefusal: Refusal | undefined;
    private readonly backoffs = new UpstreamBackoffs();

    constructor(
        private upstream: Upstream,
        readonly client: UpstreamClient,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly metrics: Metrics,
        private readonly recordUsage: (record: UsageRecord) => void,
    ) {
        this.queue = new RankQueue(upstream.slots);
        client.onRetryAfter(rest => this.handleBackoffRequest(rest));
    }

    /** Applies a changed configuration of the upstream. */
    setUpstream(upstream: Upstream, rules: readonly RankRule[]): void {
        this.upstream = upstream;
        const keptShares = new Map<number, number>();
        rules.forEach(rule => keptShares.set(rule.rank, Math.max(rule.keptShare, keptShares.get(rule.rank) ?? 0)));
        this.queue.setSlots(upstream.slots, keptShares);
        this.startQueued();
    }

    /** Rejects new runs from now on, and the queued ones with `refusal`. */
    close(refusal: Refusal): void {
        this.closeRefusal = refusal;
        this.queue.removeAll().forEach(entry => entry.refuse(refusal));
    }

    open(): void {
        this.closeRefusal = undefined;
    }

    isIdle(): boolean {
        return this.queue.getRunningCount() === 0 && this.queue.getWaitingCount() === 0;
    }

    getLoad(params?: StartRunParams): SidecarLoad {
        const now = this.clock.getMonotonicMs();
        const waitMs = params === undefined ? 0 : this.queue.estimateWait(params.rank, params.ageingMs, now);
        return {
            running: this.queue.getRunningCount(),
            queued: this.queue.getWaitingCount(),
            waitMs: Math.round(waitMs),
        };
    }

    /** Rejects a run that cannot be queued or would miss its deadline. */
    checkAdmission(params: StartRunParams): void {
        if (this.closeRefusal !== undefined) {
            throw new RefusalError(this.closeRefusal);
        }
        const backoffMs = this.getRemainingBackoffMs();
        if (backoffMs > 0) {
            throw new RefusalError(createBackoffRefusal(backoffMs));
        }
        const waitMs = this.getLoad(params).waitMs;
        const { rank, ageingMs, deadlineMs } = params;
        if (!this.queue.canFinishWithin(deadlineMs, rank, ageingMs, this.clock.getMonotonicMs())) {
            const retryAfterMs = Math.max(0, waitMs - deadlineMs) + MIN_RETRY_AFTER_MS;
            throw new RefusalError(
                createRefusal("deadlineTooClose", `estimated wait ${waitMs} ms`, "no", retryAfterMs),
            );
        }
        if (waitMs > MAX_WAIT_MS || this.queue.getWaitingCount() >= MAX_QUEUE_LENGTH) {
            throw new RefusalError(
                createRefusal(
                    "queueFull",
                    `${this.queue.getWaitingCount()} runs queued`,
                    "no",
                    Math.max(1000, waitMs / 2),
                ),
            );
        }
    }

    /** Applies a requested backoff. Rejects queued runs, so that the router can send them to another upstream. */
    private handleBackoffRequest({ retryAfterMs, headerValue }: RetryAfterNotice): void {
        const { name } = this.upstream;
        if (retryAfterMs === undefined) {
            this.log.warn("upstream_signal_unreadable", { upstream: name, said: headerValue });
            return;
        }
        this.metrics.addCount("sidecar.upstream_rests");
        this.log.info("upstream_rest", { upstream: name, rest_ms: retryAfterMs });
        this.backoffs.record({ id: name }, retryAfterMs, this.clock.getMonotonicMs());
        const backoffMs = this.getRemainingBackoffMs();
        if (backoffMs > 0) {
            const refusal = createBackoffRefusal(backoffMs);
            this.queue.removeAll().forEach(entry => entry.refuse(refusal));
        }
    }

    /** Returns the remaining backoff of the upstream in milliseconds; 0 if none is in effect. */
    private getRemainingBackoffMs(): number {
        return Math.max(0, this.backoffs.getUntil({ id: this.upstream.name }) - this.clock.getMonotonicMs());
    }

    /** Queues and executes a run, and records its usage. Never rejects: a failure is reported as the end of the run. */
    async execute(run: Run): Promise<void> {
        let refusal: Refusal | undefined;
        let startedAt: number | undefined;
        try {
            await this.waitForSlot(run);
            startedAt = this.clock.getMonotonicMs();
            await this.readAnswer(run);
        }
        catch (error) {
            refusal = this.getFinalRefusal(run, getRefusal(error), startedAt);
        }
        const now = this.clock.getMonotonicMs();
        if (startedAt !== undefined) {
            this.queue.recordEnd(run.params.rank, now - startedAt, refusal === undefined);
        }
        const consumed = getConsumed(run, refusal);
        if (consumed.promptTokens + consumed.outputTokens > 0) {
            this.recordUsage(createUsageRecord(run.params, consumed, this.clock.getWallMs()));
        }
        run.finish(consumed, (startedAt ?? now) - run.enqueuedAt, now, refusal);
        this.metrics.recordTiming("sidecar.wait_ms", (startedAt ?? now) - run.enqueuedAt);
        this.metrics.addCount(refusal === undefined ? "sidecar.runs_whole" : "sidecar.runs_refused");
        this.startQueued();
    }

    private async waitForSlot(run: Run): Promise<void> {
        const { params } = run;
        await new Promise<void>((resolve, reject) => {
            const refuse = (refusal: Refusal): void => {
                clearTimeout(timer);
                this.queue.remove(entry);
                reject(new RefusalError(refusal));
            };
            const entry: QueuedRun = {
                run,
                rank: params.rank,
                ageingMs: params.ageingMs,
                enqueuedAt: run.enqueuedAt,
                refuse,
                start: () => {
                    clearTimeout(timer);
                    resolve();
                },
            };
            const timer = setTimeout(
                () => refuse(createRefusal("deadlineTooClose", "the deadline passed in the queue", "no", 1000)),
                params.deadlineMs,
            );
            run.abort.signal.addEventListener(
                "abort",
                () => refuse(createRefusal("runCancelled", "cancelled while queued", "no")),
            );
            this.queue.add(entry);
            this.startQueued();
        });
    }

    private startQueued(): void {
        for (;;) {
            const next = this.queue.tryStartNext(this.clock.getMonotonicMs());
            if (next === undefined) {
                return;
            }
            next.start();
        }
    }

    private async readAnswer(run: Run): Promise<void> {
        const { params } = run;
        const { request } = params;
        const stream = request.type === "chat"
            ? this.client.runChat(request, params.requestId, params.outputCap, params.rank, run.abort.signal)
            : this.client.runPlain(request, params.requestId, run.abort.signal);
        for await (const event of stream) {
            run.addEvent(event);
            if (request.type === "chat" && run.getOutputTokens() > params.outputCap) {
                throw new RefusalError(createRefusal("upstreamFailed", "the engine exceeded its output cap", "yes"));
            }
            if (!await run.waitForAcks(LISTENER_STALL_MS)) {
                run.cancel(createRefusal("readerTooSlow", undefined, "yes"));
            }
        }
    }

    private getFinalRefusal(run: Run, refusal: Refusal, startedAt: number | undefined): Refusal {
        if (startedAt === undefined) {
            return refusal;
        }
        return run.cancelReason ?? refusal;
    }
}

function createBackoffRefusal(backoffMs: number): Refusal {
    return createRefusal("queueFull", "the upstream requested a backoff", "no", backoffMs);
}

/**
 * Returns the tokens a run consumed, at most those reserved for it. The whole prompt counts if the engine may have started
 * but reported no count.
 */
function getConsumed(run: Run, refusal: Refusal | undefined): { promptTokens: number; outputTokens: number; } {
    const { promptBound, outputCap, request } = run.params;
    if (refusal?.ran === "no") {
        return { promptTokens: 0, outputTokens: 0 };
    }
    if (request.type === "plain") {
        // A plain call is billed only if it was answered.
        return { promptTokens: refusal === undefined || refusal.ran === "yes" ? promptBound : 0, outputTokens: 0 };
    }
    return {
        promptTokens: Math.min(promptBound, run.tryGetPromptTokens() ?? promptBound),
        outputTokens: Math.min(outputCap, run.getOutputTokens()),
    };
}

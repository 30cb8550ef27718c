/** The runs of one upstream: takes them in, queues them by rank, runs them, and writes their usage records. */
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

/** Longest estimated wait for which a run is queued, in milliseconds. */
const MAX_WAIT_MS = 60_000;
const MAX_QUEUE_LENGTH = 2_000;
/** Least time after which a caller that was refused for its deadline should come back, in milliseconds: a run or two. */
const SHORTEST_RETRY_MS = 100;
/** How long a listener may read nothing before its run is given up. */
const LISTENER_STALL_MS = 30_000;

interface WaitingRun extends QueueEntry {
    readonly run: Run;
    readonly start: () => void;
    readonly refuse: (refusal: Refusal) => void;
}

export class UpstreamRunner {
    private readonly queue: RankQueue<WaitingRun>;
    private closedBy: Refusal | undefined;
    private readonly rests = new UpstreamBackoffs();

    constructor(
        private upstream: Upstream,
        readonly client: UpstreamClient,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly metrics: Metrics,
        private readonly recordUsage: (record: UsageRecord) => void,
    ) {
        this.queue = new RankQueue(upstream.slots);
        client.onRetryAfter(rest => this.receiveRest(rest));
    }

    /** Takes a changed declaration over. */
    setUpstream(upstream: Upstream, rules: readonly RankRule[]): void {
        this.upstream = upstream;
        const keptShares = new Map<number, number>();
        rules.forEach(rule => keptShares.set(rule.rank, Math.max(rule.keptShare, keptShares.get(rule.rank) ?? 0)));
        this.queue.setSlots(upstream.slots, keptShares);
        this.startWaiting();
    }

    /** Takes no new runs from now on, and gives those that only wait back. */
    close(refusal: Refusal): void {
        this.closedBy = refusal;
        this.queue.removeAll().forEach(entry => entry.refuse(refusal));
    }

    open(): void {
        this.closedBy = undefined;
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

    /** Refuses at once what would come too late or cannot be queued. */
    check(params: StartRunParams): void {
        if (this.closedBy !== undefined) {
            throw new RefusalError(this.closedBy);
        }
        const restMs = this.getRestMs();
        if (restMs > 0) {
            throw new RefusalError(createRestRefusal(restMs));
        }
        const waitMs = this.getLoad(params).waitMs;
        const { rank, ageingMs, deadlineMs } = params;
        if (!this.queue.canFinishWithin(deadlineMs, rank, ageingMs, this.clock.getMonotonicMs())) {
            const backAfterMs = Math.max(0, waitMs - deadlineMs) + SHORTEST_RETRY_MS;
            throw new RefusalError(
                createRefusal("deadlineTooClose", `estimated wait ${waitMs} ms`, "no", backAfterMs),
            );
        }
        if (waitMs > MAX_WAIT_MS || this.queue.getWaitingCount() >= MAX_QUEUE_LENGTH) {
            throw new RefusalError(
                createRefusal("queueFull", `${this.queue.getWaitingCount()} waiting`, "no", Math.max(1000, waitMs / 2)),
            );
        }
    }

    /** Gives what only waits back: another upstream of the service may take it before the rest is over. */
    private receiveRest({ retryAfterMs, headerValue }: RetryAfterNotice): void {
        const { name } = this.upstream;
        if (retryAfterMs === undefined) {
            this.log.warn("upstream_signal_unreadable", { upstream: name, said: headerValue });
            return;
        }
        this.metrics.addCount("sidecar.upstream_rests");
        this.log.info("upstream_rest", { upstream: name, rest_ms: retryAfterMs });
        this.rests.record({ id: name }, retryAfterMs, this.clock.getMonotonicMs());
        const keptMs = this.getRestMs();
        if (keptMs > 0) {
            const refusal = createRestRefusal(keptMs);
            this.queue.removeAll().forEach(entry => entry.refuse(refusal));
        }
    }

    /** How much longer the upstream wants nothing, in milliseconds; 0 where it has not asked for that. */
    private getRestMs(): number {
        return Math.max(0, this.rests.getUntil({ id: this.upstream.name }) - this.clock.getMonotonicMs());
    }

    /** Runs one run from the queue to its usage record. Never rejects: however it ends, the run says so. */
    async execute(run: Run): Promise<void> {
        let refusal: Refusal | undefined;
        let startedAt: number | undefined;
        try {
            await this.waitForSlot(run);
            startedAt = this.clock.getMonotonicMs();
            await this.readAnswer(run);
        }
        catch (error) {
            refusal = this.getEndRefusal(run, getRefusal(error), startedAt);
        }
        const now = this.clock.getMonotonicMs();
        if (startedAt !== undefined) {
            this.queue.recordEnd(run.params.rank, now - startedAt);
        }
        const consumed = getConsumed(run, refusal);
        if (consumed.promptTokens + consumed.outputTokens > 0) {
            this.recordUsage(createUsageRecord(run.params, consumed, this.clock.getWallMs()));
        }
        run.finish(consumed, (startedAt ?? now) - run.enqueuedAt, now, refusal);
        this.metrics.recordTiming("sidecar.wait_ms", (startedAt ?? now) - run.enqueuedAt);
        this.metrics.addCount(refusal === undefined ? "sidecar.runs_whole" : "sidecar.runs_refused");
        this.startWaiting();
    }

    private async waitForSlot(run: Run): Promise<void> {
        const { params } = run;
        await new Promise<void>((resolve, reject) => {
            const refuse = (refusal: Refusal): void => {
                clearTimeout(timer);
                this.queue.remove(entry);
                reject(new RefusalError(refusal));
            };
            const entry: WaitingRun = {
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
                () => refuse(createRefusal("deadlineTooClose", "waited in the queue", "no", 1000)),
                params.deadlineMs,
            );
            run.abort.signal.addEventListener(
                "abort",
                () => refuse(createRefusal("runCancelled", "while it waited", "no")),
            );
            this.queue.add(entry);
            this.startWaiting();
        });
    }

    private startWaiting(): void {
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
                throw new RefusalError(createRefusal("upstreamFailed", "the engine went past its output cap", "yes"));
            }
            if (!await run.waitReadable(LISTENER_STALL_MS)) {
                run.cancel(createRefusal("readerTooSlow", undefined, "yes"));
            }
        }
    }

    private getEndRefusal(run: Run, refusal: Refusal, startedAt: number | undefined): Refusal {
        if (startedAt === undefined) {
            return refusal;
        }
        return run.cancelledBy ?? refusal;
    }
}

function createRestRefusal(restMs: number): Refusal {
    return createRefusal("queueFull", "the upstream asked for rest", "no", restMs);
}

/**
 * What a run consumed, in tokens, never more than was reserved for it. Where the engine may have begun without saying
 * anything, its whole prompt counts.
 */
function getConsumed(run: Run, refusal: Refusal | undefined): { promptTokens: number; outputTokens: number; } {
    const { promptBound, outputCap, request } = run.params;
    if (refusal?.ran === "no") {
        return { promptTokens: 0, outputTokens: 0 };
    }
    if (request.type === "plain") {
        // A plain call is paid for when it was answered.
        return { promptTokens: refusal === undefined || refusal.ran === "yes" ? promptBound : 0, outputTokens: 0 };
    }
    return {
        promptTokens: Math.min(promptBound, run.tryGetPromptTokens() ?? promptBound),
        outputTokens: Math.min(outputCap, run.getOutputTokens()),
    };
}

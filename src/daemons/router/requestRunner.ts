/**
 * Takes one request from its reservation to its whole answer, over as many runs as that needs. Written straight down:
 * claim, intent, reservation, run, settling; then the next attempt, or the final refusal at once.
 */
import type { ConfigView, Upstream } from "../../domain/configView.js";
import type { Reservation } from "../../domain/grantStore.js";
import { createRefusal, getRefusal, type Refusal, RefusalError } from "../../domain/resultCodes.js";
import { RetryBudget } from "../../domain/retryBudget.js";
import type { UpstreamChooser } from "../../domain/upstreamChooser.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import type { RunEnd, StartRunParams } from "../../protocol/runMethods.js";
import type { ControllerAddress } from "../controllerAddress.js";
import type { ClaimClient } from "./claimClient.js";
import type { IntentClient } from "./intentClient.js";
import type { AnswerSink, Job } from "./job.js";
import type { LedgerClient } from "./ledgerClient.js";
import {
    addToProgress,
    createOutcome,
    createProgress,
    createRunParams,
    getBounds,
    getResumeFrom,
    getWorse,
    type Progress,
    type RunOutcome,
} from "./progress.js";
import type { RunClient, RunStream } from "./runClient.js";
import type { UsageWitness } from "./usageWitness.js";

/** Most attempts of one request at upstreams that could be reached, the first included. */
const MAX_ATTEMPTS = 6;
/** Attempts to join a run again whose connection was lost, and the pause between them in milliseconds. */
const REATTACH_ATTEMPTS = 4;
const REATTACH_PAUSE_MS = 150;
/** How long another router's run is waited for at its sidecar before the index is asked again, and how often in all. */
const JOIN_PATIENCE_MS = 250;
const JOIN_PAUSE_MS = 25;
const JOIN_ROUNDS = 10;
const DEADLINE_RETRY_MS = 1_000;

/** The parts a request runner works with. */
export interface RequestRunnerParts {
    readonly view: ConfigView;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly chooser: UpstreamChooser;
    readonly ledgers: LedgerClient;
    readonly runs: RunClient;
    readonly claims: ClaimClient;
    readonly intents: IntentClient;
    readonly witness: UsageWitness;
}

export class RequestRunner {
    private readonly retryBudgets = new Map<string, RetryBudget>();

    constructor(private readonly parts: RequestRunnerParts) {}

    /** Answers one request by its sink: whole, or refused. Never rejects. */
    async run(job: Job, sink: AnswerSink): Promise<void> {
        const startedAt = this.parts.clock.getMonotonicMs();
        const fields = { request: job.requestId, account: job.account, service: job.service };
        try {
            const usage = await this.runToEnd(job, sink);
            sink.end(usage);
            const ms = this.parts.clock.getMonotonicMs() - startedAt;
            this.parts.log.info("request_answered", {
                ...fields,
                ...{ prompt_tokens: usage.promptTokens, output_tokens: usage.outputTokens },
                ms: Math.round(ms),
            });
            this.parts.metrics.addCount("router.requests_answered");
        }
        catch (error) {
            const refusal = getRefusal(error);
            sink.fail(refusal);
            this.parts.log.info("request_refused", {
                ...fields,
                code: refusal.code,
                ran: refusal.ran,
                detail: refusal.detail,
            });
            this.parts.metrics.addCount(`router.refused.${refusal.code}`);
        }
    }

    private async runToEnd(job: Job, sink: AnswerSink): Promise<{ promptTokens: number; outputTokens: number; }> {
        if (!job.keyed) {
            return this.runClaimed(job, sink, false);
        }
        for (let round = 0; round < JOIN_ROUNDS; round++) {
            const standing = await this.parts.claims.claim(job, job.deadline);
            if (standing.type === "claimed") {
                return this.runClaimed(job, sink, standing.uncertain);
            }
            // The other router says where the run will be before it sends it there, so it may not have arrived yet.
            const joined = await this.tryJoin(job, sink, standing.sidecar);
            if (joined !== undefined) {
                return joined;
            }
        }
        if (!job.repeatable) {
            throw new RefusalError(createRefusal("outcomeUnknown", "an earlier attempt may have run", "unknown", 1000));
        }
        return this.runClaimed(job, sink, true);
    }

    /** Joins a run that another router began. Undefined where its sidecar or its answer is gone. */
    private async tryJoin(
        job: Job,
        sink: AnswerSink,
        sidecar: string,
    ): Promise<{ promptTokens: number; outputTokens: number; } | undefined> {
        const progress = createProgress("unknown");
        const outcome = await this.reattach(job, sink, sidecar, progress, JOIN_PATIENCE_MS);
        if (outcome === undefined) {
            return undefined;
        }
        if (outcome.type === "failed") {
            if (job.repeatable && !sink.hasBegun()) {
                return undefined;
            }
            throw new RefusalError(outcome.refusal);
        }
        return outcome.end;
    }

    /** Runs a request that is this router's to run. */
    private async runClaimed(
        job: Job,
        sink: AnswerSink,
        uncertain: boolean,
    ): Promise<{ promptTokens: number; outputTokens: number; }> {
        const progress = createProgress(uncertain ? "unknown" : "no");
        let home: ControllerAddress | undefined;
        try {
            // Reserved first, so that a request without budget leaves no intent behind.
            const reservation = await this.reserve(job, progress);
            if (!job.repeatable) {
                home = await this.intend(job, reservation);
            }
            return await this.runAttempts(job, sink, progress, reservation, uncertain);
        }
        catch (error) {
            const refusal = getRefusal(error);
            const ran = progress.ran === "no" ? refusal.ran : progress.ran;
            if (ran === "no") {
                await this.giveUp(job, home);
            }
            throw new RefusalError({ ...refusal, ran });
        }
    }

    private async intend(job: Job, reservation: Reservation): Promise<ControllerAddress> {
        try {
            return await this.parts.intents.intend(job, job.keyed);
        }
        catch (error) {
            reservation.settle(0);
            throw error;
        }
    }

    /** Nothing ran and nothing will: takes intent and claim back, so that a retry may run. */
    private async giveUp(job: Job, home: ControllerAddress | undefined): Promise<void> {
        if (home !== undefined) {
            await this.parts.intents.withdraw(job, home);
        }
        if (job.keyed) {
            await this.parts.claims.unclaim(job);
        }
    }

    private async runAttempts(
        job: Job,
        sink: AnswerSink,
        progress: Progress,
        first: Reservation,
        uncertain: boolean,
    ): Promise<{ promptTokens: number; outputTokens: number; }> {
        const tried = new Set<string>();
        let reservation: Reservation | undefined = first;
        let last: Refusal | undefined;
        this.getRetryBudget(job.service).recordRequest();
        for (let attempt = 0; attempt < MAX_ATTEMPTS;) {
            const upstream = this.tryChoose(job, tried, last);
            if (upstream === undefined) {
                reservation?.settle(0);
                throw new RefusalError(last ?? createRefusal("noUpstream", job.service, "no", 1000));
            }
            reservation ??= await this.reserve(job, progress);
            const outcome: RunOutcome = await this.runOnce(
                job,
                sink,
                progress,
                upstream,
                reservation,
                uncertain || progress.ran !== "no",
            );
            reservation = undefined;
            if (outcome.type === "whole") {
                this.parts.chooser.recordPrompt(upstream.name, job.prompt);
                return {
                    promptTokens: progress.promptTokens ?? outcome.end.promptTokens,
                    outputTokens: progress.outputTokens + outcome.end.outputTokens,
                };
            }
            last = outcome.refusal;
            // One that could not even be reached costs nothing, and is not tried twice.
            attempt += last.code === "peerGone" && last.ran === "no" ? 0 : 1;
            tried.add(upstream.name);
            this.checkMayRetry(job, sink, progress, last);
        }
        throw new RefusalError(last ?? createRefusal("noUpstream", job.service, "no", 1000));
    }

    /** Throws the final refusal where another attempt is not allowed or would not help. */
    private checkMayRetry(job: Job, sink: AnswerSink, progress: Progress, refusal: Refusal): void {
        const ranBefore = progress.ran;
        progress.ran = getWorse(ranBefore, refusal.ran);
        const isFinal = refusal.code === "upstreamRefused"
            || refusal.code === "runCancelled"
            || refusal.code === "deadlinePassed"
            || refusal.code === "requestIdReused"
            || refusal.code === "readerTooSlow";
        const now = this.parts.clock.getMonotonicMs();
        const mayRunAgain = refusal.ran === "no" || (job.repeatable && (progress.resumable || !sink.hasBegun()));
        if (isFinal || sink.isGone() || now >= job.deadline || !mayRunAgain) {
            throw new RefusalError(
                refusal.ran === "unknown" && !job.repeatable ? { ...refusal, code: "outcomeUnknown" } : refusal,
            );
        }
        const feedsOverload = refusal.code === "queueFull" || refusal.code === "deadlineTooClose"
            || refusal.ran !== "no";
        if (feedsOverload && !this.getRetryBudget(job.service).trySpend()) {
            throw new RefusalError(refusal);
        }
        this.parts.metrics.addCount("router.retries");
    }

    private tryChoose(job: Job, tried: Set<string>, last: Refusal | undefined): Upstream | undefined {
        const now = this.parts.clock.getMonotonicMs();
        const { view } = this.parts;
        const open = view.getUpstreams(job.service).filter(upstream => view.isInService(upstream));
        const untried = open.filter(upstream => !tried.has(upstream.name));
        if (untried.length > 0) {
            return this.parts.chooser.tryChoose(untried, job.prompt, now);
        }
        if (last?.ran === "no") {
            return undefined;
        }
        // All have been tried: one that broke off before may be better now. Attempts and retry budget bound it.
        tried.clear();
        return this.parts.chooser.tryChoose(open, job.prompt, now);
    }

    private reserve(job: Job, progress: Progress): Promise<Reservation> {
        const bounds = getBounds(job, progress);
        return this.parts.ledgers.reserve(job.budget, bounds.promptBound + bounds.outputCap);
    }

    /** One run at one upstream; its reservation is settled or held when this resolves. */
    private async runOnce(
        job: Job,
        sink: AnswerSink,
        progress: Progress,
        upstream: Upstream,
        reservation: Reservation,
        uncertain: boolean,
    ): Promise<RunOutcome> {
        const { chooser, clock } = this.parts;
        const load = chooser.getLoad(upstream.name);
        const params = createRunParams(
            job,
            progress,
            upstream,
            reservation,
            uncertain,
            job.deadline - clock.getMonotonicMs(),
        );
        load.inFlight += 1;
        try {
            if (job.keyed) {
                await this.parts.claims.place(job, upstream.sidecar);
            }
            const started = await this.parts.runs.start(upstream.sidecar, params, () => this.checkUsable(reservation));
            chooser.recordLoad(upstream.name, started.load.waitMs, clock.getMonotonicMs());
            return await this.readRun(job, sink, progress, started.stream, upstream, reservation, params);
        }
        catch (error) {
            const refusal = getRefusal(error);
            this.handleFailedStart(upstream, refusal);
            if (refusal.ran === "no") {
                reservation.settle(0);
                return { type: "failed", refusal };
            }
            return this.recoverStart(job, sink, progress, upstream, reservation, params, refusal);
        }
        finally {
            load.inFlight -= 1;
        }
    }

    private checkUsable(reservation: Reservation): void {
        if (!reservation.isUsable(this.parts.clock.getMonotonicMs())) {
            throw new RefusalError(createRefusal("grantClosed", "the grant expired before the run was sent"));
        }
    }

    private handleFailedStart(upstream: Upstream, refusal: Refusal): void {
        const { chooser, clock } = this.parts;
        if (refusal.code === "peerGone" || refusal.code === "peerTimeout" || refusal.code === "draining") {
            chooser.startBackoff(upstream.name, clock.getMonotonicMs());
        }
        else if (refusal.code === "queueFull" || refusal.code === "deadlineTooClose") {
            chooser.recordLoad(upstream.name, refusal.retryAfterMs ?? 1000, clock.getMonotonicMs());
        }
    }

    /** It is not known whether the sidecar took the run in: looks for it there, before anything else is tried. */
    private async recoverStart(
        job: Job,
        sink: AnswerSink,
        progress: Progress,
        upstream: Upstream,
        reservation: Reservation,
        params: Omit<StartRunParams, "listener">,
        refusal: Refusal,
    ): Promise<RunOutcome> {
        const outcome = await this.reattach(job, sink, upstream.sidecar, progress);
        if (outcome !== undefined) {
            this.settle(outcome, progress, reservation, params);
            return outcome;
        }
        reservation.settlePartially(0);
        return { type: "failed", refusal: { ...refusal, ran: "unknown" } };
    }

    /** Reads a run to its end; joins it again when the connection is lost. */
    private async readRun(
        job: Job,
        sink: AnswerSink,
        progress: Progress,
        stream: RunStream,
        upstream: Upstream,
        reservation: Reservation,
        params: Omit<StartRunParams, "listener">,
    ): Promise<RunOutcome> {
        try {
            const end = await this.readStream(job, sink, progress, stream, reservation);
            const outcome = createOutcome(this.markDeadline(job, end));
            this.settle(outcome, progress, reservation, params);
            return outcome;
        }
        catch (error) {
            const refusal = getRefusal(error);
            this.parts.chooser.startBackoff(upstream.name, this.parts.clock.getMonotonicMs());
            const outcome = await this.reattach(job, sink, upstream.sidecar, progress);
            if (outcome !== undefined) {
                this.settle(outcome, progress, reservation, params);
                return outcome;
            }
            const relayed = progress.position - getResumeFrom(params);
            this.parts.witness.record(params, progress.promptTokens ?? 0, relayed);
            reservation.settlePartially((progress.promptTokens ?? 0) + relayed);
            progress.outputTokens += relayed;
            return { type: "failed", refusal: { ...refusal, ran: "unknown" } };
        }
    }

    /** A run that was cancelled because its deadline passed says so, and when to come back. */
    private markDeadline(job: Job, end: RunEnd): RunEnd {
        const isLate = this.parts.clock.getMonotonicMs() >= job.deadline;
        if (end.refusal?.code !== "runCancelled" || !isLate) {
            return end;
        }
        return { ...end, refusal: createRefusal("deadlinePassed", undefined, end.refusal.ran, DEADLINE_RETRY_MS) };
    }

    private settle(
        outcome: RunOutcome,
        progress: Progress,
        reservation: Reservation,
        params: Omit<StartRunParams, "listener">,
    ): void {
        if (outcome.type === "whole") {
            reservation.settle(outcome.end.promptTokens + outcome.end.outputTokens);
            return;
        }
        const end = (outcome as { end?: RunEnd; }).end;
        if (end === undefined) {
            reservation.settlePartially(0);
            return;
        }
        reservation.settle(end.promptTokens + end.outputTokens);
        progress.outputTokens += progress.position - getResumeFrom(params);
    }

    /**
     * Joins a run at its sidecar from what the caller has had. Undefined where that is not possible: then the run may
     * have ended, or go on unseen.
     */
    private async reattach(
        job: Job,
        sink: AnswerSink,
        sidecar: string,
        progress: Progress,
        patienceMs = 0,
    ): Promise<RunOutcome | undefined> {
        const patientUntil = this.parts.clock.getMonotonicMs() + patienceMs;
        for (let attempt = 0; attempt < REATTACH_ATTEMPTS;) {
            try {
                const stream = await this.parts.runs.attach(sidecar, job.requestId, job.digest, progress.position);
                return createOutcome(await this.readStream(job, sink, progress, stream, undefined));
            }
            catch (error) {
                const refusal = getRefusal(error);
                if (refusal.code === "requestIdReused") {
                    throw error;
                }
                const isNotThereYet = refusal.code === "answerNotKept" && refusal.ran === "unknown";
                if (isNotThereYet && this.parts.clock.getMonotonicMs() < patientUntil) {
                    await this.parts.clock.wait(JOIN_PAUSE_MS);
                    continue;
                }
                if (refusal.code !== "peerGone" && refusal.code !== "peerTimeout") {
                    return undefined;
                }
                if (job.repeatable && attempt > 0) {
                    return undefined;
                }
            }
            attempt += 1;
            await this.parts.clock.wait(REATTACH_PAUSE_MS);
        }
        return undefined;
    }

    /** Passes an answer on until its end. Rejects where the connection is lost or the answer has a hole. */
    private async readStream(
        job: Job,
        sink: AnswerSink,
        progress: Progress,
        stream: RunStream,
        reservation: Reservation | undefined,
    ): Promise<RunEnd> {
        const stopWatching = this.watchCaller(job, sink, stream);
        try {
            for (;;) {
                const event = await stream.next();
                if (event.type === "end") {
                    return event.end;
                }
                if (event.promptTokens !== undefined && progress.promptTokens === undefined) {
                    progress.promptTokens = event.promptTokens;
                    reservation?.shrink(event.promptTokens + getBounds(job, progress).outputCap);
                }
                addToProgress(progress, event.pieces);
                await sink.writePieces(event.pieces);
                stream.acknowledge();
            }
        }
        finally {
            stopWatching();
        }
    }

    /** Cancels the run when its deadline passes, or its caller is gone and cannot come back for the answer. */
    private watchCaller(job: Job, sink: AnswerSink, stream: RunStream): () => void {
        const timer = setInterval(() => {
            const late = this.parts.clock.getMonotonicMs() > job.deadline;
            if (late || (sink.isGone() && !job.keyed && job.repeatable)) {
                stream.cancel();
            }
        }, 100);
        return () => clearInterval(timer);
    }

    private getRetryBudget(service: string): RetryBudget {
        let budget = this.retryBudgets.get(service);
        if (budget === undefined) {
            budget = new RetryBudget();
            this.retryBudgets.set(service, budget);
        }
        return budget;
    }
}

/**
 * Processes a request: claim, reservation, intent, run and settlement, with retries until the answer is complete or the
 * refusal is final.
 */
import type { ConfigView, Upstream } from "../../domain/configView.js";
import type { Reservation } from "../../domain/grantStore.js";
import {
    addMissingRetryAfter,
    createRefusal,
    getRefusal,
    type Refusal,
    RefusalError,
} from "../../domain/resultCodes.js";
import { RetryBudget } from "../../domain/retryBudget.js";
import type { UpstreamChooser } from "../../domain/upstreamChooser.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import type { RunEnd, StartRunParams } from "../../protocol/runMethods.js";
import type { ControllerAddress } from "../controllerAddress.js";
import type { ClaimClient } from "./claimClient.js";
import type { IntentClient } from "./intentClient.js";
import { type AnswerSink, checkCallerPresent, type Job } from "./job.js";
import type { LedgerClient } from "./ledgerClient.js";
import {
    canContinueAt,
    combineRan,
    computeTokenBounds,
    createProgress,
    createRunOutcome,
    createRunParams,
    getResumePosition,
    isFinalRefusal,
    recordBrokenRun,
    recordPieces,
    replaceCancellation,
    type RequestProgress,
    type RunOutcome,
    shouldSpendRetryBudget,
} from "./progress.js";
import type { RelayedUsageReporter } from "./relayedUsageReporter.js";
import type { RunClient, RunStream } from "./runClient.js";

/** Including the first attempt. Upstreams that could not be reached are not counted. */
const MAX_ATTEMPTS = 6;
/** Attempts to rejoin a run after its connection was lost. */
const MAX_REATTACH_ATTEMPTS = 4;
const REATTACH_DELAY_MS = 150;
/** How long to poll a sidecar for a run that another router has announced, before the index is queried again. */
const JOIN_TIMEOUT_MS = 250;
const JOIN_POLL_INTERVAL_MS = 25;
const MAX_JOIN_ATTEMPTS = 10;
const RETRY_AFTER_MS = 1_000;

export interface RequestRunnerDependencies {
    readonly view: ConfigView;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly chooser: UpstreamChooser;
    readonly ledgers: LedgerClient;
    readonly runs: RunClient;
    readonly claims: ClaimClient;
    readonly intents: IntentClient;
    readonly relayedUsageReporter: RelayedUsageReporter;
}

export class RequestRunner {
    private readonly retryBudgets = new Map<string, RetryBudget>();

    constructor(private readonly deps: RequestRunnerDependencies) {}

    /** Writes the complete answer or a refusal to the sink. Never rejects. */
    async run(job: Job, sink: AnswerSink): Promise<void> {
        const startedAt = this.deps.clock.getMonotonicMs();
        const fields = { request: job.requestId, account: job.account, service: job.service };
        try {
            const usage = await this.claimAndRun(job, sink);
            sink.end(usage);
            this.deps.log.info("request_answered", {
                ...fields,
                ...{ prompt_tokens: usage.promptTokens, output_tokens: usage.outputTokens },
                ms: Math.round(this.deps.clock.getMonotonicMs() - startedAt),
            });
            this.deps.metrics.addCount("router.requests_answered");
        }
        catch (error) {
            const refusal = addMissingRetryAfter(getRefusal(error), RETRY_AFTER_MS);
            sink.fail(refusal);
            const { code, ran, detail } = refusal;
            this.deps.log.info("request_refused", { ...fields, code, ran, detail });
            this.deps.metrics.addCount(`router.refused.${code}`);
        }
    }

    private async claimAndRun(job: Job, sink: AnswerSink): Promise<{ promptTokens: number; outputTokens: number; }> {
        if (!job.hasIdempotencyKey) {
            return this.runClaimed(job, sink, false);
        }
        for (let attempt = 0; attempt < MAX_JOIN_ATTEMPTS; attempt++) {
            const claim = await this.deps.claims.claim(job, job.deadline);
            if (claim.type === "claimed") {
                return this.runClaimed(job, sink, claim.uncertain);
            }
            // The other router records the dispatch before it sends the run, so the run may not have arrived yet.
            const usage = await this.tryJoin(job, sink, claim.sidecar);
            if (usage !== undefined) {
                return usage;
            }
        }
        if (!job.repeatable) {
            throw new RefusalError(createRefusal("outcomeUnknown", "an earlier attempt may have run", "unknown", 1000));
        }
        return this.runClaimed(job, sink, true);
    }

    /** Joins a run that another router started. Returns undefined if the sidecar or the answer is no longer available. */
    private async tryJoin(
        job: Job,
        sink: AnswerSink,
        sidecar: string,
    ): Promise<{ promptTokens: number; outputTokens: number; } | undefined> {
        const progress = createProgress("unknown");
        const outcome = await this.reattach(job, sink, sidecar, progress, JOIN_TIMEOUT_MS);
        if (outcome === undefined) {
            return undefined;
        }
        if (outcome.type === "failed") {
            if (job.repeatable && !sink.hasStarted()) {
                return undefined;
            }
            throw new RefusalError(outcome.refusal);
        }
        return outcome.end;
    }

    /** Runs a request that this router has claimed, or that has no idempotency key. */
    private async runClaimed(
        job: Job,
        sink: AnswerSink,
        uncertain: boolean,
    ): Promise<{ promptTokens: number; outputTokens: number; }> {
        const progress = createProgress(uncertain ? "unknown" : "no");
        let intentController: ControllerAddress | undefined;
        let mayBeDispatched = false;
        try {
            // Reserve first, so that a request without budget leaves no intent behind.
            const reservation = await this.reserve(job, progress);
            if (!job.repeatable) {
                intentController = await this.storeIntent(job, reservation);
            }
            mayBeDispatched = true;
            return await this.runAttempts(job, sink, progress, reservation, uncertain);
        }
        catch (error) {
            const refusal = getRefusal(error);
            const ran = progress.ran === "no" ? refusal.ran : progress.ran;
            if (ran === "no" || !mayBeDispatched) {
                await this.releaseIntentAndClaim(job, intentController);
            }
            throw new RefusalError({ ...refusal, ran });
        }
    }

    private async storeIntent(job: Job, reservation: Reservation): Promise<ControllerAddress> {
        try {
            return await this.deps.intents.storeIntent(job, job.hasIdempotencyKey, job.deadline);
        }
        catch (error) {
            reservation.settle(0);
            throw error;
        }
    }

    /** Withdraws the intent and releases the claim of an attempt that was not dispatched, so that a retry may run. */
    private async releaseIntentAndClaim(job: Job, intentController: ControllerAddress | undefined): Promise<void> {
        if (intentController !== undefined) {
            await this.deps.intents.withdrawIntent(job, intentController);
        }
        if (job.hasIdempotencyKey) {
            await this.deps.claims.releaseClaim(job);
        }
    }

    private async runAttempts(
        job: Job,
        sink: AnswerSink,
        progress: RequestProgress,
        firstReservation: Reservation,
        uncertain: boolean,
    ): Promise<{ promptTokens: number; outputTokens: number; }> {
        const triedUpstreams = new Set<string>();
        let reservation: Reservation | undefined = firstReservation;
        let lastRefusal: Refusal | undefined;
        this.getRetryBudget(job.service).recordRequest();
        for (let attempt = 0; attempt < MAX_ATTEMPTS;) {
            const upstream = this.tryChooseUpstream(job, progress, triedUpstreams, lastRefusal);
            if (upstream === undefined) {
                reservation?.settle(0);
                throw new RefusalError(lastRefusal ?? createRefusal("noUpstream", job.service, "no", 1000));
            }
            reservation ??= await this.reserve(job, progress);
            const outcome: RunOutcome = await this.runAttempt(
                job,
                sink,
                progress,
                upstream,
                reservation,
                uncertain || progress.ran !== "no",
            );
            reservation = undefined;
            if (outcome.type === "whole") {
                this.deps.chooser.recordPrompt(upstream.name, job.prompt);
                return {
                    promptTokens: progress.promptTokens ?? outcome.end.promptTokens,
                    outputTokens: progress.outputTokens + outcome.end.outputTokens,
                };
            }
            lastRefusal = outcome.refusal;
            recordBrokenRun(progress, upstream);
            // An upstream that could not be reached does not count as an attempt.
            attempt += lastRefusal.code === "peerGone" && lastRefusal.ran === "no" ? 0 : 1;
            triedUpstreams.add(upstream.name);
            this.checkRetryAllowed(job, sink, progress, lastRefusal);
        }
        throw new RefusalError(lastRefusal ?? createRefusal("noUpstream", job.service, "no", 1000));
    }

    /** Throws the final refusal if another attempt is not allowed or would fail as well. */
    private checkRetryAllowed(job: Job, sink: AnswerSink, progress: RequestProgress, refusal: Refusal): void {
        const previousRan = progress.ran;
        progress.ran = combineRan(previousRan, refusal.ran);
        const now = this.deps.clock.getMonotonicMs();
        const mayRunAgain = refusal.ran === "no" || (job.repeatable && (progress.resumable || !sink.hasStarted()));
        if (isFinalRefusal(refusal) || sink.isDisconnected() || now >= job.deadline || !mayRunAgain) {
            throw new RefusalError(
                refusal.ran === "unknown" && !job.repeatable ? { ...refusal, code: "outcomeUnknown" } : refusal,
            );
        }
        if (shouldSpendRetryBudget(refusal) && !this.getRetryBudget(job.service).trySpend()) {
            throw new RefusalError(refusal);
        }
        this.deps.metrics.addCount("router.retries");
    }

    private tryChooseUpstream(
        job: Job,
        progress: RequestProgress,
        triedUpstreams: Set<string>,
        lastRefusal: Refusal | undefined,
    ): Upstream | undefined {
        const now = this.deps.clock.getMonotonicMs();
        const { view } = this.deps;
        const upstreams = view.getUpstreams(job.service).filter(upstream => canContinueAt(progress, upstream));
        const inService = upstreams.filter(upstream => view.isInService(upstream));
        const untried = inService.filter(upstream => !triedUpstreams.has(upstream.name));
        if (untried.length > 0) {
            return this.deps.chooser.tryChoose(untried, job.prompt, now);
        }
        if (lastRefusal?.ran === "no") {
            return undefined;
        }
        // All have been tried: retry those that failed mid-run, limited by MAX_ATTEMPTS and the retry budget.
        triedUpstreams.clear();
        return this.deps.chooser.tryChoose(inService, job.prompt, now);
    }

    private reserve(job: Job, progress: RequestProgress): Promise<Reservation> {
        const bounds = computeTokenBounds(job, progress);
        return this.deps.ledgers.reserve(job.budget, bounds.promptBound + bounds.outputCap);
    }

    /** Runs the request once at an upstream. The reservation is settled or held when this resolves. */
    private async runAttempt(
        job: Job,
        sink: AnswerSink,
        progress: RequestProgress,
        upstream: Upstream,
        reservation: Reservation,
        uncertain: boolean,
    ): Promise<RunOutcome> {
        const { chooser, clock } = this.deps;
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
            if (job.hasIdempotencyKey) {
                await this.deps.claims.recordDispatch(job, upstream.sidecar);
            }
            await checkCallerPresent(job, sink);
            const started = await this.deps.runs.start(
                upstream.sidecar,
                params,
                () => this.checkReservationUsable(reservation),
            );
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
            return this.recoverUncertainStart(job, sink, progress, upstream, reservation, params, refusal);
        }
        finally {
            load.inFlight -= 1;
        }
    }

    private checkReservationUsable(reservation: Reservation): void {
        if (!reservation.isUsable(this.deps.clock.getMonotonicMs())) {
            throw new RefusalError(createRefusal("grantClosed", "the grant expired before the run was sent"));
        }
    }

    private handleFailedStart(upstream: Upstream, refusal: Refusal): void {
        const { chooser, clock } = this.deps;
        if (refusal.code === "peerGone" || refusal.code === "peerTimeout" || refusal.code === "draining") {
            chooser.startBackoff(upstream.name, clock.getMonotonicMs());
        }
        else if (refusal.code === "queueFull" || refusal.code === "deadlineTooClose") {
            chooser.recordLoad(upstream.name, refusal.retryAfterMs ?? 1000, clock.getMonotonicMs());
        }
    }

    /** Tries to attach to a run that the sidecar may or may not have accepted. */
    private async recoverUncertainStart(
        job: Job,
        sink: AnswerSink,
        progress: RequestProgress,
        upstream: Upstream,
        reservation: Reservation,
        params: Omit<StartRunParams, "listener">,
        refusal: Refusal,
    ): Promise<RunOutcome> {
        const outcome = await this.reattach(job, sink, upstream.sidecar, progress);
        if (outcome !== undefined) {
            this.settleReservation(outcome, progress, reservation, params);
            return outcome;
        }
        reservation.settlePartially(0);
        return { type: "failed", refusal: { ...refusal, ran: "unknown" } };
    }

    /** Reads a run to its end; reattaches if the connection is lost. */
    private async readRun(
        job: Job,
        sink: AnswerSink,
        progress: RequestProgress,
        stream: RunStream,
        upstream: Upstream,
        reservation: Reservation,
        params: Omit<StartRunParams, "listener">,
    ): Promise<RunOutcome> {
        try {
            const end = await this.readStream(job, sink, progress, stream, reservation);
            const outcome = createRunOutcome(this.replaceCancellation(job, sink, end));
            this.settleReservation(outcome, progress, reservation, params);
            return outcome;
        }
        catch (error) {
            const refusal = getRefusal(error);
            this.deps.chooser.startBackoff(upstream.name, this.deps.clock.getMonotonicMs());
            const outcome = await this.reattach(job, sink, upstream.sidecar, progress);
            if (outcome !== undefined) {
                this.settleReservation(outcome, progress, reservation, params);
                return outcome;
            }
            const relayedTokens = progress.position - getResumePosition(params);
            this.deps.relayedUsageReporter.record(params, progress.promptTokens ?? 0, relayedTokens);
            reservation.settlePartially((progress.promptTokens ?? 0) + relayedTokens);
            progress.outputTokens += relayedTokens;
            return { type: "failed", refusal: { ...refusal, ran: "unknown" } };
        }
    }

    private replaceCancellation(job: Job, sink: AnswerSink, end: RunEnd): RunEnd {
        const isPastDeadline = this.deps.clock.getMonotonicMs() >= job.deadline;
        return sink.isDisconnected() ? end : replaceCancellation(end, isPastDeadline, RETRY_AFTER_MS);
    }

    private settleReservation(
        outcome: RunOutcome,
        progress: RequestProgress,
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
        progress.outputTokens += progress.position - getResumePosition(params);
    }

    /**
     * Attaches to a run at its sidecar, from the caller's position on. Returns undefined if that fails; the run may then
     * have ended or still be running.
     */
    private async reattach(
        job: Job,
        sink: AnswerSink,
        sidecar: string,
        progress: RequestProgress,
        startTimeoutMs = 0,
    ): Promise<RunOutcome | undefined> {
        const startDeadline = this.deps.clock.getMonotonicMs() + startTimeoutMs;
        for (let attempt = 0; attempt < MAX_REATTACH_ATTEMPTS;) {
            try {
                const stream = await this.deps.runs.attach(sidecar, job.requestId, job.digest, progress.position);
                const end = await this.readStream(job, sink, progress, stream, undefined);
                return createRunOutcome(this.replaceCancellation(job, sink, end));
            }
            catch (error) {
                const refusal = getRefusal(error);
                if (refusal.code === "requestIdReused") {
                    throw error;
                }
                const mayNotHaveArrived = refusal.code === "answerNotKept" && refusal.ran === "unknown";
                if (mayNotHaveArrived && this.deps.clock.getMonotonicMs() < startDeadline) {
                    await this.deps.clock.wait(JOIN_POLL_INTERVAL_MS);
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
            await this.deps.clock.wait(REATTACH_DELAY_MS);
        }
        return undefined;
    }

    /** Relays an answer to its end. Rejects if the connection is lost or pieces are missing. */
    private async readStream(
        job: Job,
        sink: AnswerSink,
        progress: RequestProgress,
        stream: RunStream,
        reservation: Reservation | undefined,
    ): Promise<RunEnd> {
        const stopTimer = this.startCancellationTimer(job, sink, stream);
        try {
            for (;;) {
                const event = await stream.next();
                if (event.type === "end") {
                    return event.end;
                }
                if (event.promptTokens !== undefined && progress.promptTokens === undefined) {
                    progress.promptTokens = event.promptTokens;
                    reservation?.shrink(event.promptTokens + computeTokenBounds(job, progress).outputCap);
                }
                recordPieces(progress, event.pieces);
                await sink.writePieces(event.pieces);
                stream.acknowledge();
            }
        }
        finally {
            stopTimer();
        }
    }

    /** Cancels the run at its deadline, or once its caller has disconnected and cannot retrieve the answer later. */
    private startCancellationTimer(job: Job, sink: AnswerSink, stream: RunStream): () => void {
        const timer = setInterval(() => {
            const isPastDeadline = this.deps.clock.getMonotonicMs() > job.deadline;
            if (isPastDeadline || (sink.isDisconnected() && !job.hasIdempotencyKey && job.repeatable)) {
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

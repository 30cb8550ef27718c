/**
 * Processes one request: reserves prepaid tokens, sends the request to an upstream and, where the route allows it, retries at
 * other upstreams until the caller has a final response.
 */
import { createRefusal, qualifyRefusal, type Refusal } from "../../domain/resultCodes.js";
import { computeRunEndWaitMs } from "../../domain/runEndWait.js";
import { hasTimeToSend } from "../../domain/sendingTime.js";
import type { StreamOrigin } from "../../domain/streamOrigins.js";
import type { UnavailableReason } from "../../domain/upstreamCandidates.js";
import type { InterruptedRequest } from "../../domain/upstreamEndCommands.js";
import type { Placement, RequestDemand, StartedPlacement } from "../../domain/upstreamLoad.js";
import type { ReportedEstimates } from "../../domain/upstreamModel.js";
import type { UpstreamRegistration } from "../../domain/upstreamRegistry.js";
import type { PassThroughSink } from "../../ports/answerSink.js";
import { AnswerOrigin } from "./answerOrigin.js";
import { Attempt, type AttemptOutcome, isSuccess, ResponseProgress } from "./attempt.js";
import type { FairShareRequest } from "./fairShareControl.js";
import type { RelayContext } from "./relayContext.js";
import {
    createInterruptedRefusal,
    createInterruption,
    createLostRouterRefusal,
    createNoTimeRefusal,
    createNoUpstreamRefusal,
    createQuarantineRefusal,
    createResponseDetails,
    createUnsentRefusal,
    formatCauses,
    ROUTER_LOST_REASON,
    tryGetLoadOutcome,
} from "./relayOutcomes.js";
import { computeEstimates, computePriority, type ResolvedRequest, tryComputeMaxEvents } from "./relayRequest.js";
import { RequestRepeats } from "./requestRepeats.js";
import { RunAbort } from "./runAbort.js";
import { TokenReservation } from "./tokenReservation.js";

/**
 * Replaced upstreams at which one request may find another one before it is refused. Where a third of the upstreams has been
 * replaced unnoticed, one request in 80 finds a fourth.
 */
const MAX_REPLACED_SENDS = 3;

/** A choice of an upstream is repeated if reserving tokens took longer; running requests change by then. Milliseconds. */
const MAX_SELECTION_AGE_MS = 5;

/** Processes one request. Attempts are made sequentially. */
export class RelayRun {
    private readonly progress = new ResponseProgress();
    private readonly triedUpstreamIds = new Set<string>();
    /** Monotonic clock, milliseconds. */
    private readonly deadline: number;
    private readonly tokens: TokenReservation;
    /** Undefined without fair shares. */
    private readonly share: FairShareRequest | undefined;
    private attempt: Attempt | undefined;
    private endAnswer: (() => void) | undefined;
    private placement: Placement | undefined;
    private reservedAt = 0;
    private sendCount = 0;
    /** Attempts that do not count towards `maxAttempts`: the upstream had been replaced, or nothing was sent. */
    private uncountedSends = 0;
    /** Attempts that found another upstream in place of a replaced one; each was at a different upstream. */
    private replacedSends = 0;
    private mayHaveRun: boolean;
    /** Whether an attempt of this router may have run. What a lost router charged is not known here. */
    private isPromptCharged = false;
    private lastFailureReason = "";
    /** Time until an upstream may accept the request, if none does at present, in milliseconds; undefined if unknown. */
    private candidateWaitMs: number | undefined;
    /** Why no ready upstream could be used. */
    private closedCauses: readonly UnavailableReason[] = [];
    /** Whether upstreams were passed over because they do not read the bodies of requests. */
    private hasSlowReaders = false;
    private readonly origin: AnswerOrigin;
    private readonly abort: RunAbort;
    private readonly repeats: RequestRepeats;

    constructor(
        private readonly context: RelayContext,
        private readonly resolved: ResolvedRequest,
        private readonly sink: PassThroughSink,
        /** The software that began a stream that the caller resumes; undefined for a new request. */
        origin?: StreamOrigin,
    ) {
        this.origin = new AnswerOrigin(resolved, context.registry, context.streamOrigins, origin);
        const { request, route } = resolved;
        this.deadline = request.arrivedAt + Math.min(route.timeoutMs, request.timeoutMs ?? Infinity);
        this.repeats = new RequestRepeats(context.repeats, resolved, this.deadline);
        this.abort = new RunAbort(sink, this.deadline);
        this.tokens = new TokenReservation(context, resolved, this.deadline, () => this.abort.cause !== undefined);
        this.mayHaveRun = request.mayHaveRun === true;
        this.share = context.fairShares?.createRequest(
            resolved,
            request.promptTokens + (this.tryGetEstimates()?.outputTokens ?? 0),
            performance.now(),
        );
    }

    /** Resolves when the final response has been written or the caller has disconnected. */
    async run(): Promise<void> {
        const endWatch = this.abort.watch(closeAgeMs => this.attempt?.stop(closeAgeMs));
        try {
            if (!this.mayHaveRun || await this.claimAfterLoss()) {
                await this.runAttempts();
            }
        }
        finally {
            endWatch();
            this.repeats.end();
        }
    }

    /** Claims that a request is sent again that may have run at a router that was lost; returns false, after a refusal, if it may not. */
    private async claimAfterLoss(): Promise<boolean> {
        this.lastFailureReason = ROUTER_LOST_REASON;
        const isRepeated = this.origin.isRepeatable() && this.mayAttempt() && await this.repeats.waitForClaim();
        if (!isRepeated) {
            this.finishWithRefusal(createLostRouterRefusal(performance.now() >= this.deadline));
        }
        return isRepeated;
    }

    private async runAttempts(): Promise<void> {
        for (;;) {
            const quarantine = this.context.quarantine.tryGetQuarantine(this.resolved);
            if (quarantine !== undefined) {
                return this.finishWithRefusal(createQuarantineRefusal(quarantine));
            }
            // Before tokens are reserved, which may wait: a refusal for lack of time is sent at once.
            const selectedAt = performance.now();
            const early = this.isAdmissionChecked() ? this.trySelectUpstream() : undefined;
            const refusal = this.tryRefuseForTime(early)
                ?? await this.tokens.reserve(this.progress.eventCount, this.isPromptCharged);
            if (refusal !== undefined) {
                this.finishWithRefusal(refusal);
                return;
            }
            this.reservedAt = performance.now();
            if (!this.hasTimeToSend()) {
                // An event loop that lags may reach a request only after its deadline.
                this.tokens.release();
                this.finishWithRefusal(this.createIncompleteRefusal());
                return;
            }
            const isRecent = this.reservedAt - selectedAt <= MAX_SELECTION_AGE_MS;
            const placement = isRecent && early !== undefined ? early : this.trySelectUpstream();
            const lateRefusal = placement === undefined
                ? this.createNoUpstreamRefusal()
                : this.tryRefuseForTime(placement);
            if (placement === undefined || lateRefusal !== undefined) {
                this.tokens.release();
                this.finishWithRefusal(lateRefusal!);
                return;
            }
            const outcome = await this.runAttempt(placement);
            if (!await this.shouldRetry(outcome)) {
                this.finishWithOutcome(outcome);
                return;
            }
        }
    }

    // Attempts

    private trySelectUpstream(): Placement | undefined {
        const { service } = this.resolved;
        const { load, candidates } = this.context;
        const now = performance.now();
        const { upstreams, waitMs, unavailableReasons } = candidates.list(
            service,
            now,
            this.context.getMaxUpstreamAgeMs(),
            this.origin.tryGetVersion(),
        );
        this.candidateWaitMs = waitMs;
        this.closedCauses = unavailableReasons;
        const terms = {
            excludedIds: this.triedUpstreamIds,
            routerCount: this.context.getRouterCount(),
            maxWaitMs: this.context.getLongestWaitMs(service.name),
            remainingMs: this.deadline - now,
            cacheTokens: service.engine?.cacheTokens,
        };
        return load.tryChoose(this.filterReading(upstreams), this.getDemand(), terms, now);
    }

    /** Excludes upstreams whose requests hold as much memory as the requests of one upstream may. */
    private filterReading(upstreams: readonly UpstreamRegistration[]): readonly UpstreamRegistration[] {
        const { bodyMemory } = this.context;
        if (bodyMemory === undefined || this.resolved.request.forwarded.body.length === 0) {
            return upstreams;
        }
        const reading = upstreams.filter(({ id }) => bodyMemory.allowsUpstream(id));
        this.hasSlowReaders = reading.length < upstreams.length;
        return reading;
    }

    private getDemand(): RequestDemand {
        const { parts, promptTokens } = this.resolved.request;
        return { parts, promptTokens, ...this.tryGetEstimates() };
    }

    /** Returns undefined without a model of the upstreams. */
    private tryGetEstimates(): ReportedEstimates | undefined {
        const { model } = this.context.load;
        return model && computeEstimates(model, this.resolved, this.getPriority(), this.progress.eventCount);
    }

    private getPriority(): number {
        return this.share?.priority ?? computePriority(this.resolved);
    }

    /** An answer that has begun is continued, and one that may have run cannot be refused as not run. */
    private isAdmissionChecked(): boolean {
        return this.context.admission !== undefined && !this.mayHaveRun && !this.progress.isHeadSent;
    }

    /** Returns a refusal if no upstream can serve the request within its remaining time, or others have precedence. */
    private tryRefuseForTime(placement: Placement | undefined): Refusal | undefined {
        const outlook = placement?.outlook;
        if (!this.isAdmissionChecked()) {
            return undefined;
        }
        const now = performance.now();
        const remainingMs = this.deadline - now;
        const retryAfterMs = this.context.admission!.tryGetRetryAfterMs(outlook, remainingMs);
        if (retryAfterMs === undefined || outlook === undefined) {
            return this.share?.tryRefuse(outlook, now);
        }
        this.share?.recordNoTimeLeft(outlook, now);
        return createNoTimeRefusal(outlook, remainingMs, retryAfterMs);
    }

    private async runAttempt(placement: Placement): Promise<AttemptOutcome> {
        const { load } = this.context;
        this.triedUpstreamIds.add(placement.upstream.id);
        this.placement = placement;
        const { request } = this.resolved;
        const now = performance.now();
        this.share?.recordSend(now);
        const started = load.recordStart(placement, this.getDemand(), now);
        const isLimited = this.context.candidates.recordSend(placement.upstream, this.resolved.service, now);
        if (isLimited) {
            this.context.recorder.recordRateLimitedSend();
        }
        this.context.sharePlacement(placement, request, this.tryGetEstimates());
        const endWaiting = this.context.bodyMemory?.recordWaiting(
            placement.upstream.id,
            request.forwarded.body.length,
        );
        const attempt = this.createAttempt(started, isLimited, endWaiting);
        this.attempt = attempt;
        this.sendCount += 1;
        const outcome = this.abort.cause === undefined
            ? await attempt.run()
            : { type: "notRun", cause: "full", reason: "aborted before it was sent" } as const;
        endWaiting?.();
        this.endAnswer?.();
        if (!attempt.hasFirstByte) {
            load.recordUnanswered(started);
        }
        load.recordEnd(started, outcome.type === "answered" && isSuccess(outcome.status), performance.now());
        this.recordOutputTokens(attempt, outcome);
        this.isPromptCharged ||= outcome.type !== "notRun";
        this.mayHaveRun ||= this.isPromptCharged;
        this.recordOutcome(placement.upstream, outcome, attempt);
        this.tokens.settle(attempt, outcome);
        return outcome;
    }

    /**
     * `isLimited`: whether the request was counted towards a rate limit of the upstream. `onAnswering`: called when the
     * answer begins.
     */
    private createAttempt(
        placement: StartedPlacement,
        isLimited: boolean,
        onAnswering: (() => void) | undefined,
    ): Attempt {
        const { request, route, service, account } = this.resolved;
        const { options } = this.context;
        const sentAt = performance.now();
        const canRetryElsewhere = this.origin.isRepeatable() && this.countAttempts() + 1 < route.maxAttempts;
        return new Attempt(this.context.upstreams, {
            call: {
                upstream: placement.upstream,
                request: request.forwarded,
                account: account?.name,
                getRemainingMs: () => Math.max(1, Math.floor(this.deadline - performance.now())),
                priority: this.getPriority(),
                resumeAfter: this.progress.isHeadSent ? this.progress.lastEventId : undefined,
                maxConnections: this.context.getMaxConnections(service),
                isStream: route.kind === "stream",
                // The request may have waited for a connection until little of its time is left, or its caller has left.
                mayStart: () => this.mayStart(placement.upstream, isLimited),
            },
            sink: this.sink,
            progress: this.progress,
            isStream: route.kind === "stream",
            isResumable: this.origin.isResumable(),
            isCharged: this.tokens.hasReservation(),
            getRunEndWaitMs: closeAgeMs => computeRunEndWaitMs(closeAgeMs, this.context.getEventLoopLagMs()),
            maxEvents: tryComputeMaxEvents(this.resolved),
            shouldRetryServerError: () => this.origin.isRepeatable() && this.mayAttempt() && this.repeats.claim(),
            inactivityTimeoutMs: canRetryElsewhere
                ? Math.max(options.minInactivityTimeoutMs, route.goalMs * options.inactivityTimeoutGoalFactor)
                : undefined,
            mayLeaveSilent: () => this.mayLeaveSilent(),
            onHeadForwarded: status => {
                if (isSuccess(status)) {
                    this.origin.recordBegun(placement.upstream);
                }
            },
            onStart: givenMs =>
                this.repeats.recordSent({
                    upstream: placement.upstream.id,
                    attempt: this.sendCount,
                    reason: this.lastFailureReason,
                    dispatchedAt: sentAt,
                    givenMs,
                }),
            onSignals: signals => this.context.recordSignals(placement.upstream, signals, sentAt),
            onFirstByte: () => {
                onAnswering?.();
                this.recordFirstByte(placement, sentAt);
            },
            onEvents: this.context.load.model === undefined || service.engine === undefined
                ? undefined
                : (count, now, wasPaused) =>
                    this.context.load.recordTokens(placement, count * service.engine!.tokensPerEvent, now, wasPaused),
        });
    }

    /** Decides as a connection is available, and confirms that the request is sent. */
    private mayStart(upstream: UpstreamRegistration, isLimited: boolean): boolean {
        const isStarted = this.hasTimeToSend()
            && !this.abort.hasCallerLeft()
            && this.context.quarantine.tryGetQuarantine(this.resolved) === undefined
            && this.origin.canSend(upstream)
            && this.context.candidates.canSend(upstream, isLimited, performance.now())
            && this.repeats.mayStart();
        if (isStarted) {
            this.sink.confirmSend();
        }
        return isStarted;
    }

    private recordFirstByte(placement: StartedPlacement, sentAt: number): void {
        const now = performance.now();
        this.endAnswer = this.context.quarantine.recordBegun(this.resolved);
        this.context.load.recordFirstByte(placement, now);
        if (placement.forecast !== undefined) {
            this.context.admission?.recordFirstToken(placement.forecast.firstTokenMs, now - sentAt);
        }
    }

    /** Only whole answers of one upstream show how long the answers of a route are. */
    private recordOutputTokens(attempt: Attempt, outcome: AttemptOutcome): void {
        const { request, route, service } = this.resolved;
        const isWhole = outcome.type === "answered" && isSuccess(outcome.status) && route.kind === "stream"
            && this.sendCount === 1 && request.resumeAfter === undefined;
        if (isWhole && service.engine !== undefined) {
            const outputTokens = attempt.eventCount * service.engine.tokensPerEvent;
            this.context.load.model?.recordAnswer(route.name, request.maxOutputTokens, outputTokens);
        }
    }

    private recordOutcome(upstream: UpstreamRegistration, outcome: AttemptOutcome, attempt: Attempt): void {
        const loadOutcome = tryGetLoadOutcome(outcome);
        if (loadOutcome !== undefined) {
            this.context.load.recordOutcome(upstream, loadOutcome, performance.now());
        }
        const notRunCause = outcome.type === "notRun" ? outcome.cause : undefined;
        this.uncountedSends += notRunCause === "replaced" || notRunCause === "withheld" ? 1 : 0;
        if (notRunCause === "replaced") {
            this.replacedSends += 1;
            this.context.recordReplaced(upstream);
        }
        if (outcome.type === "answered") {
            return;
        }
        this.lastFailureReason = "reason" in outcome ? outcome.reason : outcome.type;
        if (outcome.type !== "interrupted") {
            this.recordUnsuccessful(upstream, outcome.type);
            return;
        }
        const brokenRequest = createInterruption(this.resolved, attempt.tryGetAnswerMs());
        this.recordUnsuccessful(upstream, outcome.type, brokenRequest);
        if (outcome.cause === "connection") {
            this.context.quarantine.recordInterrupted(this.context.registry.getLatest(upstream), brokenRequest);
        }
    }

    private recordUnsuccessful(
        upstream: UpstreamRegistration,
        outcome: AttemptOutcome["type"],
        broken?: InterruptedRequest,
    ): void {
        const attempt = { upstream, attempt: this.sendCount, outcome, reason: this.lastFailureReason };
        this.context.recorder.recordUnsuccessfulAttempt(this.resolved, attempt, broken);
    }

    /** Whether to send the request to another upstream after this outcome. May claim a repeat. */
    private async shouldRetry(outcome: AttemptOutcome): Promise<boolean> {
        switch (outcome.type) {
            case "answered":
            case "stopped":
                return false;
            case "failed":
                // `shouldRetryServerError` has already claimed the repeat.
                return true;
            case "notRun":
                return this.shouldRetryNotRun(outcome.cause);
            case "interrupted":
                return this.canGoOn() && this.repeats.claim();
        }
    }

    private async shouldRetryNotRun(cause: "unreachable" | "full" | "replaced" | "withheld"): Promise<boolean> {
        if (!this.hasTimeToSend()) {
            return false;
        }
        switch (cause) {
            case "unreachable":
            case "withheld":
                // Nothing was sent, so that a claim is left unless it was void.
                return !this.repeats.isClaimMissing() || this.repeats.waitForClaim();
            case "full":
                return this.mayAttempt() && this.repeats.waitForClaim();
            case "replaced":
                return this.replacedSends <= MAX_REPLACED_SENDS && this.repeats.waitForClaimAfterReplacement();
        }
    }

    /** Whether a request that was sent may be sent again, and what its caller has of the answer can be continued. */
    private canGoOn(): boolean {
        const canContinue = this.progress.canContinue() && (!this.progress.isHeadSent || this.origin.isCertain());
        return this.origin.isRepeatable() && canContinue && this.mayAttempt();
    }

    /** Whether another upstream, its tokens and a repeat are at hand for a request whose upstream is silent. May claim the repeat. */
    private mayLeaveSilent(): boolean | Promise<boolean> {
        return this.canGoOn()
            && this.trySelectUpstream() !== undefined
            && this.tokens.canReserveAgain(this.progress.eventCount)
            && this.repeats.claim();
    }

    private mayAttempt(): boolean {
        return this.countAttempts() < this.resolved.route.maxAttempts && this.hasTimeToSend();
    }

    private countAttempts(): number {
        const lostSends = this.resolved.request.mayHaveRun === true ? 1 : 0;
        return lostSends + this.sendCount - this.uncountedSends;
    }

    private hasTimeToSend(): boolean {
        return this.abort.cause === undefined
            && hasTimeToSend(this.deadline - performance.now(), this.context.getEventLoopLagMs());
    }

    // Final responses

    private finishWithOutcome(outcome: AttemptOutcome): void {
        if (outcome.type === "answered") {
            // An error response does not prove that the request is harmless: it may not have run to completion.
            if (outcome.isFramed && isSuccess(outcome.status)) {
                this.context.quarantine.recordCompleteResponse(this.resolved);
            }
            this.context.recorder.recordAnswered(
                this.resolved,
                createResponseDetails(outcome.status, this.resolved, this.progress, {
                    placement: this.placement!,
                    reservedAt: this.reservedAt,
                    sendCount: this.sendCount,
                }),
            );
            return;
        }
        // A withheld request is not retried if too little time is left, or if it would be a repeat that is not allowed now.
        const isOutOfTime = this.abort.cause === "late" || (outcome.type === "notRun" && outcome.cause === "withheld");
        if (isOutOfTime || this.mayHaveRun) {
            this.finishWithRefusal(this.createIncompleteRefusal());
            return;
        }
        this.finishWithRefusal(
            createRefusal("queueFull", this.lastFailureReason, "no", this.context.options.retryAfterMs),
        );
    }

    /** Creates the refusal for when no upstream can be used; Retry-After covers the time until one may be. */
    private createNoUpstreamRefusal(): Refusal {
        const { options: { retryAfterMs }, bodyMemory } = this.context;
        if (this.hasSlowReaders && bodyMemory !== undefined) {
            return bodyMemory.createRefusal("upstreams read their requests too slowly");
        }
        const reason = this.closedCauses.length > 0
            ? `upstreams are ${formatCauses(this.closedCauses)}`
            : this.lastFailureReason || "no upstream has reported in time";
        const waitMs = Math.max(retryAfterMs, this.candidateWaitMs ?? 0);
        return createNoUpstreamRefusal(this.origin.tryGetVersion(), reason, waitMs);
    }

    private createIncompleteRefusal(): Refusal {
        return this.mayHaveRun
            ? createInterruptedRefusal(this.abort.cause === "late", this.lastFailureReason)
            : createUnsentRefusal(this.context.options.retryAfterMs);
    }

    private finishWithRefusal(originalRefusal: Refusal): void {
        // An earlier attempt may have run even if the last one did not.
        const refusal = qualifyRefusal(originalRefusal, this.mayHaveRun);
        const overdueMs = performance.now() - this.deadline;
        this.context.recordRefused(this.resolved, refusal, {
            abortCause: this.abort.cause,
            overdueMs: overdueMs > 0 ? overdueMs : undefined,
        });
        if (this.abort.cause === "gone") {
            return;
        }
        if (this.progress.isHeadSent) {
            this.sink.abort();
        }
        else {
            this.sink.sendRefusal(refusal);
        }
    }
}

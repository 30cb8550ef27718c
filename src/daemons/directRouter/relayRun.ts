/**
 * One caller's request: admitted against the account's grant, sent to one upstream or, where that is allowed, to
 * another one after it, until the caller has a final answer.
 */
import { createRefusal, type Refusal } from "../../domain/resultCodes.js";
import { isWorthSending } from "../../domain/sendingTime.js";
import type { ClosedCause } from "../../domain/upstreamCandidates.js";
import type { BrokenRequest } from "../../domain/upstreamEndCommands.js";
import type { LoadOutcome, Placement, StartedPlacement } from "../../domain/upstreamLoad.js";
import type { UpstreamRegistration } from "../../domain/upstreamRegistry.js";
import type { PassThroughSink } from "../../ports/answerSink.js";
import { AnswerProgress, Attempt, type AttemptOutcome, isSuccess } from "./attempt.js";
import type { AnswerStory, RelayContext } from "./relayContext.js";
import { computeRequestFingerprint, type ResolvedRequest } from "./relayRequest.js";
import { TokenReservation } from "./tokenReservation.js";

/** Highest number of a priority. */
const LOWEST_PRIORITY = 9;
/** Ranks of routes within one rank of accounts: an account's rank goes before the route's. */
const ROUTE_RANKS = 3;

/** Serves one request, whose sendings it makes one after the other. */
export class RelayRun {
    private readonly progress = new AnswerProgress();
    private readonly tried = new Set<string>();
    /** Monotonic clock, milliseconds. */
    private readonly deadline: number;
    private readonly tokens: TokenReservation;
    private attempt: Attempt | undefined;
    private placement: Placement | undefined;
    private reservedAt = 0;
    private sendings = 0;
    /** Sendings that count for no attempt of the route: the upstream was not there any more, or nothing was sent after all. */
    private uncounted = 0;
    /** Something under this request may have run. */
    private mayHaveRun = false;
    private endedEarly: "gone" | "late" | undefined;
    private lastReason = "";
    /** How long until an upstream may take the request that none could just now, in milliseconds; undefined where nobody knows. */
    private candidateWaitMs: number | undefined;
    /** Why the upstreams that take new work did not get it. */
    private closedCauses: readonly ClosedCause[] = [];

    constructor(
        private readonly context: RelayContext,
        private readonly resolved: ResolvedRequest,
        private readonly sink: PassThroughSink,
    ) {
        const { request, route } = resolved;
        this.deadline = request.arrivedAt + Math.min(route.timeoutMs, request.waitMs ?? Infinity);
        this.tokens = new TokenReservation(context, resolved, this.deadline, () => this.endedEarly !== undefined);
    }

    /** Serves the request; resolves when its final answer has been given. */
    async run(): Promise<void> {
        const timer = setTimeout(() => this.endEarly("late"), Math.max(0, this.deadline - performance.now()));
        this.sink.onGone(() => this.endEarly("gone"));
        try {
            await this.runAttempts();
        }
        finally {
            clearTimeout(timer);
        }
    }

    private endEarly(cause: "gone" | "late"): void {
        this.endedEarly ??= cause;
        this.attempt?.stop();
    }

    private async runAttempts(): Promise<void> {
        for (;;) {
            const quarantineMs = this.context.quarantine.tryGetRemainingMs(this.resolved);
            if (quarantineMs !== undefined) {
                this.finish(createRefusal("requestQuarantined", undefined, "no", quarantineMs));
                return;
            }
            const refusal = await this.tokens.reserve(this.progress.eventCount, this.mayHaveRun);
            if (refusal !== undefined) {
                this.finish(refusal);
                return;
            }
            this.reservedAt = performance.now();
            if (!this.hasTimeLeft()) {
                // A router that lags behind may come to a request when its time is up.
                this.tokens.release();
                this.finish(this.createLateRefusal());
                return;
            }
            const placement = this.tryPlace();
            if (placement === undefined) {
                this.tokens.release();
                this.finish(this.createUnplacedRefusal());
                return;
            }
            const outcome = await this.runAttempt(placement);
            if (!this.mayGoOn(outcome)) {
                this.finishAfter(outcome);
                return;
            }
        }
    }

    // Attempts

    private tryPlace(): Placement | undefined {
        const { request, service } = this.resolved;
        const { load, candidates } = this.context;
        const now = performance.now();
        const { upstreams, waitMs, closed } = candidates.list(service, now, this.context.getMaxUpstreamAgeMs());
        this.candidateWaitMs = waitMs;
        this.closedCauses = closed;
        const terms = {
            tried: this.tried,
            routers: this.context.getRouterCount(),
            longestWaitMs: this.context.getLongestWaitMs(service.name),
        };
        return load.tryChoose(upstreams, request, terms, now);
    }

    private async runAttempt(placement: Placement): Promise<AttemptOutcome> {
        const { load } = this.context;
        this.tried.add(placement.upstream.id);
        this.placement = placement;
        const { request } = this.resolved;
        const now = performance.now();
        const started = load.recordStart(placement, request, now);
        const isLimited = this.context.candidates.recordSend(placement.upstream, this.resolved.service, now);
        if (isLimited) {
            this.context.recordLimitedSending();
        }
        this.context.sharePlacement(placement, request);
        const attempt = this.createAttempt(started, isLimited);
        this.attempt = attempt;
        this.sendings += 1;
        const outcome = this.endedEarly === undefined
            ? await attempt.run()
            : { type: "notRun", cause: "full", reason: "given up before it was sent" } as const;
        if (!attempt.hasFirstByte) {
            load.recordUnanswered(started);
        }
        load.recordEnd(placement);
        this.mayHaveRun ||= outcome.type !== "notRun";
        this.recordOutcome(placement.upstream, outcome, attempt.hasHead);
        this.tokens.settle(attempt, outcome);
        return outcome;
    }

    /** `isLimited`: it counts towards a limit that the upstream names. */
    private createAttempt(placement: StartedPlacement, isLimited: boolean): Attempt {
        const { request, route, service, account } = this.resolved;
        const { options } = this.context;
        const accountRank = account?.rank ?? 0;
        const sentAt = performance.now();
        const mayMove = this.isRepeatable() && this.countAttempts() + 1 < route.maxAttempts;
        return new Attempt(this.context.upstreams, {
            call: {
                upstream: placement.upstream,
                request: request.passed,
                account: account?.name,
                remainingMs: Math.max(1, Math.floor(this.deadline - performance.now())),
                priority: Math.min(LOWEST_PRIORITY, accountRank * ROUTE_RANKS + route.rank),
                resumeAfter: this.progress.isHeadSent ? this.progress.lastEventId : undefined,
                maxConnections: this.context.getMaxConnections(service),
                mayStart: () => this.context.candidates.mayStart(placement.upstream, isLimited, performance.now()),
            },
            sink: this.sink,
            progress: this.progress,
            isStream: route.kind === "stream",
            isResumable: route.kind === "stream" && route.isResumable,
            shouldRetryFailed: () => this.isRepeatable() && this.mayTryAgain(),
            silenceMs: mayMove ? Math.max(options.leastSilenceMs, route.goalMs * options.silenceGoals) : undefined,
            onSignals: signals => this.context.recordSignals(placement.upstream, signals, sentAt),
            onFirstByte: () => this.context.load.recordFirstByte(placement, performance.now()),
        });
    }

    private recordOutcome(upstream: UpstreamRegistration, outcome: AttemptOutcome, hasBegun: boolean): void {
        const loadOutcome = tryGetLoadOutcome(outcome);
        if (loadOutcome !== undefined) {
            this.context.load.recordOutcome(upstream, loadOutcome, performance.now());
        }
        if (outcome.type === "notRun" && outcome.cause === "replaced") {
            this.uncounted += 1;
            this.context.recordReplaced(upstream);
        }
        if (outcome.type === "notRun" && outcome.cause === "withheld") {
            this.uncounted += 1;
        }
        if (outcome.type === "answered") {
            return;
        }
        this.lastReason = "reason" in outcome ? outcome.reason : outcome.type;
        if (outcome.type !== "interrupted") {
            this.logUnanswered(upstream.id, outcome.type);
            return;
        }
        const broken = { fingerprint: computeRequestFingerprint(this.resolved), hasBegun };
        this.logUnanswered(upstream.id, outcome.type, broken);
        if (outcome.cause === "connection") {
            this.context.quarantine.recordInterrupted(this.context.registry.getNewest(upstream), broken);
        }
    }

    private logUnanswered(upstream: string, outcome: AttemptOutcome["type"], broken?: BrokenRequest): void {
        const { request, route } = this.resolved;
        this.context.log.info("attempt_ended", {
            request: request.passed.id,
            route: route.name,
            upstream,
            attempt: this.sendings,
            outcome,
            reason: this.lastReason,
            begun: broken?.hasBegun,
            fingerprint: broken?.fingerprint,
            age_ms: Math.round(performance.now() - request.arrivedAt),
        });
    }

    private isRepeatable(): boolean {
        const { kind, isResumable } = this.resolved.route;
        return kind === "repeatable" || (kind === "stream" && isResumable);
    }

    /** Whether the request should be sent to another upstream after this outcome. Spends from the retry budget. */
    private mayGoOn(outcome: AttemptOutcome): boolean {
        switch (outcome.type) {
            case "answered":
            case "stopped":
                return false;
            case "failed":
                // The retry was paid for when the failed answer was held back.
                return true;
            case "notRun":
                return outcome.cause === "unreachable" || outcome.cause === "withheld"
                    ? this.hasTimeLeft()
                    : this.mayTryAgain();
            case "interrupted":
                return this.isRepeatable() && this.mayContinueAnswer() && this.mayTryAgain();
        }
    }

    private mayContinueAnswer(): boolean {
        return !this.progress.isHeadSent || (this.progress.mayContinue && this.progress.lastEventId !== undefined);
    }

    private mayTryAgain(): boolean {
        const { route, service } = this.resolved;
        return this.countAttempts() < route.maxAttempts && this.hasTimeLeft()
            && this.context.getRetryBudget(service.name).trySpend();
    }

    private countAttempts(): number {
        return this.sendings - this.uncounted;
    }

    private hasTimeLeft(): boolean {
        const leftMs = this.deadline - performance.now();
        return this.endedEarly === undefined && isWorthSending(leftMs, this.context.getLoopLateMs());
    }

    // Final answers

    private finishAfter(outcome: AttemptOutcome): void {
        if (outcome.type === "answered") {
            // A failure does not show that the request can be run: the upstream may not have got as far as its end.
            if (outcome.isFramed && isSuccess(outcome.status)) {
                this.context.quarantine.recordCompleteResponse(this.resolved);
            }
            this.context.recordAnswered(this.resolved, this.createStory(outcome.status));
            return;
        }
        if (this.endedEarly === "late" || this.mayHaveRun) {
            this.finish(this.createLateRefusal());
            return;
        }
        this.finish(createRefusal("queueFull", this.lastReason, "no", this.context.options.retryAfterMs));
    }

    private createStory(status: number): AnswerStory {
        const { arrivedAt } = this.resolved.request;
        const { firstBytesAt, longestPauseMs } = this.progress;
        const { upstream, newTokens, aheadMs } = this.placement!;
        return {
            status,
            reservedAgeMs: this.reservedAt - arrivedAt,
            firstBytesAgeMs: firstBytesAt === undefined ? undefined : firstBytesAt - arrivedAt,
            longestPauseMs,
            sendings: this.sendings,
            upstream: upstream.id,
            newTokens,
            aheadMs,
        };
    }

    /** The refusal where no upstream may take the request now; the caller is told when one may, where that is known. */
    private createUnplacedRefusal(): Refusal {
        const { retryAfterMs } = this.context.options;
        const reason = this.closedCauses.length > 0
            ? `upstreams are ${formatCauses(this.closedCauses)}`
            : this.lastReason;
        return createRefusal("noUpstream", reason, "no", Math.max(retryAfterMs, this.candidateWaitMs ?? 0));
    }

    private createLateRefusal(): Refusal {
        if (!this.mayHaveRun) {
            return createRefusal("noUpstream", "the deadline passed", "no", this.context.options.retryAfterMs);
        }
        return this.endedEarly === "late"
            ? createRefusal("deadlinePassed", this.lastReason, "unknown")
            : createRefusal("upstreamFailed", this.lastReason, "unknown");
    }

    private finish(cause: Refusal): void {
        // Whatever ended the last sending, an earlier one may have run.
        const refusal: Refusal = this.mayHaveRun ? { ...cause, ran: "unknown" } : cause;
        const overMs = performance.now() - this.deadline;
        this.context.recordRefused(this.resolved, refusal, {
            endedEarly: this.endedEarly,
            overMs: overMs > 0 ? overMs : undefined,
        });
        if (this.endedEarly === "gone") {
            return;
        }
        if (this.progress.isHeadSent) {
            this.sink.breakOff();
        }
        else {
            this.sink.refuse(refusal);
        }
    }
}

/** Each cause once, with how many upstreams it closes. */
function formatCauses(causes: readonly ClosedCause[]): string {
    const counts = new Map<string, number>();
    causes.forEach(cause => counts.set(cause, 1 + (counts.get(cause) ?? 0)));
    return [...counts].map(([cause, count]) => `${cause} (${count})`).join(", ");
}

/** What an outcome says of its upstream; undefined where the router broke off and it says nothing. */
function tryGetLoadOutcome(outcome: AttemptOutcome): LoadOutcome | undefined {
    switch (outcome.type) {
        case "answered":
            return outcome.status >= 500 ? "failed" : "good";
        case "failed":
        case "interrupted":
            return "failed";
        case "notRun":
            return outcome.cause === "replaced" || outcome.cause === "withheld" ? undefined : outcome.cause;
        case "stopped":
            return undefined;
    }
}

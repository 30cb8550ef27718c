/**
 * One caller's request: admitted against the account's grant, sent to one upstream or, where that is allowed, to
 * another one after it, until the caller has a final answer.
 */
import type { BundleAccount, BundleRoute, BundleService } from "../../domain/bundle.js";
import { createRefusal, type Refusal } from "../../domain/resultCodes.js";
import type { Placement } from "../../domain/upstreamLoad.js";
import type { PassThroughSink } from "../../ports/answerSink.js";
import type { PassedRequest } from "../../ports/directUpstream.js";
import { AnswerProgress, Attempt, type AttemptOutcome } from "./attempt.js";
import type { RelayContext } from "./relayContext.js";

/** A caller's request as it was read. Times on the monotonic clock, milliseconds. */
export interface RelayRequest {
    readonly passed: PassedRequest;
    readonly host: string;
    readonly key: string | undefined;
    readonly arrivedAt: number;
    /** How long the caller waits; undefined where it does not say. */
    readonly waitMs: number | undefined;
    readonly promptTokens: number;
    /** Most tokens that the answer may have. */
    readonly outputLimit: number;
    readonly parts: readonly { readonly id: string; readonly tokens: number; }[];
    /** The caller itself asks for a stream to go on after this event. */
    readonly resumeAfter: string | undefined;
}

/** Where a request goes and for whom. */
export interface ResolvedRequest {
    readonly request: RelayRequest;
    readonly route: BundleRoute;
    readonly service: BundleService;
    readonly account: BundleAccount | undefined;
}

/** Least time that is worth a sending, in milliseconds: a round trip to a caller and one to an upstream. */
const LEAST_SENDING_MS = 15;
/** Highest number of a priority. */
const LOWEST_PRIORITY = 9;
/** Ranks of routes within one rank of accounts: an account's rank goes before the route's. */
const ROUTE_RANKS = 3;
/** Events that an engine may have made beyond those that came, by the time it notices that nobody reads. */
const UNSEEN_EVENTS = 20;
/** Beyond this silence nobody can say how much an engine made after the last event that came. Milliseconds. */
const CERTAIN_WITHIN_MS = 500;

export class RelayRun {
    private readonly progress = new AnswerProgress();
    private readonly tried = new Set<string>();
    private readonly deadline: number;
    private attempt: Attempt | undefined;
    private sendings = 0;
    /** Something under this request may have run. */
    private mayHaveRun = false;
    private endedEarly: "gone" | "late" | undefined;
    private lastReason = "";

    constructor(
        private readonly context: RelayContext,
        private readonly resolved: ResolvedRequest,
        private readonly sink: PassThroughSink,
    ) {
        const { request, route } = resolved;
        this.deadline = request.arrivedAt + Math.min(route.timeoutMs, request.waitMs ?? Infinity);
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
        let tokens = this.getMostTokens();
        for (;;) {
            const refusal = await this.reserve(tokens);
            if (refusal !== undefined) {
                this.finish(refusal);
                return;
            }
            const placement = this.tryPlace();
            if (placement === undefined) {
                this.settle(tokens, 0);
                this.finish(createRefusal("noUpstream", this.lastReason, "no", this.context.options.retryAfterMs));
                return;
            }
            const outcome = await this.runAttempt(placement);
            this.settle(tokens, this.computeUsed(outcome, tokens));
            if (!this.mayGoOn(outcome)) {
                this.finishAfter(outcome);
                return;
            }
            tokens = this.getMostTokens();
        }
    }

    // Budget

    /** Most tokens that the next attempt may consume. The prompt counts once. */
    private getMostTokens(): number {
        const { request, service } = this.resolved;
        const had = this.progress.eventCount * (service.engine?.tokensPerEvent ?? 0);
        const prompt = this.mayHaveRun ? 0 : request.promptTokens;
        return prompt + Math.max(0, request.outputLimit - had);
    }

    private async reserve(tokens: number): Promise<Refusal | undefined> {
        const { account, route } = this.resolved;
        if (account === undefined || tokens === 0) {
            return undefined;
        }
        const { purse, options } = this.context;
        const giveUpAt = Math.min(this.deadline, performance.now() + options.grantWaitMs);
        for (;;) {
            const outcome = purse.tryReserve(account.name, tokens, route.rank, performance.now());
            if (outcome === "reserved") {
                return undefined;
            }
            const left = giveUpAt - performance.now();
            if (left <= 0 || this.endedEarly !== undefined) {
                return outcome === "exhausted"
                    ? createRefusal("prepaidExhausted", account.name)
                    : createRefusal("budgetUnreachable", account.name, "no", options.grantRetryAfterMs);
            }
            purse.addWaiting(account.name, tokens);
            await this.context.waitGrant(account.name, tokens, route.rank, left);
            purse.addWaiting(account.name, -tokens);
        }
    }

    private settle(reserved: number, used: number): void {
        const { account } = this.resolved;
        if (account !== undefined && reserved > 0) {
            this.context.purse.settle(account.name, reserved, used);
        }
    }

    /** Tokens that an attempt has consumed; the most it could have, where nobody can say. */
    private computeUsed(outcome: AttemptOutcome, reserved: number): number {
        const { request, service } = this.resolved;
        const attempt = this.attempt!;
        const seen = request.promptTokens + attempt.eventCount * (service.engine?.tokensPerEvent ?? 0);
        switch (outcome.type) {
            case "notRun":
                return 0;
            case "answered":
            case "failed":
                return seen;
            case "interrupted":
                return reserved;
            case "stopped": {
                const isRecent = performance.now() - attempt.heardAt < CERTAIN_WITHIN_MS;
                return isRecent ? seen + UNSEEN_EVENTS * (service.engine?.tokensPerEvent ?? 0) : reserved;
            }
        }
    }

    // Attempts

    private tryPlace(): Placement | undefined {
        const { request, service } = this.resolved;
        const { load, registry } = this.context;
        const now = performance.now();
        const ready = registry.getReady(service.name, now, this.context.getMaxUpstreamAgeMs());
        return load.tryChoose(ready, request, this.tried, this.context.getRouterCount(), now);
    }

    private async runAttempt(placement: Placement): Promise<AttemptOutcome> {
        const { load, log } = this.context;
        const { request, route } = this.resolved;
        const { upstream } = placement;
        this.tried.add(upstream.id);
        load.recordStart(placement, request);
        let hasFirstByte = false;
        const noteFirstByte = (): void => {
            if (!hasFirstByte) {
                hasFirstByte = true;
                load.recordFirstByte(placement);
            }
        };
        this.attempt = this.createAttempt(placement, noteFirstByte);
        this.sendings += 1;
        const outcome = this.endedEarly === undefined
            ? await this.attempt.run()
            : { type: "notRun", cause: "full", reason: "given up before it was sent" } as const;
        noteFirstByte();
        load.recordEnd(placement);
        this.mayHaveRun ||= outcome.type !== "notRun";
        this.recordOutcome(upstream.id, outcome);
        if (outcome.type !== "answered") {
            this.lastReason = "reason" in outcome ? outcome.reason : outcome.type;
            log.info("attempt_ended", {
                request: request.passed.id,
                route: route.name,
                upstream: upstream.id,
                attempt: this.sendings,
                outcome: outcome.type,
                reason: this.lastReason,
                age_ms: Math.round(performance.now() - request.arrivedAt),
            });
        }
        return outcome;
    }

    private createAttempt(placement: Placement, onFirstByte: () => void): Attempt {
        const { request, route, service, account } = this.resolved;
        const { options } = this.context;
        const accountRank = account?.rank ?? 0;
        const mayMove = this.isRepeatable() && this.sendings + 1 < route.maxAttempts;
        return new Attempt(this.context.upstreams, {
            call: {
                upstream: placement.upstream,
                request: request.passed,
                account: account?.name,
                remainingMs: Math.max(1, Math.floor(this.deadline - performance.now())),
                priority: Math.min(LOWEST_PRIORITY, accountRank * ROUTE_RANKS + route.rank),
                resumeAfter: this.progress.isHeadSent ? this.progress.lastEventId : undefined,
                maxConnections: this.context.getMaxConnections(service),
            },
            sink: this.sink,
            progress: this.progress,
            isStream: route.kind === "stream",
            isResumable: route.kind === "stream" && route.isResumable,
            shouldRetryStatus: () => this.isRepeatable() && this.mayTryAgain(),
            silenceMs: mayMove ? Math.max(options.leastSilenceMs, route.goalMs * options.silenceGoals) : undefined,
            onFirstByte,
        });
    }

    private recordOutcome(upstream: string, outcome: AttemptOutcome): void {
        const { load } = this.context;
        const now = performance.now();
        switch (outcome.type) {
            case "answered":
                load.recordOutcome(upstream, outcome.status >= 500 ? "failed" : "good", now);
                return;
            case "failed":
            case "interrupted":
                load.recordOutcome(upstream, "failed", now);
                return;
            case "notRun":
                load.recordOutcome(upstream, outcome.cause, now);
                return;
            case "stopped":
                return;
        }
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
                return outcome.cause === "unreachable" ? this.hasTimeLeft() : this.mayTryAgain();
            case "interrupted":
                return this.isRepeatable() && this.mayContinueAnswer() && this.mayTryAgain();
        }
    }

    private mayContinueAnswer(): boolean {
        return !this.progress.isHeadSent || (this.progress.mayContinue && this.progress.lastEventId !== undefined);
    }

    private mayTryAgain(): boolean {
        const { route, service } = this.resolved;
        return this.sendings < route.maxAttempts && this.hasTimeLeft()
            && this.context.getRetryBudget(service.name).trySpend();
    }

    private hasTimeLeft(): boolean {
        return this.endedEarly === undefined && this.deadline - performance.now() > LEAST_SENDING_MS;
    }

    // Final answers

    private finishAfter(outcome: AttemptOutcome): void {
        if (outcome.type === "answered") {
            this.context.recordAnswered(this.resolved, outcome.status);
            return;
        }
        if (this.endedEarly === "late" || this.mayHaveRun) {
            this.finish(this.createLateRefusal());
            return;
        }
        this.finish(createRefusal("queueFull", this.lastReason, "no", this.context.options.retryAfterMs));
    }

    private createLateRefusal(): Refusal {
        if (!this.mayHaveRun) {
            return createRefusal("noUpstream", "the deadline passed", "no", this.context.options.retryAfterMs);
        }
        return this.endedEarly === "late"
            ? createRefusal("deadlinePassed", this.lastReason, "unknown")
            : createRefusal("upstreamFailed", this.lastReason, "unknown");
    }

    private finish(refusal: Refusal): void {
        this.context.recordRefused(this.resolved, refusal, this.endedEarly);
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

/** Reserves the prepaid tokens of one request before each attempt and settles them by the outcome. */
import { computeGrantWaitMs } from "../../domain/grantWait.js";
import type { ReserveOutcome } from "../../domain/localAccountBudget.js";
import { createRefusal, type Refusal } from "../../domain/resultCodes.js";
import { computeRunCharge, type RunState } from "../../domain/runCharge.js";
import { type Attempt, type AttemptOutcome, isSuccess } from "./attempt.js";
import type { RelayContext } from "./relayContext.js";
import type { ResolvedRequest } from "./relayRequest.js";

/** Holds at most one reservation at a time. */
export class TokenReservation {
    private reserved = 0;
    /** Tokens of the prompt that the reservation includes. */
    private promptTokens = 0;

    /** `deadline`: of the request. Monotonic clock, milliseconds. */
    constructor(
        private readonly context: RelayContext,
        private readonly resolved: ResolvedRequest,
        private readonly deadline: number,
        private readonly isAborted: () => boolean,
    ) {}

    /**
     * Reserves the tokens that the next attempt may consume, waiting for a grant if needed. `eventCount`: events that the
     * caller has received. `isPromptCharged`: the prompt was charged to an earlier attempt. Returns a refusal on failure.
     */
    async reserve(eventCount: number, isPromptCharged: boolean): Promise<Refusal | undefined> {
        const { account, route } = this.resolved;
        this.promptTokens = isPromptCharged ? 0 : this.resolved.request.promptTokens;
        this.reserved = this.computeMaxTokens(eventCount, isPromptCharged);
        const tokens = this.reserved;
        if (account === undefined || tokens === 0) {
            return undefined;
        }
        const { tokenBudget, options } = this.context;
        const startedAt = performance.now();
        const isFirstGrant = !tokenBudget.hasAnswer(account.name);
        for (let isFirst = true;; isFirst = false) {
            const outcome = tokenBudget.tryReserve(account.name, tokens, route.rank, performance.now());
            if (isFirst) {
                this.context.recordTokenDemand(account.name, tokens, route.rank);
            }
            if (outcome === "reserved") {
                return undefined;
            }
            const waitMs = computeGrantWaitMs({
                grantWaitMs: options.grantWaitMs,
                goalMs: route.goalMs,
                isFirstGrant,
                isInContact: this.context.isInControllerContact(),
                outcome,
            });
            const remainingMs = Math.min(this.deadline, startedAt + waitMs) - performance.now();
            if (remainingMs <= 0 || this.isAborted()) {
                this.logNotReserved(account.name, outcome);
                return outcome === "exhausted"
                    ? createRefusal("prepaidExhausted", account.name)
                    : createRefusal("budgetUnreachable", account.name, "no", options.grantRetryAfterMs);
            }
            tokenBudget.addWaiting(account.name, tokens);
            // Waits in portions, so that a loss of contact with the controllers ends the longer wait.
            const portionMs = Math.min(remainingMs, options.grantWaitMs);
            await this.context.waitForGrant(account.name, tokens, route.rank, portionMs);
            tokenBudget.addWaiting(account.name, -tokens);
        }
    }

    /** Whether tokens of an account are reserved. */
    hasReservation(): boolean {
        return this.resolved.account !== undefined && this.reserved > 0;
    }

    /** Whether a further attempt could reserve its tokens now, while the present one is charged in full. */
    canReserveAgain(eventCount: number): boolean {
        const { account, route } = this.resolved;
        const tokens = this.computeMaxTokens(eventCount, true);
        return account === undefined
            || this.context.tokenBudget.hasEnough(account.name, tokens, route.rank, performance.now());
    }

    /** Releases the reservation when nothing was sent. */
    release(): void {
        this.settleTokens(0);
    }

    /**
     * Charges the tokens that an attempt used and releases the rest. If the attempt was stopped, everything stays reserved until it
     * is known whether its run has ended.
     */
    settle(attempt: Attempt, outcome: AttemptOutcome): void {
        if (outcome.type === "stopped") {
            this.context.settlements.add(this.settleStopped(attempt));
        }
        else {
            this.settleTokens(this.computeCharge(getRunState(outcome), attempt, outcome));
        }
    }

    /** Never rejects. */
    private async settleStopped(attempt: Attempt): Promise<void> {
        const stoppedAt = performance.now();
        const { end, reason } = await attempt.waitForRunEnd();
        const charged = this.computeCharge(end, attempt);
        this.settleTokens(charged);
        this.context.recorder.recordStopped(this.resolved, {
            upstream: attempt.getUpstreamId(),
            end,
            reason,
            eventCount: attempt.eventCount,
            reserved: this.hasReservation() ? this.reserved : 0,
            charged,
            closeAgeMs: attempt.tryGetCloseAgeMs(),
            tookMs: performance.now() - stoppedAt,
        });
    }

    private logNotReserved(account: string, outcome: ReserveOutcome): void {
        const { request, route } = this.resolved;
        const state = this.context.tokenBudget.tryGetState(account, performance.now());
        this.context.log.info("tokens_not_reserved", {
            request: request.forwarded.id,
            account,
            rank: route.rank,
            outcome,
            wanted_tokens: this.reserved,
            granted_tokens: state?.granted,
            charged_tokens: state?.charged,
            room_tokens: state?.room,
            free_tokens: state?.free,
            answer_age_ms: state?.answerAgeMs,
        });
    }

    private settleTokens(usedTokens: number): void {
        if (this.hasReservation()) {
            this.context.tokenBudget.settle(this.resolved.account!.name, this.reserved, usedTokens);
        }
    }

    /** Computes the maximum number of tokens that the next attempt may consume. */
    private computeMaxTokens(eventCount: number, isPromptCharged: boolean): number {
        const { request } = this.resolved;
        const promptTokens = isPromptCharged ? 0 : request.promptTokens;
        return promptTokens + Math.max(0, request.maxOutputTokens - eventCount * this.getTokensPerEvent());
    }

    /** Computes the tokens that the run of an attempt is charged. `outcome`: of one that was not stopped. */
    private computeCharge(state: RunState, attempt: Attempt, outcome?: AttemptOutcome): number {
        return computeRunCharge(state, {
            reserved: this.reserved,
            promptTokens: this.promptTokens,
            eventCount: attempt.eventCount,
            tokensPerEvent: this.tryGetChargePerEvent(attempt, outcome),
        });
    }

    /** Returns undefined if the events of the answer do not tell what was generated. */
    private tryGetChargePerEvent(attempt: Attempt, outcome: AttemptOutcome | undefined): number | undefined {
        const hasStatus = outcome?.type === "answered" || outcome?.type === "failed";
        if (hasStatus && !isSuccess(outcome.status)) {
            // An error generates nothing beyond the prompt.
            return 0;
        }
        return attempt.countsEvents() ? this.resolved.service.engine?.tokensPerEvent : undefined;
    }

    /** Returns 0 for services that are not model engines. */
    private getTokensPerEvent(): number {
        return this.resolved.service.engine?.tokensPerEvent ?? 0;
    }
}

function getRunState({ type }: Exclude<AttemptOutcome, { readonly type: "stopped"; }>): RunState {
    switch (type) {
        case "notRun":
            return "notRun";
        case "answered":
        case "failed":
            return "answered";
        case "interrupted":
            return "unknown";
    }
}

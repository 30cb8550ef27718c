/** Reserves the prepaid tokens of one request before each attempt and settles them by the outcome. */
import { computeGrantWaitMs } from "../../domain/grantWait.js";
import type { ReserveOutcome } from "../../domain/localAccountBudget.js";
import { createRefusal, type Refusal } from "../../domain/resultCodes.js";
import type { Attempt, AttemptOutcome } from "./attempt.js";
import type { RelayContext } from "./relayContext.js";
import type { ResolvedRequest } from "./relayRequest.js";

/** Events that an engine may generate, beyond those received, before it notices a closed connection. */
const MAX_UNRECEIVED_EVENTS = 20;
/** If the upstream has been inactive for longer, usage cannot be estimated from the events received. */
const MAX_ESTIMATE_INACTIVITY_MS = 500;

/** Holds at most one reservation at a time. */
export class TokenReservation {
    private reserved = 0;

    /** `deadline`: of the request. Monotonic clock, milliseconds. */
    constructor(
        private readonly context: RelayContext,
        private readonly resolved: ResolvedRequest,
        private readonly deadline: number,
        private readonly isAborted: () => boolean,
    ) {}

    /**
     * Reserves the tokens that the next attempt may consume, waiting for a grant if needed. `eventCount`: events that the
     * caller has received. `mayHaveRun`: the prompt was charged to an earlier attempt. Returns a refusal on failure.
     */
    async reserve(eventCount: number, mayHaveRun: boolean): Promise<Refusal | undefined> {
        const { account, route } = this.resolved;
        this.reserved = this.computeMaxTokens(eventCount, mayHaveRun);
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

    /** Charges the tokens that an attempt used and releases the rest. */
    settle(attempt: Attempt, outcome: AttemptOutcome): void {
        this.settleTokens(this.computeUsedTokens(attempt, outcome));
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
        const { account } = this.resolved;
        if (account !== undefined && this.reserved > 0) {
            this.context.tokenBudget.settle(account.name, this.reserved, usedTokens);
        }
    }

    /** Computes the maximum number of tokens that the next attempt may consume. */
    private computeMaxTokens(eventCount: number, mayHaveRun: boolean): number {
        const { request } = this.resolved;
        const promptTokens = mayHaveRun ? 0 : request.promptTokens;
        return promptTokens + Math.max(0, request.maxOutputTokens - eventCount * this.getTokensPerEvent());
    }

    /** Computes the tokens that an attempt consumed, or the whole reservation if that is unknown. */
    private computeUsedTokens(attempt: Attempt, outcome: AttemptOutcome): number {
        const observedTokens = this.resolved.request.promptTokens + attempt.eventCount * this.getTokensPerEvent();
        switch (outcome.type) {
            case "notRun":
                return 0;
            case "answered":
            case "failed":
                return observedTokens;
            case "interrupted":
                return this.reserved;
            case "stopped": {
                const isRecent = performance.now() - attempt.lastActivityAt < MAX_ESTIMATE_INACTIVITY_MS;
                // While a slow caller pauses an answer, the engine goes on into the buffers between them.
                return isRecent && !attempt.hasBeenPaused
                    ? observedTokens + MAX_UNRECEIVED_EVENTS * this.getTokensPerEvent()
                    : this.reserved;
            }
        }
    }

    /** Returns 0 for services that are not model engines. */
    private getTokensPerEvent(): number {
        return this.resolved.service.engine?.tokensPerEvent ?? 0;
    }
}

/** The prepaid tokens of one request: set aside before each sending, settled by what came of it. */
import type { ReserveOutcome } from "../../domain/purseAccount.js";
import { createRefusal, type Refusal } from "../../domain/resultCodes.js";
import type { Attempt, AttemptOutcome } from "./attempt.js";
import type { RelayContext } from "./relayContext.js";
import type { ResolvedRequest } from "./relayRequest.js";

/** Events that an engine may have made beyond those that came, by the time it notices that nobody reads. */
const UNSEEN_EVENTS = 20;
/** Beyond this silence nobody can say how much an engine made after the last event that came. Milliseconds. */
const CERTAIN_WITHIN_MS = 500;

/** Holds at most one reservation at a time. */
export class TokenReservation {
    private reserved = 0;

    /** `deadline`: of the request, on the monotonic clock in milliseconds. */
    constructor(
        private readonly context: RelayContext,
        private readonly resolved: ResolvedRequest,
        private readonly deadline: number,
        private readonly isGivenUp: () => boolean,
    ) {}

    /**
     * Sets aside what the next sending may consume, and waits for a grant where it has to. `eventCount`: events that
     * the caller has. `mayHaveRun`: the prompt was counted by an earlier sending. Answers why there are none.
     */
    async reserve(eventCount: number, mayHaveRun: boolean): Promise<Refusal | undefined> {
        const { account, route } = this.resolved;
        this.reserved = this.getMostTokens(eventCount, mayHaveRun);
        const tokens = this.reserved;
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
            if (left <= 0 || this.isGivenUp()) {
                this.logRefused(account.name, outcome);
                return outcome === "exhausted"
                    ? createRefusal("prepaidExhausted", account.name)
                    : createRefusal("budgetUnreachable", account.name, "no", options.grantRetryAfterMs);
            }
            purse.addWaiting(account.name, tokens);
            await this.context.waitGrant(account.name, tokens, route.rank, left);
            purse.addWaiting(account.name, -tokens);
        }
    }

    /** Ends the reservation: nothing was sent. */
    release(): void {
        this.settleUsed(0);
    }

    /** Ends the reservation by what came of the sending. */
    settle(attempt: Attempt, outcome: AttemptOutcome): void {
        this.settleUsed(this.computeUsed(attempt, outcome));
    }

    private logRefused(account: string, outcome: ReserveOutcome): void {
        const { request, route } = this.resolved;
        const state = this.context.purse.tryGetState(account, performance.now());
        this.context.log.info("tokens_not_reserved", {
            request: request.passed.id,
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

    private settleUsed(used: number): void {
        const { account } = this.resolved;
        if (account !== undefined && this.reserved > 0) {
            this.context.purse.settle(account.name, this.reserved, used);
        }
    }

    /** Most tokens that the next sending may consume. */
    private getMostTokens(eventCount: number, mayHaveRun: boolean): number {
        const { request } = this.resolved;
        const prompt = mayHaveRun ? 0 : request.promptTokens;
        return prompt + Math.max(0, request.outputLimit - eventCount * this.getTokensPerEvent());
    }

    /** Tokens that an attempt has consumed; the most it could have, where nobody can say. */
    private computeUsed(attempt: Attempt, outcome: AttemptOutcome): number {
        const seen = this.resolved.request.promptTokens + attempt.eventCount * this.getTokensPerEvent();
        switch (outcome.type) {
            case "notRun":
                return 0;
            case "answered":
            case "failed":
                return seen;
            case "interrupted":
                return this.reserved;
            case "stopped": {
                const isRecent = performance.now() - attempt.heardAt < CERTAIN_WITHIN_MS;
                return isRecent ? seen + UNSEEN_EVENTS * this.getTokensPerEvent() : this.reserved;
            }
        }
    }

    /** 0 for services that are no model engines. */
    private getTokensPerEvent(): number {
        return this.resolved.service.engine?.tokensPerEvent ?? 0;
    }
}

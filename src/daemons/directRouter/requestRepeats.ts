/** The sends of one request after its first one. */
import type { ResolvedRequest } from "./relayRequest.js";
import type { ServiceBudgets } from "./serviceBudgets.js";

export interface SentAttempt {
    readonly upstream: string;
    /** Number of the attempt, from 1. */
    readonly attempt: number;
    /** Why the attempt before it failed. */
    readonly reason: string;
    /** When the attempt began to wait for a connection. Monotonic clock, milliseconds, as all times here. */
    readonly dispatchedAt: number;
    /** Time that the upstream is given. */
    readonly givenMs: number;
}

export class RequestRepeats {
    private hasBeenSent = false;

    /** `deadline`: of the request. */
    constructor(
        private readonly budgets: ServiceBudgets,
        private readonly resolved: ResolvedRequest,
        private readonly deadline: number,
    ) {}

    /** Claims that the request is sent again; false if that is not allowed now. */
    tryClaim(): boolean {
        return this.budgets.tryClaimRetry(this.resolved.service.name);
    }

    /** The same after its upstream had been replaced. */
    tryClaimReplaced(): boolean {
        return this.budgets.tryClaimRepeat(this.resolved.service.name);
    }

    /** Records that the request is being sent. */
    recordSent({ upstream, attempt, reason, dispatchedAt, givenMs }: SentAttempt): void {
        if (!this.hasBeenSent) {
            this.hasBeenSent = true;
            return;
        }
        const now = performance.now();
        this.budgets.recordRepeatSent(this.resolved.service.name, {
            request: this.resolved.request.forwarded.id,
            upstream,
            attempt,
            reason,
            waited_ms: Math.round(now - dispatchedAt),
            given_ms: givenMs,
            left_ms: Math.round(this.deadline - now),
        });
    }
}

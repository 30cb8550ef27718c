/** The sends of one request after its first one, each of which needs a claim. */
import type { ResolvedRequest } from "./relayRequest.js";
import type { RepeatClaim, ServiceRepeats } from "./serviceRepeats.js";

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

/** Repeats that a request whose upstream had been replaced leaves to others: status 421 says nothing about load. */
const KEPT_FOR_OTHERS = 1;

export class RequestRepeats {
    private hasBeenSent: boolean;
    private isRepeat = false;
    /** Until it is used. */
    private held: RepeatClaim | undefined;
    private hasEnded = false;

    /** `deadline`: of the request. */
    constructor(
        private readonly repeats: ServiceRepeats,
        private readonly resolved: ResolvedRequest,
        private readonly deadline: number,
    ) {
        this.hasBeenSent = resolved.request.mayHaveRun === true;
    }

    /** Claims that the request is sent again; resolves after a short wait if that is not decided at once. */
    claim(): boolean | Promise<boolean> {
        this.held ??= this.repeats.tryClaim(this.resolved.service.name, 0);
        return this.held !== undefined || this.waitForClaim();
    }

    /** The same, where a wait does no harm. */
    async waitForClaim(): Promise<boolean> {
        const { service, route } = this.resolved;
        return this.retainClaim(await this.repeats.waitForClaim(service.name, 0, route.goalMs));
    }

    /** The same after its upstream had been replaced. */
    async waitForClaimAfterReplacement(): Promise<boolean> {
        const { service, route } = this.resolved;
        const isClaimed = this.retainClaim(
            await this.repeats.waitForClaim(service.name, KEPT_FOR_OTHERS, route.goalMs),
        );
        if (isClaimed) {
            this.repeats.recordSentPastReplaced();
        }
        return isClaimed;
    }

    /** Whether the next send would be a repeat for which nothing is claimed. */
    isClaimMissing(): boolean {
        return this.hasBeenSent && this.held === undefined;
    }

    /** Uses the claim, if one is needed, as a connection is available; false if the request may not be sent. */
    mayStart(): boolean {
        this.isRepeat = this.hasBeenSent;
        if (!this.hasBeenSent) {
            this.hasBeenSent = true;
            return true;
        }
        const { held } = this;
        this.held = undefined;
        return held?.trySend(performance.now()) ?? false;
    }

    /** Records that the request is being sent. */
    recordSent({ upstream, attempt, reason, dispatchedAt, givenMs }: SentAttempt): void {
        if (!this.isRepeat) {
            return;
        }
        const now = performance.now();
        this.repeats.recordSent(this.resolved.service.name, {
            request: this.resolved.request.forwarded.id,
            upstream,
            attempt,
            reason,
            waited_ms: Math.round(now - dispatchedAt),
            given_ms: givenMs,
            left_ms: Math.round(this.deadline - now),
        });
    }

    /** Releases a claim that was not used, and one that a wait brings later. */
    end(): void {
        this.hasEnded = true;
        this.held?.release();
        this.held = undefined;
    }

    private retainClaim(claim: RepeatClaim | undefined): boolean {
        if (this.hasEnded || this.held !== undefined) {
            claim?.release();
            return this.held !== undefined;
        }
        this.held = claim;
        if (claim === undefined) {
            const { service, request } = this.resolved;
            this.repeats.recordRefused(service.name, { request: request.forwarded.id });
        }
        return claim !== undefined;
    }
}

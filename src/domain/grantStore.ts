/**
 * A router's grants: tokens that it may reserve until the grant expires. A router reserves only tokens that a ledger has
 * granted, so it cannot overspend during a network partition.
 *
 * Invariant for each grant: granted = free + reserved + held + consumed + returned.
 */
import type { Clock } from "../ports/clock.js";
import { createGrantId } from "./identifiers.js";

/** A grant as seen by its router. Amounts are in tokens. */
export interface RouterGrant {
    readonly id: string;
    readonly ledger: string;
    readonly controller: string;
    readonly budget: string;
    /** Monotonic time in milliseconds. The lifetime starts before the grant is requested from the ledger. */
    readonly expiresAt: number;
    granted: number;
    reserved: number;
    /** Reserved by runs of unknown consumption, for example after a lost sidecar; left for the ledger to settle. */
    held: number;
    consumed: number;
    returned: number;
    drawSequence: number;
    /** Whether further draws on the grant are disallowed. */
    retired: boolean;
}

/** Computes the tokens of a grant that can still be reserved. */
export function computeFreeGrantTokens(grant: RouterGrant): number {
    return grant.granted - grant.reserved - grant.held - grant.consumed - grant.returned;
}

/** Tokens reserved for one run. Ends with the first call of `settle` or `hold`; later calls have no effect. */
export class Reservation {
    private settled = false;

    constructor(readonly grant: RouterGrant, private tokens: number, private readonly onSettled: () => void) {}

    getTokens(): number {
        return this.tokens;
    }

    /** Whether a run may be dispatched under the reservation. Check immediately before dispatching. */
    isUsable(now: number): boolean {
        return !this.settled && now < this.grant.expiresAt;
    }

    /** Reduces the reservation to `tokens`, for example when the engine has reported the prompt's token count. */
    shrink(tokens: number): void {
        if (!this.settled && tokens < this.tokens) {
            this.grant.reserved -= this.tokens - tokens;
            this.tokens = tokens;
            this.onSettled();
        }
    }

    /** Ends the reservation with the run's consumption and frees the remainder. */
    settle(consumed: number): void {
        this.close(Math.min(consumed, this.tokens), 0);
    }

    /** Ends the reservation when the run consumed at least `consumed`; the remainder is held for the ledger to settle. */
    settlePartially(consumed: number): void {
        const knownConsumed = Math.min(consumed, this.tokens);
        this.close(knownConsumed, this.tokens - knownConsumed);
    }

    private close(consumed: number, held: number): void {
        if (this.settled) {
            return;
        }
        this.settled = true;
        this.grant.reserved -= this.tokens;
        this.grant.consumed += consumed;
        this.grant.held += held;
        this.onSettled();
    }
}

export class GrantStore {
    private readonly grants = new Map<string, RouterGrant>();

    constructor(
        private readonly router: string,
        private readonly clock: Clock,
        /** Called when a reservation shrinks or ends. */
        private readonly onTokensFreed: (budget: string) => void,
    ) {}

    getAll(): RouterGrant[] {
        return [...this.grants.values()];
    }

    getByBudget(budget: string): RouterGrant[] {
        return this.getAll().filter(grant => grant.budget === budget);
    }

    /** Reserves from the earliest-expiring grant that has enough free tokens. */
    tryReserve(budget: string, tokens: number): Reservation | undefined {
        const now = this.clock.getMonotonicMs();
        let earliest: RouterGrant | undefined;
        for (const grant of this.grants.values()) {
            const usable = grant.budget === budget && now < grant.expiresAt && computeFreeGrantTokens(grant) >= tokens;
            if (usable && (earliest === undefined || grant.expiresAt < earliest.expiresAt)) {
                earliest = grant;
            }
        }
        if (earliest === undefined) {
            return undefined;
        }
        earliest.reserved += tokens;
        return new Reservation(earliest, tokens, () => this.onTokensFreed(budget));
    }

    /** Whether tokens of the budget are reserved by runs, and may become free when those end. */
    hasReservedTokens(budget: string): boolean {
        return this.getByBudget(budget).some(grant => grant.reserved > 0);
    }

    /** Returns a grant of the ledger that is not retired and has more than `minRemainingMs` of its lifetime left. */
    tryGetDrawable(budget: string, ledger: string, minRemainingMs: number): RouterGrant | undefined {
        const now = this.clock.getMonotonicMs();
        return this.getByBudget(budget).find(grant =>
            grant.ledger === ledger && !grant.retired && grant.expiresAt - now > minRemainingMs
        );
    }

    /** Opens an empty grant. Its lifetime starts now, so that it expires here before it expires at the ledger. */
    openGrant(budget: string, ledger: string, controller: string, lifetimeMs: number): RouterGrant {
        const grant: RouterGrant = {
            id: createGrantId(ledger, this.router),
            ledger,
            controller,
            budget,
            expiresAt: this.clock.getMonotonicMs() + lifetimeMs,
            granted: 0,
            reserved: 0,
            held: 0,
            consumed: 0,
            returned: 0,
            drawSequence: 0,
            retired: false,
        };
        this.grants.set(grant.id, grant);
        return grant;
    }

    remove(grant: RouterGrant): void {
        this.grants.delete(grant.id);
    }
}

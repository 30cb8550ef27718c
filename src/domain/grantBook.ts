/**
 * A router's grants: tokens it may reserve from until they expire. A router reserves only what a ledger has granted, so
 * it cannot overspend however long it is cut off.
 *
 * Conservation, for each grant: granted = free + reserved + held + consumed + returned.
 */
import type { Clock } from "../ports/clock.js";
import { createGrantId } from "./identifiers.js";

/** One grant as its router sees it. All in tokens. */
export interface RouterGrant {
    readonly id: string;
    readonly ledger: string;
    readonly controller: string;
    readonly budget: string;
    /** Monotonic clock, milliseconds, counted from before the grant was asked for. */
    readonly expiresAt: number;
    granted: number;
    reserved: number;
    /** Reserved by runs whose sidecar was lost: only the ledger can settle it. */
    held: number;
    consumed: number;
    returned: number;
    drawSequence: number;
    /** Takes no more draws. */
    retired: boolean;
}

/** Tokens of a grant that can still be reserved. */
export function getGrantFree(grant: RouterGrant): number {
    return grant.granted - grant.reserved - grant.held - grant.consumed - grant.returned;
}

/** Tokens that one run may consume. Settle it exactly once. */
export class Reservation {
    private settled = false;

    constructor(readonly grant: RouterGrant, private tokens: number, private readonly onSettled: () => void) {}

    getTokens(): number {
        return this.tokens;
    }

    /** Whether a run may still be sent out under it. To be asked right before sending. */
    isUsable(now: number): boolean {
        return !this.settled && now < this.grant.expiresAt;
    }

    /** Gives back all but `tokens`, for instance when the engine has counted the prompt. */
    shrink(tokens: number): void {
        if (!this.settled && tokens < this.tokens) {
            this.grant.reserved -= this.tokens - tokens;
            this.tokens = tokens;
            this.onSettled();
        }
    }

    /** Ends it with what the run consumed; the rest can be reserved again. */
    settle(consumed: number): void {
        this.end(Math.min(consumed, this.tokens), 0);
    }

    /** Ends it where nobody knows what was consumed beyond `consumed`; the rest is left for the ledger to settle. */
    hold(consumed: number): void {
        const known = Math.min(consumed, this.tokens);
        this.end(known, this.tokens - known);
    }

    private end(consumed: number, held: number): void {
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

export class GrantBook {
    private readonly grants = new Map<string, RouterGrant>();

    constructor(
        private readonly router: string,
        private readonly clock: Clock,
        /** Called whenever a reservation has freed something. */
        private readonly onFreed: (budget: string) => void,
    ) {}

    getAll(): RouterGrant[] {
        return [...this.grants.values()];
    }

    getOfBudget(budget: string): RouterGrant[] {
        return this.getAll().filter(grant => grant.budget === budget);
    }

    /** Reserves from the grant that expires first among those that have enough. */
    tryReserve(budget: string, tokens: number): Reservation | undefined {
        const now = this.clock.getMonotonicMs();
        let best: RouterGrant | undefined;
        for (const grant of this.grants.values()) {
            const usable = grant.budget === budget && now < grant.expiresAt && getGrantFree(grant) >= tokens;
            if (usable && (best === undefined || grant.expiresAt < best.expiresAt)) {
                best = grant;
            }
        }
        if (best === undefined) {
            return undefined;
        }
        best.reserved += tokens;
        return new Reservation(best, tokens, () => this.onFreed(budget));
    }

    /** Whether a run that ends soon may free tokens of the budget. */
    hasReserved(budget: string): boolean {
        return this.getOfBudget(budget).some(grant => grant.reserved > 0);
    }

    /** The grant to draw more on: of the ledger, not retired, and with some life left. */
    tryGetDrawable(budget: string, ledger: string, leastLifeMs: number): RouterGrant | undefined {
        const now = this.clock.getMonotonicMs();
        return this.getOfBudget(budget).find(grant =>
            grant.ledger === ledger && !grant.retired && grant.expiresAt - now > leastLifeMs
        );
    }

    /** Opens a grant; nothing is granted on it yet. Its life is counted from now, before the ledger is asked. */
    open(budget: string, ledger: string, controller: string, lifeMs: number): RouterGrant {
        const grant: RouterGrant = {
            id: createGrantId(ledger, this.router),
            ledger,
            controller,
            budget,
            expiresAt: this.clock.getMonotonicMs() + lifeMs,
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

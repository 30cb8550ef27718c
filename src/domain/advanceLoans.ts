/**
 * Decides how many prepaid tokens a router borrows in advance for each account, from which router, and how many it
 * keeps instead of returning them.
 *
 * Only amounts are decided here. Lenders deduct a loan before they answer, so no decision can create tokens.
 */
import * as z from "zod";
import { DecayingRate } from "./decayingRate.js";

/** Maximum duration of demand to borrow, in milliseconds. That much is lost with a borrower that dies. */
const MAX_AHEAD_MS = 2_000;

/** Settings of loans in advance. Absent or 0: every request borrows for itself. */
export const advanceLoanSettings = z.object({
    /** Duration of the router's own demand that it borrows in advance, in milliseconds. */
    aheadMs: z.number().min(0).max(MAX_AHEAD_MS).default(0),
});

/** A loan to request now. */
export interface AdvanceLoan {
    readonly lender: string;
    readonly tokens: number;
    readonly rank: number;
}

/** A lender's latest statement about one account. */
interface LenderState {
    /** Tokens that it had left. */
    readonly left: number;
    /** Monotonic clock, milliseconds. */
    readonly answeredAt: number;
}

/** Half-life of the demand average, in milliseconds: loans of an account without requests go back within seconds. */
const DEMAND_HALF_LIFE_MS = 1_000;
/** Maximum part of the tokens that a lender has left that one loan in advance takes. */
const MAX_LOAN_FRACTION = 1 / 4;
/** A loan is requested when less than this part of the tokens to keep is available. */
const REFILL_FRACTION = 1 / 2;
/** Minimum interval between two loans of an account as a part of `aheadMs`, in case lenders lend less than requested. */
const MIN_INTERVAL_FRACTION = 1 / 4;
/** Longer than the usual partition, in which lenders are asked less often. */
const LENDER_STATE_RETENTION_MS = 10_000;
/** Maximum number of lenders remembered for each account; there are fewer groups of routers. */
const MAX_LENDERS = 16;
const MS_PER_SECOND = 1_000;

/** State of one account. */
class AccountDemand {
    /** Tokens and requests per second. */
    readonly tokenRate = new DecayingRate(DEMAND_HALF_LIFE_MS);
    readonly requestRate = new DecayingRate(DEMAND_HALF_LIFE_MS);
    /** By address. */
    readonly lenders = new Map<string, LenderState>();
    /** Rank of the latest request: over many loans, each rank appears in proportion to its requests. */
    rank = 0;
    isLoanPending = false;
    /** No loan is requested earlier. Monotonic clock, milliseconds. */
    notBefore = -Infinity;
}

/** All `now` parameters are milliseconds on the monotonic clock of the router process; amounts are tokens. */
export class AdvanceLoans {
    private readonly accounts = new Map<string, AccountDemand>();
    private isStopped = false;

    /** `aheadMs`: duration of demand to borrow in advance, in milliseconds; 0 disables loans in advance. */
    constructor(private readonly aheadMs: number) {}

    isEnabled(): boolean {
        return this.aheadMs > 0 && !this.isStopped;
    }

    /** Returns how long the tokens that are left when a loan is requested last, in milliseconds. */
    getAnswerTimeoutMs(): number {
        return this.aheadMs * REFILL_FRACTION;
    }

    /** Ends all loans in advance; nothing is kept from now on. */
    stop(): void {
        this.isStopped = true;
        this.accounts.clear();
    }

    /** Records the tokens that a request reserves or wants to reserve. */
    recordRequest(account: string, tokens: number, rank: number, now: number): void {
        if (!this.isEnabled()) {
            return;
        }
        let demand = this.accounts.get(account);
        if (demand === undefined) {
            demand = new AccountDemand();
            this.accounts.set(account, demand);
        }
        demand.tokenRate.add(tokens, now);
        demand.requestRate.add(1, now);
        demand.rank = rank;
    }

    /** Returns the tokens to hold in advance: the demand of `aheadMs`, or 0 if that is less than one request. */
    computeKeptTokens(account: string, now: number): number {
        const demand = this.accounts.get(account);
        if (demand === undefined || !this.isEnabled()) {
            return 0;
        }
        const aheadSeconds = this.aheadMs / MS_PER_SECOND;
        return demand.requestRate.getUnbiasedRate(now) * aheadSeconds < 1
            ? 0
            : Math.ceil(demand.tokenRate.getUnbiasedRate(now) * aheadSeconds);
    }

    /**
     * Returns the loan to request now and marks it as pending, or returns undefined if none is needed. `available`:
     * tokens that may be reserved. `listLenders`: addresses of routers that may be asked, the preferred one first; a
     * router that has not yet stated what it has left is not asked in advance.
     */
    tryStartLoan(
        account: string,
        available: number,
        listLenders: () => readonly string[],
        now: number,
    ): AdvanceLoan | undefined {
        const demand = this.accounts.get(account);
        if (demand === undefined || demand.isLoanPending || now < demand.notBefore) {
            return undefined;
        }
        const kept = this.computeKeptTokens(account, now);
        if (kept === 0 || available >= kept * REFILL_FRACTION || demand.lenders.size === 0) {
            return undefined;
        }
        // Also set if no lender has enough, because listing the lenders costs a hash of each router.
        demand.notBefore = now + this.aheadMs * MIN_INTERVAL_FRACTION;
        // A smaller loan would not cover a request, so its call would be wasted.
        const minTokens = demand.tokenRate.getRate(now) / demand.requestRate.getRate(now);
        const lender = listLenders().find(address => computeMaxLoan(demand, address, now) >= minTokens);
        if (lender === undefined) {
            return undefined;
        }
        demand.isLoanPending = true;
        const tokens = Math.min(kept - Math.max(0, available), computeMaxLoan(demand, lender, now));
        return { lender, tokens, rank: demand.rank };
    }

    /** Ends the pending loan of an account, whether it was answered or not. */
    finishLoan(account: string): void {
        const demand = this.accounts.get(account);
        if (demand !== undefined) {
            demand.isLoanPending = false;
        }
    }

    /** Records what a lender has left of an account; undefined if it does not state it. */
    recordLender(account: string, lender: string, left: number | undefined, now: number): void {
        const lenders = this.accounts.get(account)?.lenders;
        if (lenders === undefined) {
            return;
        }
        // The entries stay in the order of their times.
        lenders.delete(lender);
        if (left !== undefined) {
            lenders.set(lender, { left, answeredAt: now });
        }
        if (lenders.size > MAX_LENDERS) {
            lenders.delete(lenders.keys().next().value!);
        }
    }

    /** Returns the number of accounts whose demand is remembered. */
    countAccounts(): number {
        return this.accounts.size;
    }

    /** Removes the accounts for which nothing is kept, unless a loan is pending. */
    evictIdle(now: number): void {
        for (const [account, demand] of this.accounts) {
            const isRecent = demand.requestRate.getRate(now) * LENDER_STATE_RETENTION_MS >= MS_PER_SECOND;
            if (!isRecent && !demand.isLoanPending) {
                this.accounts.delete(account);
            }
        }
    }
}

function computeMaxLoan(demand: AccountDemand, lender: string, now: number): number {
    const state = demand.lenders.get(lender);
    return state === undefined || now - state.answeredAt > LENDER_STATE_RETENTION_MS
        ? 0
        : Math.floor(state.left * MAX_LOAN_FRACTION);
}

/**
 * A router's share of one client account's prepaid tokens: what may be reserved, and what the next report contains.
 *
 * Commitments exceed neither the grant nor the current limit of the newest answered report, because the controllers
 * assume that a router that ended without a final report has spent that much.
 */
import type { PrepaidReportCommand } from "./bundleCommands.js";
import { DecayingRate } from "./decayingRate.js";
import type { LocalTokenBudgetOptions } from "./localTokenBudgetOptions.js";
import type { PrepaidAnswer } from "./prepaidLedger.js";

/** Time of the last answer, shared by all accounts of one router. */
export interface LastAnswer {
    /** Milliseconds on the monotonic clock. */
    readonly answeredAt: number;
}

/** Which routers hold tokens of an account in advance of requests. */
export interface AccountHolding {
    /** Whether this router is a holder, so that its grant should cover its own demand and that of its borrowers. */
    readonly isHolder: boolean;
    /** Number of holders; at least 1. */
    readonly holders: number;
}

/** State of one account for logs, in tokens. */
export interface LocalAccountBudgetState {
    readonly granted: number;
    /** Consumed and reserved tokens that count against the grant. */
    readonly charged: number;
    /** Tokens that may be reserved now, regardless of rank. */
    readonly room: number;
    /** Tokens not granted to any router, according to the newest answer. */
    readonly free: number;
    /** Age of the newest answer, in milliseconds. */
    readonly answerAgeMs: number;
}

/** Outcome of a reservation. `short`: the next grant may cover it. */
export type ReserveOutcome = "reserved" | "short" | "exhausted";

/** Demand of all routers together for an account. */
export interface AccountDemand {
    readonly tokensPerSecond: number;
    /** When the controllers' answer arrived. Monotonic clock, milliseconds. */
    readonly answeredAt: number;
}

/** Tokens that a report permits its router to commit until the next report is answered. */
interface Allowance {
    readonly committed: number;
    readonly burst: number;
    readonly perSecond: number;
}

type ReportEntry = PrepaidReportCommand["accounts"][number];

const NO_ALLOWANCE: Allowance = { committed: 0, burst: 0, perSecond: 0 };
const MS_PER_SECOND = 1_000;
/** Higher ranks are treated as this one. */
const MAX_RANK = 9;
/** Weight of one request in the moving average `usedFraction`: the last 20 requests determine most of it. */
const USED_FRACTION_WEIGHT = 0.05;
/** Maximum part of the available tokens that one loan in advance takes. */
const MAX_ADVANCE_FRACTION = 1 / 2;

/** Counts are tokens. All `now` parameters are milliseconds on the monotonic clock of the router process. */
export class LocalAccountBudget {
    private granted = 0;
    private consumed = 0;
    /** Tokens of requests that wait for a reservation. */
    private waiting = 0;
    /** Tokens received from other routers, whether spent or not. */
    private borrowed = 0;
    /** Tokens not granted to any router, according to the newest answer. */
    private free: number;
    /** Tokens lost with ended routers, according to the newest answer. */
    private writtenOff = 0;
    /** This router's share of the total demand, according to the newest answer; undefined without demand. */
    private demandShare: number | undefined;
    /** Moving average of the fraction of reserved tokens that is consumed. */
    private usedFraction = 1;
    /** Tokens reserved per second: in total, and by rank from the most urgent. */
    private readonly demand: DecayingRate;
    private readonly rankDemand: readonly DecayingRate[];
    /** Tokens requested per second by routers for which this one holds the account. */
    private readonly lentDemand: DecayingRate;
    private holding: AccountHolding = { isHolder: true, holders: 1 };
    /** Allowances in the newest report and in the newest answered report. */
    private reported = NO_ALLOWANCE;
    private allowance = NO_ALLOWANCE;
    /** Whether the newest report that included this account is unanswered. */
    private isReportPending = true;
    /** Demand of all routers and its time, according to the newest answer; undefined until one arrives. */
    private fleetDemand: AccountDemand | undefined;
    /** Tokens wanted in that report, and its time in milliseconds on the monotonic clock. */
    private reportedWanted = 0;
    private reportedAt = -Infinity;

    private reserved = 0;
    /** Maximum consumption of all routers together; undefined if the active bundle does not limit the account. */
    private prepaid: number | undefined;
    /** Revision of the bundle that last lowered the limit. Grants of an earlier one are not spent. */
    private loweredAtRevision = 0;

    /** `prepaid`: maximum consumption of all routers together; undefined for no limit. */
    constructor(
        prepaid: number | undefined,
        private readonly lastAnswer: LastAnswer,
        private readonly options: LocalTokenBudgetOptions,
    ) {
        this.prepaid = prepaid;
        this.free = prepaid ?? 0;
        this.demand = new DecayingRate(options.demandHalfLifeMs);
        this.lentDemand = new DecayingRate(options.demandHalfLifeMs);
        this.rankDemand = Array.from({ length: MAX_RANK + 1 }, () => new DecayingRate(options.demandHalfLifeMs));
    }

    /** Sets the limit of the account, which the bundle of `revision` declares. Returns whether it changed. */
    setPrepaid(prepaid: number, revision: number): boolean {
        const before = this.prepaid;
        if (prepaid === before) {
            return false;
        }
        this.prepaid = prepaid;
        if (before !== undefined && prepaid > before) {
            this.free += prepaid - before;
            return true;
        }
        this.loweredAtRevision = revision;
        // Until the next answer nobody knows how much is left of the lower limit.
        this.free = prepaid;
        this.granted = this.getSpent();
        this.allowance = NO_ALLOWANCE;
        return true;
    }

    /** Removes the limit of the account. Returns whether it had one. */
    removeLimit(): boolean {
        const wasLimited = this.prepaid !== undefined;
        this.prepaid = undefined;
        return wasLimited;
    }

    isLimited(): boolean {
        return this.prepaid !== undefined;
    }

    /** Whether more is consumed or reserved than was granted, which only an account without a limit may. */
    isOverdrawn(): boolean {
        return this.getSpent() > this.granted;
    }

    setHolding(holding: AccountHolding): void {
        this.holding = holding;
    }

    /** Whether the controllers have answered a report about the account, or need not. */
    hasAnswer(): boolean {
        return !this.isLimited() || this.allowance !== NO_ALLOWANCE;
    }

    /** Returns what determines reservations now. */
    getState(now: number): LocalAccountBudgetState {
        return {
            granted: this.granted,
            charged: this.getCharged(),
            room: this.computeAvailable(now),
            free: this.free,
            answerAgeMs: Math.round(now - this.lastAnswer.answeredAt),
        };
    }

    /** Reserves tokens for one request. */
    tryReserve(tokens: number, rank: number, now: number): ReserveOutcome {
        if (this.hasEnough(tokens, rank, now)) {
            this.reserved += tokens;
            this.demand.add(tokens, now);
            this.addRankDemand(tokens, rank, now);
            return "reserved";
        }
        return this.getCharged() + tokens > this.granted + this.free ? "exhausted" : "short";
    }

    /** Whether a reservation would succeed now. */
    hasEnough(tokens: number, rank: number, now: number): boolean {
        return !this.isLimited() || tokens <= this.computeAvailableForRank(rank, now);
    }

    /** Returns how many tokens a reservation lacks, or 0 if it would succeed. */
    getShortfall(tokens: number, rank: number, now: number): number {
        return this.prepaid === undefined
            ? 0
            : Math.min(tokens, Math.max(0, tokens - this.computeAvailableForRank(rank, now)));
    }

    /** Ends a reservation of which `used` tokens were consumed. */
    settle(reserved: number, used: number): void {
        const consumed = Math.min(used, reserved);
        this.reserved -= reserved;
        this.consumed += consumed;
        this.usedFraction += (consumed / reserved - this.usedFraction) * USED_FRACTION_WEIGHT;
    }

    /**
     * Transfers up to `tokens` to another router, except tokens that this router will need soon. `isHeldForAsker`: this
     * router also holds the account for the borrower, whose demand then counts as its own. Returns the number of tokens
     * transferred. `isInAdvance`: no request waits for the loan. It takes at most a part of what is available, so that
     * requests that borrow at the same time are served, and only the tokens transferred count as demand, because the
     * rest is requested again.
     */
    lend(tokens: number, rank: number, isHeldForAsker: boolean, now: number, isInAdvance = false): number {
        const available = this.computeAvailableForRank(rank, now) - this.computeLendReserve(isHeldForAsker, now);
        const lendable = Math.floor(isInAdvance ? available * MAX_ADVANCE_FRACTION : available);
        const lent = Math.max(0, Math.min(tokens, lendable));
        if (isHeldForAsker) {
            const demand = isInAdvance ? lent : tokens;
            this.lentDemand.add(demand, now);
            this.addRankDemand(demand, rank, now);
        }
        this.consumed += lent;
        return lent;
    }

    /** Returns the tokens of the grant that are left for loans to the least urgent rank, now or later. */
    computeLendableTokens(isHeldForAsker: boolean, now: number): number {
        const left = this.granted - this.getCharged();
        const reserve = this.computeRankReserve(MAX_RANK, now) + this.computeLendReserve(isHeldForAsker, now);
        return Math.max(0, Math.floor(left - reserve));
    }

    /** Returns the tokens that this router does not lend because its own requests will need them. */
    private computeLendReserve(isHeldForAsker: boolean, now: number): number {
        return isHeldForAsker ? 0 : this.computeDemand(now) * this.options.lendReserveMs / MS_PER_SECOND;
    }

    private addRankDemand(tokens: number, rank: number, now: number): void {
        this.rankDemand[Math.min(rank, MAX_RANK)]!.add(tokens, now);
    }

    /** Adds tokens received from another router. */
    addBorrowed(tokens: number): void {
        this.borrowed += tokens;
    }

    /** Returns the unused borrowed tokens of a router that is not a holder, or 0 while requests wait for tokens. */
    getUnusedLoanTokens(): number {
        return this.holding.isHolder || this.waiting > 0 ? 0 : Math.max(0, -this.getCharged());
    }

    /** Deducts unused borrowed tokens that are returned to their holder. */
    deductReturnedLoan(tokens: number): void {
        this.consumed += tokens;
    }

    /** Adds tokens that a borrower returned. They are removed from the demand because they were not needed. */
    addReturnedLoan(tokens: number, now: number): void {
        this.borrowed += tokens;
        this.lentDemand.remove(tokens, now);
    }

    /** Adds a waiting request's tokens to the demand in reports; a negative number removes them. */
    addWaiting(tokens: number): void {
        this.waiting += tokens;
    }

    /**
     * Whether the next report must include this account: it has changed, its last report is unanswered, or the refresh
     * interval has passed while part of the grant remains.
     */
    isReportDue(now: number): boolean {
        const { refreshMs, wantedChangePart } = this.options;
        const wanted = this.computeWanted(this.computeDemand(now));
        const hasGrantLeft = this.granted > this.reported.committed;
        return this.isReportPending
            || (hasGrantLeft && now - this.reportedAt >= refreshMs)
            || this.getSpent() + this.waiting !== this.reported.committed
            || Math.abs(wanted - this.reportedWanted) > this.reportedWanted * wantedChangePart;
    }

    /**
     * Whether a report in which the account is due may omit it: what its last report says of it is answered and still holds, or no
     * report of it was ever answered and it has used nothing, so that nothing of it can be spent.
     */
    mayOmitFromReport(): boolean {
        const used = this.getSpent() + this.waiting;
        return this.allowance === NO_ALLOWANCE ? used === 0 : !this.isReportPending && used === this.reported.committed;
    }

    /** Creates the account's entry in the next report. Tokens that it gives back can no longer be reserved. */
    createReportEntry(account: string, now: number, closing: boolean): ReportEntry {
        const spent = this.getSpent();
        const committed = spent + (closing ? 0 : this.waiting);
        const demand = this.computeDemand(now);
        const wanted = closing ? 0 : this.computeWanted(demand);
        const maxGranted = closing ? spent : committed + Math.ceil(wanted * this.options.keepFactor);
        this.granted = Math.max(spent, Math.min(this.granted, maxGranted));
        this.reported = this.createAllowance(committed, demand, wanted);
        this.reportedWanted = wanted;
        this.reportedAt = now;
        this.isReportPending = true;
        return { account, ...this.reported, ceiling: toCount(this.granted), wanted: toCount(wanted) };
    }

    /** Includes the account in the next report if its newest answer is older than `answeredBefore` or missing. */
    requestAnswer(answeredBefore: number): void {
        this.isReportPending ||= (this.fleetDemand?.answeredAt ?? -Infinity) < answeredBefore;
    }

    /** Returns the demand of all routers according to the newest answer; undefined until one arrives. */
    tryGetFleetDemand(): AccountDemand | undefined {
        return this.fleetDemand;
    }

    /** Applies the answer to the newest report. */
    applyAnswer(answer: PrepaidAnswer, revision: number | undefined): void {
        if (revision !== undefined && revision < this.loweredAtRevision) {
            // The next report gives the grant back.
            this.isReportPending = true;
            return;
        }
        this.granted = answer.granted;
        this.free = answer.free;
        this.writtenOff = answer.writtenOff;
        this.demandShare = answer.burst > 0 ? this.reported.burst / answer.burst : undefined;
        this.fleetDemand = {
            tokensPerSecond: answer.burst * MS_PER_SECOND / this.options.burstMs,
            answeredAt: this.lastAnswer.answeredAt,
        };
        this.allowance = this.reported;
        this.isReportPending = false;
    }

    // Reservations

    /** Returns the tokens of the grant that are consumed or reserved: its lender has reported the borrowed ones as spent. */
    private getSpent(): number {
        return Math.max(0, this.getCharged());
    }

    /** Returns the tokens that requests of a rank may reserve now. */
    private computeAvailableForRank(rank: number, now: number): number {
        const left = this.granted - this.getCharged();
        return Math.min(this.computeAvailable(now), left - this.computeRankReserve(rank, now));
    }

    /** Returns the tokens that may be reserved now, regardless of rank. */
    private computeAvailable(now: number): number {
        return Math.min(this.granted, this.computeCommitLimit(now)) - this.getCharged();
    }

    /** Returns the total commitment that the newest answered report permits at `now`. */
    private computeCommitLimit(now: number): number {
        const { committed, burst, perSecond } = this.allowance;
        const sinceAnswerMs = now - this.lastAnswer.answeredAt;
        return this.allowance !== NO_ALLOWANCE && sinceAnswerMs >= this.options.wholeAfterMs
            ? this.granted
            : committed + burst + Math.floor(perSecond * sinceAnswerMs / MS_PER_SECOND);
    }

    /**
     * Returns the tokens that count against the grant. Borrowed tokens are spent first; the result is negative while
     * some remain.
     */
    private getCharged(): number {
        return this.consumed + this.reserved - this.borrowed;
    }

    /**
     * Returns the tokens that requests of a rank leave for more urgent ones until the grant may be refilled. Only
     * holders keep such a reserve: a borrower that reduced a loan by a reserve could never use the loan for its
     * request.
     */
    private computeRankReserve(rank: number, now: number): number {
        if (!this.holding.isHolder) {
            return 0;
        }
        const urgentPerSecond = this.rankDemand.slice(0, rank).reduce(
            (sum, demand) => sum + demand.getUnbiasedRate(now),
            0,
        );
        const reserve = urgentPerSecond * this.usedFraction * this.computeRankReserveMs(now) / MS_PER_SECOND;
        return Math.floor(Math.max(0, reserve - this.computeExpectedRefill(now)));
    }

    /**
     * Returns the duration of urgent demand to hold back. No reserve is kept while the grant can be refilled, because
     * it would refuse requests that the account still covers, unless too many tokens were written off.
     */
    private computeRankReserveMs(now: number): number {
        const { horizonMs, rankReservePart, writtenOffPart, shortReserveMs } = this.options;
        if (!this.isInContact(now)) {
            return Math.max(0, horizonMs - (now - this.lastAnswer.answeredAt)) * rankReservePart;
        }
        return this.prepaid !== undefined && this.writtenOff > this.prepaid * writtenOffPart ? shortReserveMs : 0;
    }

    /** Returns this router's share of the free tokens, or 0 while it cannot obtain them. */
    private computeExpectedRefill(now: number): number {
        return this.isInContact(now) ? this.computeFreeShare() : 0;
    }

    private isInContact(now: number): boolean {
        return now - this.lastAnswer.answeredAt < this.options.outOfContactMs;
    }

    // Reports

    /** Returns the expected consumption of the grant in tokens per second, without loans for single requests. */
    private computeDemand(now: number): number {
        // A router at which an account has no limit borrows nothing, so that its own grant covers what it uses.
        const coversOwn = this.holding.isHolder || !this.isLimited();
        const own = coversOwn ? this.demand.getUnbiasedRate(now) * this.usedFraction : 0;
        return own + this.lentDemand.getUnbiasedRate(now);
    }

    /** Returns the tokens that the grant should hold beyond those committed. */
    private computeWanted(demand: number): number {
        const { horizonMs, firstPart } = this.options;
        const { isHolder, holders } = this.holding;
        const byDemand = Math.min(demand * horizonMs / MS_PER_SECOND, this.computeMaxHeld(this.computeFreeShare()));
        // A holder without known demand keeps a minimum for its first requests.
        const minimum = this.prepaid === undefined
            ? 0
            : Math.min(this.prepaid * firstPart / holders, this.computeMaxHeld(this.free / holders));
        return Math.ceil(Math.max(byDemand, isHolder ? minimum : 0, this.waiting));
    }

    /** Limits the tokens held in advance, because all tokens held by a killed router may count as spent. */
    private computeMaxHeld(freeShare: number): number {
        // Borrowed tokens are not part of the grant.
        const held = Math.max(0, this.granted - Math.max(0, this.getCharged()));
        return (freeShare + held) * this.options.mostHeldPart;
    }

    private createAllowance(committed: number, demand: number, wanted: number): Allowance {
        const { horizonMs, burstMs, openingFactor } = this.options;
        return {
            committed: toCount(committed),
            burst: toCount(demand * burstMs / MS_PER_SECOND),
            perSecond: toCount(Math.max(demand * openingFactor, wanted * (MS_PER_SECOND / horizonMs))),
        };
    }

    /**
     * Returns this router's share of the free tokens, in proportion to its demand. Equal shares would make a router
     * that serves all requests of an account refuse them during a partition while other routers hold unneeded tokens.
     */
    private computeFreeShare(): number {
        return this.free * (this.demandShare ?? 1 / this.holding.holders);
    }
}

/** Rounds up to a count that a report can hold: one number out of its bounds would make the whole report invalid. */
function toCount(tokens: number): number {
    return Math.min(Math.ceil(tokens), Number.MAX_SAFE_INTEGER);
}

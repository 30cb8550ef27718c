/**
 * A router's part of one client account's prepaid tokens: what may be reserved now, and what the next report says.
 *
 * Requests commit no more than the grant, nor than the newest answered report allows by now, since the book counts a
 * router that has ended without a last report as having spent that much.
 */
import type { PrepaidReportCommand } from "./bundleCommands.js";
import { MovingRate } from "./movingAverage.js";
import type { PrepaidAnswer } from "./prepaidBook.js";
import type { PrepaidPurseOptions } from "./prepaidPurseOptions.js";

/** What all accounts of one router go by. */
export interface PurseContact {
    /** When the newest answer arrived. Monotonic clock, milliseconds. */
    readonly answeredAt: number;
}

/** Who holds tokens of an account beyond what requests need at the moment. */
export interface AccountHolding {
    /** Whether this router does, so that its grant should cover its demand and that of those that borrow from it. */
    readonly isHolder: boolean;
    /** How many routers do; at least 1. */
    readonly holders: number;
}

/** What a router goes by for one account, for logs. Tokens. */
export interface PurseState {
    readonly granted: number;
    /** Consumed and reserved, as far as it counts against the grant. */
    readonly charged: number;
    /** What may be reserved now. */
    readonly room: number;
    /** What no router has been granted, as the newest answer said. */
    readonly free: number;
    /** Age of that answer, in milliseconds. */
    readonly answerAgeMs: number;
}

/** What came of asking for a reservation; `short`: there may be enough after the next grant. */
export type ReserveOutcome = "reserved" | "short" | "exhausted";

/** What a report allows its router to commit until the next one is answered. Tokens. */
interface Allowance {
    readonly committed: number;
    readonly burst: number;
    readonly perSecond: number;
}

type ReportEntry = PrepaidReportCommand["accounts"][number];

const NO_ALLOWANCE: Allowance = { committed: 0, burst: 0, perSecond: 0 };
const MS_PER_SECOND = 1_000;
/** Ranks beyond this one count as this one. */
const LAST_RANK = 9;
/** Part by which one request moves `usedPart`; 20 requests count for most of it. */
const USED_PART_WEIGHT = 0.05;

/** Counts are tokens. Times passed in (`now`) are on the monotonic clock of the router's process, in milliseconds. */
export class PurseAccount {
    private granted = 0;
    private consumed = 0;
    private reserved = 0;
    /** What requests wait to reserve. */
    private waiting = 0;
    /** What other routers have lent, spent or not. */
    private borrowed = 0;
    /** What no router has been granted, as far as the newest answer says. */
    private free: number;
    /** What was lost with routers that have ended, as far as the newest answer says. */
    private writtenOff = 0;
    /** This router's part of the demand of all, as far as the newest answer says; undefined where there is none. */
    private demandPart: number | undefined;
    /** The part of what was reserved that is consumed in the end. */
    private usedPart = 1;
    /** Tokens reserved a second: in all, and of each rank, the most urgent first. */
    private readonly demand: MovingRate;
    private readonly rankDemand: readonly MovingRate[];
    /** Tokens a second that other routers ask for, for which this one holds the account. */
    private readonly lentDemand: MovingRate;
    private holding: AccountHolding = { isHolder: true, holders: 1 };
    /** What the newest report says, and what the newest answered one does. */
    private reported = NO_ALLOWANCE;
    private allowance = NO_ALLOWANCE;
    /** The newest report that named this account has no answer. */
    private isUnanswered = true;
    /** What that report wanted, and when it was made. Monotonic clock, milliseconds. */
    private reportedWanted = 0;
    private reportedAt = -Infinity;

    /** `prepaid`: most that all routers may consume together. */
    constructor(
        private prepaid: number,
        private readonly contact: PurseContact,
        private readonly options: PrepaidPurseOptions,
    ) {
        this.free = prepaid;
        this.demand = new MovingRate(options.demandHalfLifeMs);
        this.lentDemand = new MovingRate(options.demandHalfLifeMs);
        this.rankDemand = Array.from({ length: LAST_RANK + 1 }, () => new MovingRate(options.demandHalfLifeMs));
    }

    /** Takes the limit of the account. Answers whether it is another one. */
    setPrepaid(prepaid: number): boolean {
        if (prepaid === this.prepaid) {
            return false;
        }
        this.free = Math.max(0, this.free + prepaid - this.prepaid);
        this.prepaid = prepaid;
        return true;
    }

    /** Takes who holds the account. */
    setHolding(holding: AccountHolding): void {
        this.holding = holding;
    }

    /** What decides on reservations now. */
    getState(now: number): PurseState {
        return {
            granted: this.granted,
            charged: this.getCharged(),
            room: this.computeRoom(now),
            free: this.free,
            answerAgeMs: Math.round(now - this.contact.answeredAt),
        };
    }

    /** Sets tokens aside for one run. */
    tryReserve(tokens: number, rank: number, now: number): ReserveOutcome {
        if (this.hasEnough(tokens, rank, now)) {
            this.reserved += tokens;
            this.demand.add(tokens, now);
            this.addRankDemand(tokens, rank, now);
            return "reserved";
        }
        return this.getCharged() + tokens > this.granted + this.free ? "exhausted" : "short";
    }

    /** Whether a reservation would be made now. */
    hasEnough(tokens: number, rank: number, now: number): boolean {
        return tokens <= this.computeUsable(rank, now);
    }

    /** How many tokens a reservation lacks; 0 where it would be made. */
    getShortfall(tokens: number, rank: number, now: number): number {
        return Math.min(tokens, Math.max(0, tokens - this.computeUsable(rank, now)));
    }

    /** Ends a reservation: `used` of its tokens were consumed. */
    settle(reserved: number, used: number): void {
        const consumed = Math.min(used, reserved);
        this.reserved -= reserved;
        this.consumed += consumed;
        this.usedPart += (consumed / reserved - this.usedPart) * USED_PART_WEIGHT;
    }

    /**
     * Gives at most `tokens` away to another router for good, none that this router would soon miss. `isHeldForAsker`: the
     * account is held for that one too, which is as good as this one. Answers how many.
     */
    lend(tokens: number, rank: number, isHeldForAsker: boolean, now: number): number {
        const reserveMs = isHeldForAsker ? 0 : this.options.lendReserveMs;
        const ownNeed = this.computeDemand(now) * reserveMs / MS_PER_SECOND;
        if (isHeldForAsker) {
            this.lentDemand.add(tokens, now);
            this.addRankDemand(tokens, rank, now);
        }
        const lent = Math.max(0, Math.min(tokens, Math.floor(this.computeUsable(rank, now) - ownNeed)));
        this.consumed += lent;
        return lent;
    }

    private addRankDemand(tokens: number, rank: number, now: number): void {
        this.rankDemand[Math.min(rank, LAST_RANK)]!.add(tokens, now);
    }

    /** Takes tokens that another router has given away. */
    addBorrowed(tokens: number): void {
        this.borrowed += tokens;
    }

    /** Tokens that were lent for single requests and not used, where nothing waits for them. */
    getLeftOfLoans(): number {
        return this.holding.isHolder || this.waiting > 0 ? 0 : Math.max(0, -this.getCharged());
    }

    /** Gives tokens away that were lent and not used. */
    returnLoan(tokens: number): void {
        this.consumed += tokens;
    }

    /** Takes back what is left of a loan: it was asked for, and is no demand. */
    takeReturned(tokens: number, now: number): void {
        this.borrowed += tokens;
        this.lentDemand.remove(tokens, now);
    }

    /** Counts a request that waits for a grant in the reports; a negative count takes it out again. */
    addWaiting(tokens: number): void {
        this.waiting += tokens;
    }

    /**
     * Whether the next report has to name this account: it has changed since the newest one that did, that one was not
     * answered, or it is long ago while some of the grant is left.
     */
    isReportDue(now: number): boolean {
        const { refreshMs, wantedChangePart } = this.options;
        const wanted = this.computeWanted(this.computeDemand(now));
        const hasGrantLeft = this.granted > this.reported.committed;
        return this.isUnanswered
            || (hasGrantLeft && now - this.reportedAt >= refreshMs)
            || Math.max(0, this.getCharged()) + this.waiting !== this.reported.committed
            || Math.abs(wanted - this.reportedWanted) > this.reportedWanted * wantedChangePart;
    }

    /** The account's entry in the next report. What it gives back is not used any more from here on. */
    createReportEntry(account: string, now: number, closing: boolean): ReportEntry {
        // To the book, borrowed tokens are spent by the lender, so what is left of them is none of this grant.
        const spent = Math.max(0, this.getCharged());
        const committed = spent + (closing ? 0 : this.waiting);
        const demand = this.computeDemand(now);
        const wanted = closing ? 0 : this.computeWanted(demand);
        const most = closing ? spent : committed + Math.ceil(wanted * this.options.keepFactor);
        this.granted = Math.max(spent, Math.min(this.granted, most));
        this.reported = this.createAllowance(committed, demand, wanted);
        this.reportedWanted = wanted;
        this.reportedAt = now;
        this.isUnanswered = true;
        return { account, ...this.reported, ceiling: this.granted, wanted };
    }

    /** Takes the answer to the newest report. */
    applyAnswer(answer: PrepaidAnswer): void {
        this.granted = answer.granted;
        this.free = answer.free;
        this.writtenOff = answer.writtenOff;
        this.demandPart = answer.burst > 0 ? this.reported.burst / answer.burst : undefined;
        this.allowance = this.reported;
        this.isUnanswered = false;
    }

    // What may be reserved

    /** Tokens that requests of a rank may reserve now. */
    private computeUsable(rank: number, now: number): number {
        const left = this.granted - this.getCharged();
        return Math.min(this.computeRoom(now), left - this.computeRankReserve(rank, now));
    }

    /** Tokens that may be reserved now, whatever the rank. */
    private computeRoom(now: number): number {
        return Math.min(this.granted, this.computeAllowed(now)) - this.getCharged();
    }

    /** What the newest answered report allows to have been committed by `now`. */
    private computeAllowed(now: number): number {
        const { committed, burst, perSecond } = this.allowance;
        const silentMs = now - this.contact.answeredAt;
        return this.allowance !== NO_ALLOWANCE && silentMs >= this.options.wholeAfterMs
            ? this.granted
            : committed + burst + Math.floor(perSecond * silentMs / MS_PER_SECOND);
    }

    /** What counts against the grant: borrowed tokens are spent first. Negative while some of them are left. */
    private getCharged(): number {
        return this.consumed + this.reserved - this.borrowed;
    }

    /**
     * What requests of a rank leave to more urgent ones: a part of their demand until tokens may come again. A router that
     * borrows for each request leaves nothing: its holder has, and a loan of what the request lacks could never be used.
     */
    private computeRankReserve(rank: number, now: number): number {
        if (!this.holding.isHolder) {
            return 0;
        }
        const urgent = this.rankDemand.slice(0, rank).reduce((sum, demand) => sum + demand.getUnbiasedRate(now), 0);
        const reserve = urgent * this.usedPart * this.getRankReserveMs(now) / MS_PER_SECOND;
        return Math.floor(Math.max(0, reserve - this.getRefill(now)));
    }

    /**
     * Nothing is left to others while the grant can be refilled, since what is held back from an account that runs out
     * is refused though it would have been covered; unless it is short for what was written off.
     */
    private getRankReserveMs(now: number): number {
        const { horizonMs, rankReservePart, writtenOffPart, shortReserveMs } = this.options;
        if (!this.isInContact(now)) {
            return Math.max(0, horizonMs - (now - this.contact.answeredAt)) * rankReservePart;
        }
        return this.writtenOff > this.prepaid * writtenOffPart ? shortReserveMs : 0;
    }

    /** This router's part of what no router has been granted, while it can be had. */
    private getRefill(now: number): number {
        return this.isInContact(now) ? this.getFreePart() : 0;
    }

    /** Whether the grant can be refilled. */
    private isInContact(now: number): boolean {
        return now - this.contact.answeredAt < this.options.outOfContactMs;
    }

    // What a report says

    /** Tokens a second that are likely to be consumed of the grant. What is borrowed for single requests is none of it. */
    private computeDemand(now: number): number {
        const own = this.holding.isHolder ? this.demand.getUnbiasedRate(now) * this.usedPart : 0;
        return own + this.lentDemand.getUnbiasedRate(now);
    }

    /** Tokens that the grant should hold beyond what is committed. */
    private computeWanted(demand: number): number {
        const { horizonMs, firstPart } = this.options;
        const { isHolder, holders } = this.holding;
        const byDemand = Math.min(demand * horizonMs / MS_PER_SECOND, this.computeMostHeld(this.getFreePart()));
        // A holder that nobody has asked yet holds something for the first that will.
        const least = Math.min(this.prepaid * firstPart / holders, this.computeMostHeld(this.free / holders));
        return Math.ceil(Math.max(byDemand, isHolder ? least : 0, this.waiting));
    }

    /** A killed router may leave all it holds behind as spent, so the last tokens are not shared out in advance. */
    private computeMostHeld(freePart: number): number {
        return (freePart + Math.max(0, this.granted - this.getCharged())) * this.options.mostHeldPart;
    }

    private createAllowance(committed: number, demand: number, wanted: number): Allowance {
        const { horizonMs, burstMs, openingFactor } = this.options;
        return {
            committed,
            burst: Math.ceil(demand * burstMs / MS_PER_SECOND),
            perSecond: Math.ceil(Math.max(demand * openingFactor, wanted * (MS_PER_SECOND / horizonMs))),
        };
    }

    /**
     * The part of what no router has been granted that this one may reckon with: by its part of the demand. In equal parts
     * a router that all callers of an account come to would be left with one of 68 parts of what is free, and refuse in a
     * cut what nobody else needs. Its gain was not measured apart: one day of a cut of 68 routers showed none.
     */
    private getFreePart(): number {
        return this.free * (this.demandPart ?? 1 / this.holding.holders);
    }
}

/**
 * A router's own side of the prepaid tokens: what it was granted, what its requests have reserved and consumed.
 *
 * It never lets the two pass the grant, nor what its last answered report allows by now (see prepaidBook.ts), so it
 * needs to reach nobody to be safe. Routers lend each other tokens while the controllers are away: to the book the
 * lender has spent them, and the borrower spends them before its own.
 */
import type { PrepaidReportCommand } from "./bundleCommands.js";
import { MovingRate } from "./movingAverage.js";
import type { PrepaidAnswer } from "./prepaidBook.js";

/** How the purse sizes what it asks for. */
export interface PrepaidPurseOptions {
    /** Demand that a grant should cover, in milliseconds: longer than a router is usually cut off. */
    readonly horizonMs: number;
    /** Part of what is left of an account, as far as a router knows, that all routers together hold at the most. */
    readonly mostHeldPart: number;
    /** Part of the prepaid tokens that all routers together ask for before they know the demand. */
    readonly firstPart: number;
    /** How fast the measured demand forgets, in milliseconds. */
    readonly demandHalfLifeMs: number;
    /** Demand that may be committed at once between two reports, in milliseconds. */
    readonly burstMs: number;
    /** How much faster than the demand a grant opens while no report is answered. */
    readonly openingFactor: number;
    /** Own demand that is kept back from other routers, in milliseconds. */
    readonly lendReserveMs: number;
    /** Part of the more urgent ranks' demand that a rank leaves them while the grant cannot be refilled. */
    readonly rankReservePart: number;
    /** Part of the prepaid tokens that may be written off before ranks leave tokens to more urgent ones for good. */
    readonly writtenOffPart: number;
    /** More urgent ranks' demand that a rank leaves them from then on, in milliseconds. */
    readonly shortReserveMs: number;
    /** A router whose report was not answered for so long counts as cut off, in milliseconds. */
    readonly outOfContactMs: number;
    /** What a grant may be above what is wanted before the rest is given back. */
    readonly keepFactor: number;
}

/** What a report allows its router to commit until the next one is answered. Tokens. */
interface Allowance {
    readonly committed: number;
    readonly burst: number;
    readonly perSecond: number;
}

/** The purse's part of one account. Tokens. */
interface Account {
    granted: number;
    consumed: number;
    reserved: number;
    /** What requests wait to reserve. */
    waiting: number;
    /** What other routers have lent, spent or not. */
    borrowed: number;
    /** What no router has been granted, as far as the newest answer says. */
    free: number;
    /** Most that all routers may consume together. */
    prepaid: number;
    /** What was lost with routers that have ended, as far as the newest answer says. */
    writtenOff: number;
    /** Tokens reserved a second: in all, and of each rank, the most urgent first. */
    readonly demand: MovingRate;
    readonly rankDemand: MovingRate[];
    /** The part of what was reserved that is consumed in the end. */
    usedPart: number;
    /** What the newest report says, and what the newest answered one does. */
    reported: Allowance;
    allowance: Allowance;
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

const NO_ALLOWANCE: Allowance = { committed: 0, burst: 0, perSecond: 0 };
const MS_PER_SECOND = 1_000;
/** Ranks beyond this one count as this one. */
const LAST_RANK = 9;
/** Part by which one request moves `usedPart`; 20 requests count for most of it. */
const USED_PART_WEIGHT = 0.05;

/** Times passed in (`now`) are on the monotonic clock of the router's process, in milliseconds. */
export class PrepaidPurse {
    private readonly accounts = new Map<string, Account>();
    private sequence = 0;
    private answeredSequence = 0;
    /** When the newest answer arrived. Monotonic clock, milliseconds. */
    private answeredAt = 0;
    private routers = 1;

    constructor(
        private readonly router: string,
        private readonly incarnation: string,
        private readonly options: PrepaidPurseOptions,
    ) {}

    /** Takes the limits of the bundle in force; accounts without a limit are not held here. */
    setLimits(limits: readonly { readonly account: string; readonly tokens: number; }[]): void {
        for (const { account, tokens } of limits) {
            const known = this.accounts.get(account);
            if (known === undefined) {
                this.accounts.set(account, this.createAccount(tokens));
            }
            else if (known.prepaid !== tokens) {
                known.free = Math.max(0, known.free + tokens - known.prepaid);
                known.prepaid = tokens;
            }
        }
    }

    /** Takes how many routers share the accounts. */
    setRouters(routers: number): void {
        this.routers = Math.max(1, routers);
    }

    /**
     * Sets tokens aside for one run. `exhausted` where what nobody holds would not cover it either. `rank`: 0 is the
     * most urgent; while the grant cannot be refilled, the others leave some for more urgent requests.
     */
    tryReserve(account: string, tokens: number, rank: number, now: number): ReserveOutcome {
        const entry = this.accounts.get(account);
        if (entry === undefined) {
            return "reserved";
        }
        if (this.hasRoom(entry, tokens, rank, now)) {
            entry.reserved += tokens;
            entry.demand.add(tokens, now);
            this.getRankDemand(entry, rank).add(tokens, now);
            return "reserved";
        }
        return getCharged(entry) + tokens > entry.granted + entry.free ? "exhausted" : "short";
    }

    /** Whether a reservation would be made now. */
    hasEnough(account: string, tokens: number, rank: number, now: number): boolean {
        const entry = this.accounts.get(account);
        return entry === undefined || this.hasRoom(entry, tokens, rank, now);
    }

    /** What decides on reservations of an account now; undefined where it has no limit. */
    tryGetState(account: string, now: number): PurseState | undefined {
        const entry = this.accounts.get(account);
        return entry === undefined ? undefined : {
            granted: entry.granted,
            charged: getCharged(entry),
            room: this.computeRoom(entry, now),
            free: entry.free,
            answerAgeMs: Math.round(now - this.answeredAt),
        };
    }

    /** How many tokens a reservation lacks; 0 where it would be made. */
    getShortfall(account: string, tokens: number, rank: number, now: number): number {
        const entry = this.accounts.get(account);
        return entry === undefined ? 0 : Math.min(tokens, Math.max(0, tokens - this.computeUsable(entry, rank, now)));
    }

    /** Gives at most `tokens` away to another router for good, none that this router would soon miss. Answers how many. */
    lend(account: string, tokens: number, rank: number, now: number): number {
        const entry = this.accounts.get(account);
        if (entry === undefined) {
            return 0;
        }
        const ownNeed = this.computeDemand(entry, now) * this.options.lendReserveMs / MS_PER_SECOND;
        const lent = Math.max(0, Math.min(tokens, Math.floor(this.computeUsable(entry, rank, now) - ownNeed)));
        entry.consumed += lent;
        return lent;
    }

    /** Takes tokens that another router has given away. */
    addBorrowed(account: string, tokens: number): void {
        const entry = this.accounts.get(account);
        if (entry !== undefined) {
            entry.borrowed += tokens;
        }
    }

    /** Counts a request that waits for a grant in the reports; a negative count takes it out again. */
    addWaiting(account: string, tokens: number): void {
        const entry = this.accounts.get(account);
        if (entry !== undefined) {
            entry.waiting += tokens;
        }
    }

    /** Ends a reservation: `used` of its tokens were consumed. */
    settle(account: string, reserved: number, used: number): void {
        const entry = this.accounts.get(account);
        if (entry !== undefined) {
            const consumed = Math.min(used, reserved);
            entry.reserved -= reserved;
            entry.consumed += consumed;
            entry.usedPart += (consumed / reserved - entry.usedPart) * USED_PART_WEIGHT;
        }
    }

    /** The next report. What it gives back is not used any more from here on. */
    createReport(now: number, closing: boolean): PrepaidReportCommand {
        this.sequence += 1;
        const accounts = [...this.accounts].map(([account, entry]) => this.reportAccount(account, entry, now, closing));
        return {
            type: "reportPrepaid",
            router: this.router,
            incarnation: this.incarnation,
            sequence: this.sequence,
            answered: this.answeredSequence,
            uptimeMs: Math.floor(now),
            closing,
            accounts,
        };
    }

    /** Takes the answer to the newest report; one to an older report is ignored, since a newer one may have overtaken it. */
    applyAnswer(sequence: number, answers: readonly PrepaidAnswer[], now: number): void {
        if (sequence !== this.sequence) {
            return;
        }
        this.answeredSequence = sequence;
        this.answeredAt = now;
        for (const answer of answers) {
            const entry = this.accounts.get(answer.account);
            if (entry !== undefined) {
                entry.granted = answer.granted;
                entry.free = answer.free;
                entry.writtenOff = answer.writtenOff;
                entry.allowance = entry.reported;
            }
        }
    }

    private createAccount(prepaid: number): Account {
        return {
            granted: 0,
            consumed: 0,
            reserved: 0,
            waiting: 0,
            borrowed: 0,
            usedPart: 1,
            free: prepaid,
            prepaid,
            writtenOff: 0,
            demand: new MovingRate(this.options.demandHalfLifeMs),
            rankDemand: Array.from({ length: LAST_RANK + 1 }, () => new MovingRate(this.options.demandHalfLifeMs)),
            reported: NO_ALLOWANCE,
            allowance: NO_ALLOWANCE,
        };
    }

    private hasRoom(entry: Account, tokens: number, rank: number, now: number): boolean {
        return tokens <= this.computeUsable(entry, rank, now);
    }

    /** Tokens that requests of a rank may reserve now. */
    private computeUsable(entry: Account, rank: number, now: number): number {
        const left = entry.granted - getCharged(entry);
        return Math.min(this.computeRoom(entry, now), left - this.computeRankReserve(entry, rank, now));
    }

    /** Tokens that may be reserved now. */
    private computeRoom(entry: Account, now: number): number {
        return Math.min(entry.granted, this.computeAllowed(entry, now)) - getCharged(entry);
    }

    /** What requests of a rank leave to more urgent ones: a part of their demand until tokens may come again. */
    private computeRankReserve(entry: Account, rank: number, now: number): number {
        const urgent = entry.rankDemand.slice(0, rank).reduce((sum, demand) => sum + demand.getUnbiasedRate(now), 0);
        const reserve = urgent * entry.usedPart * this.getRankReserveMs(entry, now) / MS_PER_SECOND;
        return Math.floor(Math.max(0, reserve - this.getRefill(entry, now)));
    }

    /**
     * Nothing is left to others while the grant can be refilled, since what is held back from an account that runs out
     * is refused though it would have been covered; unless it is short for what was written off.
     */
    private getRankReserveMs(entry: Account, now: number): number {
        const { horizonMs, rankReservePart, writtenOffPart, shortReserveMs } = this.options;
        if (!this.isInContact(now)) {
            return Math.max(0, horizonMs - (now - this.answeredAt)) * rankReservePart;
        }
        return entry.writtenOff > entry.prepaid * writtenOffPart ? shortReserveMs : 0;
    }

    /** This router's part of what no router has been granted, while it can be had. */
    private getRefill(entry: Account, now: number): number {
        return this.isInContact(now) ? entry.free / this.routers : 0;
    }

    /** Whether the grant can be refilled. */
    private isInContact(now: number): boolean {
        return now - this.answeredAt < this.options.outOfContactMs;
    }

    private getRankDemand(entry: Account, rank: number): MovingRate {
        return entry.rankDemand[Math.min(rank, LAST_RANK)]!;
    }

    /** Tokens that are likely to be consumed a second. */
    private computeDemand(entry: Account, now: number): number {
        return entry.demand.getUnbiasedRate(now) * entry.usedPart;
    }

    /** What the newest answered report allows to have been committed by `now`. */
    private computeAllowed(entry: Account, now: number): number {
        const { committed, burst, perSecond } = entry.allowance;
        return committed + burst + Math.floor(perSecond * (now - this.answeredAt) / MS_PER_SECOND);
    }

    private reportAccount(account: string, entry: Account, now: number, closing: boolean) {
        // To the book, borrowed tokens are spent by the lender, so what is left of them is none of this grant.
        const spent = Math.max(0, getCharged(entry));
        const committed = spent + (closing ? 0 : entry.waiting);
        const demand = this.computeDemand(entry, now);
        const wanted = closing ? 0 : this.computeWanted(entry, demand);
        const most = closing ? spent : committed + Math.ceil(wanted * this.options.keepFactor);
        entry.granted = Math.max(spent, Math.min(entry.granted, most));
        entry.reported = {
            committed,
            burst: Math.ceil(demand * this.options.burstMs / MS_PER_SECOND),
            perSecond: Math.ceil(Math.max(demand * this.options.openingFactor, wanted * this.getOpeningPart())),
        };
        return { account, ...entry.reported, ceiling: entry.granted, wanted };
    }

    /** A grant is open after its horizon at the latest, whatever the demand was before. */
    private getOpeningPart(): number {
        return MS_PER_SECOND / this.options.horizonMs;
    }

    private computeWanted(entry: Account, demand: number): number {
        const { horizonMs, mostHeldPart, firstPart } = this.options;
        const byDemand = demand * horizonMs / MS_PER_SECOND;
        const least = entry.prepaid * firstPart / this.routers;
        // A killed router may leave all it holds behind as spent, so the last tokens are not shared out in advance.
        const left = entry.free / this.routers + Math.max(0, entry.granted - getCharged(entry));
        return Math.ceil(Math.max(Math.min(Math.max(byDemand, least), left * mostHeldPart), entry.waiting));
    }
}

/** What counts against the grant: borrowed tokens are spent first. Negative while some of them are left. */
function getCharged(entry: Account): number {
    return entry.consumed + entry.reserved - entry.borrowed;
}

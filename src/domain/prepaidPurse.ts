/**
 * A router's own side of the prepaid tokens: what it was granted, what its requests have reserved and consumed.
 * It never lets the two pass the grant, so it needs to reach nobody to be safe.
 */
import type { PrepaidReportCommand } from "./bundleCommands.js";
import { MovingRate } from "./movingAverage.js";
import type { PrepaidAnswer } from "./prepaidBook.js";

/** How the purse sizes what it asks for. */
export interface PrepaidPurseOptions {
    /** Demand that a grant should cover, in milliseconds: longer than a router is usually cut off. */
    readonly horizonMs: number;
    /** The same when little of an account is left to grant. */
    readonly shortHorizonMs: number;
    /** Part of an account's prepaid tokens below which what is free counts as little. */
    readonly scarcePart: number;
    /** Part of the prepaid tokens that a router asks for before it knows the demand. */
    readonly firstPart: number;
    readonly demandHalfLifeMs: number;
}

interface Account {
    granted: number;
    consumed: number;
    reserved: number;
    free: number;
    prepaid: number;
    /** Tokens reserved a second. */
    readonly demand: MovingRate;
    /** The largest reservation seen lately; a grant smaller than that admits nothing. */
    largest: number;
}

/** What came of asking for a reservation. */
export type ReserveOutcome = "reserved" | "short" | "exhausted";

export class PrepaidPurse {
    private readonly accounts = new Map<string, Account>();
    private sequence = 0;

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

    /** Sets tokens aside for one run. `exhausted` where what nobody holds would not cover it either. */
    tryReserve(account: string, tokens: number, now: number): ReserveOutcome {
        const entry = this.accounts.get(account);
        if (entry === undefined) {
            return "reserved";
        }
        entry.demand.add(tokens, now);
        entry.largest = Math.max(tokens, entry.largest);
        if (entry.consumed + entry.reserved + tokens <= entry.granted) {
            entry.reserved += tokens;
            return "reserved";
        }
        const room = entry.granted - entry.consumed - entry.reserved + entry.free;
        return room < tokens ? "exhausted" : "short";
    }

    /** Ends a reservation: `used` of its tokens were consumed. */
    settle(account: string, reserved: number, used: number): void {
        const entry = this.accounts.get(account);
        if (entry !== undefined) {
            entry.reserved -= reserved;
            entry.consumed += Math.min(used, reserved);
        }
    }

    /** The next report. What it gives back is not used any more from here on. */
    createReport(now: number, closing: boolean): PrepaidReportCommand {
        this.sequence += 1;
        const accounts = [...this.accounts].map(([account, entry]) => {
            const committed = entry.consumed + entry.reserved;
            const wanted = closing ? 0 : this.computeWanted(entry, now);
            entry.granted = closing ? committed : Math.min(entry.granted, committed + 2 * wanted);
            return { account, committed, ceiling: entry.granted, wanted };
        });
        const { router, incarnation, sequence } = this;
        return { type: "reportPrepaid", router, incarnation, sequence, closing, accounts };
    }

    /** Takes the answer to the newest report; one to an older report is ignored, since a newer one may have overtaken it. */
    applyAnswer(sequence: number, answers: readonly PrepaidAnswer[]): void {
        if (sequence !== this.sequence) {
            return;
        }
        for (const answer of answers) {
            const entry = this.accounts.get(answer.account);
            if (entry !== undefined) {
                entry.granted = answer.granted;
                entry.free = answer.free;
            }
        }
    }

    /** Tokens that may still be reserved here. */
    getRoom(account: string): number {
        const entry = this.accounts.get(account);
        return entry === undefined ? Infinity : entry.granted - entry.consumed - entry.reserved;
    }

    private createAccount(prepaid: number): Account {
        return {
            granted: 0,
            consumed: 0,
            reserved: 0,
            free: prepaid,
            prepaid,
            demand: new MovingRate(this.options.demandHalfLifeMs),
            largest: 0,
        };
    }

    private computeWanted(entry: Account, now: number): number {
        const { horizonMs, shortHorizonMs, scarcePart, firstPart } = this.options;
        const isScarce = entry.free < entry.prepaid * scarcePart;
        const byDemand = entry.demand.getRate(now) * (isScarce ? shortHorizonMs : horizonMs) / 1000;
        const least = isScarce ? Math.min(entry.largest, entry.prepaid * firstPart) : entry.prepaid * firstPart;
        return Math.ceil(Math.max(byDemand, least, entry.largest));
    }
}

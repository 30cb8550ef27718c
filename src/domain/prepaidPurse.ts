/**
 * A router's own side of the prepaid tokens: what it was granted, what its requests have reserved and consumed.
 *
 * It never lets the two pass the grant, nor what its last answered report allows by now (see prepaidBook.ts), so it
 * needs to reach nobody to be safe. Routers lend each other tokens: to the book the lender has spent them, and the borrower
 * spends them before its own. What goes back of a loan is a loan the other way.
 */
import type { PrepaidReportCommand } from "./bundleCommands.js";
import type { PrepaidAnswer } from "./prepaidBook.js";
import type { PrepaidPurseOptions } from "./prepaidPurseOptions.js";
import { type AccountHolding, PurseAccount, type PurseState, type ReserveOutcome } from "./purseAccount.js";

/** Tokens of an account that were lent for a request and not used. */
export interface LeftOfLoan {
    readonly account: string;
    readonly tokens: number;
}

const HELD_ALONE: AccountHolding = { isHolder: true, holders: 1 };

/** Times passed in (`now`) are on the monotonic clock of the router's process, in milliseconds. */
export class PrepaidPurse {
    private readonly accounts = new Map<string, PurseAccount>();
    private sequence = 0;
    private answeredSequence = 0;
    /** Shared with the accounts. */
    private readonly contact = { answeredAt: 0 };
    private getHolding: (account: string) => AccountHolding = () => HELD_ALONE;

    constructor(
        private readonly router: string,
        private readonly incarnation: string,
        private readonly options: PrepaidPurseOptions,
    ) {}

    /**
     * Takes the limits of the bundle in force; accounts without a limit are not held here. Answers whether any of them has
     * changed or is new.
     */
    setLimits(limits: readonly { readonly account: string; readonly tokens: number; }[]): boolean {
        let hasChanged = false;
        for (const { account, tokens } of limits) {
            const known = this.accounts.get(account);
            if (known === undefined) {
                const added = new PurseAccount(tokens, this.contact, this.options);
                added.setHolding(this.getHolding(account));
                this.accounts.set(account, added);
                hasChanged = true;
            }
            else if (known.setPrepaid(tokens)) {
                hasChanged = true;
            }
        }
        return hasChanged;
    }

    /** Takes who holds tokens of each account, also of those that come later. */
    setHoldings(getHolding: (account: string) => AccountHolding): void {
        this.getHolding = getHolding;
        this.accounts.forEach((account, name) => account.setHolding(getHolding(name)));
    }

    /**
     * Sets tokens aside for one run. `exhausted` where what nobody holds would not cover it either. `rank`: 0 is the
     * most urgent; while the grant cannot be refilled, the others leave some for more urgent requests.
     */
    tryReserve(account: string, tokens: number, rank: number, now: number): ReserveOutcome {
        return this.accounts.get(account)?.tryReserve(tokens, rank, now) ?? "reserved";
    }

    /** Whether a reservation would be made now. */
    hasEnough(account: string, tokens: number, rank: number, now: number): boolean {
        return this.accounts.get(account)?.hasEnough(tokens, rank, now) ?? true;
    }

    /** What decides on reservations of an account now; undefined where it has no limit. */
    tryGetState(account: string, now: number): PurseState | undefined {
        return this.accounts.get(account)?.getState(now);
    }

    /** How many tokens a reservation lacks; 0 where it would be made. */
    getShortfall(account: string, tokens: number, rank: number, now: number): number {
        return this.accounts.get(account)?.getShortfall(tokens, rank, now) ?? 0;
    }

    /**
     * Gives at most `tokens` away to another router for good, none that this router would soon miss. `isHeldForAsker`: the
     * account is held for that one too. Answers how many.
     */
    lend(account: string, tokens: number, rank: number, isHeldForAsker: boolean, now: number): number {
        return this.accounts.get(account)?.lend(tokens, rank, isHeldForAsker, now) ?? 0;
    }

    /** Takes tokens that another router has given away. */
    addBorrowed(account: string, tokens: number): void {
        this.accounts.get(account)?.addBorrowed(tokens);
    }

    /** What is left of loans, of the accounts that other routers hold for this one. */
    listLeftOfLoans(): LeftOfLoan[] {
        return [...this.accounts].flatMap(([account, entry]) => {
            const tokens = entry.getLeftOfLoans();
            return tokens > 0 ? [{ account, tokens }] : [];
        });
    }

    /** Takes back what is left of a loan. */
    takeReturned(account: string, tokens: number, now: number): void {
        this.accounts.get(account)?.takeReturned(tokens, now);
    }

    /** Gives tokens away that were lent and not used. */
    returnLoan(account: string, tokens: number): void {
        this.accounts.get(account)?.returnLoan(tokens);
    }

    /** Counts a request that waits for a grant in the reports; a negative count takes it out again. */
    addWaiting(account: string, tokens: number): void {
        this.accounts.get(account)?.addWaiting(tokens);
    }

    /** Ends a reservation: `used` of its tokens were consumed. */
    settle(account: string, reserved: number, used: number): void {
        this.accounts.get(account)?.settle(reserved, used);
    }

    /** Whether there is any account to report. */
    hasAccounts(): boolean {
        return this.accounts.size > 0;
    }

    /**
     * The next report, of the accounts that it is due for. What it gives back is not used any more from here on. `wallMs`:
     * the box's time of day.
     */
    createReport(now: number, wallMs: number, closing: boolean): PrepaidReportCommand {
        this.sequence += 1;
        const due = [...this.accounts].filter(([, account]) => closing || account.isReportDue(now));
        return {
            type: "reportPrepaid",
            router: this.router,
            incarnation: this.incarnation,
            sequence: this.sequence,
            answered: this.answeredSequence,
            uptimeMs: Math.floor(now),
            wallMs,
            wholeAfterMs: this.options.wholeAfterMs,
            closing,
            accounts: due.map(([name, account]) => account.createReportEntry(name, now, closing)),
        };
    }

    /** Takes the answer to the newest report; one to an older report is ignored, since a newer one may have overtaken it. */
    applyAnswer(sequence: number, answers: readonly PrepaidAnswer[], now: number): void {
        if (sequence !== this.sequence) {
            return;
        }
        this.answeredSequence = sequence;
        this.contact.answeredAt = now;
        for (const answer of answers) {
            this.accounts.get(answer.account)?.applyAnswer(answer);
        }
    }
}

/**
 * A router's local view of prepaid tokens: its grants, and what requests have reserved and consumed.
 *
 * Reservations exceed neither the grant nor the limit set by the last answered report, so no communication is needed
 * to prevent overspending. Routers lend each other tokens: the lender reports them as spent, and the borrower uses them
 * before its own grant. Returning tokens is a loan in the opposite direction.
 */
import type { PrepaidReportCommand } from "./bundleCommands.js";
import {
    type AccountDemand,
    type AccountHolding,
    LocalAccountBudget,
    type LocalAccountBudgetState,
    type ReserveOutcome,
} from "./localAccountBudget.js";
import type { LocalTokenBudgetOptions } from "./localTokenBudgetOptions.js";
import type { PrepaidAnswer } from "./prepaidLedger.js";
import { assertInvariant } from "./resultCodes.js";

/** Borrowed tokens of an account that a request did not use. */
export interface UnusedLoan {
    readonly account: string;
    readonly tokens: number;
}

type NamedAccount = readonly [name: string, account: LocalAccountBudget];

/**
 * Accounts that a report includes although it may omit them: bounds its length and the work of those who receive it. Fewer after each
 * report that was not answered, since it may have taken too long.
 */
const MAX_OPTIONAL_ACCOUNTS = 5_000;
const MIN_OPTIONAL_ACCOUNTS = 50;

const SOLE_HOLDER: AccountHolding = { isHolder: true, holders: 1 };

/** All `now` parameters are milliseconds on the monotonic clock of the router process. */
export class LocalTokenBudget {
    /** The accounts that have a limit, or had one, or have used tokens without one, which count once they get one. */
    private readonly accounts = new Map<string, LocalAccountBudget>();
    private sequence = 0;
    private answeredSequence = 0;
    private isAnyOmitted = false;
    private maxOptionalAccounts = MAX_OPTIONAL_ACCOUNTS;
    /** Shared with all accounts. */
    private readonly lastAnswer = { answeredAt: 0 };
    private getHolding: (account: string) => AccountHolding = () => SOLE_HOLDER;

    constructor(
        private readonly router: string,
        private readonly incarnation: string,
        private readonly options: LocalTokenBudgetOptions,
    ) {}

    /**
     * Sets the limits of the active bundle. What an account has reserved and consumed counts whatever limits it has meanwhile.
     * Returns whether any limit was added, changed or removed.
     */
    setLimits(limits: readonly { readonly account: string; readonly tokens: number; }[], revision: number): boolean {
        let hasChanged = false;
        const limited = new Set(limits.map(({ account }) => account));
        for (const [account, entry] of this.accounts) {
            if (!limited.has(account) && entry.removeLimit()) {
                hasChanged = true;
            }
        }
        for (const { account, tokens } of limits) {
            const known = this.accounts.get(account);
            if (known === undefined) {
                this.addAccount(account, tokens);
                hasChanged = true;
            }
            else if (known.setPrepaid(tokens, revision)) {
                hasChanged = true;
            }
        }
        return hasChanged;
    }

    /** Sets which routers hold the tokens of each account, including accounts that are added later. */
    setHoldings(getHolding: (account: string) => AccountHolding): void {
        this.getHolding = getHolding;
        this.accounts.forEach((account, name) => account.setHolding(getHolding(name)));
    }

    /**
     * Reserves tokens for one request. Returns `exhausted` if the ungranted tokens of the account would not suffice
     * either. `rank` 0 is the most urgent; while the grant cannot be refilled, lower ranks leave tokens for more urgent
     * requests.
     */
    tryReserve(account: string, tokens: number, rank: number, now: number): ReserveOutcome {
        const entry = this.accounts.get(account) ?? this.addAccount(account, undefined);
        return entry.tryReserve(tokens, rank, now);
    }

    /** Whether a reservation would succeed now. */
    hasEnough(account: string, tokens: number, rank: number, now: number): boolean {
        return this.accounts.get(account)?.hasEnough(tokens, rank, now) ?? true;
    }

    /** Whether the active bundle limits an account. */
    isLimited(account: string): boolean {
        return this.accounts.get(account)?.isLimited() ?? false;
    }

    /** Whether an account without a limit has used more than the controllers know of. */
    isOverdrawn(account: string): boolean {
        return this.accounts.get(account)?.isOverdrawn() ?? false;
    }

    /** Whether the controllers have answered a report about the account; true for accounts without a limit. */
    hasAnswer(account: string): boolean {
        return this.accounts.get(account)?.hasAnswer() ?? true;
    }

    /** Returns what determines reservations of an account, or undefined if nothing of it is known. */
    tryGetState(account: string, now: number): LocalAccountBudgetState | undefined {
        return this.accounts.get(account)?.getState(now);
    }

    /** Returns the demand of all routers for each account, according to the controllers' newest answers. */
    listFleetDemand(): (AccountDemand & { readonly account: string; })[] {
        return [...this.accounts].flatMap(([account, entry]) => {
            const demand = entry.tryGetFleetDemand();
            return demand === undefined ? [] : [{ account, ...demand }];
        });
    }

    /** Includes the accounts without an answer since `answeredBefore` in the next report. */
    requestAnswers(answeredBefore: number): void {
        this.accounts.forEach(entry => entry.requestAnswer(answeredBefore));
    }

    /** Returns how many tokens a reservation lacks, or 0 if it would succeed. */
    getShortfall(account: string, tokens: number, rank: number, now: number): number {
        return this.accounts.get(account)?.getShortfall(tokens, rank, now) ?? 0;
    }

    /**
     * Transfers up to `tokens` to another router, except tokens that this router will need soon. `isHeldForAsker`: this
     * router also holds the account for the borrower. `isInAdvance`: no request waits for the loan. Returns the number of
     * tokens transferred.
     */
    lend(
        account: string,
        tokens: number,
        rank: number,
        isHeldForAsker: boolean,
        now: number,
        isInAdvance = false,
    ): number {
        return this.accounts.get(account)?.lend(tokens, rank, isHeldForAsker, now, isInAdvance) ?? 0;
    }

    /** Returns the tokens of the grant that are left for loans, now or later. */
    computeLendableTokens(account: string, isHeldForAsker: boolean, now: number): number {
        return this.accounts.get(account)?.computeLendableTokens(isHeldForAsker, now) ?? 0;
    }

    /** Adds tokens received from another router. */
    addBorrowed(account: string, tokens: number): void {
        this.accounts.get(account)?.addBorrowed(tokens);
    }

    /** Returns the unused borrowed tokens of accounts that other routers hold for this one. */
    listUnusedLoans(): UnusedLoan[] {
        return [...this.accounts].flatMap(([account, entry]) => {
            const tokens = entry.getUnusedLoanTokens();
            return tokens > 0 ? [{ account, tokens }] : [];
        });
    }

    /** Adds tokens that a borrower returned. */
    addReturnedLoan(account: string, tokens: number, now: number): void {
        this.accounts.get(account)?.addReturnedLoan(tokens, now);
    }

    /** Deducts unused borrowed tokens that are returned to their holder. */
    deductReturnedLoan(account: string, tokens: number): void {
        this.accounts.get(account)?.deductReturnedLoan(tokens);
    }

    /** Adds a waiting request's tokens to the demand in reports; a negative number removes them. */
    addWaiting(account: string, tokens: number): void {
        this.accounts.get(account)?.addWaiting(tokens);
    }

    /** Ends a reservation of which `used` tokens were consumed. */
    settle(account: string, reserved: number, used: number): void {
        const entry = this.accounts.get(account);
        assertInvariant(entry !== undefined, `tokens of account ${account} are settled that were not reserved`);
        entry.settle(reserved, used);
    }

    hasAccounts(): boolean {
        return this.accounts.size > 0;
    }

    /** Whether the newest report omits accounts that are due. */
    hasOmitted(): boolean {
        return this.isAnyOmitted;
    }

    /**
     * Creates the next report, with the accounts that are due, or as many as it holds. Tokens that it gives back can no longer be
     * reserved. `wallMs`: wall-clock time of the box.
     */
    createReport(now: number, wallMs: number, closing: boolean): PrepaidReportCommand {
        this.maxOptionalAccounts = this.answeredSequence === this.sequence
            ? Math.min(this.maxOptionalAccounts * 2, MAX_OPTIONAL_ACCOUNTS)
            : Math.max(Math.floor(this.maxOptionalAccounts / 2), MIN_OPTIONAL_ACCOUNTS);
        this.sequence += 1;
        const due = this.selectReported(
            [...this.accounts].filter(([, account]) => closing || account.isReportDue(now)),
        );
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

    /**
     * Applies the answer to the newest report. Answers to older reports are ignored because a newer report may already
     * have been applied. `revision`: of the bundle whose limits were in effect at the controllers; undefined if unknown.
     */
    applyAnswer(sequence: number, answers: readonly PrepaidAnswer[], now: number, revision?: number): void {
        if (sequence !== this.sequence) {
            return;
        }
        this.answeredSequence = sequence;
        this.lastAnswer.answeredAt = now;
        for (const answer of answers) {
            this.accounts.get(answer.account)?.applyAnswer(answer, revision);
        }
    }

    /** Omits accounts if there are more than one report should hold. */
    private selectReported(due: readonly NamedAccount[]): readonly NamedAccount[] {
        const required = due.filter(([, account]) => !account.mayOmitFromReport());
        const optionalCount = due.length - required.length;
        const { maxOptionalAccounts } = this;
        this.isAnyOmitted = optionalCount > maxOptionalAccounts;
        return this.isAnyOmitted
            ? [...required, ...due.filter(([, account]) => account.mayOmitFromReport()).slice(0, maxOptionalAccounts)]
            : due;
    }

    /** `prepaid`: undefined if the account has no limit. */
    private addAccount(name: string, prepaid: number | undefined): LocalAccountBudget {
        const account = new LocalAccountBudget(prepaid, this.lastAnswer, this.options);
        account.setHolding(this.getHolding(name));
        this.accounts.set(name, account);
        return account;
    }
}

/** Loans between simulated routers, whose answers arrive on time, late or never. */
import type { AdvanceLoans } from "../../src/domain/advanceLoans.js";
import type { LocalTokenBudget } from "../../src/domain/localTokenBudget.js";

/** Fraction of loans that arrive on time, and fraction that arrive at all if late loans are simulated. */
const ON_TIME_FRACTION = 0.8;
const DELIVERED_FRACTION = 0.9;
/** Probability that the request for a loan in advance is delivered twice, where only one answer arrives. */
const DOUBLED_PROBABILITY = 0.05;

interface Reservation {
    readonly account: string;
    readonly tokens: number;
}

export interface RouterProcess {
    readonly incarnation: string;
    readonly startedAt: number;
    readonly tokenBudget: LocalTokenBudget;
    readonly advanceLoans: AdvanceLoans;
    readonly reservations: Reservation[];
    isPartitioned: boolean;
}

interface RequestedLoan {
    readonly account: string;
    readonly tokens: number;
    readonly rank: number;
    readonly isHeldForAsker: boolean;
    readonly isInAdvance: boolean;
}

interface SentLoan {
    readonly borrower: RouterProcess;
    readonly account: string;
    readonly tokens: number;
    readonly dueAt: number;
    readonly isInAdvance: boolean;
}

/** All `now` parameters are milliseconds of simulated time. */
export class SimulatedLoans {
    /** Tokens that arrived with loans in advance. */
    borrowedInAdvance = 0;
    private lateLoans: SentLoan[] = [];

    /** `hasLateLoans`: half of the loans that do not arrive on time arrive within `maxDelayMs`, and the rest are lost. */
    constructor(
        private readonly random: () => number,
        private readonly hasLateLoans: boolean,
        private readonly maxDelayMs: number,
    ) {}

    lend(lender: RouterProcess, borrower: RouterProcess, request: RequestedLoan, now: number): void {
        const { account, isInAdvance } = request;
        const lent = lender === borrower ? 0 : deductLoan(lender, request, now);
        const draw = this.random();
        if (draw < ON_TIME_FRACTION) {
            this.receive({ borrower, account, tokens: lent, dueAt: now, isInAdvance });
        }
        else if (this.hasLateLoans && draw < DELIVERED_FRACTION) {
            const delayMs = (draw - ON_TIME_FRACTION) / (DELIVERED_FRACTION - ON_TIME_FRACTION) * this.maxDelayMs;
            this.lateLoans.push({ borrower, account, tokens: lent, dueAt: now + delayMs, isInAdvance });
        }
    }

    /** Borrows in advance from the holder if the router's demand calls for it; some requests are delivered twice. */
    borrowInAdvance(holder: RouterProcess, borrower: RouterProcess, request: RequestedLoan, now: number): void {
        const { account, tokens, rank } = request;
        const { advanceLoans, tokenBudget } = borrower;
        const uptimeMs = now - borrower.startedAt;
        advanceLoans.recordRequest(account, tokens, rank, uptimeMs);
        const left = holder.tokenBudget.computeLendableTokens(account, true, now - holder.startedAt);
        advanceLoans.recordLender(account, holder.incarnation, left, uptimeMs);
        const available = tokenBudget.tryGetState(account, uptimeMs)!.room;
        const loan = advanceLoans.tryStartLoan(account, available, () => [holder.incarnation], uptimeMs);
        if (loan !== undefined) {
            const loanRequest = { ...request, ...loan };
            if (this.random() < DOUBLED_PROBABILITY) {
                deductLoan(holder, loanRequest, now);
            }
            this.lend(holder, borrower, loanRequest, now);
            // The borrower does not wait for a late answer.
            advanceLoans.finishLoan(account);
        }
    }

    /** Loans for a router process that has ended are lost with its connections. */
    deliverLate(isRunning: (routerProcess: RouterProcess) => boolean, now: number): void {
        const due = this.lateLoans.filter(({ dueAt }) => dueAt <= now);
        this.lateLoans = this.lateLoans.filter(({ dueAt }) => dueAt > now);
        due.filter(({ borrower }) => isRunning(borrower)).forEach(loan => this.receive(loan));
    }

    private receive({ borrower, account, tokens, isInAdvance }: SentLoan): void {
        borrower.tokenBudget.addBorrowed(account, tokens);
        this.borrowedInAdvance += isInAdvance ? tokens : 0;
    }
}

function deductLoan({ tokenBudget, startedAt }: RouterProcess, request: RequestedLoan, now: number): number {
    const { account, tokens, rank, isHeldForAsker, isInAdvance } = request;
    return tokenBudget.lend(account, tokens, rank, isHeldForAsker, now - startedAt, isInAdvance);
}

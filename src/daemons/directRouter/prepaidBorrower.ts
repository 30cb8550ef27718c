/**
 * Borrows prepaid tokens from other routers: from the account's holder in this router's group or, if the controllers
 * are unreachable or have no tokens left, from its holders in other groups. Borrows either for one request that waits,
 * or in advance for an account that has requests. Returns the tokens that are neither used nor kept in advance.
 */
import { type AdvanceLoan, AdvanceLoans, advanceLoanSettings } from "../../domain/advanceLoans.js";
import type { LocalTokenBudget, UnusedLoan } from "../../domain/localTokenBudget.js";
import type { TokenHolders } from "../../domain/tokenHolders.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import type { PeerHandlers, PeerNetwork } from "../../ports/peer.js";
import {
    lendPrepaidMethod,
    type LoanAnswer,
    type LoanRequest,
    returnPrepaidMethod,
} from "../../protocol/fleetMethods.js";
import { parseSection } from "../../settings/checkSection.js";
import type { RouterLinks } from "./routerLinks.js";

/** Times in milliseconds. */
export interface PrepaidBorrowerOptions {
    /** Maximum number of holders in other groups that are asked per request, sequentially. */
    readonly maxLenders: number;
    /** How long a request waits for a lender's response. */
    readonly callTimeoutMs: number;
    /** How long a response is awaited in the background: without it, the tokens lent are lost. */
    readonly lateResponseTimeoutMs: number;
    /** How long a router that did not respond is not asked again. */
    readonly backoffMs: number;
    /** Interval between returns of unused tokens. */
    readonly returnPeriodMs: number;
    /** Duration of the router's own demand that it borrows in advance; absent or 0: nothing is borrowed in advance. */
    readonly aheadMs?: number;
}

export class PrepaidBorrower {
    /** Round-robin counter over the holders in other groups. */
    private lendersAsked = 0;
    /** By address: the time until which an unresponsive router is not asked. Monotonic clock, milliseconds. */
    private readonly backoffUntil = new Map<string, number>();
    private returnTimer: NodeJS.Timeout | undefined;
    private readonly advanceLoans: AdvanceLoans;
    private isStopped = false;

    /** Throws settingsInvalid. */
    constructor(
        private readonly tokenBudget: LocalTokenBudget,
        private readonly holders: TokenHolders,
        private readonly network: PeerNetwork,
        private readonly routerLinks: RouterLinks,
        private readonly log: Log,
        private readonly metrics: Metrics,
        private readonly options: PrepaidBorrowerOptions,
    ) {
        this.advanceLoans = new AdvanceLoans(readAheadMs(options));
    }

    /** Starts the periodic return of unused tokens. */
    start(): void {
        this.returnTimer = setInterval(() => this.returnLoans(), this.options.returnPeriodMs);
    }

    /** Ends loans in advance and returns all unused tokens, as well as those of loans that are answered later. */
    stop(): void {
        clearInterval(this.returnTimer);
        this.isStopped = true;
        this.advanceLoans.stop();
        this.returnLoans();
    }

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(lendPrepaidMethod, ({ account, tokens, rank, isHeldForAsker, isInAdvance }) => {
            const now = performance.now();
            const lent = this.tokenBudget.lend(account, tokens, rank, isHeldForAsker, now, isInAdvance);
            // If the loan falls short and the request is refused, the borrower logs it.
            if (lent > 0 && !isHeldForAsker) {
                this.log.info("prepaid_lent", { account, asked: tokens, lent });
            }
            return this.advanceLoans.isEnabled()
                ? { tokens: lent, left: this.tokenBudget.computeLendableTokens(account, isHeldForAsker, now) }
                : { tokens: lent };
        });
        handlers.add(returnPrepaidMethod, ({ accounts }) => {
            const now = performance.now();
            accounts.forEach(({ account, tokens }) => this.tokenBudget.addReturnedLoan(account, tokens, now));
        });
    }

    /**
     * Records that a request wants to reserve tokens, and borrows in advance if few are left for the next ones. Loans in
     * advance are for routers that do not hold the account: a holder's grant covers its demand for longer.
     */
    recordRequest(account: string, tokens: number, rank: number): void {
        if (!this.advanceLoans.isEnabled() || this.holders.isHolder(account) || !this.tokenBudget.isLimited(account)) {
            return;
        }
        const now = performance.now();
        const state = this.tokenBudget.tryGetState(account, now);
        if (state === undefined) {
            return;
        }
        this.advanceLoans.recordRequest(account, tokens, rank, now);
        const loan = this.advanceLoans.tryStartLoan(account, state.room, () => this.listLenders(account), now);
        if (loan !== undefined) {
            void this.borrowInAdvance(account, loan);
        }
    }

    /** Lists the routers to ask in advance: the holder of this router's group, then those of other groups in turn. */
    private listLenders(account: string): string[] {
        const isEligible = (address: string): boolean => this.isEligible(address);
        const holder = this.holders.tryGetReachableHolder(account, isEligible);
        const others = this.holders.listHoldersOfOtherGroups(account, isEligible);
        const first = others.length === 0 ? 0 : this.lendersAsked % others.length;
        const rotated = [...others.slice(first), ...others.slice(0, first)].slice(0, this.options.maxLenders);
        return holder === undefined ? rotated : [holder, ...rotated];
    }

    /** Never rejects. */
    private async borrowInAdvance(account: string, { lender, tokens, rank }: AdvanceLoan): Promise<void> {
        const holder = this.holders.tryGetReachableHolder(account, address => this.isEligible(address));
        if (lender !== holder) {
            this.lendersAsked += 1;
        }
        this.metrics.addCount("prepaid_loans_in_advance");
        const request = { account, tokens, rank, isHeldForAsker: lender === holder, isInAdvance: true };
        await this.requestLoan(lender, request, this.advanceLoans.getAnswerTimeoutMs());
        this.advanceLoans.finishLoan(account);
    }

    /**
     * Returns unused tokens to the holders, except those kept in advance. Requests reserve their maximum consumption, so
     * unused tokens would otherwise accumulate at the borrowers while other routers refuse requests.
     */
    returnLoans(): void {
        const byHolder = new Map<string, UnusedLoan[]>();
        for (const unused of this.listExcessLoans()) {
            const holder = this.holders.tryGetReachableHolder(unused.account, address => this.isEligible(address));
            if (holder !== undefined) {
                byHolder.set(holder, [...byHolder.get(holder) ?? [], unused]);
            }
        }
        for (const [holder, accounts] of byHolder) {
            if (this.routerLinks.tryNotify(holder, returnPrepaidMethod, { accounts })) {
                accounts.forEach(({ account, tokens }) => this.tokenBudget.deductReturnedLoan(account, tokens));
            }
        }
    }

    /** Lists the unused borrowed tokens beyond those kept in advance. */
    private listExcessLoans(): UnusedLoan[] {
        const now = performance.now();
        this.advanceLoans.evictIdle(now);
        return this.tokenBudget.listUnusedLoans().flatMap(({ account, tokens }) => {
            const excess = tokens - this.advanceLoans.computeKeptTokens(account, now);
            return excess > 0 ? [{ account, tokens: excess }] : [];
        });
    }

    /** Borrows the shortfall of a reservation from the nearest holder. Returns whether the reservation is covered. */
    async borrowFromHolder(account: string, tokens: number, rank: number): Promise<boolean> {
        const holder = this.holders.tryGetReachableHolder(account, address => this.isEligible(address));
        const shortfall = this.getShortfall(account, tokens, rank);
        if (holder !== undefined && shortfall > 0) {
            await this.requestLoan(holder, { account, tokens: shortfall, rank, isHeldForAsker: true });
        }
        return this.getShortfall(account, tokens, rank) === 0;
    }

    /** Borrows the shortfall sequentially from holders in other groups. Returns whether the reservation is covered. */
    async borrowFromOtherGroups(account: string, tokens: number, rank: number): Promise<boolean> {
        const lenders = this.holders.listHoldersOfOtherGroups(account, address => this.isEligible(address));
        const count = Math.min(this.options.maxLenders, lenders.length);
        for (let i = 0; i < count; i++) {
            const shortfall = this.getShortfall(account, tokens, rank);
            if (shortfall === 0) {
                return true;
            }
            const address = lenders[this.lendersAsked++ % lenders.length]!;
            await this.requestLoan(address, { account, tokens: shortfall, rank, isHeldForAsker: false });
        }
        return this.getShortfall(account, tokens, rank) === 0;
    }

    private getShortfall(account: string, tokens: number, rank: number): number {
        return this.tokenBudget.getShortfall(account, tokens, rank, performance.now());
    }

    /** Whether a router may be asked for a loan, that is, its backoff has expired. */
    private isEligible(address: string): boolean {
        if (performance.now() < (this.backoffUntil.get(address) ?? -Infinity)) {
            return false;
        }
        this.backoffUntil.delete(address);
        return true;
    }

    /** Asks one router for a loan. Resolves when it has responded or `timeoutMs` has elapsed. */
    private async requestLoan(
        address: string,
        request: LoanRequest,
        timeoutMs = this.options.callTimeoutMs,
    ): Promise<void> {
        const loan = this.receiveLoan(address, request, timeoutMs);
        let timer: NodeJS.Timeout | undefined;
        const timeout = new Promise<"late">(resolve => {
            timer = setTimeout(() => resolve("late"), timeoutMs);
        });
        if (await Promise.race([loan, timeout]) === "late") {
            this.startBackoff(address);
            this.log.info("prepaid_loan_late", { router: address, account: request.account, tokens: request.tokens });
        }
        clearTimeout(timer);
    }

    /**
     * Adds the tokens lent to the local token budget, even if the response is too late for the request: the lender has already
     * deducted them. Late tokens are returned with other unused tokens. Never rejects.
     */
    private async receiveLoan(address: string, request: LoanRequest, timeoutMs: number): Promise<void> {
        const { lateResponseTimeoutMs } = this.options;
        const { account, tokens } = request;
        try {
            const answer = await this.network.call(
                address,
                lendPrepaidMethod,
                request,
                lateResponseTimeoutMs,
                timeoutMs,
            );
            this.backoffUntil.delete(address);
            this.tokenBudget.addBorrowed(account, answer.tokens);
            this.recordAnswer(address, request, answer);
        }
        catch (error) {
            // Tokens already deducted by the lender are lost. This is safe: the lender will report more demand.
            this.log.warn("prepaid_not_borrowed", { router: address, account, tokens, error: String(error) });
            this.startBackoff(address);
        }
    }

    private recordAnswer(address: string, { account, tokens, isInAdvance }: LoanRequest, answer: LoanAnswer): void {
        this.advanceLoans.recordLender(account, address, answer.left, performance.now());
        if (isInAdvance === true && answer.tokens < tokens) {
            this.log.info("prepaid_advance_short", {
                router: address,
                account,
                asked: tokens,
                lent: answer.tokens,
                left: answer.left,
            });
        }
        if (this.isStopped) {
            this.returnLoans();
        }
    }

    private startBackoff(address: string): void {
        this.backoffUntil.set(address, performance.now() + this.options.backoffMs);
    }
}

/** Returns the checked duration of demand to borrow in advance, in milliseconds. */
function readAheadMs({ aheadMs }: PrepaidBorrowerOptions): number {
    return parseSection("borrower", advanceLoanSettings, { aheadMs }).aheadMs;
}

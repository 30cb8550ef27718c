/**
 * Borrows prepaid tokens from other routers: from the account's holder in this router's group or, if the controllers
 * are unreachable or have no tokens left, from its holders in other groups. Returns unused tokens.
 */
import type { LocalTokenBudget, UnusedLoan } from "../../domain/localTokenBudget.js";
import type { TokenHolders } from "../../domain/tokenHolders.js";
import type { Log } from "../../ports/log.js";
import type { PeerHandlers, PeerNetwork } from "../../ports/peer.js";
import { lendPrepaidMethod, type LoanRequest, returnPrepaidMethod } from "../../protocol/fleetMethods.js";
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
}

export class PrepaidBorrower {
    /** Round-robin counter over the holders in other groups. */
    private lendersAsked = 0;
    /** By address: the time until which an unresponsive router is not asked. Monotonic clock, milliseconds. */
    private readonly backoffUntil = new Map<string, number>();
    private returnTimer: NodeJS.Timeout | undefined;

    constructor(
        private readonly tokenBudget: LocalTokenBudget,
        private readonly holders: TokenHolders,
        private readonly network: PeerNetwork,
        private readonly routerLinks: RouterLinks,
        private readonly log: Log,
        private readonly options: PrepaidBorrowerOptions,
    ) {}

    /** Starts the periodic return of unused tokens. */
    start(): void {
        this.returnTimer = setInterval(() => this.returnLoans(), this.options.returnPeriodMs);
    }

    stop(): void {
        clearInterval(this.returnTimer);
    }

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(lendPrepaidMethod, ({ account, tokens, rank, isHeldForAsker }) => {
            const lent = this.tokenBudget.lend(account, tokens, rank, isHeldForAsker, performance.now());
            // If the loan falls short and the request is refused, the borrower logs it.
            if (lent > 0 && !isHeldForAsker) {
                this.log.info("prepaid_lent", { account, asked: tokens, lent });
            }
            return { tokens: lent };
        });
        handlers.add(returnPrepaidMethod, ({ accounts }) => {
            const now = performance.now();
            accounts.forEach(({ account, tokens }) => this.tokenBudget.addReturnedLoan(account, tokens, now));
        });
    }

    /**
     * Returns unused tokens to the holders. Requests reserve their maximum consumption, so unused tokens would otherwise
     * accumulate at the borrowers while other routers refuse requests.
     */
    returnLoans(): void {
        const byHolder = new Map<string, UnusedLoan[]>();
        for (const unused of this.tokenBudget.listUnusedLoans()) {
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

    /** Asks one router for a loan. Resolves when it has responded or `callTimeoutMs` has elapsed. */
    private async requestLoan(address: string, request: LoanRequest): Promise<void> {
        const loan = this.receiveLoan(address, request);
        let timer: NodeJS.Timeout | undefined;
        const timeout = new Promise<"late">(resolve => {
            timer = setTimeout(() => resolve("late"), this.options.callTimeoutMs);
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
    private async receiveLoan(address: string, request: LoanRequest): Promise<void> {
        const { callTimeoutMs, lateResponseTimeoutMs } = this.options;
        const { account, tokens } = request;
        try {
            const answer = await this.network.call(
                address,
                lendPrepaidMethod,
                request,
                lateResponseTimeoutMs,
                callTimeoutMs,
            );
            this.backoffUntil.delete(address);
            this.tokenBudget.addBorrowed(account, answer.tokens);
        }
        catch (error) {
            // Tokens already deducted by the lender are lost. This is safe: the lender will report more demand.
            this.log.warn("prepaid_not_borrowed", { router: address, account, tokens, error: String(error) });
            this.startBackoff(address);
        }
    }

    private startBackoff(address: string): void {
        this.backoffUntil.set(address, performance.now() + this.options.backoffMs);
    }
}

/**
 * Replicated budget state: top-ups, unallocated tokens and the share allotted to each ledger. Allotted tokens can only be
 * returned by the ledger that holds them.
 */
import type {
    AllotCommand,
    CreditTopUpCommand,
    RegisterLedgerCommand,
    ReportSharesCommand,
    ShareReport,
} from "./commands.js";
import { createRefusal, type Refusal } from "./resultCodes.js";

/** A ledger's share of a budget as of the applied log. The allotted and returned totals are monotonic. */
export interface Share {
    allottedTotal: number;
    returnedTotal: number;
    spentTotal: number;
    unaccountedTotal: number;
    demand: number;
    /** Sequence number of the last allotment; makes allotments idempotent. */
    allotSequence: number;
}

export interface BudgetAccount {
    toppedUp: number;
    unallocated: number;
    shares: Record<string, Share>;
}

/** An incarnation of a ledger. A sealed incarnation receives no further allotments. */
export interface LedgerRecord {
    readonly ledger: string;
    readonly controller: string;
    readonly zone: string;
    sealed: boolean;
}

/** A committed top-up. Kept permanently, so that its operation id cannot be credited twice. */
export interface TopUpRecord {
    readonly budget: string;
    readonly tokens: number;
}

export interface BudgetStoreSnapshot {
    readonly budgets: Record<string, BudgetAccount>;
    readonly ledgers: readonly LedgerRecord[];
    readonly topUps: Record<string, TopUpRecord>;
}

export type BudgetResult =
    | { readonly type: "accepted"; readonly tokens: number; }
    | { readonly type: "refused"; readonly refusal: Refusal; };

/** Applies budget commands in log order. Deterministic. */
export class BudgetStore {
    private budgets = new Map<string, BudgetAccount>();
    private ledgers = new Map<string, LedgerRecord>();
    private topUps = new Map<string, TopUpRecord>();

    tryGetBudget(name: string): BudgetAccount | undefined {
        return this.budgets.get(name);
    }

    forEachBudget(visit: (name: string, account: BudgetAccount) => void): void {
        this.budgets.forEach((account, name) => visit(name, account));
    }

    tryGetShare(budget: string, ledger: string): Share | undefined {
        return this.budgets.get(budget)?.shares[ledger];
    }

    tryGetTopUp(operationId: string): TopUpRecord | undefined {
        return this.topUps.get(operationId);
    }

    tryGetLedger(ledger: string): LedgerRecord | undefined {
        return this.ledgers.get(ledger);
    }

    /** All registered ledgers, including sealed ones. */
    getLedgers(): LedgerRecord[] {
        return [...this.ledgers.values()];
    }

    /** The ledgers that are not sealed, in order of registration. */
    getOpenLedgers(): LedgerRecord[] {
        return [...this.ledgers.values()].filter(record => !record.sealed);
    }

    /** Registers a ledger incarnation and seals all other incarnations of the same controller. */
    applyRegisterLedger(command: RegisterLedgerCommand): BudgetResult {
        const known = this.ledgers.get(command.ledger);
        if (known?.sealed === true) {
            return { type: "refused", refusal: createRefusal("incarnationSealed", command.ledger) };
        }
        for (const record of this.ledgers.values()) {
            if (record.controller === command.controller && record.ledger !== command.ledger) {
                record.sealed = true;
            }
        }
        this.ledgers.set(command.ledger, {
            ledger: command.ledger,
            controller: command.controller,
            zone: command.zone,
            sealed: false,
        });
        return { type: "accepted", tokens: 0 };
    }

    /** Credits a top-up. Idempotent by operation id. */
    applyCreditTopUp(command: CreditTopUpCommand): BudgetResult {
        const known = this.topUps.get(command.operationId);
        if (known !== undefined) {
            const isResend = known.budget === command.budget && known.tokens === command.tokens;
            return isResend
                ? { type: "accepted", tokens: known.tokens }
                : { type: "refused", refusal: createRefusal("operationReused", command.operationId) };
        }
        const account = this.getOrCreateBudget(command.budget);
        this.topUps.set(command.operationId, { budget: command.budget, tokens: command.tokens });
        account.toppedUp += command.tokens;
        if (command.ledger === undefined) {
            account.unallocated += command.tokens;
        }
        else {
            this.getOrCreateShare(account, command.ledger).allottedTotal += command.tokens;
        }
        return { type: "accepted", tokens: command.tokens };
    }

    /** Moves the requested tokens, or as many as are unallocated, to the ledger's share. */
    applyAllot(command: AllotCommand): BudgetResult {
        const record = this.ledgers.get(command.ledger);
        if (record === undefined || record.sealed) {
            return { type: "refused", refusal: createRefusal("incarnationSealed", command.ledger) };
        }
        const account = this.getOrCreateBudget(command.budget);
        const share = this.getOrCreateShare(account, command.ledger);
        if (command.sequence !== share.allotSequence + 1) {
            return { type: "accepted", tokens: 0 };
        }
        const allottedTokens = Math.min(command.tokens, account.unallocated);
        share.allotSequence = command.sequence;
        share.allottedTotal += allottedTokens;
        account.unallocated -= allottedTokens;
        return { type: "accepted", tokens: allottedTokens };
    }

    /** Applies a ledger's totals; tokens returned since its previous report become unallocated. */
    applyReportShares(command: ReportSharesCommand): BudgetResult {
        for (const report of command.shares) {
            this.applyShareReport(command.ledger, report);
        }
        return { type: "accepted", tokens: 0 };
    }

    private applyShareReport(ledger: string, report: ShareReport): void {
        const account = this.budgets.get(report.budget);
        const share = account?.shares[ledger];
        if (account === undefined || share === undefined) {
            return;
        }
        const returned = Math.max(0, report.returnedTotal - share.returnedTotal);
        share.returnedTotal += returned;
        account.unallocated += returned;
        share.spentTotal = report.spentTotal;
        share.unaccountedTotal = report.unaccountedTotal;
        share.demand = report.demand;
    }

    private getOrCreateBudget(name: string): BudgetAccount {
        let account = this.budgets.get(name);
        if (account === undefined) {
            account = { toppedUp: 0, unallocated: 0, shares: {} };
            this.budgets.set(name, account);
        }
        return account;
    }

    private getOrCreateShare(account: BudgetAccount, ledger: string): Share {
        account.shares[ledger] ??= {
            allottedTotal: 0,
            returnedTotal: 0,
            spentTotal: 0,
            unaccountedTotal: 0,
            demand: 0,
            allotSequence: 0,
        };
        return account.shares[ledger];
    }

    createSnapshot(): BudgetStoreSnapshot {
        return structuredClone({
            budgets: Object.fromEntries(this.budgets),
            ledgers: [...this.ledgers.values()],
            topUps: Object.fromEntries(this.topUps),
        });
    }

    loadSnapshot(snapshot: BudgetStoreSnapshot): void {
        const copy = structuredClone(snapshot);
        this.budgets = new Map(Object.entries(copy.budgets));
        this.ledgers = new Map(copy.ledgers.map(record => [record.ledger, record]));
        this.topUps = new Map(Object.entries(copy.topUps));
    }
}

/** Whether topped up = unallocated + the sum of (allotted - returned) over all shares. */
export function isBudgetConserved(account: BudgetAccount): boolean {
    let accountedTokens = account.unallocated;
    for (const share of Object.values(account.shares)) {
        accountedTokens += share.allottedTotal - share.returnedTotal;
    }
    return accountedTokens === account.toppedUp && account.unallocated >= 0;
}

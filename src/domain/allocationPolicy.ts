/** Policies that allocate a budget's tokens among ledgers. docs/MEASURES.md compares them. */
import type { BudgetAccount } from "./budgetStore.js";
import type { BudgetSpec } from "./objects.js";

/** Input of a policy: the replicated account, the open ledgers and the local state of the requesting ledger. */
export interface AllocationView {
    readonly account: BudgetAccount;
    readonly openLedgers: readonly string[];
    readonly self: string;
    /** Current demand of the requesting ledger in tokens per second; more recent than the replicated value. */
    readonly ownDemand: number;
    /** Free tokens of the requesting ledger. */
    readonly ownFree: number;
}

/** Determines how many tokens of a budget a ledger should hold. */
export abstract class AllocationPolicy {
    /** Computes the number of free tokens that the requesting ledger should hold. */
    abstract computeTargetTokens(view: AllocationView): number;
    /** Whether a ledger that runs short may recall tokens from other ledgers. */
    abstract allowsRecall(): boolean;
    /** Whether a ledger returns the tokens that it holds in excess of its target. */
    abstract allowsReturn(): boolean;
}

/** Allocates an equal part of each top-up to every ledger, regardless of demand. Baseline for comparisons. */
export class EqualSplitPolicy extends AllocationPolicy {
    override computeTargetTokens(view: AllocationView): number {
        const share = view.account.shares[view.self];
        const equalShare = Math.floor(view.account.toppedUp / Math.max(1, view.openLedgers.length));
        const heldTokens = (share?.allottedTotal ?? 0) - (share?.returnedTotal ?? 0);
        return Math.max(0, view.ownFree + equalShare - heldTokens);
    }
    override allowsRecall(): boolean {
        return false;
    }
    override allowsReturn(): boolean {
        return true;
    }
}

/**
 * Allocates the remaining tokens in proportion to demand, except for a fraction that is divided evenly so that a ledger
 * without prior demand can serve requests during a network partition.
 */
export class FollowDemandPolicy extends AllocationPolicy {
    /**
     * `evenFraction`: fraction of the remaining tokens that is divided evenly. `assumedTokensPerSecond`: added to each
     * ledger's observed demand, so that the first few requests do not dominate the allocation.
     */
    constructor(private readonly evenFraction: number, private readonly assumedTokensPerSecond: number) {
        super();
    }

    override computeTargetTokens(view: AllocationView): number {
        const count = Math.max(1, view.openLedgers.length);
        const remaining = computeRemainingTokens(view.account, view.openLedgers);
        const ownDemand = view.ownDemand + this.assumedTokensPerSecond;
        let demandSum = ownDemand;
        for (const ledger of view.openLedgers) {
            if (ledger !== view.self) {
                demandSum += (view.account.shares[ledger]?.demand ?? 0) + this.assumedTokensPerSecond;
            }
        }
        const demandFraction = demandSum > 0 ? ownDemand / demandSum : 1 / count;
        return Math.floor(remaining * (this.evenFraction / count + (1 - this.evenFraction) * demandFraction));
    }
    override allowsRecall(): boolean {
        return true;
    }
    override allowsReturn(): boolean {
        return true;
    }
}

/** Computes the tokens that are unallocated or unspent in the shares of open ledgers, as of the applied log. */
export function computeRemainingTokens(account: BudgetAccount, openLedgers: readonly string[]): number {
    let remaining = account.unallocated;
    for (const ledger of openLedgers) {
        const share = account.shares[ledger];
        if (share === undefined) {
            continue;
        }
        remaining += share.allottedTotal - share.returnedTotal - share.spentTotal - share.unaccountedTotal;
    }
    return Math.max(0, remaining);
}

const EVEN_FRACTION = 0.5;
const ASSUMED_TOKENS_PER_SECOND = 30;

const equalSplitPolicy = new EqualSplitPolicy();
const followDemandPolicy = new FollowDemandPolicy(EVEN_FRACTION, ASSUMED_TOKENS_PER_SECOND);

export function getAllocationPolicy(name: BudgetSpec["policy"]): AllocationPolicy {
    return name === "equalSplit" ? equalSplitPolicy : followDemandPolicy;
}

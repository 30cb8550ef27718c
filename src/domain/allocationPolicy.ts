/** How a budget is shared out among ledgers. The policies are measured against each other in docs/MEASURES.md. */
import type { BudgetAccount } from "./budgetBook.js";
import type { BudgetSpec } from "./objects.js";

/** What a policy knows of a budget: the replicated account, the ledgers that may draw, and the asking ledger's own. */
export interface AllocationView {
    readonly account: BudgetAccount;
    readonly openLedgers: readonly string[];
    readonly self: string;
    /** The asking ledger's demand, in tokens a second; newer than what the log has. */
    readonly ownDemand: number;
    /** What the asking ledger has free, in tokens. */
    readonly ownFree: number;
}

/** Decides how much of a budget a ledger should hold. */
export abstract class AllocationPolicy {
    /** Tokens that the asking ledger should hold free, when all is well. */
    abstract getTarget(view: AllocationView): number;
    /** Whether ledgers lend to each other when one runs short. */
    abstract mayRecall(): boolean;
    /** Whether a ledger gives back what it holds beyond its target. */
    abstract mayGiveBack(): boolean;
}

/** Every ledger gets the same part of each top-up and keeps it. The baseline. */
export class EqualSplitPolicy extends AllocationPolicy {
    override getTarget(view: AllocationView): number {
        const share = view.account.shares[view.self];
        const part = Math.floor(view.account.toppedUp / Math.max(1, view.openLedgers.length));
        const held = (share?.allottedTotal ?? 0) - (share?.returnedTotal ?? 0);
        return Math.max(0, view.ownFree + part - held);
    }
    override mayRecall(): boolean {
        return false;
    }
    override mayGiveBack(): boolean {
        return true;
    }
}

/**
 * What is left follows demand, but for a part spread evenly so that a ledger that is cut off before it had any demand
 * can still serve.
 */
export class FollowDemandPolicy extends AllocationPolicy {
    /**
     * `evenPart`: fraction of what is left that is spread evenly. `assumedDemand`: tokens a second assumed of each ledger
     * beside what was seen, so that a few early requests do not decide for all.
     */
    constructor(private readonly evenPart: number, private readonly assumedDemand: number) {
        super();
    }

    override getTarget(view: AllocationView): number {
        const count = Math.max(1, view.openLedgers.length);
        const remaining = getRemaining(view.account, view.openLedgers);
        const ownDemand = view.ownDemand + this.assumedDemand;
        let demandSum = ownDemand;
        for (const ledger of view.openLedgers) {
            if (ledger !== view.self) {
                demandSum += (view.account.shares[ledger]?.demand ?? 0) + this.assumedDemand;
            }
        }
        const demandPart = demandSum > 0 ? ownDemand / demandSum : 1 / count;
        return Math.floor(remaining * (this.evenPart / count + (1 - this.evenPart) * demandPart));
    }
    override mayRecall(): boolean {
        return true;
    }
    override mayGiveBack(): boolean {
        return true;
    }
}

/** Tokens of a budget that some open ledger can still spend, as far as the log knows. */
export function getRemaining(account: BudgetAccount, openLedgers: readonly string[]): number {
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

const EVEN_PART = 0.5;
/** Tokens a second. */
const ASSUMED_DEMAND = 30;

const equalSplit = new EqualSplitPolicy();
// Chosen by bench:sweep; see docs/MEASURES.md.
const followDemand = new FollowDemandPolicy(EVEN_PART, ASSUMED_DEMAND);

/** The policy a budget declares. */
export function getPolicy(name: BudgetSpec["policy"]): AllocationPolicy {
    return name === "equalSplit" ? equalSplit : followDemand;
}

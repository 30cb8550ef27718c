/**
 * Refills a ledger's share of a budget from the unallocated tokens, then from idle grants of its own routers, then from
 * the other ledgers. At most one refill per budget runs at a time; concurrent callers share its result.
 */
import { getAllocationPolicy } from "../../domain/allocationPolicy.js";
import type { DecayingRate } from "../../domain/decayingRate.js";
import { formatRefusal, getRefusal } from "../../domain/resultCodes.js";
import type { Peer } from "../../ports/peer.js";
import { recallGrantMethod, recallShareMethod } from "../../protocol/ledgerMethods.js";
import { type ControllerContext, getOtherControllers } from "./controllerContext.js";
import type { ShareReporter } from "./shareReporter.js";

const RECALL_TIMEOUT_MS = 400;
/** Smallest target for which a ledger without demand requests tokens. Leaves the last tokens to ledgers with demand. */
const MIN_IDLE_SHARE_TOKENS = 500;
/** Fractions of the target below which a ledger requests tokens and above which it returns them. */
const LOW_WATERMARK = 0.8;
const HIGH_WATERMARK = 1.3;

/** Returns the connections of the routers that hold open grants of a budget. */
export type GrantHolderLookup = (budget: string) => Peer[];

/** Result of a refill at its end. Concurrent draws may already have taken the tokens. */
export type RefillOutcome =
    | "filled"
    /** No tokens are unallocated or available from another ledger, as confirmed by the leader. */
    | "exhausted"
    /** Other ledgers returned tokens, or some are unallocated, but this ledger did not obtain enough of them. */
    | "moved"
    /** The majority or another ledger could not be reached, so tokens may be available that this ledger cannot see. */
    | "unreachable";

export class BudgetRefiller {
    private readonly activeRefills = new Map<string, Promise<RefillOutcome>>();

    constructor(
        private readonly context: ControllerContext,
        private readonly reporter: ShareReporter,
        private readonly getDemandRate: (budget: string) => DecayingRate,
        private readonly listGrantHolders: GrantHolderLookup,
        /** Returns the tokens needed by all pending draws together. */
        private readonly getPendingDrawTokens: (budget: string) => number,
    ) {}

    /** Tries to obtain enough free tokens for `need` and for all pending draws. */
    async refill(budget: string, need: number): Promise<RefillOutcome> {
        const active = this.activeRefills.get(budget);
        if (active !== undefined) {
            return active;
        }
        const refill = this.runRefill(budget, need).catch(error => {
            this.context.events.warn("refill_failed", { budget, reason: formatRefusal(getRefusal(error)) });
            return "unreachable" as const;
        }).finally(() => this.activeRefills.delete(budget));
        this.activeRefills.set(budget, refill);
        return refill;
    }

    /** Allots unallocated tokens to this ledger's share and resolves with the number of tokens allotted. */
    async allot(budget: string, tokens: number): Promise<number> {
        const { log, ledger } = this.context;
        const sequence = (log.state.budgets.tryGetShare(budget, ledger.id)?.allotSequence ?? 0) + 1;
        const answer = await log.propose({ type: "allot", ledger: ledger.id, budget, sequence, tokens });
        await log.waitApplied(answer.index, RECALL_TIMEOUT_MS);
        return answer.result.type === "accepted" && "tokens" in answer.result ? answer.result.tokens : 0;
    }

    private async runRefill(budget: string, need: number): Promise<RefillOutcome> {
        const { log } = this.context;
        const computeShortfall = (): number =>
            Math.max(need, this.getPendingDrawTokens(budget)) - this.getFreeTokens(budget);
        const connected = log.isConnectedToMajority();
        if (connected && this.getUnallocatedTokens(budget) > 0) {
            await this.allot(
                budget,
                Math.max(computeShortfall(), this.computeTargetTokens(budget) - this.getFreeTokens(budget)),
            );
        }
        if (computeShortfall() > 0) {
            await this.recallGrants(budget);
        }
        if (computeShortfall() <= 0) {
            return "filled";
        }
        if (!connected) {
            return this.getFreeTokens(budget) >= need ? "filled" : "unreachable";
        }
        const returned = this.allowsRecall(budget) ? await this.recallShares(budget, computeShortfall()) : 0;
        if (computeShortfall() > 0 && this.getUnallocatedTokens(budget) > 0) {
            await this.allot(budget, computeShortfall());
        }
        if (this.getFreeTokens(budget) >= need) {
            return "filled";
        }
        if (returned === undefined) {
            return "unreachable";
        }
        if (returned > 0 || this.getUnallocatedTokens(budget) > 0) {
            return "moved";
        }
        // A top-up may be committed that this replica has not applied yet.
        await log.confirmReadIndex();
        return this.getUnallocatedTokens(budget) > 0 ? "moved" : "exhausted";
    }

    private getFreeTokens(budget: string): number {
        return this.context.ledger.getBalance(budget).free;
    }

    private getUnallocatedTokens(budget: string): number {
        return this.context.log.state.budgets.tryGetBudget(budget)?.unallocated ?? 0;
    }

    private computeTargetTokens(budget: string): number {
        const { log, ledger } = this.context;
        const account = log.state.budgets.tryGetBudget(budget);
        if (account === undefined) {
            return 0;
        }
        return this.getBudgetPolicy(budget).computeTargetTokens({
            account,
            openLedgers: log.state.budgets.getOpenLedgers().map(record => record.ledger),
            self: ledger.id,
            ownDemand: this.getOwnDemand(budget),
            ownFree: ledger.getBalance(budget).free,
        });
    }

    /** Returns the recent demand on this ledger in tokens per second. */
    private getOwnDemand(budget: string): number {
        return this.getDemandRate(budget).getRate(this.context.clock.getMonotonicMs());
    }

    private allowsRecall(budget: string): boolean {
        return this.getBudgetPolicy(budget).allowsRecall();
    }

    private getBudgetPolicy(budget: string): ReturnType<typeof getAllocationPolicy> {
        return getAllocationPolicy(
            this.context.log.state.objects.tryGet("budget", budget)?.spec.policy ?? "followDemand",
        );
    }

    private async recallGrants(budget: string): Promise<void> {
        const calls = this.listGrantHolders(budget).map(peer =>
            peer.call(recallGrantMethod, { budget }, RECALL_TIMEOUT_MS)
        );
        await Promise.allSettled(calls);
    }

    /** Asks all other ledgers for tokens. Resolves with the sum returned, or undefined if a ledger did not answer. */
    private async recallShares(budget: string, shortfall: number): Promise<number | undefined> {
        const others = getOtherControllers(this.context);
        const calls = others.map(other =>
            this.context.network.call(
                other.address,
                recallShareMethod,
                { budget, tokens: shortfall },
                RECALL_TIMEOUT_MS * 2,
            )
        );
        const answers = await Promise.allSettled(calls);
        const returned = answers.map(answer => answer.status === "fulfilled" ? answer.value.given : undefined);
        return returned.includes(undefined) ? undefined : returned.reduce((sum: number, tokens) => sum + tokens!, 0);
    }

    /** Returns free tokens that another ledger needs for a pending draw, and resolves with the number returned. */
    async returnOnRecall(budget: string, tokens: number): Promise<number> {
        const { ledger } = this.context;
        if (!this.allowsRecall(budget)) {
            return 0;
        }
        if (ledger.getBalance(budget).free < tokens) {
            await this.recallGrants(budget);
        }
        const returned = await ledger.returnFreeTokens(budget, tokens);
        if (returned > 0) {
            await this.reporter.report([budget]);
        }
        return returned;
    }

    /** Requests or returns tokens if the share deviates from the policy's target by more than the watermarks allow. */
    async rebalance(budget: string): Promise<void> {
        const { ledger, log } = this.context;
        const target = this.computeTargetTokens(budget);
        const free = ledger.getBalance(budget).free;
        const unallocated = log.state.budgets.tryGetBudget(budget)?.unallocated ?? 0;
        const needsShare = target >= MIN_IDLE_SHARE_TOKENS || this.getOwnDemand(budget) >= 1;
        if (free < target * LOW_WATERMARK && unallocated > 0 && needsShare) {
            await this.allot(budget, Math.ceil(target - free));
        }
        else if (free > target * HIGH_WATERMARK && this.getBudgetPolicy(budget).allowsReturn()) {
            await ledger.returnFreeTokens(budget, Math.floor(free - target));
        }
    }
}

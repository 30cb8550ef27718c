/**
 * Fills a ledger's share when it runs short: first from what is unallocated, then from its own routers' idle grants,
 * then from the other ledgers. One refill of a budget runs at a time; whoever else needs it waits for the same one.
 */
import { getPolicy } from "../../domain/allocationPolicy.js";
import type { MovingRate } from "../../domain/movingAverage.js";
import { formatRefusal, getRefusal } from "../../domain/resultCodes.js";
import type { Peer } from "../../ports/peer.js";
import { recallGrantMethod, recallShareMethod } from "../../protocol/ledgerMethods.js";
import { type ControllerContext, getOtherControllers } from "./fleetView.js";
import type { ShareReporter } from "./shareReporter.js";

const RECALL_TIMEOUT_MS = 400;
/** A ledger without demand does not hold less than this: near a budget's end it is needed where the demand is. Tokens. */
const SMALLEST_SHARE = 500;
/** Below this part of its target a ledger asks for more, above the other it gives back. */
const LOW_MARK = 0.8;
const HIGH_MARK = 1.3;

/** Routers with open grants of a budget, as connections. */
export type GrantHolders = (budget: string) => Peer[];

export class BudgetRefiller {
    private readonly running = new Map<string, Promise<boolean>>();

    constructor(
        private readonly context: ControllerContext,
        private readonly reporter: ShareReporter,
        private readonly getDemand: (budget: string) => MovingRate,
        private readonly getHolders: GrantHolders,
    ) {}

    /**
     * Tries to have `need` tokens free. Answers whether it could ask everywhere: without a majority, or where another
     * ledger does not answer, there may be tokens that it does not see.
     */
    async refill(budget: string, need: number): Promise<boolean> {
        const running = this.running.get(budget);
        if (running !== undefined) {
            return running;
        }
        const refill = this.runRefill(budget, need).catch(error => {
            this.context.events.warn("refill_failed", { budget, reason: formatRefusal(getRefusal(error)) });
            return false;
        }).finally(() => this.running.delete(budget));
        this.running.set(budget, refill);
        return refill;
    }

    /** Moves tokens from what is unallocated to this ledger's share. Answers how many came. */
    async allot(budget: string, tokens: number): Promise<number> {
        const { log, ledger } = this.context;
        const sequence = (log.state.budgets.tryGetShare(budget, ledger.id)?.allotSequence ?? 0) + 1;
        const answer = await log.propose({ type: "allot", ledger: ledger.id, budget, sequence, tokens });
        await log.waitApplied(answer.index, RECALL_TIMEOUT_MS);
        return answer.result.type === "accepted" && "tokens" in answer.result ? answer.result.tokens : 0;
    }

    private async runRefill(budget: string, need: number): Promise<boolean> {
        const { ledger, log } = this.context;
        const getFree = (): number => ledger.getBalance(budget).free;
        const unallocated = (): number => log.state.budgets.tryGetBudget(budget)?.unallocated ?? 0;
        const connected = log.isConnectedToMajority();
        if (connected && unallocated() > 0) {
            await this.allot(budget, Math.max(need - getFree(), this.getTarget(budget) - getFree()));
        }
        if (getFree() < need) {
            await this.recallGrants(budget);
        }
        if (getFree() < need && connected && this.mayRecall(budget)) {
            const allAnswered = await this.recallShares(budget, need - getFree());
            if (getFree() < need) {
                await this.allot(budget, need - getFree());
            }
            return allAnswered;
        }
        return connected;
    }

    private getTarget(budget: string): number {
        const { log, ledger } = this.context;
        const account = log.state.budgets.tryGetBudget(budget);
        if (account === undefined) {
            return 0;
        }
        return this.getBudgetPolicy(budget).getTarget({
            account,
            openLedgers: log.state.budgets.getOpenLedgers().map(record => record.ledger),
            self: ledger.id,
            ownDemand: this.getOwnRate(budget),
            ownFree: ledger.getBalance(budget).free,
        });
    }

    /** Tokens a second drawn here lately. */
    private getOwnRate(budget: string): number {
        return this.getDemand(budget).getRate(this.context.clock.getMonotonicMs());
    }

    private mayRecall(budget: string): boolean {
        return this.getBudgetPolicy(budget).mayRecall();
    }

    private getBudgetPolicy(budget: string): ReturnType<typeof getPolicy> {
        return getPolicy(this.context.log.state.objects.tryGet("budget", budget)?.spec.policy ?? "followDemand");
    }

    private async recallGrants(budget: string): Promise<void> {
        const asked = this.getHolders(budget).map(peer => peer.call(recallGrantMethod, { budget }, RECALL_TIMEOUT_MS));
        await Promise.allSettled(asked);
    }

    /** Asks every other ledger for what is missing. Answers whether all of them answered. */
    private async recallShares(budget: string, missing: number): Promise<boolean> {
        const others = getOtherControllers(this.context);
        const asked = others.map(other =>
            this.context.network.call(
                other.address,
                recallShareMethod,
                { budget, tokens: missing },
                RECALL_TIMEOUT_MS * 2,
            )
        );
        const answers = await Promise.allSettled(asked);
        return answers.every(answer => answer.status === "fulfilled");
    }

    /** Gives back what another ledger asks for, as far as it is free: a request over there would be refused now. */
    async giveBackOnRecall(budget: string, tokens: number): Promise<number> {
        const { ledger } = this.context;
        if (!this.mayRecall(budget)) {
            return 0;
        }
        if (ledger.getBalance(budget).free < tokens) {
            await this.recallGrants(budget);
        }
        const given = await ledger.giveBack(budget, tokens);
        if (given > 0) {
            await this.reporter.report([budget]);
        }
        return given;
    }

    /** Moves the share towards its policy's target: gives back what is far above, asks for what is far below. */
    async balance(budget: string): Promise<void> {
        const { ledger, log } = this.context;
        const target = this.getTarget(budget);
        const free = ledger.getBalance(budget).free;
        const unallocated = log.state.budgets.tryGetBudget(budget)?.unallocated ?? 0;
        const isWorthHolding = target >= SMALLEST_SHARE || this.getOwnRate(budget) >= 1;
        if (free < target * LOW_MARK && unallocated > 0 && isWorthHolding) {
            await this.allot(budget, Math.ceil(target - free));
        }
        else if (free > target * HIGH_MARK && this.getBudgetPolicy(budget).mayGiveBack()) {
            await ledger.giveBack(budget, Math.floor(free - target));
        }
    }
}

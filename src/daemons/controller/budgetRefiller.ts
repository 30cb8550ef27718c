/**
 * Fills a ledger's share when it runs short: first from what is unallocated, then from its own routers' idle grants,
 * then from the other ledgers. One refill of a budget runs at a time; whoever else needs it waits for the same one.
 */
import { getAllocationPolicy } from "../../domain/allocationPolicy.js";
import type { DecayingRate } from "../../domain/decayingRate.js";
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

/** What a refill came to, as of its end: whoever waits beside may have drawn what came. */
export type RefillOutcome =
    | "filled"
    /** Nothing is left in any other ledger, nor unallocated. */
    | "exhausted"
    /** Tokens moved, and too few of them came here: they went to another ledger, or were too few. */
    | "moved"
    /** Not everybody could be asked, so there may be tokens that this ledger does not see. */
    | "unreachable";

export class BudgetRefiller {
    private readonly running = new Map<string, Promise<RefillOutcome>>();

    constructor(
        private readonly context: ControllerContext,
        private readonly reporter: ShareReporter,
        private readonly getDemand: (budget: string) => DecayingRate,
        private readonly getHolders: GrantHolders,
        /** Tokens that all draws need together that wait now. */
        private readonly getWaiting: (budget: string) => number,
    ) {}

    /** Tries to have `need` tokens free, and what other draws wait for. */
    async refill(budget: string, need: number): Promise<RefillOutcome> {
        const running = this.running.get(budget);
        if (running !== undefined) {
            return running;
        }
        const refill = this.runRefill(budget, need).catch(error => {
            this.context.events.warn("refill_failed", { budget, reason: formatRefusal(getRefusal(error)) });
            return "unreachable" as const;
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

    private async runRefill(budget: string, need: number): Promise<RefillOutcome> {
        const { log } = this.context;
        const getMissing = (): number => Math.max(need, this.getWaiting(budget)) - this.getFree(budget);
        const connected = log.isConnectedToMajority();
        if (connected && this.getUnallocated(budget) > 0) {
            await this.allot(budget, Math.max(getMissing(), this.getTarget(budget) - this.getFree(budget)));
        }
        if (getMissing() > 0) {
            await this.recallGrants(budget);
        }
        if (getMissing() <= 0) {
            return "filled";
        }
        if (!connected) {
            return this.getFree(budget) >= need ? "filled" : "unreachable";
        }
        const given = this.mayRecall(budget) ? await this.recallShares(budget, getMissing()) : 0;
        if (getMissing() > 0 && this.getUnallocated(budget) > 0) {
            await this.allot(budget, getMissing());
        }
        if (this.getFree(budget) >= need) {
            return "filled";
        }
        if (given === undefined) {
            return "unreachable";
        }
        return given > 0 || this.getUnallocated(budget) > 0 ? "moved" : "exhausted";
    }

    private getFree(budget: string): number {
        return this.context.ledger.getBalance(budget).free;
    }

    private getUnallocated(budget: string): number {
        return this.context.log.state.budgets.tryGetBudget(budget)?.unallocated ?? 0;
    }

    private getTarget(budget: string): number {
        const { log, ledger } = this.context;
        const account = log.state.budgets.tryGetBudget(budget);
        if (account === undefined) {
            return 0;
        }
        return this.getBudgetPolicy(budget).computeTargetTokens({
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
        return this.getBudgetPolicy(budget).allowsRecall();
    }

    private getBudgetPolicy(budget: string): ReturnType<typeof getAllocationPolicy> {
        return getAllocationPolicy(
            this.context.log.state.objects.tryGet("budget", budget)?.spec.policy ?? "followDemand",
        );
    }

    private async recallGrants(budget: string): Promise<void> {
        const asked = this.getHolders(budget).map(peer => peer.call(recallGrantMethod, { budget }, RECALL_TIMEOUT_MS));
        await Promise.allSettled(asked);
    }

    /** Asks every other ledger for what is missing. Answers how much they gave; undefined where one did not answer. */
    private async recallShares(budget: string, missing: number): Promise<number | undefined> {
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
        const given = answers.map(answer => answer.status === "fulfilled" ? answer.value.given : undefined);
        return given.includes(undefined) ? undefined : given.reduce((sum: number, tokens) => sum + tokens!, 0);
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
        const given = await ledger.returnFreeTokens(budget, tokens);
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
        else if (free > target * HIGH_MARK && this.getBudgetPolicy(budget).allowsReturn()) {
            await ledger.returnFreeTokens(budget, Math.floor(free - target));
        }
    }
}

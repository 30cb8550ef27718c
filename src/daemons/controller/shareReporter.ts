/** Tells the replicated log what this ledger has given back, spent, written off and drawn lately. */
import type { ShareReport } from "../../domain/commands.js";
import type { DecayingRate } from "../../domain/decayingRate.js";
import type { ControllerContext } from "./fleetView.js";

/** A demand is reported again when it has changed by more than this part. */
const DEMAND_STEP = 0.25;
const MAX_SHARES_PER_REPORT = 1000;

export class ShareReporter {
    constructor(
        private readonly context: ControllerContext,
        private readonly getDemand: (budget: string) => DecayingRate,
    ) {}

    /** Reports the given budgets, or all, as far as anything has changed since the log's last word. */
    async report(budgets: readonly string[] = this.context.ledger.getBudgets()): Promise<void> {
        const { log, ledger } = this.context;
        const shares: ShareReport[] = [];
        for (const budget of budgets) {
            const report = this.createReport(budget);
            const known = log.state.budgets.tryGetShare(budget, ledger.id);
            if (known !== undefined && isNews(report, known)) {
                shares.push(report);
            }
        }
        for (let start = 0; start < shares.length; start += MAX_SHARES_PER_REPORT) {
            const part = shares.slice(start, start + MAX_SHARES_PER_REPORT);
            await log.propose({ type: "reportShares", ledger: ledger.id, shares: part });
        }
    }

    private createReport(budget: string): ShareReport {
        const { ledger, clock } = this.context;
        const balance = ledger.getBalance(budget);
        const demand = this.getDemand(budget).getRate(clock.getMonotonicMs());
        return {
            budget,
            returnedTotal: balance.returned,
            spentTotal: balance.spent,
            unaccountedTotal: balance.unaccounted,
            demand: Math.round(demand * 100) / 100,
        };
    }
}

function isNews(report: ShareReport, known: Omit<ShareReport, "budget">): boolean {
    const demandChange = Math.abs(report.demand - known.demand);
    return report.returnedTotal !== known.returnedTotal
        || report.spentTotal !== known.spentTotal
        || report.unaccountedTotal !== known.unaccountedTotal
        || demandChange > DEMAND_STEP * Math.max(report.demand, known.demand, 1);
}

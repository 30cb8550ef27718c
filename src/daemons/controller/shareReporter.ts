/** Reports this ledger's returned, spent and unaccounted tokens and its demand to the replicated log. */
import type { ShareReport } from "../../domain/commands.js";
import type { DecayingRate } from "../../domain/decayingRate.js";
import type { ControllerContext } from "./controllerContext.js";

/** Relative change of a budget's demand above which it is reported again. */
const MIN_DEMAND_CHANGE_FRACTION = 0.25;
const MAX_SHARES_PER_REPORT = 1000;

export class ShareReporter {
    constructor(
        private readonly context: ControllerContext,
        private readonly getDemandRate: (budget: string) => DecayingRate,
    ) {}

    /** Reports those of the given budgets, by default all, whose values differ from the last report in the log. */
    async report(budgets: readonly string[] = this.context.ledger.getBudgets()): Promise<void> {
        const { log, ledger } = this.context;
        const shares: ShareReport[] = [];
        for (const budget of budgets) {
            const report = this.createReport(budget);
            const lastReport = log.state.budgets.tryGetShare(budget, ledger.id);
            if (lastReport !== undefined && hasChanged(report, lastReport)) {
                shares.push(report);
            }
        }
        for (let start = 0; start < shares.length; start += MAX_SHARES_PER_REPORT) {
            const batch = shares.slice(start, start + MAX_SHARES_PER_REPORT);
            await log.propose({ type: "reportShares", ledger: ledger.id, shares: batch });
        }
    }

    private createReport(budget: string): ShareReport {
        const { ledger, clock } = this.context;
        const balance = ledger.getBalance(budget);
        const demand = this.getDemandRate(budget).getRate(clock.getMonotonicMs());
        return {
            budget,
            returnedTotal: balance.returned,
            spentTotal: balance.spent,
            unaccountedTotal: balance.unaccounted,
            demand: Math.round(demand * 100) / 100,
        };
    }
}

function hasChanged(report: ShareReport, lastReport: Omit<ShareReport, "budget">): boolean {
    const demandChange = Math.abs(report.demand - lastReport.demand);
    return report.returnedTotal !== lastReport.returnedTotal
        || report.spentTotal !== lastReport.spentTotal
        || report.unaccountedTotal !== lastReport.unaccountedTotal
        || demandChange > MIN_DEMAND_CHANGE_FRACTION * Math.max(report.demand, lastReport.demand, 1);
}

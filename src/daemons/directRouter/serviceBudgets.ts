/** The retries and repeats of each service, limited to this router's share of what all routers may accumulate. */
import { RepeatBudget } from "../../domain/repeatBudget.js";
import { RetryBudget } from "../../domain/retryBudget.js";

export interface ServiceBudgetOptions {
    /** Retries earned by each request to a service. */
    readonly retryRatio: number;
    /** Retries to a service that all routers together may accumulate. */
    readonly maxSavedRetries: number;
    /** Repeats after status 421 for each request to a service; see `RepeatBudget`. */
    readonly repeatRatio: number;
    /** Repeats after status 421 to a service that need no requests, of all routers together in 10 s. */
    readonly repeatSlack: number;
}

export class ServiceBudgets {
    private readonly retryBudgets = new Map<string, RetryBudget>();
    private readonly repeatBudgets = new Map<string, RepeatBudget>();

    /** `getRouterCount`: number of routers that share the limits. */
    constructor(private readonly options: ServiceBudgetOptions, private readonly getRouterCount: () => number) {}

    getRetryBudget(service: string): RetryBudget {
        let budget = this.retryBudgets.get(service);
        if (budget === undefined) {
            budget = new RetryBudget(this.options.retryRatio, this.computeRetrySlack());
            this.retryBudgets.set(service, budget);
        }
        return budget;
    }

    getRepeatBudget(service: string): RepeatBudget {
        let budget = this.repeatBudgets.get(service);
        if (budget === undefined) {
            budget = new RepeatBudget(this.options.repeatRatio, this.computeRepeatSlack());
            this.repeatBudgets.set(service, budget);
        }
        return budget;
    }

    /** Applies a changed number of routers. */
    updateShares(): void {
        this.retryBudgets.forEach(budget => budget.setMaxTokens(this.computeRetrySlack()));
        this.repeatBudgets.forEach(budget => budget.setSlack(this.computeRepeatSlack()));
    }

    private computeRetrySlack(): number {
        return Math.max(1, this.options.maxSavedRetries / this.getRouterCount());
    }

    private computeRepeatSlack(): number {
        return this.options.repeatSlack / this.getRouterCount();
    }
}

/** The retries and repeats of each service, limited to this router's share of what all routers may accumulate. */
import { RepeatBudget } from "../../domain/repeatBudget.js";
import { RetryBudget } from "../../domain/retryBudget.js";
import { WindowCounter } from "../../domain/windowCounter.js";
import type { Clock } from "../../ports/clock.js";
import type { LogFields } from "../../ports/log.js";
import type { RequestRecorder } from "./requestRecorder.js";

/** Period over which the platform bounds repeats, in milliseconds. */
const WINDOW_MS = 10_000;
const BUCKET_MS = 250;

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

interface ServiceBudget {
    readonly retries: RetryBudget;
    readonly repeats: RepeatBudget;
    /** What this router has received and sent again in the last `WINDOW_MS`. */
    readonly receivedCounter: WindowCounter;
    readonly sentAgainCounter: WindowCounter;
}

export class ServiceBudgets {
    private readonly budgets = new Map<string, ServiceBudget>();

    /** `getRouterCount`: number of routers that share the limits. */
    constructor(
        private readonly options: ServiceBudgetOptions,
        private readonly getRouterCount: () => number,
        private readonly recorder: RequestRecorder,
        private readonly clock: Clock,
    ) {}

    recordRequest(service: string): void {
        const { retries, repeats, receivedCounter } = this.getBudget(service);
        const now = this.clock.getMonotonicMs();
        retries.recordRequest();
        repeats.recordRequest(now);
        receivedCounter.record(now);
    }

    /** Claims that a request is sent again; false if that is not allowed now. */
    tryClaimRetry(service: string): boolean {
        return this.getBudget(service).retries.trySpend();
    }

    /** Claims that a request is sent again because its upstream had been replaced; false if that is not allowed now. */
    tryClaimRepeat(service: string): boolean {
        const { retries, repeats } = this.getBudget(service);
        // Beyond the bound on repeats, retries are used as long as one is left for a request that an upstream rejects.
        const isClaimed = repeats.trySpend(this.clock.getMonotonicMs()) || retries.trySpendSurplus();
        this.recorder.recordRepeat(isClaimed);
        return isClaimed;
    }

    /** Records that a request is being sent to a service again. */
    recordRepeatSent(service: string, details: LogFields): void {
        const now = this.clock.getMonotonicMs();
        const { receivedCounter, sentAgainCounter } = this.getBudget(service);
        sentAgainCounter.record(now);
        this.recorder.recordRepeatSent(service, {
            ...details,
            repeats: sentAgainCounter.count(now),
            requests: receivedCounter.count(now),
            routers: this.getRouterCount(),
        });
    }

    /** Applies a changed number of routers. */
    updateShares(): void {
        this.budgets.forEach(({ retries, repeats }) => {
            retries.setMaxTokens(this.computeRetrySlack());
            repeats.setSlack(this.computeRepeatSlack());
        });
    }

    private getBudget(service: string): ServiceBudget {
        let budget = this.budgets.get(service);
        if (budget === undefined) {
            budget = {
                retries: new RetryBudget(this.options.retryRatio, this.computeRetrySlack()),
                repeats: new RepeatBudget(this.options.repeatRatio, this.computeRepeatSlack()),
                receivedCounter: new WindowCounter(WINDOW_MS, BUCKET_MS),
                sentAgainCounter: new WindowCounter(WINDOW_MS, BUCKET_MS),
            };
            this.budgets.set(service, budget);
        }
        return budget;
    }

    private computeRetrySlack(): number {
        return Math.max(1, this.options.maxSavedRetries / this.getRouterCount());
    }

    private computeRepeatSlack(): number {
        return this.options.repeatSlack / this.getRouterCount();
    }
}

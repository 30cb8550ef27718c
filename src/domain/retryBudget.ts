/** Bounds retries to a part of the fresh requests, so that retries cannot feed an overload. One for each service. */
export class RetryBudget {
    private tokens: number;

    /** `ratio`: retries earned by each fresh request. `most`: retries that can be saved up. */
    constructor(private readonly ratio = 0.2, private readonly most = 20) {
        this.tokens = most;
    }

    recordRequest(): void {
        this.tokens = Math.min(this.most, this.tokens + this.ratio);
    }

    /** Whether one more retry may be made; it is spent if so. */
    trySpend(): boolean {
        if (this.tokens < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }
}

/** Bounds retries to a part of the fresh requests, so that retries cannot feed an overload. One for each service. */
export class RetryBudget {
    private tokens: number;

    /** `ratio`: retries earned by each fresh request. `most`: retries that can be saved up. */
    constructor(private readonly ratio = 0.2, private most = 20) {
        this.tokens = most;
    }

    /** Changes how many retries can be saved up; what was saved beyond that is lost. */
    setMost(most: number): void {
        this.most = most;
        this.tokens = Math.min(this.tokens, most);
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

/** Token bucket that limits the retries of a service to a fraction of its requests, so that they cannot amplify an overload. */
export class RetryBudget {
    private tokens: number;

    /** `tokensPerRequest`: retries earned by each first attempt. `maxTokens`: retries that can accumulate. */
    constructor(private readonly tokensPerRequest = 0.2, private maxTokens = 20) {
        this.tokens = maxTokens;
    }

    /** Changes the capacity; tokens above it are discarded. */
    setMaxTokens(maxTokens: number): void {
        this.maxTokens = maxTokens;
        this.tokens = Math.min(this.tokens, maxTokens);
    }

    recordRequest(): void {
        this.tokens = Math.min(this.maxTokens, this.tokens + this.tokensPerRequest);
    }

    /** Takes a token only if another one is left for a retry, or if no more than one can accumulate; false otherwise. */
    trySpendSurplus(): boolean {
        return this.tokens >= Math.min(2, this.maxTokens) && this.trySpend();
    }

    /** Takes a token for a retry; false if none is left. */
    trySpend(): boolean {
        if (this.tokens < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }
}

/** Token bucket that limits the retries of one process to a fraction of a service's requests, so that they cannot amplify an overload. */
export class RetryBudget {
    private tokens: number;

    /** `tokensPerRequest`: retries earned by each first attempt. `maxTokens`: retries that can accumulate. */
    constructor(private readonly tokensPerRequest = 0.2, private readonly maxTokens = 20) {
        this.tokens = maxTokens;
    }

    recordRequest(): void {
        this.tokens = Math.min(this.maxTokens, this.tokens + this.tokensPerRequest);
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

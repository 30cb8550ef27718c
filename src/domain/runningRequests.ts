/**
 * Estimates the requests that run at one upstream incarnation: this router's own ones, which are known exactly, and those
 * that other routers report, which count as running for their expected duration. Times are monotonic, in milliseconds.
 */

/** Reported requests tracked per upstream; more than an engine can run. The one that ends first is dropped. */
const MAX_REPORTED_REQUESTS = 1_000;
/**
 * A reported request counts for at most this long, longer than the timeout of any route. Milliseconds.
 */
const MAX_REPORTED_DURATION_MS = 60_000;

/** A request of another router. */
interface ReportedRequest {
    readonly endsAt: number;
    readonly tokens: number;
}

export class RunningRequests {
    private ownCount = 0;
    private ownTokens = 0;
    /** Binary heap; the request that ends first is at the top. */
    private readonly reported: ReportedRequest[] = [];
    private reportedTokens = 0;

    /** This router's requests. */
    get own(): number {
        return this.ownCount;
    }

    /** Adds an own request. `tokens`: of its prompt. */
    addOwn(tokens: number): void {
        this.ownCount += 1;
        this.ownTokens += tokens;
    }

    /** Adds output tokens of an own request. */
    addOwnTokens(tokens: number): void {
        this.ownTokens += tokens;
    }

    /** Removes an own request. `tokens`: all that was added for it. */
    removeOwn(tokens: number): void {
        this.ownCount -= 1;
        this.ownTokens -= tokens;
    }

    /** Adds a request of another router. `tokens`: that it occupies on average. */
    addReported(durationMs: number, tokens: number, now: number): void {
        this.removeEnded(now);
        if (this.reported.length >= MAX_REPORTED_REQUESTS) {
            this.removeFirst();
        }
        this.insert({ endsAt: now + Math.min(durationMs, MAX_REPORTED_DURATION_MS), tokens });
        this.reportedTokens += tokens;
    }

    countReported(now: number): number {
        this.removeEnded(now);
        return this.reported.length;
    }

    /** Tokens of the known running requests: prompts and output so far. */
    getTokens(now: number): number {
        this.removeEnded(now);
        return this.ownTokens + this.reportedTokens;
    }

    private removeEnded(now: number): void {
        while (this.reported.length > 0 && this.reported[0]!.endsAt <= now) {
            this.removeFirst();
        }
    }

    private insert(request: ReportedRequest): void {
        const heap = this.reported;
        let i = heap.push(request) - 1;
        while (i > 0) {
            const parent = (i - 1) >> 1;
            if (heap[parent]!.endsAt <= request.endsAt) {
                break;
            }
            heap[i] = heap[parent]!;
            i = parent;
        }
        heap[i] = request;
    }

    private removeFirst(): void {
        const heap = this.reported;
        this.reportedTokens -= heap[0]!.tokens;
        const last = heap.pop()!;
        if (heap.length === 0) {
            return;
        }
        let i = 0;
        for (;;) {
            let child = 2 * i + 1;
            if (child >= heap.length) {
                break;
            }
            if (child + 1 < heap.length && heap[child + 1]!.endsAt < heap[child]!.endsAt) {
                child += 1;
            }
            if (heap[child]!.endsAt >= last.endsAt) {
                break;
            }
            heap[i] = heap[child]!;
            i = child;
        }
        heap[i] = last;
    }
}

/** Own requests after which half of the reported fraction is replaced: a few seconds of an average router. */
const HALF_WEIGHT_REQUESTS = 50;
/** Below this fraction the reported requests say too little about the others. */
const MIN_REPORTED_FRACTION = 0.1;

/**
 * The fraction of requests to one service that routers report to each other, because short prompts are not reported. It is
 * learned from this router's own requests.
 */
export class ReportedFraction {
    private requests = 0;
    private reportedRequests = 0;

    record(isReported: boolean): void {
        const kept = 2 ** (-1 / HALF_WEIGHT_REQUESTS);
        this.requests = this.requests * kept + 1;
        this.reportedRequests = this.reportedRequests * kept + (isReported ? 1 : 0);
    }

    /** Returns undefined if too few requests are reported. Without own requests, all are presumed to be. */
    tryGet(): number | undefined {
        const fraction = this.requests === 0 ? 1 : this.reportedRequests / this.requests;
        return fraction < MIN_REPORTED_FRACTION ? undefined : fraction;
    }
}

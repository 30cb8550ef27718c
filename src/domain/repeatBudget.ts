/**
 * Bounds how often the requests of a service are sent again because another upstream was found at the address of the
 * intended one (status 421). That proves that the request did not run and says nothing about the load of upstreams, so it
 * takes nothing from the retry budget. It is a further arrival at the service all the same, so it has a bound of its own.
 */

/** Period over which the platform bounds the arrivals beyond the first of each request, in milliseconds. */
const WINDOW_MS = 10_000;
/** Requests and repeats are counted for each second. */
const BUCKET_MS = 1_000;
const WINDOW_BUCKETS = WINDOW_MS / BUCKET_MS;

interface Bucket {
    /** Number of `BUCKET_MS` since the origin of the monotonic clock. */
    readonly index: number;
    requests: number;
    repeats: number;
}

/** Allows `perRequest` x requests + `slack` repeats in any 10 s. Times are of the monotonic clock, in milliseconds. */
export class RepeatBudget {
    /** Ascending; at most `WINDOW_BUCKETS` + 1. */
    private buckets: Bucket[] = [];

    /** `slack`: repeats in 10 s that need no requests; may be a fraction, which requests add up to a whole repeat. */
    constructor(private readonly perRequest: number, private slack: number) {}

    setSlack(slack: number): void {
        this.slack = slack;
    }

    recordRequest(now: number): void {
        this.getBucket(now).requests += 1;
    }

    /** Counts a repeat; false if there may be no more at present. */
    trySpend(now: number): boolean {
        const bucket = this.getBucket(now);
        // The oldest bucket is partly outside of the window: its repeats count and its requests do not.
        const requests = this.buckets
            .filter(({ index }) => index > bucket.index - WINDOW_BUCKETS)
            .reduce((sum, { requests }) => sum + requests, 0);
        const repeats = this.buckets.reduce((sum, { repeats }) => sum + repeats, 0);
        if (repeats + 1 > requests * this.perRequest + this.slack) {
            return false;
        }
        bucket.repeats += 1;
        return true;
    }

    /** Returns the bucket of the present second, without those that the window has left. */
    private getBucket(now: number): Bucket {
        const index = Math.floor(now / BUCKET_MS);
        const last = this.buckets.at(-1);
        if (last?.index === index) {
            return last;
        }
        const bucket = { index, requests: 0, repeats: 0 };
        this.buckets = [...this.buckets.filter(other => other.index >= index - WINDOW_BUCKETS), bucket];
        return bucket;
    }
}

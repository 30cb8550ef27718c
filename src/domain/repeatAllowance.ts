/**
 * Bounds how often a router sends requests of a service again so that all routers together keep the limit that the platform
 * sets for them, although no router knows what the others send.
 *
 * The load that this guards against: the upstreams of a service fail while routers start, end or are cut off. Whatever a
 * router may send without having received requests adds up with the number of routers and of their starts.
 *
 * In each window, a router sends at most `ratio` / 2 repeats for each request that it received in that window and in the one
 * before. Added up over all routers, that is at most `ratio` repeats for each request of the larger one of the two windows.
 */

export interface RepeatAllowanceOptions {
    /** Period over which the platform bounds repeats, in milliseconds. */
    readonly windowMs: number;
    /** Repeats of all routers for each request to the service. */
    readonly ratio: number;
}

/** Precision with which a window slides. */
const WINDOW_BUCKETS = 40;
/** Two windows and the current bucket. */
const KEPT_BUCKETS = 2 * WINDOW_BUCKETS + 1;

/** Counts events in buckets, of which the latest are kept. */
class BucketCounts {
    private readonly counts = new Array<number>(KEPT_BUCKETS).fill(0);
    private newest = -Infinity;

    record(index: number): void {
        this.clearUpTo(index);
        this.counts[index % KEPT_BUCKETS]! += 1;
    }

    /** Returns the count of a bucket; 0 if it is no longer kept. */
    get(index: number): number {
        const isKept = index >= 0 && index <= this.newest && index > this.newest - KEPT_BUCKETS;
        return isKept ? this.counts[index % KEPT_BUCKETS]! : 0;
    }

    clear(): void {
        this.newest = -Infinity;
    }

    private clearUpTo(index: number): void {
        const firstNew = Math.max(this.newest + 1, index - KEPT_BUCKETS + 1, 0);
        for (let cleared = firstNew; cleared <= index; cleared++) {
            this.counts[cleared % KEPT_BUCKETS] = 0;
        }
        this.newest = Math.max(this.newest, index);
    }
}

/** The repeats that one router may send to one service. Times are of the monotonic clock, in milliseconds. */
export class RepeatAllowance {
    private readonly requests = new BucketCounts();
    private readonly repeats = new BucketCounts();
    private readonly bucketMs: number;
    /** Repeats that are claimed and have not been sent. */
    private claimedCount = 0;

    constructor(private readonly options: RepeatAllowanceOptions) {
        this.bucketMs = options.windowMs / WINDOW_BUCKETS;
    }

    recordRequest(now: number): void {
        this.requests.record(this.getBucket(now));
    }

    /** Claims a repeat if `keptCount` further ones stay allowed. A claim ends with `trySend` or `release`. */
    tryClaim(now: number, keptCount: number): boolean {
        if (!this.allows(this.claimedCount + 1 + keptCount, now)) {
            return false;
        }
        this.claimedCount += 1;
        return true;
    }

    /** Ends a claim and records that its repeat is being sent; false if that is not allowed any more, since it has waited. */
    trySend(now: number): boolean {
        this.release();
        if (!this.allows(1, now)) {
            return false;
        }
        this.repeats.record(this.getBucket(now));
        return true;
    }

    release(): void {
        this.claimedCount -= 1;
    }

    /** Forgets what was received, so that nothing may be repeated: the clock missed an unknown time. */
    reset(): void {
        this.requests.clear();
    }

    /** Returns what was received and sent again in the last window, to the length of a bucket. */
    countLastWindow(now: number): { readonly requests: number; readonly repeats: number; } {
        const last = this.getBucket(now);
        let requests = 0;
        let repeats = 0;
        for (let index = last - WINDOW_BUCKETS; index <= last; index++) {
            requests += this.requests.get(index);
            repeats += this.repeats.get(index);
        }
        return { requests, repeats };
    }

    /** Returns whether `count` repeats now would keep the limit in every window that contains this moment. */
    private allows(count: number, now: number): boolean {
        const last = this.getBucket(now);
        let requests = 0;
        for (let index = last - WINDOW_BUCKETS + 1; index <= last; index++) {
            requests += this.requests.get(index);
        }
        let repeats = count;
        // `first`: the bucket in which a window begins. Requests count only in buckets that are in the windows as a whole.
        for (let first = last; first >= last - WINDOW_BUCKETS; first--) {
            repeats += this.repeats.get(first);
            if (repeats > requests * this.options.ratio / 2) {
                return false;
            }
            requests += this.requests.get(first - WINDOW_BUCKETS);
        }
        return true;
    }

    private getBucket(now: number): number {
        return Math.floor(now / this.bucketMs);
    }
}

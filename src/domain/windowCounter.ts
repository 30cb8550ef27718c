/** Counts events of the last period in buckets. */

interface Bucket {
    /** Number of bucket lengths since the origin of the monotonic clock. */
    readonly index: number;
    count: number;
}

export class WindowCounter {
    /** Ascending; no older than `windowMs`. */
    private readonly buckets: Bucket[] = [];

    constructor(private readonly windowMs: number, private readonly bucketMs: number) {}

    /** Monotonic clock, milliseconds. */
    record(now: number): void {
        const index = Math.floor(now / this.bucketMs);
        this.evictBefore(now);
        const last = this.buckets.at(-1);
        if (last?.index === index) {
            last.count += 1;
        }
        else {
            this.buckets.push({ index, count: 1 });
        }
    }

    /** Returns the number of events of the last period, to the length of a bucket. */
    count(now: number): number {
        this.evictBefore(now);
        return this.buckets.reduce((sum, { count }) => sum + count, 0);
    }

    private evictBefore(now: number): void {
        const oldest = Math.floor((now - this.windowMs) / this.bucketMs);
        while (this.buckets.length > 0 && this.buckets[0]!.index < oldest) {
            this.buckets.shift();
        }
    }
}

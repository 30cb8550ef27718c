/** Least time that a rate is taken over, in milliseconds: before that a single amount would say too much. */
const LEAST_SPAN_MS = 2_000;

/** A rate that forgets exponentially: amounts a second, with a given half-life. */
export class MovingRate {
    private rate = 0;
    private lastMs: number | undefined;
    private firstMs: number | undefined;

    constructor(private readonly halfLifeMs: number) {}

    /** Adds an amount seen at `nowMs` on a monotonic clock. */
    add(amount: number, nowMs: number): void {
        this.decay(nowMs);
        this.firstMs ??= nowMs;
        this.rate += amount * Math.LN2 / (this.halfLifeMs / 1000);
    }

    /** The rate at `nowMs`, in amounts a second. */
    getRate(nowMs: number): number {
        this.decay(nowMs);
        return this.rate;
    }

    /** The rate corrected for the short time since the first amount, which the plain one takes for a time without any. */
    getUnbiasedRate(nowMs: number): number {
        const spanMs = Math.max(LEAST_SPAN_MS, nowMs - (this.firstMs ?? nowMs));
        return this.getRate(nowMs) / (1 - 2 ** (-spanMs / this.halfLifeMs));
    }

    private decay(nowMs: number): void {
        if (this.lastMs !== undefined && nowMs > this.lastMs) {
            this.rate *= 2 ** (-(nowMs - this.lastMs) / this.halfLifeMs);
        }
        this.lastMs = nowMs;
    }
}

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
        this.rate += this.getStep(amount);
    }

    /** Takes an amount back that was added lately and has turned out not to count. */
    remove(amount: number, nowMs: number): void {
        this.decay(nowMs);
        this.rate = Math.max(0, this.rate - this.getStep(amount));
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

    /** By how much an amount raises the rate. */
    private getStep(amount: number): number {
        return amount * Math.LN2 / (this.halfLifeMs / 1000);
    }

    private decay(nowMs: number): void {
        if (this.lastMs !== undefined && nowMs > this.lastMs) {
            this.rate *= 2 ** (-(nowMs - this.lastMs) / this.halfLifeMs);
        }
        this.lastMs = nowMs;
    }
}

/**
 * Minimum time span of the bias correction, in milliseconds, so that a single amount does not yield an excessive rate.
 */
const MIN_SPAN_MS = 2_000;

/** An exponentially decaying rate, in amounts per second. */
export class DecayingRate {
    private rate = 0;
    private lastMs: number | undefined;
    private firstMs: number | undefined;

    constructor(private readonly halfLifeMs: number) {}

    /** Adds an amount observed at `nowMs` on a monotonic clock. */
    add(amount: number, nowMs: number): void {
        this.decay(nowMs);
        this.firstMs ??= nowMs;
        this.rate += this.computeIncrement(amount);
    }

    /** Subtracts an amount that was added recently and turned out not to count. */
    remove(amount: number, nowMs: number): void {
        this.decay(nowMs);
        this.rate = Math.max(0, this.rate - this.computeIncrement(amount));
    }

    /** Returns the rate at `nowMs`, in amounts per second. */
    getRate(nowMs: number): number {
        this.decay(nowMs);
        return this.rate;
    }

    /**
     * Returns the rate corrected for the short time since the first amount; `getRate` counts the time before it as
     * zero.
     */
    getUnbiasedRate(nowMs: number): number {
        const spanMs = Math.max(MIN_SPAN_MS, nowMs - (this.firstMs ?? nowMs));
        return this.getRate(nowMs) / (1 - 2 ** (-spanMs / this.halfLifeMs));
    }

    /** Computes by how much an amount raises the rate. */
    private computeIncrement(amount: number): number {
        return amount * Math.LN2 / (this.halfLifeMs / 1000);
    }

    private decay(nowMs: number): void {
        if (this.lastMs !== undefined && nowMs > this.lastMs) {
            this.rate *= 2 ** (-(nowMs - this.lastMs) / this.halfLifeMs);
        }
        this.lastMs = nowMs;
    }
}

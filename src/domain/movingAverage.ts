/** A rate that forgets exponentially: amounts a second, with a given half-life. */
export class MovingRate {
    private rate = 0;
    private lastMs: number | undefined;

    constructor(private readonly halfLifeMs: number) {}

    /** Adds an amount seen at `nowMs` on a monotonic clock. */
    add(amount: number, nowMs: number): void {
        this.decay(nowMs);
        this.rate += amount * Math.LN2 / (this.halfLifeMs / 1000);
    }

    /** The rate at `nowMs`, in amounts a second. */
    getRate(nowMs: number): number {
        this.decay(nowMs);
        return this.rate;
    }

    private decay(nowMs: number): void {
        if (this.lastMs !== undefined && nowMs > this.lastMs) {
            this.rate *= 2 ** (-(nowMs - this.lastMs) / this.halfLifeMs);
        }
        this.lastMs = nowMs;
    }
}

/** Time source of the domain logic; tests inject a fake one. */
export abstract class Clock {
    /** Monotonic time in milliseconds; only differences are meaningful. */
    abstract getMonotonicMs(): number;
    /**
     * Milliseconds since the Unix epoch by the box's clock, which differs between boxes and may step. Only for display, or
     * to measure time across a restart together with the clocks of other boxes.
     */
    abstract getWallMs(): number;
    abstract wait(ms: number): Promise<void>;
}

export class SystemClock extends Clock {
    override getMonotonicMs(): number {
        return performance.now();
    }
    override getWallMs(): number {
        return Date.now();
    }
    override wait(ms: number): Promise<void> {
        return new Promise(resolve => {
            setTimeout(resolve, ms);
        });
    }
}

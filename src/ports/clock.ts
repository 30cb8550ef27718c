/** Time as the decisions see it. Tests put a clock of their own here. */
export abstract class Clock {
    /** Milliseconds on a clock that never steps; only differences mean anything. */
    abstract getMonotonicMs(): number;
    /**
     * Milliseconds since 1970 as the box has it: differs from box to box and may step. For people to read; where a
     * process of before is to be measured, together with the clocks of other boxes.
     */
    abstract getWallMs(): number;
    /** Resolves after `ms` milliseconds. */
    abstract wait(ms: number): Promise<void>;
}

/** The machine's clocks. */
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

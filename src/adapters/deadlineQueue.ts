/** Timeouts of equal length for many items, which share one timer. */

/** Items expire in the order in which they were added. An item that needs no timeout any more is skipped at its deadline. */
export class DeadlineQueue<T> {
    private readonly entries: { readonly item: T; readonly deadline: number; }[] = [];
    private timer: NodeJS.Timeout | undefined;

    /** `isWaiting`: whether an item still waits. `handleExpired`: called with each item that does at its deadline. */
    constructor(
        private readonly timeoutMs: number,
        private readonly isWaiting: (item: T) => boolean,
        private readonly handleExpired: (item: T) => void,
    ) {}

    add(item: T): void {
        this.entries.push({ item, deadline: performance.now() + this.timeoutMs });
        this.startTimer();
    }

    clear(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        this.entries.length = 0;
    }

    private startTimer(): void {
        while (this.entries[0] !== undefined && !this.isWaiting(this.entries[0].item)) {
            this.entries.shift();
        }
        const [oldest] = this.entries;
        if (oldest !== undefined && this.timer === undefined) {
            this.timer = setTimeout(() => this.pollThenExpire(), Math.max(1, oldest.deadline - performance.now()));
            this.timer.unref();
        }
    }

    /**
     * If the event loop lags, what an item waits for may have happened long ago, so that the next poll for I/O is awaited: the
     * first immediate runs in this turn, the second after the poll.
     */
    private pollThenExpire(): void {
        setImmediate(() => setImmediate(() => this.expire()));
    }

    private expire(): void {
        this.timer = undefined;
        const now = performance.now();
        while (this.entries[0] !== undefined && this.entries[0].deadline <= now) {
            const { item } = this.entries.shift()!;
            if (this.isWaiting(item)) {
                this.handleExpired(item);
            }
        }
        this.startTimer();
    }
}

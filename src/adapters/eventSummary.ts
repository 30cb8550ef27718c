/** Counts events that clients can bring about as often as they like, so that they are logged with a bounded number of lines. */

/** Interval between two lines, in milliseconds. */
const LOG_PERIOD_MS = 1_000;

export class EventSummary {
    private count = 0;
    private timer: NodeJS.Timeout | undefined;

    /** `logCount`: logs how many events there were since the last line. */
    constructor(private readonly logCount: (count: number) => void) {}

    record(): void {
        this.count += 1;
        this.timer ??= setTimeout(() => this.flush(), LOG_PERIOD_MS).unref();
    }

    private flush(): void {
        const { count } = this;
        this.timer = undefined;
        this.count = 0;
        this.logCount(count);
    }
}

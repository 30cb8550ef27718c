/** The connections that a router does not serve for lack of CPU time: logs them, with a bounded number of lines. */
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";

/** Interval between two lines while connections are not served, in milliseconds. */
const LOG_PERIOD_MS = 1_000;

export class UnservedConnections {
    private count = 0;
    private longestWaitMs = 0;
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly log: Log, private readonly metrics: Metrics) {}

    /** Records a connection. `waitMs`: how long it has waited to be accepted, in milliseconds. */
    record(waitMs: number): void {
        this.metrics.addCount("connections_closed_unread");
        this.count += 1;
        this.longestWaitMs = Math.max(this.longestWaitMs, waitMs);
        this.timer ??= setTimeout(() => this.flush(), LOG_PERIOD_MS).unref();
    }

    /** Logs what has not been logged yet. */
    flush(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        if (this.count > 0) {
            this.log.info("connections_closed_unread", {
                count: this.count,
                longest_wait_ms: Math.round(this.longestWaitMs),
            });
        }
        this.count = 0;
        this.longestWaitMs = 0;
    }
}

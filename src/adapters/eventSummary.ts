/** Logs how often an event has happened, with a bounded number of lines. */
import type { Log, LogFields } from "../ports/log.js";

/** Interval between two lines, in milliseconds. */
const LOG_PERIOD_MS = 1_000;

export class EventSummary {
    private count = 0;
    private timer: NodeJS.Timeout | undefined;

    /** `fields`: of each line, beside the `count`. */
    constructor(
        private readonly log: Log,
        private readonly event: string,
        private readonly fields: LogFields = {},
    ) {}

    record(): void {
        this.count += 1;
        this.timer ??= setTimeout(() => this.flush(), LOG_PERIOD_MS).unref();
    }

    private flush(): void {
        this.timer = undefined;
        this.log.warn(this.event, { ...this.fields, count: this.count });
        this.count = 0;
    }
}

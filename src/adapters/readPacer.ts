/**
 * Resumes paused reads together at shared ticks, so that one wake-up of the event loop and one system call per connection
 * carry several events of a stream. Used by routers that are short of CPU time.
 */

/** Shorter delays are not worth a timer: events of a stream are about 20 ms apart. */
const MIN_DELAY_MS = 10;

export class ReadPacer {
    private pending: (() => void)[] = [];

    /** `getDelayMs`: how long a read may currently be delayed, in milliseconds; 0 if reads are not to be delayed. */
    constructor(readonly getDelayMs: () => number) {}

    /** Whether reads should be paused at present. */
    isActive(): boolean {
        return this.getDelayMs() >= MIN_DELAY_MS;
    }

    /** Calls `resume` at the next shared tick, at most the current delay from now. */
    scheduleResume(resume: () => void): void {
        this.pending.push(resume);
        if (this.pending.length === 1) {
            setTimeout(() => this.flush(), this.getDelayMs());
        }
    }

    private flush(): void {
        const due = this.pending;
        this.pending = [];
        due.forEach(resume => resume());
    }
}

/** Periodic background tasks of a daemon. */
import { formatRefusal, getRefusal } from "../domain/resultCodes.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";

/** Runs `work` repeatedly, `periodMs` after each completion, until stopped. Failures are logged. */
export class RepeatingTask {
    private stopped = false;
    private running: Promise<void> | undefined;
    private endWait: (() => void) | undefined;

    constructor(
        private readonly name: string,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly periodMs: number,
        private readonly work: () => Promise<void>,
    ) {}

    start(): void {
        this.running = this.run();
    }

    /** Ends the current wait, so that the next run starts immediately. */
    runNow(): void {
        this.endWait?.();
    }

    async stop(): Promise<void> {
        this.stopped = true;
        this.runNow();
        await this.running;
    }

    private async run(): Promise<void> {
        while (!this.stopped) {
            try {
                await this.work();
            }
            catch (error) {
                this.log.warn("task_failed", { task: this.name, reason: formatRefusal(getRefusal(error)) });
            }
            if (!this.stopped) {
                await Promise.race([
                    this.clock.wait(this.periodMs),
                    new Promise<void>(resolve => {
                        this.endWait = resolve;
                    }),
                ]);
            }
        }
    }
}

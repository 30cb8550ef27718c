/** Background tasks that end with their daemon. */
import { formatRefusal, getRefusal } from "../domain/resultCodes.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";

/** Repeats a piece of work until stopped. A failure is logged and the work goes on at the next turn. */
export class RepeatingTask {
    private stopped = false;
    private running: Promise<void> | undefined;
    private wake: (() => void) | undefined;

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

    /** Has the next turn begin at once. */
    hurry(): void {
        this.wake?.();
    }

    async stop(): Promise<void> {
        this.stopped = true;
        this.hurry();
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
                        this.wake = resolve;
                    }),
                ]);
            }
        }
    }
}

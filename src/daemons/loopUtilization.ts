/** Samples the utilization of the event loop: the fraction of time in which it was not waiting for events. */
import { type EventLoopUtilization, performance } from "node:perf_hooks";

/** Short compared with the time in which a burst of requests saturates a small box. */
export const UTILIZATION_SAMPLE_PERIOD_MS = 100;
/** Smoothing factor of the moving average: half of a change is seen within two samples. */
const SMOOTHING_FACTOR = 0.4;

export class LoopUtilization {
    private last: EventLoopUtilization = performance.eventLoopUtilization();
    private smoothed = 0;
    private timer: NodeJS.Timeout | undefined;
    private readonly handlers: ((utilization: number) => void)[] = [];

    start(): void {
        this.timer = setInterval(() => this.sample(), UTILIZATION_SAMPLE_PERIOD_MS);
        this.timer.unref();
    }

    stop(): void {
        clearInterval(this.timer);
    }

    /** Returns the moving average, between 0 and 1. */
    get(): number {
        return this.smoothed;
    }

    /** Registers a handler that is called with the moving average after each sample. */
    onSample(handler: (utilization: number) => void): void {
        this.handlers.push(handler);
    }

    private sample(): void {
        const current = performance.eventLoopUtilization();
        const { utilization } = performance.eventLoopUtilization(current, this.last);
        this.last = current;
        this.smoothed += (utilization - this.smoothed) * SMOOTHING_FACTOR;
        this.handlers.forEach(handler => handler(this.smoothed));
    }
}

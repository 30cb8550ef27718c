/** Tells how long the connections of a listener have waited to be accepted. */
import type { ArrivalEstimator, ConnectionArrival } from "../../domain/arrivalEstimator.js";
import { ListenQueue } from "../../domain/listenQueue.js";
import type { Metrics } from "../../ports/metrics.js";
import { waitForNextPoll } from "../nextPoll.js";

/** The system accepts one connection more than the backlog says. */
const EXTRA_CONNECTIONS = 1;

export class AcceptMonitor {
    private readonly queue: ListenQueue;
    private acceptedCount = 0;

    /** `backlog`: maximum number of connections that wait to be accepted. */
    constructor(
        backlog: number,
        private readonly arrivalEstimator: ArrivalEstimator,
        private readonly metrics: Metrics,
    ) {
        this.queue = new ListenQueue(backlog + EXTRA_CONNECTIONS, performance.now());
    }

    /** Called as a connection is accepted, by the event loop's poll. */
    recordAccepted(): ConnectionArrival {
        const now = performance.now();
        this.acceptedCount += 1;
        void this.checkEmpty(this.acceptedCount);
        const earliestReadAt = now - this.arrivalEstimator.getMaxReadDelayMs(now);
        const readAt = this.arrivalEstimator.estimateArrival(now);
        const { estimatedAt } = this.queue.recordAccepted(now, readAt, earliestReadAt);
        this.metrics.recordTiming("accept_wait_ms", now - estimatedAt);
        return this.arrivalEstimator.createConnectionArrival(now, estimatedAt);
    }

    /** See `ListenQueue`. */
    mayHaveOverflowed(): boolean {
        return this.queue.mayHaveOverflowed(performance.now());
    }

    /** A poll that accepts no connection has found none. */
    private async checkEmpty(acceptedCount: number): Promise<void> {
        const now = performance.now();
        await waitForNextPoll();
        if (this.acceptedCount === acceptedCount) {
            this.queue.recordEmpty(now);
        }
    }
}

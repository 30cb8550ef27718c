/** Reports crashed upstreams and cleared requests to the controllers, retrying until one accepts the report. */
import { ConditionVariable } from "../../consensus/conditionVariable.js";
import { MAX_INTERRUPTED_REQUESTS } from "../../domain/upstreamEndCommands.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { PeerNetwork } from "../../ports/peer.js";
import { type EndReport, MAX_REPORTED_ENDS, reportEndsMethod } from "../../protocol/fleetMethods.js";
import type { EndedUpstream } from "./upstreamEndWatch.js";

/** Times in milliseconds. */
export interface UpstreamEndReporterOptions {
    readonly callTimeoutMs: number;
    /** Delay before the next try if no controller accepted a report. */
    readonly retryMs: number;
}

const IDLE_WAIT_MS = 10_000;

export class UpstreamEndReporter {
    private pendingEnds: EndedUpstream[] = [];
    private readonly pendingCleared = new Set<string>();
    private readonly pendingAdded = new ConditionVariable();
    private isStopped = false;

    constructor(
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly getControllers: () => readonly string[],
        private readonly options: UpstreamEndReporterOptions,
    ) {}

    /** Sends reports until `stop` is called. */
    async run(): Promise<void> {
        while (!this.isStopped) {
            if (this.pendingEnds.length === 0 && this.pendingCleared.size === 0) {
                await this.pendingAdded.wait(IDLE_WAIT_MS);
            }
            else if (!await this.sendReport()) {
                await this.clock.wait(this.options.retryMs);
            }
        }
    }

    stop(): void {
        this.isStopped = true;
        this.pendingAdded.notifyAll();
    }

    /** Queues a crash. Crashes that do not fit into one report are dropped, so that the queue is bounded. */
    addEnd(end: EndedUpstream): void {
        if (this.pendingEnds.length < MAX_REPORTED_ENDS) {
            this.pendingEnds.push(end);
            this.pendingAdded.notifyAll();
        }
        else {
            this.log.warn("upstream_end_not_reported", { life: end.life });
        }
    }

    /** Queues the fingerprint of a suspect request that got a complete response. */
    addClearedRequest(fingerprint: string): void {
        if (this.pendingCleared.size < MAX_INTERRUPTED_REQUESTS) {
            this.pendingCleared.add(fingerprint);
            this.pendingAdded.notifyAll();
        }
    }

    /** Offers the pending entries to each controller in turn. Returns whether one accepted them. */
    private async sendReport(): Promise<boolean> {
        const ends = [...this.pendingEnds];
        const cleared = [...this.pendingCleared];
        for (const address of this.getControllers()) {
            try {
                const report = this.createReport(ends, cleared);
                await this.network.call(address, reportEndsMethod, { report }, this.options.callTimeoutMs);
                this.pendingEnds = this.pendingEnds.slice(ends.length);
                cleared.forEach(fingerprint => this.pendingCleared.delete(fingerprint));
                return true;
            }
            catch (error) {
                this.log.info("upstream_ends_not_taken", { controller: address, error: String(error) });
            }
        }
        return false;
    }

    private createReport(ends: readonly EndedUpstream[], cleared: readonly string[]): EndReport {
        const now = this.clock.getMonotonicMs();
        return {
            ends: ends.map(({ life, interruptedAt, requests }) => ({
                life,
                brokenAgoMs: Math.max(0, Math.round(now - interruptedAt)),
                requests: [...requests],
            })),
            cleared: [...cleared],
        };
    }
}

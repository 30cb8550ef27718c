/** Tells the controllers of upstreams that ended and of suspects that were answered, again and again until one takes it. */
import { Signal } from "../../consensus/signal.js";
import { MOST_BROKEN_REQUESTS } from "../../domain/upstreamEndCommands.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { PeerNetwork } from "../../ports/peer.js";
import { type EndReport, MOST_REPORTED_ENDS, reportEndsMethod } from "../../protocol/fleetMethods.js";
import type { EndedUpstream } from "./upstreamEndWatch.js";

/** Times in milliseconds. */
export interface UpstreamEndReporterOptions {
    readonly callTimeoutMs: number;
    /** Pause after no controller has taken a report. */
    readonly retryMs: number;
}

/** How long the task waits for something to report before it looks again, in milliseconds. */
const IDLE_MS = 10_000;

export class UpstreamEndReporter {
    private ends: EndedUpstream[] = [];
    private readonly cleared = new Set<string>();
    private readonly added = new Signal();
    private stopped = false;

    constructor(
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly getControllers: () => readonly string[],
        private readonly options: UpstreamEndReporterOptions,
    ) {}

    /** The reporter's one task. */
    async run(): Promise<void> {
        while (!this.stopped) {
            if (this.ends.length === 0 && this.cleared.size === 0) {
                await this.added.wait(IDLE_MS);
            }
            else if (!await this.sendReport()) {
                await this.clock.wait(this.options.retryMs);
            }
        }
    }

    stop(): void {
        this.stopped = true;
        this.added.notifyAll();
    }

    /** Beyond the most that one report holds the newest are left out: while no controller is reached, there is no hurry. */
    addEnd(end: EndedUpstream): void {
        if (this.ends.length < MOST_REPORTED_ENDS) {
            this.ends.push(end);
            this.added.notifyAll();
        }
        else {
            this.log.warn("upstream_end_not_reported", { life: end.life });
        }
    }

    /** Notes that a suspect was answered whole. */
    addCleared(fingerprint: string): void {
        if (this.cleared.size < MOST_BROKEN_REQUESTS) {
            this.cleared.add(fingerprint);
            this.added.notifyAll();
        }
    }

    /** Sends what there is to one controller after the other until one takes it. Answers whether one did. */
    private async sendReport(): Promise<boolean> {
        const ends = [...this.ends];
        const cleared = [...this.cleared];
        for (const address of this.getControllers()) {
            try {
                const report = this.createReport(ends, cleared);
                await this.network.call(address, reportEndsMethod, { report }, this.options.callTimeoutMs);
                this.ends = this.ends.slice(ends.length);
                cleared.forEach(fingerprint => this.cleared.delete(fingerprint));
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
            ends: ends.map(({ life, brokenAt, requests }) => ({
                life,
                brokenAgoMs: Math.max(0, Math.round(now - brokenAt)),
                requests: [...requests],
            })),
            cleared: [...cleared],
        };
    }
}

/** Reports crashed upstreams and attributes of requests that survived to the controllers, retrying until one accepts the report. */
import { ConditionVariable } from "../../consensus/conditionVariable.js";
import { type ClearedAttribute, MAX_CLEARED_ATTRIBUTES } from "../../domain/upstreamEndCommands.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { PeerNetwork } from "../../ports/peer.js";
import { type EndReport, MAX_REPORTED_ENDS, reportEndsMethod } from "../../protocol/fleetMethods.js";
import type { SurvivorEvidence } from "./survivors.js";
import type { EndedUpstream } from "./upstreamEndWatch.js";

/** Times in milliseconds. */
export interface UpstreamEndReporterOptions {
    readonly callTimeoutMs: number;
    /** Delay before the next try if no controller accepted a report. */
    readonly retryMs: number;
}

const IDLE_WAIT_MS = 10_000;
/** Attributes of which it is remembered that they were reported. */
const MAX_REPORTED_CLEARED = 1_000;

export class UpstreamEndReporter {
    private pendingEnds: EndedUpstream[] = [];
    /** Log indexes up to which attributes are cleared. */
    private readonly pendingCleared = new Map<string, number>();
    /** Log indexes up to which attributes were cleared by reports that a controller accepted; the latest last. */
    private readonly reportedCleared = new Map<string, number>();
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

    /** Queues an attribute of a request that survived, unless the same has been reported. */
    addClearedAttribute({ attribute, upTo, request }: SurvivorEvidence): void {
        const reportedUpTo = this.pendingCleared.get(attribute) ?? this.reportedCleared.get(attribute) ?? -1;
        if (
            reportedUpTo < upTo
            && (this.pendingCleared.has(attribute) || this.pendingCleared.size < MAX_CLEARED_ATTRIBUTES)
        ) {
            this.pendingCleared.set(attribute, upTo);
            this.log.info("suspect_cleared", { request, attribute, up_to: upTo });
            this.pendingAdded.notifyAll();
        }
    }

    /** Offers the pending entries to each controller in turn. Returns whether one accepted them. */
    private async sendReport(): Promise<boolean> {
        const ends = [...this.pendingEnds];
        const cleared = [...this.pendingCleared].map(([attribute, upTo]) => ({ attribute, upTo }));
        for (const address of this.getControllers()) {
            try {
                const report = this.createReport(ends, cleared);
                await this.network.call(address, reportEndsMethod, { report }, this.options.callTimeoutMs);
                this.pendingEnds = this.pendingEnds.slice(ends.length);
                cleared.forEach(entry => this.recordReported(entry));
                return true;
            }
            catch (error) {
                this.log.info("upstream_ends_not_taken", { controller: address, error: String(error) });
            }
        }
        return false;
    }

    private recordReported({ attribute, upTo }: ClearedAttribute): void {
        if (this.pendingCleared.get(attribute) === upTo) {
            this.pendingCleared.delete(attribute);
        }
        this.reportedCleared.delete(attribute);
        this.reportedCleared.set(attribute, upTo);
        if (this.reportedCleared.size > MAX_REPORTED_CLEARED) {
            this.reportedCleared.delete(this.reportedCleared.keys().next().value!);
        }
    }

    private createReport(ends: readonly EndedUpstream[], clearedAttributes: ClearedAttribute[]): EndReport {
        const now = this.clock.getMonotonicMs();
        return {
            ends: ends.map(({ life, interruptedAt, requests }) => ({
                life,
                brokenAgoMs: Math.max(0, Math.round(now - interruptedAt)),
                requests: [...requests],
            })),
            cleared: [],
            clearedAttributes,
        };
    }
}

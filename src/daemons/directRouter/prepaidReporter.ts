/** Reports a router's prepaid tokens to the controllers, one report at a time, and hands the grants to the purse. */
import { Signal } from "../../consensus/signal.js";
import type { PrepaidPurse } from "../../domain/prepaidPurse.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { PeerNetwork } from "../../ports/peer.js";
import { reportPrepaidMethod } from "../../protocol/fleetMethods.js";

/** Times in milliseconds. */
export interface PrepaidReporterOptions {
    /** Pause between reports when nobody waits. */
    readonly periodMs: number;
    /** Least pause between reports when requests wait for a grant. */
    readonly urgentPauseMs: number;
    readonly callTimeoutMs: number;
}

export class PrepaidReporter {
    /** How many routers share the accounts, as the newest answer said. */
    routers = 1;
    private readonly urgent = new Signal();
    private readonly granted = new Signal();
    /** The controller that answered last. */
    private preferred: string | undefined;
    private stopped = false;
    private answeredAt = -Infinity;
    private isReaching = true;

    constructor(
        private readonly purse: PrepaidPurse,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly getControllers: () => readonly string[],
        private readonly options: PrepaidReporterOptions,
    ) {}

    /** The reporter's one task. */
    async run(): Promise<void> {
        while (!this.stopped) {
            await this.sendReport(false);
            await this.clock.wait(this.options.urgentPauseMs);
            await this.urgent.wait(this.options.periodMs - this.options.urgentPauseMs);
        }
    }

    /** Whether the newest report was answered lately. */
    isInContact(): boolean {
        return this.clock.getMonotonicMs() - this.answeredAt < this.options.periodMs * 2;
    }

    /** Asks for a report soon, and resolves at the next grant or after `timeoutMs`. */
    waitGrant(timeoutMs: number): Promise<void> {
        this.urgent.notifyAll();
        return this.granted.wait(timeoutMs);
    }

    /** Gives back what is left, as the router stops. */
    async stop(): Promise<void> {
        this.stopped = true;
        await this.sendReport(true);
    }

    private async sendReport(closing: boolean): Promise<void> {
        for (const address of this.getOrder()) {
            const report = this.purse.createReport(this.clock.getMonotonicMs(), closing);
            if (report.accounts.length === 0) {
                return;
            }
            try {
                const { callTimeoutMs } = this.options;
                const answer = await this.network.call(address, reportPrepaidMethod, { report }, callTimeoutMs);
                this.purse.applyAnswer(report.sequence, answer.accounts, this.clock.getMonotonicMs());
                this.routers = Math.max(1, answer.routers);
                this.preferred = address;
                this.answeredAt = this.clock.getMonotonicMs();
                this.noteReaching(true, "");
                this.granted.notifyAll();
                return;
            }
            catch (error) {
                this.preferred = undefined;
                this.noteReaching(false, String(error));
            }
        }
    }

    private noteReaching(isReaching: boolean, error: string): void {
        if (this.isReaching !== isReaching) {
            this.isReaching = isReaching;
            this.log.warn(isReaching ? "prepaid_reports_taken_again" : "prepaid_reports_not_taken", { error });
        }
    }

    private getOrder(): string[] {
        const all = this.getControllers();
        const { preferred } = this;
        return preferred === undefined || !all.includes(preferred)
            ? [...all]
            : [preferred, ...all.filter(address => address !== preferred)];
    }
}

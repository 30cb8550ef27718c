/** Reports a router's prepaid tokens to the controllers, one report at a time, and hands the grants to the purse. */
import { Signal } from "../../consensus/signal.js";
import type { LocalTokenBudget } from "../../domain/localTokenBudget.js";
import type { PrepaidResult } from "../../domain/prepaidLedger.js";
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
    /** How long a router that stops tries to give back what is left; the platform ends processes that take too long. */
    readonly closingTimeoutMs: number;
}

export class PrepaidReporter {
    /** How many routers share the accounts, as the newest answer said. */
    routers = 1;
    private readonly urgent = new Signal();
    private readonly granted = new Signal();
    /** The controller that answered last. */
    private preferred: string | undefined;
    private stopped = false;
    /** Somebody has asked for a report since the newest one was made. */
    private isAsked = false;
    /** Rounds of reports begun, and the newest one that was answered. */
    private begun = 0;
    private answered = 0;
    /** When that answer arrived. Monotonic clock, milliseconds. */
    private answeredAt = -Infinity;
    /** Whether the newest report was taken, as far as the log says. */
    private isReaching = true;

    constructor(
        private readonly purse: LocalTokenBudget,
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
            if (!this.isAsked && !this.stopped) {
                await this.urgent.wait(this.options.periodMs - this.options.urgentPauseMs);
            }
        }
    }

    /** Whether the newest report was answered lately. */
    isInContact(): boolean {
        return this.clock.getMonotonicMs() - this.answeredAt < this.options.periodMs * 2;
    }

    /** Asks for a report soon; the one under way does not tell of what has just changed. */
    askReport(): void {
        this.isAsked = true;
        this.urgent.notifyAll();
    }

    /** Asks for a report, and resolves when it has been answered, or after `timeoutMs`. */
    async waitGrant(timeoutMs: number): Promise<void> {
        const wanted = this.begun + 1;
        const giveUpAt = this.clock.getMonotonicMs() + timeoutMs;
        this.askReport();
        while (this.answered < wanted) {
            const left = giveUpAt - this.clock.getMonotonicMs();
            if (left <= 0) {
                return;
            }
            await this.granted.wait(left);
        }
    }

    /** Gives back what is left, as the router stops; where no controller is reached, it is written off in part. */
    async stop(): Promise<void> {
        this.stopped = true;
        this.urgent.notifyAll();
        await Promise.race([this.sendReport(true), this.clock.wait(this.options.closingTimeoutMs)]);
    }

    /** Sends a report to one controller after the other until one answers. */
    private async sendReport(closing: boolean): Promise<void> {
        this.begun += 1;
        const round = this.begun;
        this.isAsked = false;
        if (!this.purse.hasAccounts()) {
            return;
        }
        for (const address of this.getOrder()) {
            const report = this.purse.createReport(this.clock.getMonotonicMs(), this.clock.getWallMs(), closing);
            try {
                const { callTimeoutMs } = this.options;
                const answer = await this.network.call(address, reportPrepaidMethod, { report }, callTimeoutMs);
                this.receiveAnswer(address, report.sequence, round, answer);
                return;
            }
            catch (error) {
                this.preferred = undefined;
                this.noteReaching(false, String(error));
            }
        }
    }

    /** Hands an answer to the purse, and wakes those who wait for it. `round`: the round of the report. */
    private receiveAnswer(address: string, sequence: number, round: number, answer: PrepaidResult): void {
        this.purse.applyAnswer(sequence, answer.accounts, this.clock.getMonotonicMs());
        this.routers = Math.max(1, answer.routers);
        this.preferred = address;
        this.answeredAt = this.clock.getMonotonicMs();
        this.answered = round;
        this.noteReaching(true, "");
        if (answer.awaitsConfirmation) {
            this.askReport();
        }
        this.granted.notifyAll();
    }

    /** Logs once when reports are no longer taken, and once when they are again. */
    private noteReaching(isReaching: boolean, error: string): void {
        if (this.isReaching !== isReaching) {
            this.isReaching = isReaching;
            this.log.warn(isReaching ? "prepaid_reports_taken_again" : "prepaid_reports_not_taken", { error });
        }
    }

    /** Addresses of the controllers, the one that answered last first. */
    private getOrder(): string[] {
        const all = this.getControllers();
        const { preferred } = this;
        return preferred === undefined || !all.includes(preferred)
            ? [...all]
            : [preferred, ...all.filter(address => address !== preferred)];
    }
}

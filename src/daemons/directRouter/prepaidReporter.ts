/** Reports a router's prepaid tokens to the controllers, one report at a time, and applies the grants to the local token budget. */
import { ConditionVariable } from "../../consensus/conditionVariable.js";
import type { LocalTokenBudget } from "../../domain/localTokenBudget.js";
import type { PrepaidResult } from "../../domain/prepaidLedger.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { PeerNetwork } from "../../ports/peer.js";
import { reportPrepaidMethod } from "../../protocol/fleetMethods.js";

/** Times in milliseconds. */
export interface PrepaidReporterOptions {
    /** Interval between reports when no request is waiting for a grant. */
    readonly periodMs: number;
    /** Minimum delay between reports when requests are waiting for a grant. */
    readonly minPeriodMs: number;
    readonly callTimeoutMs: number;
    /** Timeout of the final report on shutdown. Must be shorter than the platform's termination grace period. */
    readonly shutdownTimeoutMs: number;
}

export class PrepaidReporter {
    /** Number of routers that share the accounts, from the latest response. */
    routerCount = 1;
    private readonly reportRequested = new ConditionVariable();
    private readonly reportAnswered = new ConditionVariable();
    /** The controller that responded to the last report; undefined after a failure. */
    private preferredController: string | undefined;
    private isStopped = false;
    /** Whether a report has been requested since the latest one was created. */
    private isReportRequested = false;
    /** In each round, controllers are sent a report in turn until one responds. */
    private lastStartedRound = 0;
    private lastAnsweredRound = 0;
    /** Monotonic clock, milliseconds. */
    private lastAnsweredAt = -Infinity;
    /** Outcome of the latest attempt, used to log only transitions. */
    private hasLastAttemptSucceeded = true;

    constructor(
        private readonly tokenBudget: LocalTokenBudget,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly getControllers: () => readonly string[],
        private readonly options: PrepaidReporterOptions,
    ) {}

    /** Sends reports periodically, or earlier on request, until stopped. */
    async run(): Promise<void> {
        while (!this.isStopped) {
            await this.sendReport(false);
            await this.clock.wait(this.options.minPeriodMs);
            if (!this.isReportRequested && !this.isStopped) {
                await this.reportRequested.wait(this.options.periodMs - this.options.minPeriodMs);
            }
        }
    }

    /** Whether a controller has responded within the last two report periods. */
    isInContact(): boolean {
        return this.clock.getMonotonicMs() - this.lastAnsweredAt < this.options.periodMs * 2;
    }

    /** Schedules another report as soon as possible, since a report in progress does not include the latest changes. */
    requestReport(): void {
        this.isReportRequested = true;
        this.reportRequested.notifyAll();
    }

    /** Requests a report. Resolves when the response has been applied, or after `timeoutMs`. */
    async waitForAnswer(timeoutMs: number): Promise<void> {
        const targetRound = this.lastStartedRound + 1;
        const deadline = this.clock.getMonotonicMs() + timeoutMs;
        this.requestReport();
        while (this.lastAnsweredRound < targetRound) {
            const remainingMs = deadline - this.clock.getMonotonicMs();
            if (remainingMs <= 0) {
                return;
            }
            await this.reportAnswered.wait(remainingMs);
        }
    }

    /** Returns unused tokens in a final report. If no controller responds, part of them is written off. */
    async stop(): Promise<void> {
        this.isStopped = true;
        this.reportRequested.notifyAll();
        await Promise.race([this.sendReport(true), this.clock.wait(this.options.shutdownTimeoutMs)]);
    }

    /** Sends a report to each controller in turn until one responds. */
    private async sendReport(closing: boolean): Promise<void> {
        this.lastStartedRound += 1;
        const round = this.lastStartedRound;
        this.isReportRequested = false;
        if (!this.tokenBudget.hasAccounts()) {
            return;
        }
        for (const address of this.listControllers()) {
            const report = this.tokenBudget.createReport(this.clock.getMonotonicMs(), this.clock.getWallMs(), closing);
            try {
                const { callTimeoutMs } = this.options;
                const answer = await this.network.call(address, reportPrepaidMethod, { report }, callTimeoutMs);
                this.receiveAnswer(address, report.sequence, round, answer);
                return;
            }
            catch (error) {
                this.preferredController = undefined;
                this.logOutcomeChange(false, String(error));
            }
        }
    }

    /** Applies a response to the local token budget and wakes the requests that wait for it. */
    private receiveAnswer(address: string, sequence: number, round: number, answer: PrepaidResult): void {
        this.tokenBudget.applyAnswer(sequence, answer.accounts, this.clock.getMonotonicMs(), answer.bundleRevision);
        this.routerCount = Math.max(1, answer.routers);
        this.preferredController = address;
        this.lastAnsweredAt = this.clock.getMonotonicMs();
        this.lastAnsweredRound = round;
        this.logOutcomeChange(true, "");
        if (answer.awaitsConfirmation || this.tokenBudget.hasOmitted()) {
            this.requestReport();
        }
        this.reportAnswered.notifyAll();
    }

    /** Logs only transitions between successful and failed attempts. */
    private logOutcomeChange(hasSucceeded: boolean, error: string): void {
        if (this.hasLastAttemptSucceeded !== hasSucceeded) {
            this.hasLastAttemptSucceeded = hasSucceeded;
            this.log.warn(hasSucceeded ? "prepaid_reports_taken_again" : "prepaid_reports_not_taken", { error });
        }
    }

    /** Lists the controllers, starting with the preferred one. */
    private listControllers(): string[] {
        const all = this.getControllers();
        const { preferredController } = this;
        return preferredController === undefined || !all.includes(preferredController)
            ? [...all]
            : [preferredController, ...all.filter(address => address !== preferredController)];
    }
}

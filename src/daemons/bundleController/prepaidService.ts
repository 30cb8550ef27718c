/**
 * Records routers' reports of prepaid tokens in the replicated log. For a router that has restarted, the leader adds an upper
 * bound on how long the previous process ran after its last reports, which is computed from clocks.
 */
import { getLeaderAddress } from "../../consensus/leaderAddress.js";
import type { ReplicatedLog } from "../../consensus/replicatedLog.js";
import type { PrepaidReportCommand } from "../../domain/bundleCommands.js";
import { PredecessorLifetimes } from "../../domain/predecessorLifetimes.js";
import type { PrepaidResult } from "../../domain/prepaidLedger.js";
import { ReportingRouters } from "../../domain/reportingRouters.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { PeerNetwork } from "../../ports/peer.js";
import { reportPrepaidMethod } from "../../protocol/fleetMethods.js";

/** Timeout for forwarding a report to the leader. */
const FORWARD_TIMEOUT_MS = 900;
const LOG_PERIOD_MS = 5_000;
const MAX_LOGGED_ACCOUNTS = 10;

/** Runs on every controller. Only the leader's instance proposes; the others forward reports to it. */
export class PrepaidService {
    private readonly processLifetimes = new PredecessorLifetimes();
    /** Recorded on every controller, so that the silence of a router does not begin anew with a leader. */
    private readonly reportingRouters = new ReportingRouters();

    constructor(
        private readonly replica: ReplicatedLog,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {
        replica.onApplied(({ command }, result) => {
            if (command.type === "reportPrepaid" && (result as PrepaidResult).taken) {
                this.recordReport(command);
            }
        });
        this.recordSnapshot();
        replica.onSnapshotLoaded(() => this.recordSnapshot());
    }

    /** Periodically logs the accounts with the lowest fraction of free tokens, on the leader. */
    async runLogging(): Promise<void> {
        while (!this.replica.isStopped()) {
            await this.clock.wait(LOG_PERIOD_MS);
            if (this.replica.isLeader()) {
                for (const state of this.replica.state.prepaid.listMostDepleted(MAX_LOGGED_ACCOUNTS)) {
                    this.log.info("prepaid_account", { ...state });
                }
            }
        }
    }

    /** Records a report, on any controller. Throws noMajority or changeUnknown. */
    async handleReport(report: PrepaidReportCommand): Promise<PrepaidResult> {
        if (this.replica.isLeader()) {
            return this.proposeReport(report);
        }
        const leader = getLeaderAddress(this.replica);
        return this.network.call(leader.address, reportPrepaidMethod, { report }, FORWARD_TIMEOUT_MS);
    }

    private async proposeReport(report: PrepaidReportCommand): Promise<PrepaidResult> {
        const predecessor = await this.tryMeasurePredecessorLifetime(report);
        const { result } = await this.replica.propose({ ...report, predecessor });
        return { ...(result as PrepaidResult), routers: this.reportingRouters.count(this.clock.getMonotonicMs()) };
    }

    private recordReport({ router, closing }: PrepaidReportCommand): void {
        if (closing) {
            this.reportingRouters.recordClosed(router);
        }
        else {
            this.reportingRouters.recordReport(router, this.clock.getMonotonicMs());
        }
    }

    private recordSnapshot(): void {
        const now = this.clock.getMonotonicMs();
        this.replica.state.prepaid.listRouters().forEach(router => this.reportingRouters.recordGranted(router, now));
    }

    /** Returns undefined if no previous process of the router has open grants, or if its lifetime cannot be bounded. */
    private async tryMeasurePredecessorLifetime(
        report: PrepaidReportCommand,
    ): Promise<PrepaidReportCommand["predecessor"]> {
        const predecessorReports = this.replica.state.prepaid.tryGetPredecessorReports(
            report.router,
            report.incarnation,
        );
        if (predecessorReports === undefined) {
            return undefined;
        }
        const { entryAges } = this.replica;
        const [newest, answered] = await Promise.all([
            entryAges.collectAge(predecessorReports.newest.index),
            predecessorReports.answered === undefined
                ? undefined
                : entryAges.collectAge(predecessorReports.answered.index),
        ]);
        const predecessor = this.processLifetimes.computePredecessorLifetime(predecessorReports, report, {
            newest,
            answered,
        });
        this.log.info("router_replaced", {
            router: report.router,
            incarnation: report.incarnation,
            since_newest_ms: predecessor?.sinceNewestMs,
            since_answered_ms: predecessor?.sinceAnsweredMs,
            witnesses: newest.controllerClocksMs.length,
        });
        return predecessor;
    }
}

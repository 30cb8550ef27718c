/**
 * Takes routers' reports of their prepaid tokens to the log. The leader adds what only a clock can tell: how long an
 * earlier start of a router can have lived after its last reports.
 */
import { getLeaderAddress } from "../../consensus/leaderAddress.js";
import type { ReplicatedLog } from "../../consensus/replicatedLog.js";
import type { PrepaidReportCommand } from "../../domain/bundleCommands.js";
import { PredecessorLifetimes } from "../../domain/predecessorLifetimes.js";
import type { PrepaidResult } from "../../domain/prepaidLedger.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { PeerNetwork } from "../../ports/peer.js";
import { reportPrepaidMethod } from "../../protocol/fleetMethods.js";

/** How long a report may take from here to the leader and back, in milliseconds. */
const FORWARD_TIMEOUT_MS = 900;
/** How often, and of how many accounts, the leader logs what is left. */
const LOG_PERIOD_MS = 5_000;
const LOGGED_ACCOUNTS = 10;

/** Each controller has one; only the leader's proposes. */
export class PrepaidService {
    private readonly lives = new PredecessorLifetimes();

    constructor(
        private readonly replica: ReplicatedLog,
        private readonly network: PeerNetwork,
        private readonly log: Log,
    ) {}

    /** The leader's task: logs how much of the scarcest accounts is left. */
    async runLogging(clock: Clock): Promise<void> {
        while (!this.replica.isStopped()) {
            await clock.wait(LOG_PERIOD_MS);
            if (this.replica.isLeader()) {
                for (const state of this.replica.state.prepaid.listMostDepleted(LOGGED_ACCOUNTS)) {
                    this.log.info("prepaid_account", { ...state });
                }
            }
        }
    }

    /** Takes a report at any controller. Throws noMajority or changeUnknown. */
    async takeReport(report: PrepaidReportCommand): Promise<PrepaidResult> {
        if (this.replica.isLeader()) {
            return this.proposeReport(report);
        }
        const leader = getLeaderAddress(this.replica);
        return this.network.call(leader.address, reportPrepaidMethod, { report }, FORWARD_TIMEOUT_MS);
    }

    private async proposeReport(report: PrepaidReportCommand): Promise<PrepaidResult> {
        const predecessor = await this.tryMeasurePredecessor(report);
        const { result } = await this.replica.propose({ ...report, predecessor });
        return result as PrepaidResult;
    }

    private async tryMeasurePredecessor(report: PrepaidReportCommand): Promise<PrepaidReportCommand["predecessor"]> {
        const reports = this.replica.state.prepaid.tryGetPredecessorReports(report.router, report.incarnation);
        if (reports === undefined) {
            return undefined;
        }
        const { entryAges } = this.replica;
        const [newest, answered] = await Promise.all([
            entryAges.gather(reports.newest.index),
            reports.answered === undefined ? undefined : entryAges.gather(reports.answered.index),
        ]);
        const predecessor = this.lives.computePredecessorLifetime(reports, report, { newest, answered });
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

/**
 * Takes routers' reports of their prepaid tokens to the log. The leader adds what only a clock can tell: how long an
 * earlier start of a router can have lived after its last reports.
 */
import { getLeaderAddress } from "../../consensus/leaderAddress.js";
import type { ReplicatedLog } from "../../consensus/replicatedLog.js";
import type { PrepaidReportCommand } from "../../domain/bundleCommands.js";
import type { PrepaidResult, ReportTime } from "../../domain/prepaidBook.js";
import { computeLongestLifeMs, type LifeEvidence } from "../../domain/routerLife.js";
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
    /** Of routers that run anew: their newest report of before, and how long nothing ran there after it. */
    private readonly silences = new Map<string, { readonly index: number; readonly ms: number; }>();

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
                for (const state of this.replica.state.prepaid.listScarcest(LOGGED_ACCOUNTS)) {
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
        const predecessor = this.tryMeasurePredecessor(report);
        const { result } = await this.replica.propose({ ...report, predecessor });
        return result as PrepaidResult;
    }

    private tryMeasurePredecessor(report: PrepaidReportCommand): PrepaidReportCommand["predecessor"] {
        const reports = this.replica.state.prepaid.tryGetPredecessor(report.router, report.incarnation);
        if (reports === undefined) {
            return undefined;
        }
        const { answered, newest } = reports;
        const sinceNewestMs = computeLongestLifeMs(this.gatherEvidence(newest, report));
        const sinceAnsweredMs = answered === undefined
            ? 0
            : computeLongestLifeMs(this.gatherEvidence(answered, report));
        this.silences.set(report.router, { index: newest.index, ms: getSilenceMs(newest, report) });
        this.log.info("router_replaced", {
            router: report.router,
            incarnation: report.incarnation,
            since_newest_ms: sinceNewestMs,
            since_answered_ms: sinceAnsweredMs,
            measured: this.replica.getEntryAge(newest.index).isOwn,
        });
        return sinceNewestMs === undefined || sinceAnsweredMs === undefined
            ? undefined
            : { sinceAnsweredMs, sinceNewestMs };
    }

    /** What this leader knows of the time from when a report was taken until the process that makes `report` started. */
    private gatherEvidence(earlier: ReportTime, report: PrepaidReportCommand): LifeEvidence {
        const age = this.replica.getEntryAge(earlier.index);
        const byLeader = age.ms === undefined ? undefined : age.ms - report.uptimeMs;
        if (age.isOwn) {
            return { measuredMs: byLeader, witnessedMs: [] };
        }
        // Another router whose last report came no earlier was silent for no longer than this one lived, at the most.
        const others = [...this.silences].filter(([router, { index }]) =>
            router !== report.router && index >= earlier.index
        );
        const witnessedMs = [byLeader, getSilenceMs(earlier, report), ...others.map(([, { ms }]) => ms)];
        return { measuredMs: undefined, witnessedMs: witnessedMs.filter(ms => ms !== undefined) };
    }
}

/** From an earlier report until the start of the process that makes `report`, by the time of day at the router's box. */
function getSilenceMs(earlier: ReportTime, report: PrepaidReportCommand): number {
    return report.wallMs - report.uptimeMs - earlier.wallMs;
}

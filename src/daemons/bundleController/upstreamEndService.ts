/**
 * Records routers' reports of ended upstreams in the replicated log and notifies subscribed routers of what the requests
 * suspected to have caused them have in common. The log keeps the reports across a restart of all processes.
 */
import { getLeaderAddress } from "../../consensus/leaderAddress.js";
import type { ReplicatedLog } from "../../consensus/replicatedLog.js";
import { computeBlockMs, type CrashSuspect } from "../../domain/crashSuspects.js";
import type { LiftReason } from "../../domain/crashVerdicts.js";
import { isContentAttribute } from "../../domain/requestAttributes.js";
import type { ClearedAttribute } from "../../domain/upstreamEndCommands.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import type { PeerNetwork } from "../../ports/peer.js";
import {
    type EndReport,
    MAX_SUSPECT_ENDS,
    NO_FINGERPRINT,
    reportEndsMethod,
    type SuspectList,
    suspectNoticeMethod,
} from "../../protocol/fleetMethods.js";
import type { UpstreamEndsOptions } from "../../settings/crashSuspectSettings.js";
import type { SubscribedRouters } from "./subscribedRouters.js";

/** Timeout for forwarding a report to the leader. */
const FORWARD_TIMEOUT_MS = 900;
/** Suspects that routers are told of beside the culprits, those with the most evidence first. */
const MAX_LISTED_SUSPECTS = 64;
/** Short compared with the time in which requests that end upstreams follow one another. */
const NOTICE_DELAY_MS = 15;
const EVICTION_PERIOD_MS = 5_000;
/** Maximum number of ended incarnations that are compared to find simultaneous ends: more than one cause ends in seconds. */
const MAX_RECENT_ENDS = 1_000;

/** Fields of a log line. */
interface LiftedQuarantine {
    readonly quarantine: string;
    /** `snapshotLoaded`: the culprit is not in the state that the leader sent. */
    readonly reason: LiftReason | "snapshotLoaded";
    readonly by: string | undefined;
    readonly index: number | undefined;
}

export class UpstreamEndService {
    /** When each retained entry was first seen by this process, keyed by its log index. Monotonic clock, milliseconds. */
    private receivedAtByIndex = new Map<number, number>();
    /** Start of the moment at which each recently reported incarnation ended. Monotonic clock, milliseconds. */
    private readonly momentStartByIncarnation = new Map<string, number>();
    /** The suspects that routers were last notified of, as JSON. */
    private lastNotifiedSuspects = "[]";
    private isNoticeScheduled = false;
    /** The culprits that are blocked as far as was logged, by their attributes. */
    private blocked: ReadonlyMap<string, CrashSuspect> = new Map();

    constructor(
        private readonly replica: ReplicatedLog,
        private readonly subscribers: SubscribedRouters,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly metrics: Metrics,
        private readonly options: UpstreamEndsOptions,
    ) {
        replica.onApplied(({ command }) => {
            if (
                command.type === "recordUpstreamEnd" || command.type === "clearRequests"
                || command.type === "clearAttributes" || command.type === "forgetUpstreamEnds"
            ) {
                this.scheduleNotice();
            }
        });
        replica.onSnapshotLoaded(() => this.scheduleNotice());
        this.notifyIfChanged();
    }

    /** Periodically records blocks that are over, and on the leader evicts expired ends. */
    async runEviction(): Promise<void> {
        while (!this.replica.isStopped()) {
            await this.clock.wait(EVICTION_PERIOD_MS);
            this.recordBlocked(this.clock.getMonotonicMs());
            const upTo = this.findLastExpiredIndex();
            if (this.replica.isLeader() && upTo !== undefined) {
                await this.replica.propose({ type: "forgetUpstreamEnds", upTo }).catch(error =>
                    this.log.info("upstream_ends_not_forgotten", { error: String(error) })
                );
            }
        }
    }

    /** Records a report, on any controller. Throws noMajority or changeUnknown; a report may be retried. */
    async handleReport(report: EndReport): Promise<{ index: number; }> {
        if (this.replica.isLeader()) {
            return this.proposeReport(report);
        }
        const leader = getLeaderAddress(this.replica);
        return this.network.call(leader.address, reportEndsMethod, { report }, FORWARD_TIMEOUT_MS);
    }

    /** Returns the suspects for routers; undefined if the list with this log index is the newest. */
    tryCreateChangedList(knownIndex: number | undefined): SuspectList | undefined {
        return knownIndex === this.replica.state.upstreamEnds.getLastIndex() ? undefined : this.createSuspectList();
    }

    /** Returns the suspects for routers. Expiry counts from when this process first saw an end, so it is never too early. */
    createSuspectList(): SuspectList {
        const now = this.clock.getMonotonicMs();
        const store = this.replica.state.upstreamEnds;
        const all = store.getSuspects();
        const listed = [
            ...all.filter(({ isCulprit }) => isCulprit),
            ...all.filter(({ isCulprit }) => !isCulprit).slice(0, MAX_LISTED_SUSPECTS),
        ];
        const suspects = listed.map(suspect => ({
            fingerprint: getFingerprint(suspect),
            attributes: [...suspect.attributes],
            isCulprit: suspect.isCulprit,
            ends: this.listEnds(suspect, now).slice(-MAX_SUSPECT_ENDS),
            leftMs: this.computeLeftMs(suspect, now),
        }));
        return { index: store.getLastIndex(), suspects };
    }

    private async proposeReport({ ends, cleared, clearedAttributes }: EndReport): Promise<{ index: number; }> {
        const now = this.clock.getMonotonicMs();
        const proposals = ends.map(({ life, brokenAgoMs, requests }) => {
            const togetherWith = this.findIncarnationOfSameMoment(life, now - brokenAgoMs);
            return this.replica.propose({ type: "recordUpstreamEnd", life, togetherWith, requests });
        });
        if (cleared.length > 0) {
            proposals.push(this.replica.propose({ type: "clearRequests", fingerprints: cleared }));
        }
        const effective = this.filterEffective(clearedAttributes ?? []);
        if (effective.length > 0) {
            proposals.push(this.replica.propose({ type: "clearAttributes", cleared: effective }));
        }
        const answers = await Promise.all(proposals);
        return { index: Math.max(0, ...answers.map(({ index }) => index)) };
    }

    /** Many routers report the same attributes at the same time; those that are cleared already cost no log entry. */
    private filterEffective(cleared: readonly ClearedAttribute[]): ClearedAttribute[] {
        const { upstreamEnds } = this.replica.state;
        return cleared.filter(({ attribute, upTo }) => upstreamEnds.canClear(attribute, upTo));
    }

    /** Finds another incarnation that ended at the same moment, and records the moment of this one. */
    private findIncarnationOfSameMoment(life: string, endedAt: number): string | undefined {
        const sameMomentEnd = [...this.momentStartByIncarnation].find(([other, at]) =>
            other !== life && Math.abs(at - endedAt) < this.options.momentWindowMs
        );
        if (!this.momentStartByIncarnation.has(life)) {
            // Uses the start of the moment, so that a series of ends is not chained into one long moment.
            this.momentStartByIncarnation.set(life, sameMomentEnd?.[1] ?? endedAt);
        }
        if (this.momentStartByIncarnation.size > MAX_RECENT_ENDS) {
            this.momentStartByIncarnation.delete(this.momentStartByIncarnation.keys().next().value!);
        }
        return sameMomentEnd?.[0];
    }

    /** Computes how long a culprit is still blocked; any end renews the block. */
    private computeLeftMs(suspect: CrashSuspect, now: number): number {
        const lastAgoMs = Math.min(Infinity, ...this.listEnds(suspect, now).map(({ agoMs }) => agoMs));
        return Math.max(0, Math.round(computeBlockMs(suspect) - lastAgoMs));
    }

    /** Lists the ends of a suspect, and for how long this process has known each. */
    private listEnds({ ends }: CrashSuspect, now: number): { index: number; agoMs: number; }[] {
        return ends.flatMap(({ life }) => {
            const index = this.replica.state.upstreamEnds.getEndIndex(life);
            return index === undefined
                ? []
                : [{ index, agoMs: Math.round(now - (this.receivedAtByIndex.get(index) ?? now)) }];
        });
    }

    private findLastExpiredIndex(): number | undefined {
        const minReceivedAt = this.clock.getMonotonicMs() - this.options.retentionMs;
        const expiredIndexes = [...this.receivedAtByIndex]
            .filter(([, receivedAt]) => receivedAt < minReceivedAt)
            .map(([index]) => index);
        return expiredIndexes.length === 0 ? undefined : Math.max(...expiredIndexes);
    }

    /** Routers report an end within a few milliseconds of each other, so that one notice covers several reports. */
    private scheduleNotice(): void {
        if (this.isNoticeScheduled) {
            return;
        }
        this.isNoticeScheduled = true;
        void this.clock.wait(NOTICE_DELAY_MS).then(() => {
            this.isNoticeScheduled = false;
            this.notifyIfChanged();
        });
    }

    private notifyIfChanged(): void {
        const now = this.clock.getMonotonicMs();
        const indexes = this.replica.state.upstreamEnds.listEndIndexes();
        this.receivedAtByIndex = new Map(indexes.map(index => [index, this.receivedAtByIndex.get(index) ?? now]));
        const list = this.createSuspectList();
        const text = JSON.stringify(this.replica.state.upstreamEnds.getSuspects().map(formatNoticed));
        if (text !== this.lastNotifiedSuspects) {
            this.lastNotifiedSuspects = text;
            this.subscribers.notifyAll(suspectNoticeMethod, list);
        }
        this.recordBlocked(now);
    }

    /** Logs which culprits are newly blocked and which no longer are. */
    private recordBlocked(now: number): void {
        const store = this.replica.state.upstreamEnds;
        const suspects = store.getSuspects();
        const blocked = new Map(
            suspects.filter(suspect => suspect.isCulprit && this.computeLeftMs(suspect, now) > 0)
                .map(suspect => [suspect.attributes.join(","), suspect]),
        );
        for (const [quarantine, { ends, isProvisional }] of blocked) {
            if (!this.blocked.has(quarantine)) {
                const upstreams = ends.map(({ life }) => life).join(",");
                this.log.warn("request_quarantined", { quarantine, provisional: isProvisional, upstreams });
            }
        }
        const known = new Set(suspects.map(({ attributes }) => attributes.join(",")));
        const lifted = new Map(store.takeLifted().map(culprit => [culprit.attributes.join(","), culprit]));
        for (const quarantine of this.blocked.keys()) {
            if (!blocked.has(quarantine)) {
                const { reason, by = [], index } = lifted.get(quarantine)
                    ?? { reason: known.has(quarantine) ? "expired" : "snapshotLoaded" };
                this.recordLifted({ quarantine, reason, by: by.join(",") || undefined, index });
            }
        }
        this.blocked = blocked;
        this.metrics.setGauge("quarantines", blocked.size);
        this.metrics.setGauge("crash_suspects", suspects.length);
    }

    private recordLifted(fields: LiftedQuarantine): void {
        this.log.info("quarantine_lifted", { ...fields });
        this.metrics.addCount(`quarantines_lifted_${fields.reason}`);
    }
}

/** For routers of earlier versions, which know whole requests only. */
function getFingerprint({ attributes }: CrashSuspect): string {
    const content = attributes.find(isContentAttribute);
    return content === undefined ? NO_FINGERPRINT : content.slice(content.indexOf(":") + 1);
}

/** Formats what routers have to be notified of. Each end renews a block. */
function formatNoticed(suspect: CrashSuspect): unknown[] {
    const { attributes, isCulprit, ends } = suspect;
    return isCulprit ? [attributes, ends.at(-1)!.life, computeBlockMs(suspect)] : [attributes];
}

/**
 * Takes routers' reports of upstreams that ended to the log, and tells the routers that follow which requests those ends are
 * held against. In the log, since it has to outlast every process: all of them may be killed at once, and the request
 * comes again afterwards.
 */
import { getLeaderAddress } from "../../consensus/leaderAddress.js";
import type { ReplicatedLog } from "../../consensus/replicatedLog.js";
import { MIN_CULPRIT_MOMENTS, type PoisonSuspect } from "../../domain/poisonRequests.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { PeerNetwork } from "../../ports/peer.js";
import {
    type EndReport,
    reportEndsMethod,
    type SuspectList,
    suspectNoticeMethod,
} from "../../protocol/fleetMethods.js";
import type { Followers } from "./followers.js";

/** How long a report may take from here to the leader and back, in milliseconds. */
const FORWARD_TIMEOUT_MS = 900;
/**
 * How long an end is held against the requests that were there, in milliseconds. Half an hour: a request that ends upstreams
 * costs three of them in that time at the worst, and one that was taken for it wrongly is refused no longer.
 */
export const KEEP_ENDS_MS = 1_800_000;
/** How often the leader looks for ends that are older, in milliseconds. */
const FORGET_PERIOD_MS = 5_000;
/**
 * Upstreams that end within this time have probably ended by one cause, such as their box (see endSuspects.ts): a router
 * notices an end within 3 ms, 25 ms on a box of a quarter of a core. A request that ends its upstreams does so 50 ms to 1 s
 * after it came, and its copies come at different times: with 60 it ends 5.8 upstreams, 5.75 with 30, and 7.5 with
 * 200 (model of `endSuspects.test.ts`, mean of 20 seeds). Milliseconds.
 */
const SAME_MOMENT_MS = 60;
/** Lives whose end is remembered to find those that ended together: more than one cause ends within seconds. */
const MOST_RECENT = 1_000;

export class UpstreamEndService {
    /** When each entry that is still held against requests was heard of. By its index; monotonic clock, milliseconds. */
    private heardAt = new Map<number, number>();
    /** When the moment was at which upstreams had ended that were reported to this leader lately. By life; monotonic clock. */
    private readonly endedAt = new Map<string, number>();
    /** What the routers were told last, as text. */
    private told = "[]";
    private quarantined: ReadonlySet<string> = new Set();

    constructor(
        private readonly replica: ReplicatedLog,
        private readonly followers: Followers,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {
        replica.onApplied(({ command }) => {
            if (
                command.type === "recordUpstreamEnd" || command.type === "clearRequests"
                || command.type === "forgetUpstreamEnds"
            ) {
                this.tellChange();
            }
        });
        replica.onSnapshotLoaded(() => this.tellChange());
        this.tellChange();
    }

    /** The leader's task: forgets ends that are long ago. */
    async runForgetting(): Promise<void> {
        while (!this.replica.isStopped()) {
            await this.clock.wait(FORGET_PERIOD_MS);
            const upTo = this.findOldIndex();
            if (this.replica.isLeader() && upTo !== undefined) {
                await this.replica.propose({ type: "forgetUpstreamEnds", upTo }).catch(error =>
                    this.log.info("upstream_ends_not_forgotten", { error: String(error) })
                );
            }
        }
    }

    /** Takes a report at any controller. Throws noMajority or changeUnknown; a report may be made again. */
    async takeReport(report: EndReport): Promise<{ index: number; }> {
        if (this.replica.isLeader()) {
            return this.proposeReport(report);
        }
        const leader = getLeaderAddress(this.replica);
        return this.network.call(leader.address, reportEndsMethod, { report }, FORWARD_TIMEOUT_MS);
    }

    /** What routers go by. Ages count from when this process heard of an end, so that nothing is forgotten too early. */
    createList(): SuspectList {
        const now = this.clock.getMonotonicMs();
        const book = this.replica.state.upstreamEnds;
        const suspects = book.getSuspects().map(suspect => ({
            fingerprint: suspect.fingerprint,
            isCulprit: suspect.isCulprit,
            leftMs: this.computeLeftMs(suspect, now),
        }));
        return { index: book.getLastIndex(), suspects };
    }

    private async proposeReport({ ends, cleared }: EndReport): Promise<{ index: number; }> {
        const now = this.clock.getMonotonicMs();
        const proposals = ends.map(({ life, brokenAgoMs, requests }) => {
            const togetherWith = this.findTogether(life, now - brokenAgoMs);
            return this.replica.propose({ type: "recordUpstreamEnd", life, togetherWith, requests });
        });
        if (cleared.length > 0) {
            proposals.push(this.replica.propose({ type: "clearRequests", fingerprints: cleared }));
        }
        const answers = await Promise.all(proposals);
        return { index: Math.max(0, ...answers.map(({ index }) => index)) };
    }

    /** Another life that ended at the same moment. */
    private findTogether(life: string, endedAt: number): string | undefined {
        const known = [...this.endedAt].find(([other, at]) =>
            other !== life && Math.abs(at - endedAt) < SAME_MOMENT_MS
        );
        if (!this.endedAt.has(life)) {
            // By its moment's first end, so that many ends in a row do not become one moment.
            this.endedAt.set(life, known?.[1] ?? endedAt);
        }
        if (this.endedAt.size > MOST_RECENT) {
            this.endedAt.delete(this.endedAt.keys().next().value!);
        }
        return known?.[0];
    }

    /** How long until so few of a request's moments are remembered that it is no culprit any more. */
    private computeLeftMs({ ends }: PoisonSuspect, now: number): number {
        const moments = new Map(ends.map(end => [end.moment, end.life]));
        const decisive = [...moments.values()].at(-MIN_CULPRIT_MOMENTS) ?? [...moments.values()][0]!;
        const index = this.replica.state.upstreamEnds.getEndIndex(decisive);
        const heardAt = index === undefined ? now : this.heardAt.get(index) ?? now;
        return Math.max(0, Math.round(heardAt + KEEP_ENDS_MS - now));
    }

    private findOldIndex(): number | undefined {
        const oldest = this.clock.getMonotonicMs() - KEEP_ENDS_MS;
        const old = [...this.heardAt].filter(([, heardAt]) => heardAt < oldest).map(([index]) => index);
        return old.length === 0 ? undefined : Math.max(...old);
    }

    private tellChange(): void {
        const now = this.clock.getMonotonicMs();
        const indexes = this.replica.state.upstreamEnds.listEndIndexes();
        this.heardAt = new Map(indexes.map(index => [index, this.heardAt.get(index) ?? now]));
        const list = this.createList();
        const text = JSON.stringify(list.suspects.map(({ fingerprint, isCulprit }) => [fingerprint, isCulprit]));
        if (text !== this.told) {
            this.told = text;
            this.followers.notifyAll(suspectNoticeMethod, list);
            this.logNewCulprits();
        }
    }

    private logNewCulprits(): void {
        const culprits = this.replica.state.upstreamEnds.getSuspects().filter(({ isCulprit }) => isCulprit);
        for (const { fingerprint, ends } of culprits) {
            if (!this.quarantined.has(fingerprint)) {
                this.log.warn("request_quarantined", { fingerprint, upstreams: ends.map(end => end.life).join(",") });
            }
        }
        this.quarantined = new Set(culprits.map(({ fingerprint }) => fingerprint));
    }
}

/** Replication progress of a leader's peers: how far each log matches, and when each last answered. */
import { MAX_REPLICAS } from "../domain/commands.js";
import type { SilentReplica } from "./messages.js";
import type { ReplicaSet } from "./replicaSet.js";

export interface PeerProgress {
    nextIndex: number;
    matchIndex: number;
    /** When the latest message that the peer answered was sent, on the monotonic clock in milliseconds. */
    lastContactAt: number;
    /**
     * As `lastContactAt`, but from before this replica led where an earlier leader has told of it: a new leader does not begin anew
     * to wait for a replica that is gone.
     */
    lastVotingAnswerAt: number;
    /** The same, also of answers of a peer that may not vote. */
    lastAnswerAt: number;
    /** Whether the peer may vote; false until it has recovered from the loss of its disk. */
    isMember: boolean;
}

export class PeerProgressTracker {
    private readonly peers = new Map<string, PeerProgress>();
    /** When the current leader last heard from the replicas that it calls silent, and was heard itself. Monotonic clock, milliseconds. */
    private reportedAnswersAt: Map<string, number> = new Map();

    constructor(private readonly self: string, private readonly replicas: ReplicaSet) {}

    /** Forgets the peers of an earlier leadership. Returns when the leader before this one last heard from those that it called silent. */
    startLeading(): ReadonlyMap<string, number> {
        const { reportedAnswersAt } = this;
        this.reportedAnswersAt = new Map();
        this.peers.clear();
        return reportedAnswersAt;
    }

    /** Starts tracking a peer from `nextIndex`, discarding earlier progress. `lastAnswerAt`: as an earlier leader has told. */
    reset(name: string, nextIndex: number, now: number, lastAnswerAt = now): PeerProgress {
        const progress = {
            nextIndex,
            matchIndex: 0,
            lastContactAt: now,
            lastVotingAnswerAt: lastAnswerAt,
            lastAnswerAt,
            isMember: false,
        };
        this.peers.set(name, progress);
        return progress;
    }

    /**
     * Records which replicas the leader does not hear, for the case that this replica leads next. `leader`: the other replica that
     * leads, which was heard now.
     */
    recordSilentReplicas(silent: readonly SilentReplica[], now: number, leader?: string): void {
        this.reportedAnswersAt = new Map(silent.map(({ name, ms }) => [name, now - ms]));
        if (leader !== undefined) {
            this.reportedAnswersAt.set(leader, now);
        }
    }

    /** Returns the peers that have not answered for longer than `silentAfterMs`, for `recordSilentReplicas` at the others. */
    listSilentPeers(now: number, silentAfterMs: number): SilentReplica[] {
        const silent = [...this.peers].flatMap(([name, { lastVotingAnswerAt, lastAnswerAt }]) => {
            const ms = now - (this.replicas.isVoter(name) ? lastVotingAnswerAt : lastAnswerAt);
            return ms > silentAfterMs ? [{ name, ms }] : [];
        });
        return silent.slice(0, MAX_REPLICAS);
    }

    /** @param sentAt When the answered message was sent. */
    recordAnswer(progress: PeerProgress, isMember: boolean, sentAt: number): void {
        progress.isMember = isMember;
        progress.lastAnswerAt = Math.max(progress.lastAnswerAt, sentAt);
        if (isMember) {
            // A replica that lost its disk may have forgotten a vote for another leader, so its answers don't count.
            progress.lastContactAt = Math.max(progress.lastContactAt, sentAt);
            progress.lastVotingAnswerAt = Math.max(progress.lastVotingAnswerAt, sentAt);
        }
    }

    tryGet(name: string): PeerProgress | undefined {
        return this.peers.get(name);
    }

    getNames(): string[] {
        return [...this.peers.keys()];
    }

    remove(name: string): void {
        this.peers.delete(name);
    }

    /** Returns the latest time since which a majority has answered, counting the leader but not `exclude`. */
    getMajorityContactAt(now: number, exclude?: string): number {
        const counted = this.replicas.getVoters().filter(voter => voter !== exclude);
        const times = counted.map(voter =>
            voter === this.self ? now : this.peers.get(voter)?.lastContactAt ?? -Infinity
        );
        times.sort((a, b) => b - a);
        return times[this.replicas.getQuorumSize() - 1] ?? -Infinity;
    }

    /** Returns the highest index that a majority has synced, given the leader's own. */
    getMajorityMatchIndex(ownSyncedIndex: number): number {
        const matched = this.replicas.getVoters().map(voter =>
            voter === this.self ? ownSyncedIndex : this.peers.get(voter)?.matchIndex ?? 0
        );
        matched.sort((a, b) => b - a);
        return matched[this.replicas.getQuorumSize() - 1] ?? 0;
    }
}

/** Replication progress of a leader's peers: how far each log matches, and when each last answered. */
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
    /** When the current leader last heard from the replicas that it calls silent. Monotonic clock, milliseconds. */
    private toldAnswersAt: ReadonlyMap<string, number> = new Map();

    constructor(private readonly self: string, private readonly replicas: ReplicaSet) {}

    /** Starts tracking a peer from `nextIndex`, discarding earlier progress. */
    reset(name: string, nextIndex: number, now: number): PeerProgress {
        const lastAnswerAt = this.toldAnswersAt.get(name) ?? now;
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

    /** Records which replicas the leader does not hear, for the case that this replica leads next. */
    recordSilentReplicas(silent: readonly SilentReplica[], now: number): void {
        this.toldAnswersAt = new Map(silent.map(({ name, ms }) => [name, now - ms]));
    }

    /** Forgets what `recordSilentReplicas` recorded: a peer that is added later is not held to its silence before. */
    forgetSilentReplicas(): void {
        this.toldAnswersAt = new Map();
    }

    /** Returns the peers that have not answered for longer than `silentAfterMs`, for `recordSilentReplicas` at the others. */
    listSilentPeers(now: number, silentAfterMs: number): SilentReplica[] {
        return [...this.peers].flatMap(([name, { lastVotingAnswerAt }]) => {
            const ms = now - lastVotingAnswerAt;
            return ms > silentAfterMs ? [{ name, ms }] : [];
        });
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

    clear(): void {
        this.peers.clear();
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

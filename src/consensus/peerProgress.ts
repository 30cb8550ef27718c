/** Replication progress of a leader's peers: how far each log matches, and when each last answered. */
import type { ReplicaSet } from "./replicaSet.js";

export interface PeerProgress {
    nextIndex: number;
    matchIndex: number;
    /** When the latest message that the peer answered was sent, on the monotonic clock in milliseconds. */
    lastContactAt: number;
    /** Whether the peer may vote; false until it has recovered from the loss of its disk. */
    isMember: boolean;
}

export class PeerProgressTracker {
    private readonly peers = new Map<string, PeerProgress>();

    constructor(private readonly self: string, private readonly replicas: ReplicaSet) {}

    /** Starts tracking a peer from `nextIndex`, discarding earlier progress. */
    reset(name: string, nextIndex: number, now: number): PeerProgress {
        const progress = { nextIndex, matchIndex: 0, lastContactAt: now, isMember: false };
        this.peers.set(name, progress);
        return progress;
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

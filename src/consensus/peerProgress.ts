/** What a leader knows of its peers: how far each log matches, and when each was last heard. */
import type { ReplicaSet } from "./replicaSet.js";

/** One peer's progress. */
export interface PeerProgress {
    nextIndex: number;
    matchIndex: number;
    /** When the newest message that the peer has answered was sent. Monotonic clock, milliseconds. */
    heardAt: number;
    /** Whether the peer may vote: false while it has yet to recover what its disk lost. */
    isMember: boolean;
}

export class LeaderProgress {
    private readonly peers = new Map<string, PeerProgress>();

    constructor(private readonly self: string, private readonly replicas: ReplicaSet) {}

    /** Begins anew for one peer, as a term of leading begins. */
    reset(name: string, nextIndex: number, now: number): PeerProgress {
        const progress = { nextIndex, matchIndex: 0, heardAt: now, isMember: false };
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

    /** The latest time since which a majority, the leader included and `exclude` left out, has answered. */
    getMajorityHeardAt(now: number, exclude?: string): number {
        const counted = this.replicas.getVoters().filter(voter => voter !== exclude);
        const times = counted.map(voter => voter === this.self ? now : this.peers.get(voter)?.heardAt ?? -Infinity);
        times.sort((a, b) => b - a);
        return times[this.replicas.getMajority() - 1] ?? -Infinity;
    }

    /** The highest index that a majority holds, given what the leader itself has synced. */
    getMajorityMatch(ownSynced: number): number {
        const matched = this.replicas.getVoters().map(voter =>
            voter === this.self ? ownSynced : this.peers.get(voter)?.matchIndex ?? 0
        );
        matched.sort((a, b) => b - a);
        return matched[this.replicas.getMajority() - 1] ?? 0;
    }
}

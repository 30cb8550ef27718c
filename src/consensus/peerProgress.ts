/** What a leader knows of its peers: how far each log matches, and when each was last heard. */

/** One peer's progress. */
export interface PeerProgress {
    nextIndex: number;
    matchIndex: number;
    /** When the newest message that the peer has answered was sent. Monotonic clock, milliseconds. */
    heardAt: number;
}

export class LeaderProgress {
    private readonly peers = new Map<string, PeerProgress>();

    constructor(private readonly others: readonly string[]) {}

    /** How many replicas a majority takes. */
    getMajority(): number {
        return Math.floor((this.others.length + 1) / 2) + 1;
    }

    /** Begins anew for one peer, as a term of leading begins. */
    reset(name: string, nextIndex: number, now: number): PeerProgress {
        const progress = { nextIndex, matchIndex: 0, heardAt: now };
        this.peers.set(name, progress);
        return progress;
    }

    /** The latest time since which a majority, the leader included and `exclude` left out, has answered. */
    getMajorityHeardAt(now: number, exclude?: string): number {
        const counted = this.others.filter(other => other !== exclude);
        const times = counted.map(other => this.peers.get(other)?.heardAt ?? -Infinity);
        times.push(now);
        times.sort((a, b) => b - a);
        return times[this.getMajority() - 1] ?? -Infinity;
    }

    /** The highest index that a majority holds, given what the leader itself has synced. */
    getMajorityMatch(ownSynced: number): number {
        const matched = this.others.map(other => this.peers.get(other)?.matchIndex ?? 0);
        matched.push(ownSynced);
        matched.sort((a, b) => b - a);
        return matched[this.getMajority() - 1]!;
    }
}

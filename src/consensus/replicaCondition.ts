/** What a leader knows of its replicas, and how many of them may still be lost. */

/** A replica as the leader sees it. */
export interface ReplicaCondition {
    readonly name: string;
    readonly address: string;
    readonly voting: boolean;
    /** Time since a voter last answered as one that may vote, or a non-voter at all, in milliseconds; 0 for the leader itself. */
    readonly silentMs: number;
    /** Whether the replica has announced that its process stops. */
    readonly isLeaving: boolean;
}

/** Fault tolerance of a replica set. */
export interface FaultTolerance {
    readonly voters: number;
    /** Voters that have answered within the time after which a replica is silent, and that are not leaving. */
    readonly liveVoters: number;
    /** Voters that form a majority. */
    readonly majority: number;
    /** Number of live voters that may be lost for good while a majority remains; negative if there is none. */
    readonly lossesBorne: number;
}

export function computeMajority(voters: number): number {
    return Math.floor(voters / 2) + 1;
}

/** Whether a replica has not answered for longer than `silentAfterMs` milliseconds, or will not for much longer. */
export function isLost({ silentMs, isLeaving }: ReplicaCondition, silentAfterMs: number): boolean {
    return isLeaving || silentMs > silentAfterMs;
}

export function computeFaultTolerance(replicas: readonly ReplicaCondition[], silentAfterMs: number): FaultTolerance {
    const voters = replicas.filter(replica => replica.voting);
    const liveVoters = voters.filter(replica => !isLost(replica, silentAfterMs)).length;
    const majority = computeMajority(voters.length);
    return { voters: voters.length, liveVoters, majority, lossesBorne: liveVoters - majority };
}

/** What a leader knows of its replicas, and how many of them may still be lost. */

/** A replica as the leader sees it. */
export interface ReplicaCondition {
    readonly name: string;
    readonly address: string;
    readonly voting: boolean;
    /** Time since the replica last answered as one that may vote, in milliseconds; 0 for the leader itself. */
    readonly silentMs: number;
}

/** Fault tolerance of a replica set. */
export interface FaultTolerance {
    readonly voters: number;
    /** Voters that have answered within the time after which a replica is silent. */
    readonly liveVoters: number;
    /** Voters that form a majority. */
    readonly majority: number;
    /** Number of live voters that may be lost for good while a majority remains; negative if there is none. */
    readonly lossesBorne: number;
}

export function computeMajority(voters: number): number {
    return Math.floor(voters / 2) + 1;
}

/** `isLive`: whether a voter counts as one that is not lost. */
export function computeFaultTolerance<T extends { readonly voting: boolean; }>(
    replicas: readonly T[],
    isLive: (replica: T) => boolean,
): FaultTolerance {
    const voters = replicas.filter(replica => replica.voting);
    const liveVoters = voters.filter(isLive).length;
    const majority = computeMajority(voters.length);
    return { voters: voters.length, liveVoters, majority, lossesBorne: liveVoters - majority };
}

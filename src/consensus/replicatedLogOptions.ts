import type { InitialReplicaSet } from "./replicaSet.js";

/** Startup options of a replica. Times in milliseconds. */
export interface ReplicatedLogOptions extends InitialReplicaSet {
    readonly electionTimeoutMs: number;
    readonly heartbeatMs: number;
    /** How long a proposal waits for its entry to be applied. */
    readonly proposeTimeoutMs: number;
    /** Number of entries applied between snapshots. */
    readonly snapshotEvery: number;
    /** Returns a number in [0, 1). Seeded in tests. */
    readonly random: () => number;
    /** The whole deployment starts for the first time, so the replica need not check whether the others are new, too. */
    readonly isFirstStart?: boolean | undefined;
}

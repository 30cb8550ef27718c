/** What a replica of the log is told at its start. */
import type { ReplicaSetOptions } from "./replicaSet.js";

/** Times in milliseconds. */
export interface ReplicatedLogOptions extends ReplicaSetOptions {
    readonly electionTimeoutMs: number;
    readonly heartbeatMs: number;
    /** How long a proposal waits to be applied. */
    readonly proposeTimeoutMs: number;
    /** Entries applied between snapshots. */
    readonly snapshotEvery: number;
    /** Seeded, so that tests repeat. Answers a number in [0, 1). */
    readonly random: () => number;
    /** The whole fleet starts for the first time: a founder need not ask the others whether they are new too. */
    readonly isFirstStart?: boolean | undefined;
}

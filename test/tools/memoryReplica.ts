/** A replica of the log on an in-memory network. */
import type { LogStorage } from "../../src/consensus/logStorage.js";
import { ReplicatedLog } from "../../src/consensus/replicatedLog.js";
import type { Clock } from "../../src/ports/clock.js";
import { NoLog } from "../../src/ports/log.js";
import type { PeerNetwork } from "../../src/ports/peer.js";

export interface MemoryReplicaOptions {
    readonly name: string;
    /** Names, which are addresses, of all replicas. */
    readonly replicas: readonly string[];
    readonly storage: LogStorage;
    readonly network: PeerNetwork;
    readonly clock: Clock;
    readonly proposeTimeoutMs: number;
    readonly snapshotEvery: number;
    readonly random: () => number;
}

/** Creates a replica whose elections take a fraction of a second. */
export function createMemoryReplica(options: MemoryReplicaOptions): ReplicatedLog {
    const { name, replicas, storage, network, clock, proposeTimeoutMs, snapshotEvery, random } = options;
    return new ReplicatedLog(storage, network, clock, new NoLog(), {
        name,
        others: replicas.filter(other => other !== name).map(other => ({ name: other, address: other })),
        electionTimeoutMs: 60,
        heartbeatMs: 12,
        proposeTimeoutMs,
        snapshotEvery,
        random,
    });
}

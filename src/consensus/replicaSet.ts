/** Current replica set: as defined by the latest `setReplicas` entry, or by the settings if there is none. */
import type { Replica } from "../domain/commands.js";
import type { LogStorage } from "./logStorage.js";
import { computeMajority } from "./replicaCondition.js";

export interface ReplicaAddress {
    readonly name: string;
    readonly address: string;
}

/** Replica set at startup, from the settings. */
export interface InitialReplicaSet {
    readonly name: string;
    /** The other members of the initial replica set. */
    readonly others: readonly ReplicaAddress[];
    /** Address at which the others reach this replica. Set if the replica set may change at run time. */
    readonly address?: string | undefined;
    /** False for a replica outside the initial replica set, which has to be added to it. Default: true. */
    readonly isInitialReplica?: boolean | undefined;
}

export class ReplicaSet {
    constructor(private readonly storage: LogStorage, private readonly options: InitialReplicaSet) {}

    /** Returns all replicas, including this one and non-voting ones; empty if the set is not defined by the log yet. */
    list(): readonly Replica[] {
        return this.storage.replicas;
    }

    /** Returns all replicas except this one, including non-voting ones. */
    getPeers(): readonly ReplicaAddress[] {
        return this.isDefinedByLog()
            ? this.storage.replicas.filter(replica => replica.name !== this.options.name)
            : this.options.others;
    }

    /** Returns the names of the voting replicas. */
    getVoters(): readonly string[] {
        if (this.isDefinedByLog()) {
            return this.storage.replicas.filter(replica => replica.voting).map(replica => replica.name);
        }
        const self = this.options.isInitialReplica === false ? [] : [this.options.name];
        return [...self, ...this.options.others.map(other => other.name)];
    }

    isVoter(name: string): boolean {
        return this.getVoters().includes(name);
    }

    has(name: string): boolean {
        return name === this.options.name || this.getPeers().some(other => other.name === name);
    }

    /** Returns the number of voters that form a majority. */
    getQuorumSize(): number {
        return computeMajority(this.getVoters().length);
    }

    /** Returns the replicas for the first entry of a new log; undefined if the set is fixed or already in the log. */
    tryGetInitialReplicas(): readonly Replica[] | undefined {
        const { name, address, others } = this.options;
        if (address === undefined || this.isDefinedByLog()) {
            return undefined;
        }
        return [{ name, address }, ...others].map(replica => ({ ...replica, voting: true }));
    }

    private isDefinedByLog(): boolean {
        return this.storage.replicas.length > 0;
    }
}

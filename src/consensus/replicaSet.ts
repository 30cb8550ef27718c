/** Which replicas the log has: those that its newest entry names, or those of the settings where none names any. */
import type { Replica } from "../domain/commands.js";
import type { LogStorage } from "./logStorage.js";

/** Another replica of the log. */
export interface ReplicaAddress {
    readonly name: string;
    readonly address: string;
}

/** What the settings say of the replicas at the start. */
export interface ReplicaSetOptions {
    readonly name: string;
    /** The other replicas that a log begins with. */
    readonly others: readonly ReplicaAddress[];
    /** Where the others reach this replica. Set where the replicas may change while running. */
    readonly address?: string | undefined;
    /** False for a replica that a log does not begin with: it has to be added to one. Default true. */
    readonly isFounder?: boolean | undefined;
}

export class ReplicaSet {
    constructor(private readonly storage: LogStorage, private readonly options: ReplicaSetOptions) {}

    /** All replicas but this one, also those that do not vote. */
    getOthers(): readonly ReplicaAddress[] {
        return this.isNamedByLog()
            ? this.storage.replicas.filter(replica => replica.name !== this.options.name)
            : this.options.others;
    }

    /** Names of the replicas that count for a majority. */
    getVoters(): readonly string[] {
        if (this.isNamedByLog()) {
            return this.storage.replicas.filter(replica => replica.voting).map(replica => replica.name);
        }
        const own = this.options.isFounder === false ? [] : [this.options.name];
        return [...own, ...this.options.others.map(other => other.name)];
    }

    isVoter(name: string): boolean {
        return this.getVoters().includes(name);
    }

    has(name: string): boolean {
        return name === this.options.name || this.getOthers().some(other => other.name === name);
    }

    /** How many replicas a majority takes. */
    getMajority(): number {
        return Math.floor(this.getVoters().length / 2) + 1;
    }

    /** The replicas that the first entry of a new log names; undefined where they are fixed or named already. */
    tryGetFounding(): readonly Replica[] | undefined {
        const { name, address, others } = this.options;
        if (address === undefined || this.isNamedByLog()) {
            return undefined;
        }
        return [{ name, address }, ...others].map(replica => ({ ...replica, voting: true }));
    }

    private isNamedByLog(): boolean {
        return this.storage.replicas.length > 0;
    }
}

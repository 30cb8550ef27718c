/** Logs and measures which replicas a leader hears from, and how many losses the replica set still bears. */
import type { Log } from "../ports/log.js";
import type { Metrics } from "../ports/metrics.js";
import { computeFaultTolerance, type FaultTolerance, type ReplicaCondition } from "./replicaCondition.js";

export interface ReplicaSetMonitorOptions {
    /** Time without an answer after which a replica is silent, in milliseconds. */
    readonly silentAfterMs: number;
    /** Number of disks that may be lost at the same time. */
    readonly toleratedLosses: number;
}

export class ReplicaSetMonitor {
    private readonly silentReplicas = new Set<string>();
    private lastTolerance: FaultTolerance | undefined;

    constructor(
        private readonly log: Log,
        private readonly metrics: Metrics,
        private readonly options: ReplicaSetMonitorOptions,
    ) {}

    /** Records what the leader sees; called several times a second. */
    observeAsLeader(replicas: readonly ReplicaCondition[]): void {
        const tolerance = computeFaultTolerance(replicas, this.options.silentAfterMs);
        replicas.forEach(replica => this.logContact(replica, tolerance));
        this.forgetRemoved(replicas);
        this.logTolerance(tolerance);
        this.metrics.setGauge("log_leader", 1);
        this.metrics.setGauge("log_voters", tolerance.voters);
        this.metrics.setGauge("log_live_voters", tolerance.liveVoters);
        this.metrics.setGauge("log_majority", tolerance.majority);
        this.metrics.setGauge("log_losses_borne", tolerance.lossesBorne);
    }

    /** Records the set as a follower knows it, which does not know who is live. */
    observeAsFollower(voters: number, majority: number): void {
        this.silentReplicas.clear();
        this.lastTolerance = undefined;
        this.metrics.setGauge("log_leader", 0);
        this.metrics.setGauge("log_voters", voters);
        this.metrics.setGauge("log_majority", majority);
    }

    private isSilent({ silentMs }: ReplicaCondition): boolean {
        return silentMs > this.options.silentAfterMs;
    }

    private logContact(replica: ReplicaCondition, { lossesBorne }: FaultTolerance): void {
        const { name, voting, silentMs } = replica;
        const wasSilent = this.silentReplicas.has(name);
        if (this.isSilent(replica) && !wasSilent) {
            this.silentReplicas.add(name);
            this.log.warn("replica_silent", {
                replica: name,
                voting,
                silent_ms: Math.round(silentMs),
                losses_borne: lossesBorne,
            });
        }
        else if (!this.isSilent(replica) && wasSilent) {
            this.silentReplicas.delete(name);
            this.log.info("replica_heard", { replica: name, voting, losses_borne: lossesBorne });
        }
    }

    private forgetRemoved(replicas: readonly ReplicaCondition[]): void {
        const names = new Set(replicas.map(({ name }) => name));
        [...this.silentReplicas].filter(name => !names.has(name)).forEach(name => this.silentReplicas.delete(name));
    }

    private logTolerance(tolerance: FaultTolerance): void {
        const last = this.lastTolerance;
        this.lastTolerance = tolerance;
        const { voters, liveVoters, majority, lossesBorne } = tolerance;
        if (last?.voters === voters && last.lossesBorne === lossesBorne) {
            return;
        }
        const fields = {
            voters,
            live: liveVoters,
            majority,
            losses_borne: lossesBorne,
            promised: this.options.toleratedLosses,
        };
        if (lossesBorne < this.options.toleratedLosses) {
            this.log.warn("fault_tolerance_changed", fields);
        }
        else {
            this.log.info("fault_tolerance_changed", fields);
        }
    }
}

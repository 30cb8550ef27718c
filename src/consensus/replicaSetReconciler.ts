/**
 * Reconciles the replica set with the running controllers, one change at a time. A new controller is added as a non-voter
 * and promoted once it holds all committed entries. An unresponsive replica is removed if enough voters remain live.
 */
import type { Replica } from "../domain/commands.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { PeerHandlers, PeerNetwork } from "../ports/peer.js";
import { getLeaderAddress } from "./leaderAddress.js";
import { joinMethod } from "./messages.js";
import type { ReplicaCondition } from "./replicaCondition.js";
import type { ReplicaAddress } from "./replicaSet.js";
import type { ReplicaSetMonitor } from "./replicaSetMonitor.js";
import type { ReplicatedLog } from "./replicatedLog.js";

/** Times in milliseconds. */
export interface ReplicaSetReconcilerOptions {
    readonly self: ReplicaAddress;
    /** Interval at which the leader reconciles the replica set, and at which a controller retries to join. */
    readonly periodMs: number;
    /** Time without an answer after which a replica may be removed. */
    readonly removeAfterMs: number;
    /** Live voters required to remove a replica, so that the rest still tolerates the configured number of failures. */
    readonly minLiveVoters: number;
    readonly callTimeoutMs: number;
}

export class ReplicaSetReconciler {
    /** Controllers to be added, by name. */
    private readonly joinRequests = new Map<string, ReplicaAddress>();

    constructor(
        private readonly replica: ReplicatedLog,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly monitor: ReplicaSetMonitor,
        private readonly options: ReplicaSetReconcilerOptions,
    ) {}

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(joinMethod, params => this.handleJoin(params));
    }

    /** Reconciles the replica set periodically while this replica is the leader, until it stops. */
    async runReconciliation(): Promise<void> {
        while (!this.replica.isStopped()) {
            await this.clock.wait(this.options.periodMs);
            this.observeReplicas();
            if (this.replica.isLeader() && this.replica.isReplicaSetCommitted()) {
                await this.reconcileOnce();
            }
        }
    }

    /** Requests to be added from known controllers whenever this one is not a voter, until the replica stops. */
    async runJoinRequests(getKnownAddresses: () => readonly string[]): Promise<void> {
        while (!this.replica.isStopped()) {
            if (!this.replica.replicas.getVoters().includes(this.options.self.name)) {
                await this.requestJoin(getKnownAddresses());
            }
            await this.clock.wait(this.options.periodMs);
        }
    }

    /** Sends a join request to each address in turn until one answers that this controller is a replica. */
    private async requestJoin(addresses: readonly string[]): Promise<void> {
        for (const address of addresses.filter(address => address !== this.options.self.address)) {
            try {
                const answer = await this.network.call(
                    address,
                    joinMethod,
                    this.options.self,
                    this.options.callTimeoutMs,
                );
                if (answer.isReplica) {
                    return;
                }
            }
            catch (error) {
                this.log.info("join_not_answered", { address, error: String(error) });
            }
        }
    }

    private async handleJoin(joiner: ReplicaAddress): Promise<{ isReplica: boolean; }> {
        if (this.replica.isLeader()) {
            this.joinRequests.set(joiner.name, joiner);
            return { isReplica: this.replica.replicas.has(joiner.name) };
        }
        const leader = getLeaderAddress(this.replica);
        return this.network.call(leader.address, joinMethod, joiner, this.options.callTimeoutMs);
    }

    private observeReplicas(): void {
        const { replicas } = this.replica;
        if (this.replica.isLeader()) {
            this.monitor.observeAsLeader(this.listConditions());
        }
        else {
            this.monitor.observeAsFollower(replicas.getVoters().length, replicas.getQuorumSize());
        }
    }

    private listConditions(): ReplicaCondition[] {
        return this.listReplicas().map(replica => ({ ...replica, silentMs: this.getMsSinceContact(replica.name) }));
    }

    private async reconcileOnce(): Promise<void> {
        const next = this.tryAddOne() ?? this.tryPromoteOne() ?? this.tryRemoveOne();
        if (next === undefined) {
            return;
        }
        try {
            await this.replica.propose({ type: "setReplicas", replicas: next });
            this.log.info("replicas_changed", { replicas: next.map(formatReplica).join(",") });
        }
        catch (error) {
            this.log.warn("replicas_not_changed", { error: String(error) });
        }
    }

    private listReplicas(): Replica[] {
        const { replicas } = this.replica;
        return [this.options.self, ...replicas.getPeers()].map(({ name, address }) => ({
            name,
            address,
            voting: replicas.isVoter(name),
        }));
    }

    private tryAddOne(): Replica[] | undefined {
        for (const [name, joiner] of this.joinRequests) {
            this.joinRequests.delete(name);
            if (!this.replica.replicas.has(name)) {
                return [...this.listReplicas(), { ...joiner, voting: false }];
            }
        }
        return undefined;
    }

    private tryPromoteOne(): Replica[] | undefined {
        const ready = this.listReplicas().find(replica => !replica.voting && this.isCaughtUp(replica.name));
        return ready === undefined
            ? undefined
            : this.listReplicas().map(replica =>
                replica === ready || replica.name === ready.name
                    ? { ...replica, voting: true }
                    : replica
            );
    }

    private isCaughtUp(name: string): boolean {
        const progress = this.replica.tryGetPeerProgress(name);
        return progress !== undefined && progress.isMember && progress.matchIndex >= this.replica.getCommitIndex()
            && this.getMsSinceContact(name) < this.options.removeAfterMs;
    }

    private tryRemoveOne(): Replica[] | undefined {
        const replicas = this.listReplicas();
        const expired = replicas.find(replica => this.getMsSinceContact(replica.name) > this.options.removeAfterMs);
        const liveVoters = replicas.filter(replica =>
            replica.voting && this.getMsSinceContact(replica.name) < this.options.removeAfterMs / 2
        );
        return expired === undefined || liveVoters.length < this.options.minLiveVoters
            ? undefined
            : replicas.filter(replica => replica !== expired);
    }

    private getMsSinceContact(name: string): number {
        if (name === this.options.self.name) {
            return 0;
        }
        const progress = this.replica.tryGetPeerProgress(name);
        return progress === undefined ? 0 : this.clock.getMonotonicMs() - progress.lastContactAt;
    }
}

function formatReplica(replica: Replica): string {
    return replica.voting ? replica.name : `${replica.name}(joining)`;
}

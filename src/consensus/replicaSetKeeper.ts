/**
 * Keeps the replicas of a log in step with the controllers there are, one change at a time: a new controller is added
 * without a vote, votes once it holds what is committed, and one that stays silent is removed where enough others live.
 */
import type { Replica } from "../domain/commands.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { PeerHandlers, PeerNetwork } from "../ports/peer.js";
import { getLeaderAddress } from "./leaderAddress.js";
import { joinMethod } from "./messages.js";
import type { ReplicaAddress } from "./replicaSet.js";
import type { ReplicatedLog } from "./replicatedLog.js";

/** Times in milliseconds. */
export interface ReplicaSetKeeperOptions {
    /** This replica. */
    readonly self: ReplicaAddress;
    /** How often the leader looks over the replicas. */
    readonly periodMs: number;
    /** A replica that has been silent for so long may be removed. */
    readonly removeAfterMs: number;
    /** Voting replicas that must answer for a silent one to be removed: enough to lose what the deployment tolerates. */
    readonly minimumLive: number;
    /** How long another controller may take to answer a request to join. */
    readonly callTimeoutMs: number;
}

export class ReplicaSetKeeper {
    /** Controllers that asked this leader to be added, by name. */
    private readonly joining = new Map<string, ReplicaAddress>();

    constructor(
        private readonly replica: ReplicatedLog,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly options: ReplicaSetKeeperOptions,
    ) {}

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(joinMethod, params => this.handleJoin(params));
    }

    /** The leader's task: looks over the replicas until the replica stops. */
    async runKeeping(): Promise<void> {
        while (!this.replica.isStopped()) {
            await this.clock.wait(this.options.periodMs);
            if (this.replica.isLeader() && this.replica.isReplicaSetSettled()) {
                await this.changeOnce();
            }
        }
    }

    /** A controller's task: asks whoever it knows to be added, until the log names it. */
    async runJoining(getKnown: () => readonly string[]): Promise<void> {
        while (!this.replica.isStopped()) {
            if (!this.replica.replicas.getVoters().includes(this.options.self.name)) {
                await this.askToJoin(getKnown());
            }
            await this.clock.wait(this.options.periodMs);
        }
    }

    private async askToJoin(addresses: readonly string[]): Promise<void> {
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
            this.joining.set(joiner.name, joiner);
            return { isReplica: this.replica.replicas.has(joiner.name) };
        }
        const leader = getLeaderAddress(this.replica);
        return this.network.call(leader.address, joinMethod, joiner, this.options.callTimeoutMs);
    }

    private async changeOnce(): Promise<void> {
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

    private getReplicas(): Replica[] {
        const { replicas } = this.replica;
        return [this.options.self, ...replicas.getOthers()].map(({ name, address }) => ({
            name,
            address,
            voting: replicas.isVoter(name),
        }));
    }

    private tryAddOne(): Replica[] | undefined {
        for (const [name, joiner] of this.joining) {
            this.joining.delete(name);
            if (!this.replica.replicas.has(name)) {
                return [...this.getReplicas(), { ...joiner, voting: false }];
            }
        }
        return undefined;
    }

    private tryPromoteOne(): Replica[] | undefined {
        const ready = this.getReplicas().find(replica => !replica.voting && this.isCaughtUp(replica.name));
        return ready === undefined
            ? undefined
            : this.getReplicas().map(replica =>
                replica === ready || replica.name === ready.name
                    ? { ...replica, voting: true }
                    : replica
            );
    }

    private isCaughtUp(name: string): boolean {
        const progress = this.replica.tryGetProgress(name);
        return progress !== undefined && progress.isMember && progress.matchIndex >= this.replica.getCommitIndex()
            && this.getSilentMs(name) < this.options.removeAfterMs;
    }

    private tryRemoveOne(): Replica[] | undefined {
        const replicas = this.getReplicas();
        const silent = replicas.find(replica => this.getSilentMs(replica.name) > this.options.removeAfterMs);
        const live = replicas.filter(replica =>
            replica.voting && this.getSilentMs(replica.name) < this.options.removeAfterMs / 2
        );
        return silent === undefined || live.length < this.options.minimumLive
            ? undefined
            : replicas.filter(replica => replica !== silent);
    }

    private getSilentMs(name: string): number {
        if (name === this.options.self.name) {
            return 0;
        }
        const progress = this.replica.tryGetProgress(name);
        return progress === undefined ? 0 : this.clock.getMonotonicMs() - progress.heardAt;
    }
}

function formatReplica(replica: Replica): string {
    return replica.voting ? replica.name : `${replica.name}(joining)`;
}

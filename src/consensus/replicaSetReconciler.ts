/**
 * Reconciles the replica set with the running controllers, one change at a time, as `replicaSetPolicy.ts` decides. A controller asks
 * to be added when it is not in the set or hears no leader, and asks for its vote to be withdrawn when it stops.
 */
import { MAX_REPLICAS } from "../domain/commands.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { PeerHandlers, PeerMethod, PeerNetwork } from "../ports/peer.js";
import type { ReplicaSetOptions } from "../settings/replicaSetSettings.js";
import { ConditionVariable } from "./conditionVariable.js";
import { getLeaderAddress } from "./leaderAddress.js";
import { joinMethod, leaveMethod } from "./messages.js";
import type { ReplicaAddress } from "./replicaSet.js";
import type { ReplicaSetMonitor } from "./replicaSetMonitor.js";
import { type ObservedReplica, type ReplicaSetChange, selectReplicaSetChange } from "./replicaSetPolicy.js";
import type { ReplicatedLog } from "./replicatedLog.js";

/** Number of periods for which a replica that announced its stop counts as leaving; it repeats the announcement each period. */
const LEAVING_PERIODS = 4;
/** Further changes in one turn; the rest follows in the next one. */
const MAX_CHANGES_PER_TURN = 8;
/** Attempts to join are logged this often while their results stay the same. */
const JOIN_LOG_PERIOD_MS = 5_000;

/** Times in milliseconds. */
export interface ReplicaSetReconcilerOptions {
    readonly self: ReplicaAddress;
    /** Interval at which the leader reconciles the replica set, and at which a controller retries to join. */
    readonly periodMs: number;
    readonly callTimeoutMs: number;
    readonly replicaSet: ReplicaSetOptions;
}

export class ReplicaSetReconciler {
    /** Controllers to be added, by name. */
    private readonly joinRequests = new Map<string, ReplicaAddress>();
    /** Until when replicas count as leaving, by name. */
    private readonly leavingUntil = new Map<string, number>();
    private readonly wakeSignal = new ConditionVariable();
    /** Since when this process has led in its term without a stall; what others did before is not held against them. */
    private observedSince = -Infinity;
    private observedTerm = -1;
    private lastTurnAt = -Infinity;
    private commitIndexAtLastTurn = Infinity;
    private isStopping = false;
    private lastJoinResult = "";
    private lastJoinLoggedAt = -Infinity;

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
        handlers.add(leaveMethod, params => this.handleLeave(params));
    }

    /** Reconciles the replica set periodically while this replica is the leader, until it stops. */
    async runReconciliation(): Promise<void> {
        while (!this.replica.isStopped()) {
            await this.wakeSignal.wait(this.options.periodMs);
            this.observeTurn();
            if (this.replica.isLeader()) {
                await this.reconcile();
            }
            else {
                const { replicas } = this.replica;
                // Controllers repeat their requests to the leader of the moment.
                this.joinRequests.clear();
                this.leavingUntil.clear();
                this.monitor.observeAsFollower(replicas.getVoters().length, replicas.getQuorumSize());
            }
            this.commitIndexAtLastTurn = this.replica.getCommitIndex();
            this.lastTurnAt = this.clock.getMonotonicMs();
        }
    }

    /**
     * Requests to be added from known controllers, until the replica stops, whenever this one is not in the set or hears no leader: it
     * may have been removed while it was suspended or cut off, and does not know of it.
     */
    async runJoinRequests(getKnownAddresses: () => readonly string[]): Promise<void> {
        while (!this.replica.isStopped() && !this.isStopping) {
            const { replicas } = this.replica;
            const isInSet = replicas.list().some(({ name }) => name === this.options.self.name);
            if (!isInSet || !this.replica.isConnectedToMajority()) {
                const peers = replicas.getPeers().map(peer => peer.address);
                await this.requestJoin([...new Set([...getKnownAddresses(), ...peers])]);
            }
            await this.clock.wait(this.options.periodMs);
        }
    }

    /**
     * Asks the leader to withdraw this replica's vote if the others bear more losses without it, repeatedly until the replica stops:
     * a successor may become a voter meanwhile.
     */
    async runLeave(): Promise<void> {
        this.isStopping = true;
        const { self, periodMs } = this.options;
        let lastError = "";
        while (!this.replica.isStopped()) {
            try {
                await this.callLeader(leaveMethod, self, params => this.recordLeaving(params));
            }
            catch (error) {
                if (String(error) !== lastError) {
                    lastError = String(error);
                    this.log.info("leave_not_announced", { error: lastError });
                }
            }
            await this.clock.wait(periodMs);
        }
    }

    /** Sends a join request to all addresses at once, since some may be gone and not answer in time. */
    private async requestJoin(addresses: readonly string[]): Promise<void> {
        const { self, callTimeoutMs } = this.options;
        const others = addresses.filter(address => address !== self.address);
        const answers = await Promise.allSettled(
            others.map(address => this.network.call(address, joinMethod, self, callTimeoutMs)),
        );
        if (!answers.some(answer => answer.status === "fulfilled" && answer.value.isReplica)) {
            this.logJoinErrors(
                answers.flatMap((answer, i) =>
                    answer.status === "rejected" ? [{ address: others[i]!, error: String(answer.reason) }] : []
                ),
            );
        }
    }

    private logJoinErrors(errors: readonly { address: string; error: string; }[]): void {
        const result = JSON.stringify(errors);
        const now = this.clock.getMonotonicMs();
        if (result !== this.lastJoinResult || now - this.lastJoinLoggedAt >= JOIN_LOG_PERIOD_MS) {
            this.lastJoinResult = result;
            this.lastJoinLoggedAt = now;
            errors.forEach(error => this.log.info("join_not_answered", error));
        }
    }

    private handleJoin(joiner: ReplicaAddress): Promise<{ isReplica: boolean; }> {
        return this.callLeader(joinMethod, joiner, params => this.recordJoinRequest(params));
    }

    private handleLeave(leaving: ReplicaAddress): Promise<{ isVoter: boolean; }> {
        return this.callLeader(leaveMethod, leaving, params => this.recordLeaving(params));
    }

    /** Calls the leader, or `handle` if this replica leads. Throws noMajority if no leader is known. */
    private async callLeader<P, R>(method: PeerMethod<P, R>, params: P, handle: (params: P) => R): Promise<R> {
        if (this.replica.isLeader()) {
            return handle(params);
        }
        return this.network.call(getLeaderAddress(this.replica).address, method, params, this.options.callTimeoutMs);
    }

    private recordJoinRequest(joiner: ReplicaAddress): { isReplica: boolean; } {
        const isReplica = this.replica.replicas.has(joiner.name);
        if (!isReplica && this.joinRequests.size < MAX_REPLICAS) {
            this.joinRequests.set(joiner.name, joiner);
            this.wakeSignal.notifyAll();
        }
        return { isReplica };
    }

    private recordLeaving({ name }: ReplicaAddress): { isVoter: boolean; } {
        const isVoter = this.replica.replicas.isVoter(name);
        [...this.leavingUntil.keys()].filter(other => !this.isLeaving(other)).forEach(other =>
            this.leavingUntil.delete(other)
        );
        if (this.replica.replicas.has(name)) {
            const isNew = !this.isLeaving(name);
            this.leavingUntil.set(name, this.clock.getMonotonicMs() + LEAVING_PERIODS * this.options.periodMs);
            if (isNew) {
                this.wakeSignal.notifyAll();
            }
        }
        return { isVoter };
    }

    private isLeaving(name: string): boolean {
        return (this.leavingUntil.get(name) ?? -Infinity) > this.clock.getMonotonicMs();
    }

    /** Notes when this process began to lead, or went on after a stall, in which it could not hear the others. */
    private observeTurn(): void {
        const now = this.clock.getMonotonicMs();
        const { periodMs, callTimeoutMs } = this.options;
        const term = this.replica.getTerm();
        if (
            !this.replica.isLeader() || term !== this.observedTerm || now - this.lastTurnAt > periodMs + callTimeoutMs
        ) {
            this.observedSince = now;
            this.observedTerm = term;
        }
    }

    /** Whether replicas that did not answer have had the time to. */
    private canJudgeSilence(): boolean {
        return this.clock.getMonotonicMs() - this.observedSince >= this.options.callTimeoutMs;
    }

    private async reconcile(): Promise<void> {
        for (let changes = 0; changes < MAX_CHANGES_PER_TURN && this.replica.isLeader(); changes++) {
            const replicas = this.listObservedReplicas();
            if (this.canJudgeSilence()) {
                this.monitor.observeAsLeader(replicas);
            }
            const change = this.replica.isReplicaSetCommitted()
                ? selectReplicaSetChange(replicas, [...this.joinRequests.values()], this.options.replicaSet)
                : undefined;
            if (change === undefined || !await this.applyChange(change)) {
                return;
            }
        }
    }

    private async applyChange({ reason, replicas }: ReplicaSetChange): Promise<boolean> {
        try {
            await this.replica.propose({ type: "setReplicas", replicas: [...replicas] });
            replicas.forEach(({ name }) => this.joinRequests.delete(name));
            this.log.info("replicas_changed", {
                reason,
                replicas: replicas.map(({ name, voting }) => voting ? name : `${name}(nonVoting)`).join(","),
            });
            return true;
        }
        catch (error) {
            this.log.warn("replicas_not_changed", { reason, error: String(error) });
            return false;
        }
    }

    private listObservedReplicas(): ObservedReplica[] {
        const now = this.clock.getMonotonicMs();
        const canJudgeSilence = this.canJudgeSilence();
        return this.replica.replicas.list().map(replica => {
            const progress = this.replica.tryGetPeerProgress(replica.name);
            const isLeaving = this.isLeaving(replica.name);
            if (progress === undefined) {
                return { ...replica, silentMs: 0, isCaughtUp: replica.name === this.options.self.name, isLeaving };
            }
            const heardAt = replica.voting ? progress.lastVotingAnswerAt : progress.lastAnswerAt;
            const isCaughtUp = progress.isMember && progress.matchIndex >= this.commitIndexAtLastTurn
                && now - progress.lastVotingAnswerAt <= this.options.callTimeoutMs;
            return { ...replica, silentMs: canJudgeSilence ? now - heardAt : 0, isCaughtUp, isLeaving };
        });
    }
}

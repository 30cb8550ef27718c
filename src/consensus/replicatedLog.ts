/**
 * One controller's replica of the log, after Raft: elects a leader, replicates entries, applies what a majority has synced.
 *
 * Runs an election timer and, while leading, one replication task per peer. A leader that has not heard from a majority for
 * an election timeout steps down, so that a partitioned controller does not go on acting as the leader.
 */
import type { Command, LogEntry } from "../domain/commands.js";
import type { DeclaredState, StateSnapshot } from "../domain/declaredState.js";
import { assertInvariant, createRefusal, RefusalError } from "../domain/resultCodes.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { PeerHandlers, PeerMethod, PeerNetwork } from "../ports/peer.js";
import { ConditionVariable } from "./conditionVariable.js";
import { ElectionReporter } from "./electionReporter.js";
import { EntryAgeCollector } from "./entryAgeCollector.js";
import { isLeaderExpected } from "./expectedLeader.js";
import { runJoinLoop } from "./joining.js";
import { type AppliedHandler, LogApplier } from "./logApplier.js";
import type { LogStorage } from "./logStorage.js";
import {
    type AppendAnswer,
    appendMethod,
    type AppendParams,
    preVoteMethod,
    type ProposeAnswer,
    proposeMethod,
    readIndexMethod,
    type ReplicaState,
    replicaStateMethod,
    snapshotMethod,
    type SnapshotParams,
    type VoteAnswer,
    voteMethod,
    type VoteParams,
} from "./messages.js";
import { type PeerProgress, PeerProgressTracker } from "./peerProgress.js";
import { PendingProposals } from "./pendingProposals.js";
import { checkCommand, convertForwardingError, createNoMajorityError } from "./proposalErrors.js";
import { type ReplicaAddress, ReplicaSet } from "./replicaSet.js";
import type { ReplicatedLogOptions } from "./replicatedLogOptions.js";
import { ReplicationTasks } from "./replicationTasks.js";
import { SnapshotReceiver } from "./snapshotReceiver.js";
import { computeElectionTimeoutMs, createVoteParams, hasVotedFor, isLogUpToDate, VoteRequester } from "./voting.js";

export class ReplicatedLog {
    readonly state: DeclaredState;
    private role: "follower" | "candidate" | "leader" = "follower";
    private leader: string | undefined;
    private commitIndex = 0;
    private lastLeaderContactAt = -Infinity;
    /** When a majority last answered this replica as a leader that has stepped down since. */
    private lastLedAt = -Infinity;
    readonly replicas: ReplicaSet;
    readonly entryAges: EntryAgeCollector;
    private readonly peerProgress: PeerProgressTracker;
    private readonly proposals: PendingProposals;
    private readonly replicationSignal = new ConditionVariable();
    private readonly applier: LogApplier;
    private readonly snapshotReceiver = new SnapshotReceiver();
    private readonly electionReporter: ElectionReporter;
    private readonly replicationTasks: ReplicationTasks;
    private readonly voteRequester: VoteRequester;
    private stopped = false;

    constructor(
        private readonly storage: LogStorage,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly options: ReplicatedLogOptions,
    ) {
        this.proposals = new PendingProposals(options.proposeTimeoutMs, options.electionTimeoutMs);
        this.electionReporter = new ElectionReporter(log, clock);
        this.replicas = new ReplicaSet(storage, options);
        this.voteRequester = new VoteRequester(
            network,
            this.replicas,
            this.electionReporter,
            options.electionTimeoutMs,
            term => this.observeTerm(term),
        );
        this.entryAges = new EntryAgeCollector(storage, this.replicas, network, log, () => this.isLeader());
        this.peerProgress = new PeerProgressTracker(options.name, this.replicas);
        this.replicationTasks = new ReplicationTasks(this, storage, network, clock, options, this.peerProgress);
        this.applier = new LogApplier(storage, this.proposals, log, options.snapshotEvery);
        this.state = this.applier.state;
        if (storage.snapshot !== undefined) {
            this.applier.loadState(storage.snapshot.state, storage.snapshot.lastIndex);
            this.commitIndex = storage.snapshot.lastIndex;
        }
    }

    /** Registers the methods that other replicas call. */
    addHandlers(handlers: PeerHandlers): void {
        handlers.add(preVoteMethod, params => this.handlePreVote(params));
        handlers.add(voteMethod, params => this.handleVote(params));
        handlers.add(appendMethod, params => this.handleAppend(params));
        handlers.add(snapshotMethod, params => this.handleSnapshot(params));
        handlers.add(proposeMethod, params => this.appendProposal(params.command));
        handlers.add(readIndexMethod, params => this.confirmLeadership(params.exclude));
        handlers.add(replicaStateMethod, () => this.getReplicaState());
        this.entryAges.addHandlers(handlers);
    }

    /** Starts the election timer, the clock monitor and, on a new or erased disk, the join loop. */
    start(): void {
        void this.runElectionTimer();
        void this.entryAges.runClockMonitor(this.clock, () => this.stopped);
        if (!this.storage.isMember) {
            void runJoinLoop(this, this.storage, this.network, this.clock, this.log, this.options);
        }
    }

    private getReplicaState(): ReplicaState {
        return { term: this.storage.term, lastIndex: this.storage.getLastIndex() };
    }

    async stop(): Promise<void> {
        this.stopped = true;
        this.stepDown(this.storage.term);
        this.applier.appliedSignal.notifyAll();
        await this.storage.close();
    }

    onApplied(handler: AppliedHandler): void {
        this.applier.onApplied(handler);
    }

    /** Registers a handler that is called when a snapshot from the leader has replaced the state. */
    onSnapshotLoaded(handler: () => void): void {
        this.applier.onSnapshotLoaded(handler);
    }

    getTerm(): number {
        return this.storage.term;
    }

    getLeaderName(): string | undefined {
        return this.leader;
    }

    isStopped(): boolean {
        return this.stopped;
    }

    isLeaderInTerm(term: number): boolean {
        return this.role === "leader" && this.storage.term === term && !this.stopped;
    }

    getCommitIndex(): number {
        return this.commitIndex;
    }

    /** Resolves when there may be something to send to peers, or after `timeoutMs`. */
    waitForReplicationWork(timeoutMs: number): Promise<void> {
        return this.replicationSignal.wait(timeoutMs);
    }

    /** Returns the leader's address if a leader is known and it is another replica. */
    tryGetLeaderAddress(): ReplicaAddress | undefined {
        return this.replicas.getPeers().find(other => other.name === this.leader);
    }

    tryGetPeerProgress(name: string): PeerProgress | undefined {
        return this.peerProgress.tryGet(name);
    }

    /** Returns whether the latest replica set change and an entry of this term are committed, so that another may follow. */
    isReplicaSetCommitted(): boolean {
        return this.storage.findReplicaSetIndex() <= this.commitIndex
            && this.storage.tryGetTerm(this.commitIndex) === this.storage.term;
    }

    isLeader(): boolean {
        return this.role === "leader";
    }

    getAppliedIndex(): number {
        return this.applier.getAppliedIndex();
    }

    /** Whether the state contains what was committed before this process first heard of a leader. */
    hasCaughtUp(): boolean {
        return this.applier.hasCaughtUp();
    }

    /** Returns the number of voters that form a majority. */
    getQuorumSize(): number {
        return this.replicas.getQuorumSize();
    }

    /**
     * Proposes a command and returns its result once it is committed and applied. Refuses with `noMajority` if it was
     * certainly not accepted, and with `changeUnknown` if it may have been.
     */
    async propose(command: Command): Promise<ProposeAnswer> {
        checkCommand(command);
        if (this.role === "leader") {
            return this.appendProposal(command);
        }
        const leader = this.tryGetLeaderAddress();
        if (leader === undefined || !this.isConnectedToMajority()) {
            throw createNoMajorityError("no leader is known", this.options.electionTimeoutMs);
        }
        return this.callLeader(leader, proposeMethod, { command }, this.options.proposeTimeoutMs + 500);
    }

    /** Waits until this replica has applied all entries committed before the call. Returns the index. */
    async confirmReadIndex(): Promise<number> {
        const leader = this.tryGetLeaderAddress();
        const confirmed = this.role === "leader" || leader === undefined
            ? await this.confirmLeadership()
            : await this.callLeader(leader, readIndexMethod, {}, this.options.proposeTimeoutMs);
        await this.waitApplied(confirmed.index, this.options.proposeTimeoutMs);
        return confirmed.index;
    }

    /** Waits until this replica has applied `index`. Refuses with `noMajority` after `timeoutMs`, and once it stops. */
    async waitApplied(index: number, timeoutMs: number): Promise<void> {
        const deadline = this.clock.getMonotonicMs() + timeoutMs;
        while (this.applier.getAppliedIndex() < index) {
            const remainingMs = this.stopped ? 0 : deadline - this.clock.getMonotonicMs();
            if (remainingMs <= 0) {
                throw new RefusalError(createRefusal("noMajority", `index ${index} was not applied in time`));
            }
            await this.applier.appliedSignal.wait(remainingMs);
        }
    }

    private callLeader<P, R>(
        { address }: ReplicaAddress,
        method: PeerMethod<P, R>,
        params: P,
        timeoutMs: number,
    ): Promise<R> {
        return this.network.call(address, method, params, timeoutMs).catch(error => {
            throw convertForwardingError(error, this.options.electionTimeoutMs);
        });
    }

    private async appendProposal(command: Command): Promise<ProposeAnswer> {
        if (this.role !== "leader" || this.stopped) {
            throw createNoMajorityError("not the leader", this.options.electionTimeoutMs);
        }
        const term = this.storage.term;
        const entry: LogEntry = { index: this.storage.getLastIndex() + 1, term, at: this.clock.getWallMs(), command };
        const answer = this.proposals.add(entry);
        this.storage.append([entry]).then(
            () => this.advanceCommit(),
            error => this.log.error("log_append_failed", { error: String(error) }),
        );
        if (command.type === "setReplicas") {
            this.replicationTasks.updatePeers();
        }
        this.replicationSignal.notifyAll();
        return answer;
    }

    /** Confirms that this replica still leads: a majority must answer a message sent after the call began. */
    private async confirmLeadership(exclude?: string): Promise<{ index: number; term: number; }> {
        const startedAt = this.clock.getMonotonicMs();
        const deadline = startedAt + this.options.proposeTimeoutMs;
        while (this.role === "leader" && !this.stopped) {
            const isOwnTermCommitted = this.storage.tryGetTerm(this.commitIndex) === this.storage.term;
            if (isOwnTermCommitted && this.getMajorityContactAt(exclude) >= startedAt) {
                return { index: this.commitIndex, term: this.storage.term };
            }
            if (this.clock.getMonotonicMs() > deadline) {
                break;
            }
            this.replicationSignal.notifyAll();
            await this.applier.appliedSignal.wait(this.options.heartbeatMs);
        }
        throw createNoMajorityError("could not confirm leadership", this.options.electionTimeoutMs);
    }

    /**
     * Returns whether a majority has answered this leader, or a leader has contacted this follower, within two election
     * timeouts. Contact before a suspension of the box does not count, because the monotonic clock misses that time.
     */
    isConnectedToMajority(): boolean {
        const lastContactAt = this.role === "leader" ? this.getMajorityContactAt() : this.lastLeaderContactAt;
        const oldestContactAt = this.clock.getMonotonicMs() - this.options.electionTimeoutMs * 2;
        return this.leader !== undefined && lastContactAt > Math.max(oldestContactAt, this.storage.getLastMissedAt());
    }

    /**
     * Returns whether a leader is in contact, or was so recently that another one can be expected if a majority is up. False
     * at a replica that has been cut off for longer.
     */
    isLeaderExpected(): boolean {
        const lastContactAt = Math.max(this.lastLeaderContactAt, this.lastLedAt, this.storage.getLastMissedAt());
        return this.isConnectedToMajority()
            || isLeaderExpected(lastContactAt, this.clock.getMonotonicMs(), this.options.electionTimeoutMs);
    }

    private getMajorityContactAt(exclude?: string): number {
        return this.peerProgress.getMajorityContactAt(this.clock.getMonotonicMs(), exclude);
    }

    // Elections

    private async runElectionTimer(): Promise<void> {
        while (!this.stopped) {
            const timeoutMs = computeElectionTimeoutMs(this.options, this.lastLeaderContactAt);
            const startedAt = this.clock.getMonotonicMs();
            await this.clock.wait(timeoutMs);
            if (this.stopped) {
                return;
            }
            if (this.role === "leader") {
                this.checkQuorum();
            }
            else if (this.lastLeaderContactAt < startedAt && this.isElectable()) {
                await this.runElection();
            }
        }
    }

    /**
     * Returns whether this replica counts towards a majority. After losing its disk, a replica applies the log some time
     * before it does; until then, the failure of another replica stops the log.
     */
    isElectable(): boolean {
        return this.storage.isMember && this.replicas.isVoter(this.options.name);
    }

    private checkQuorum(): void {
        const silentMs = this.clock.getMonotonicMs() - this.getMajorityContactAt();
        if (silentMs > this.options.electionTimeoutMs) {
            this.log.warn("leader_steps_down", { term: this.storage.term, silent_ms: Math.round(silentMs) });
            this.stepDown(this.storage.term);
        }
    }

    private async runElection(): Promise<void> {
        this.leader = undefined;
        const proposed = createVoteParams(this.storage, this.options.name, this.storage.term + 1);
        if (!await this.voteRequester.requestVotes("preVote", proposed)) {
            return;
        }
        const hasHeardLeader = this.leader !== undefined;
        if (this.storage.term + 1 !== proposed.term || this.stopped || hasHeardLeader || !this.isElectable()) {
            return;
        }
        this.role = "candidate";
        await this.storage.saveTerm(proposed.term, this.options.name);
        const params = createVoteParams(this.storage, this.options.name, proposed.term);
        const won = await this.voteRequester.requestVotes("vote", params);
        if (won && this.role === "candidate" && this.storage.term === proposed.term && !this.stopped) {
            this.becomeLeader();
        }
    }

    /** Answers whether this replica would grant a vote, so that a returning candidate does not raise the term in vain. */
    private handlePreVote(params: VoteParams): VoteAnswer {
        const isTimedOut = this.clock.getMonotonicMs() - this.lastLeaderContactAt >= this.options.electionTimeoutMs;
        const isLeaderless = this.role !== "leader" && isTimedOut;
        const granted = params.term > this.storage.term && this.storage.isMember && isLeaderless
            && isLogUpToDate(this.storage, params);
        return this.createVoteAnswer(granted);
    }

    private createVoteAnswer(granted: boolean): VoteAnswer {
        return { term: this.storage.term, granted, isMember: this.storage.isMember };
    }

    private async handleVote(params: VoteParams): Promise<VoteAnswer> {
        if (params.term < this.storage.term || !this.storage.isMember) {
            return this.createVoteAnswer(false);
        }
        const candidate = isLogUpToDate(this.storage, params) ? params.candidate : undefined;
        if (params.term > this.storage.term) {
            if (this.role === "leader") {
                this.replicationTasks.recordSilence();
            }
            this.role = "follower";
            this.leader = undefined;
            this.proposals.failAll();
            await this.saveVote(params.term, candidate);
        }
        else if (this.storage.votedFor === undefined && candidate !== undefined) {
            await this.saveVote(params.term, candidate);
        }
        await this.storage.waitSynced();
        return this.createVoteAnswer(hasVotedFor(this.storage, params));
    }

    /** Restarts the election timeout when granting a vote, before the vote is synced. */
    private saveVote(term: number, candidate: string | undefined): Promise<void> {
        if (candidate !== undefined) {
            this.lastLeaderContactAt = this.clock.getMonotonicMs();
        }
        return this.storage.saveTerm(term, candidate);
    }

    /** Steps down if `term` is higher than the current one. */
    observeTerm(term: number): void {
        if (term > this.storage.term) {
            this.stepDown(term);
        }
    }

    private stepDown(term: number): void {
        if (this.role === "leader") {
            this.lastLedAt = this.getMajorityContactAt();
            this.replicationTasks.recordSilence();
        }
        this.role = "follower";
        this.leader = undefined;
        this.proposals.failAll();
        if (term > this.storage.term) {
            this.storage.saveTerm(term, undefined).catch(error =>
                this.log.error("term_not_saved", { error: String(error) })
            );
        }
        this.replicationSignal.notifyAll();
    }

    // Leading

    private becomeLeader(): void {
        this.role = "leader";
        this.leader = this.options.name;
        this.electionReporter.recordLeader();
        this.log.info("leader_elected", { term: this.storage.term, last_index: this.storage.getLastIndex() });
        this.replicationTasks.startAll();
        // Entries of earlier terms are committed only through an entry of the new term.
        const initialReplicas = this.replicas.tryGetInitialReplicas();
        this.appendProposal(
            initialReplicas === undefined ? { type: "noop" } : { type: "setReplicas", replicas: [...initialReplicas] },
        )
            .catch(error => this.log.warn("term_not_opened", { error: String(error) }));
    }

    /** @param sentAt When the answered message was sent. */
    recordAppendAnswer(answer: AppendAnswer, progress: PeerProgress, sentAt: number): void {
        if (answer.term > this.storage.term) {
            this.stepDown(answer.term);
            return;
        }
        this.peerProgress.recordAnswer(progress, answer.isMember, sentAt);
        if (answer.success) {
            progress.matchIndex = Math.max(progress.matchIndex, answer.index);
            progress.nextIndex = progress.matchIndex + 1;
            this.advanceCommit();
        }
        else {
            progress.nextIndex = Math.max(1, answer.index === progress.nextIndex ? answer.index - 1 : answer.index);
            // A peer whose log has become shorter has lost its disk.
            progress.matchIndex = Math.min(progress.matchIndex, progress.nextIndex - 1);
        }
        this.applier.appliedSignal.notifyAll();
    }

    private advanceCommit(): void {
        if (this.role !== "leader") {
            return;
        }
        const candidate = this.peerProgress.getMajorityMatchIndex(this.storage.syncedIndex);
        // Only entries of the leader's own term are committed by counting replicas (Raft, section 5.4.2).
        if (candidate > this.commitIndex && this.storage.tryGetTerm(candidate) === this.storage.term) {
            this.commitIndex = candidate;
            this.applier.applyUpTo(this.commitIndex);
            this.replicationSignal.notifyAll();
        }
    }

    // Following

    private async handleAppend(params: AppendParams): Promise<AppendAnswer> {
        if (params.term < this.storage.term) {
            return this.createAppendAnswer(false, 0);
        }
        await this.followLeader(params.term, params.leader);
        if (params.term !== this.storage.term) {
            return this.createAppendAnswer(false, 0);
        }
        this.peerProgress.recordSilentReplicas(params.silentReplicas ?? [], this.clock.getMonotonicMs(), params.leader);
        this.applier.recordCommitted(params.commitIndex);
        const conflictIndex = this.storage.tryFindConflictIndex(params.previousIndex, params.previousTerm);
        if (conflictIndex !== undefined) {
            return this.createAppendAnswer(false, conflictIndex);
        }
        const newEntries = this.storage.getNewEntries(params.entries);
        await this.storage.append(newEntries);
        // Entries of a resent append may already be in the log but not synced yet.
        await this.storage.waitSynced();
        if (params.term !== this.storage.term) {
            return this.createAppendAnswer(false, 0);
        }
        const matchIndex = params.previousIndex + params.entries.length;
        this.advanceFollowerCommit(Math.min(params.commitIndex, matchIndex));
        return this.createAppendAnswer(true, matchIndex);
    }

    private createAppendAnswer(success: boolean, index: number): AppendAnswer {
        return { term: this.storage.term, success, index, isMember: this.storage.isMember };
    }

    private async followLeader(term: number, leader: string): Promise<void> {
        assertInvariant(this.role !== "leader" || term > this.storage.term, "a term must have at most one leader");
        this.lastLeaderContactAt = this.clock.getMonotonicMs();
        if (this.role === "leader") {
            this.proposals.failAll();
        }
        this.role = "follower";
        if (this.leader !== leader) {
            this.log.info("leader_followed", { leader, term });
            this.electionReporter.recordLeader();
        }
        this.leader = leader;
        if (term > this.storage.term) {
            await this.storage.saveTerm(term, undefined);
        }
    }

    private advanceFollowerCommit(index: number): void {
        if (index > this.commitIndex) {
            this.commitIndex = index;
            this.applier.applyUpTo(this.commitIndex);
        }
    }

    private async handleSnapshot(params: SnapshotParams): Promise<AppendAnswer> {
        if (params.term < this.storage.term) {
            return this.createAppendAnswer(false, 0);
        }
        await this.followLeader(params.term, params.leader);
        const text = this.snapshotReceiver.tryAddChunk(params);
        if (text !== undefined && params.lastIndex > this.applier.getAppliedIndex()) {
            const state = JSON.parse(text) as StateSnapshot;
            await this.storage.saveSnapshot({
                lastIndex: params.lastIndex,
                lastTerm: params.lastTerm,
                state,
                ...(params.replicas === undefined ? {} : { replicas: params.replicas }),
            });
            this.commitIndex = Math.max(this.commitIndex, params.lastIndex);
            this.applier.loadState(state, params.lastIndex);
        }
        const success = text !== undefined || this.snapshotReceiver.hasAccepted(params);
        return this.createAppendAnswer(success, params.lastIndex);
    }
}

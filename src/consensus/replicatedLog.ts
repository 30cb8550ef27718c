/**
 * The replicated log of one controller: elects a leader, copies entries, applies what a majority has synced.
 *
 * Tasks: one that watches for a silent leader, and while leading one for each peer. A leader that has not heard from a
 * majority for an election timeout steps down, so that a controller that was cut off stops believing it is in charge.
 */
import type { Command, LogEntry } from "../domain/commands.js";
import type { DeclaredState, StateSnapshot } from "../domain/declaredState.js";
import { assertInvariant, createRefusal, getRefusal, RefusalError } from "../domain/resultCodes.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { PeerHandlers, PeerNetwork } from "../ports/peer.js";
import { EntryAges } from "./entryAges.js";
import { runJoining } from "./joining.js";
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
import { LeaderProgress, type PeerProgress } from "./peerProgress.js";
import { PeerReplication } from "./peerReplication.js";
import { PendingProposals } from "./pendingProposals.js";
import { type ReplicaAddress, ReplicaSet } from "./replicaSet.js";
import type { ReplicatedLogOptions } from "./replicatedLogOptions.js";
import { Signal } from "./signal.js";
import { SnapshotReceiver } from "./snapshotReceiver.js";
import { collectVotes, computeCandidacyTimeoutMs, createVoteParams, hasVotedFor, isLogUpToDate } from "./voting.js";

export class ReplicatedLog {
    readonly state: DeclaredState;
    private role: "follower" | "candidate" | "leader" = "follower";
    private leader: string | undefined;
    private commitIndex = 0;
    private heardFromLeaderAt = -Infinity;
    readonly replicas: ReplicaSet;
    readonly entryAges: EntryAges;
    private readonly progress: LeaderProgress;
    private readonly proposals: PendingProposals;
    private readonly work = new Signal();
    private readonly applier: LogApplier;
    private readonly snapshotReceiver = new SnapshotReceiver();
    private stopped = false;

    constructor(
        private readonly storage: LogStorage,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly options: ReplicatedLogOptions,
    ) {
        this.proposals = new PendingProposals(options.proposeTimeoutMs, options.electionTimeoutMs);
        this.replicas = new ReplicaSet(storage, options);
        this.entryAges = new EntryAges(storage, this.replicas, network, log, () => this.isLeader());
        this.progress = new LeaderProgress(options.name, this.replicas);
        this.applier = new LogApplier(storage, this.proposals, log, options.snapshotEvery);
        this.state = this.applier.state;
        if (storage.snapshot !== undefined) {
            this.applier.loadState(storage.snapshot.state, storage.snapshot.lastIndex);
            this.commitIndex = storage.snapshot.lastIndex;
        }
    }

    /** Registers the methods other replicas call. */
    addHandlers(handlers: PeerHandlers): void {
        handlers.add(preVoteMethod, params => this.handlePreVote(params));
        handlers.add(voteMethod, params => this.handleVote(params));
        handlers.add(appendMethod, params => this.handleAppend(params));
        handlers.add(snapshotMethod, params => this.handleSnapshot(params));
        handlers.add(proposeMethod, params => this.proposeAsLeader(params.command));
        handlers.add(readIndexMethod, params => this.confirmAsLeader(params.exclude));
        handlers.add(replicaStateMethod, () => this.getReplicaState());
        this.entryAges.addHandlers(handlers);
    }

    /** Starts the task that watches for a silent leader, and on a new or emptied disk the one that joins. */
    start(): void {
        void this.runElections();
        void this.entryAges.runClockWatch(this.clock, () => this.stopped);
        if (!this.storage.isMember) {
            void runJoining(this, this.storage, this.network, this.clock, this.log, this.options);
        }
    }

    private getReplicaState(): ReplicaState {
        return { term: this.storage.term, lastIndex: this.storage.getLastIndex() };
    }

    async stop(): Promise<void> {
        this.stopped = true;
        this.stepDown(this.storage.term);
        this.applier.applied.notifyAll();
        await this.storage.close();
    }

    onApplied(handler: AppliedHandler): void {
        this.applier.onApplied(handler);
    }

    /** Calls back when a snapshot from the leader has replaced the state. */
    onSnapshotLoaded(handler: () => void): void {
        this.applier.onSnapshotLoaded(handler);
    }

    getTerm(): number {
        return this.storage.term;
    }

    getLeader(): string | undefined {
        return this.leader;
    }

    isStopped(): boolean {
        return this.stopped;
    }

    /** Whether this replica still leads in `term`. */
    isLeadingIn(term: number): boolean {
        return this.role === "leader" && this.storage.term === term && !this.stopped;
    }

    getCommitIndex(): number {
        return this.commitIndex;
    }

    /** Resolves when there is something to send to peers, or after `timeoutMs`. */
    waitWork(timeoutMs: number): Promise<void> {
        return this.work.wait(timeoutMs);
    }

    /** The leader as another replica, where one is known and it is not this one. */
    tryGetLeaderAddress(): ReplicaAddress | undefined {
        return this.replicas.getOthers().find(other => other.name === this.leader);
    }

    /** What this leader knows of a peer. */
    tryGetProgress(name: string): PeerProgress | undefined {
        return this.progress.tryGet(name);
    }

    /** Whether the newest change of the replicas is committed, so that another may follow. */
    isReplicaSetSettled(): boolean {
        return this.storage.findReplicasIndex() <= this.commitIndex
            && this.storage.tryGetTerm(this.commitIndex) === this.storage.term;
    }

    isLeader(): boolean {
        return this.role === "leader";
    }

    getAppliedIndex(): number {
        return this.applier.getIndex();
    }

    /** How many replicas a majority takes. */
    getMajority(): number {
        return this.replicas.getMajority();
    }

    /**
     * Proposes a command and answers what it came to once a majority holds it. Refuses with noMajority where it was
     * certainly not accepted, and with changeUnknown where it may have been.
     */
    async propose(command: Command): Promise<ProposeAnswer> {
        if (this.role === "leader") {
            return this.proposeAsLeader(command);
        }
        const leader = this.tryGetLeaderAddress();
        if (leader === undefined || !this.isConnectedToMajority()) {
            throw new RefusalError(
                createRefusal("noMajority", "no leader is known", "no", this.options.electionTimeoutMs),
            );
        }
        try {
            return await this.network.call(
                leader.address,
                proposeMethod,
                { command },
                this.options.proposeTimeoutMs + 500,
            );
        }
        catch (error) {
            const refusal = getRefusal(error);
            if (refusal.code === "peerGone" || refusal.code === "peerTimeout") {
                const code = refusal.ran === "no" ? "noMajority" : "changeUnknown";
                throw new RefusalError(
                    createRefusal(code, "the leader could not be reached", refusal.ran, this.options.electionTimeoutMs),
                );
            }
            throw error;
        }
    }

    /** Waits until this replica has applied everything that was committed when the call began. Answers the index. */
    async readThroughMajority(): Promise<number> {
        const leader = this.tryGetLeaderAddress();
        const confirmed = this.role === "leader" || leader === undefined
            ? await this.confirmAsLeader()
            : await this.network.call(leader.address, readIndexMethod, {}, this.options.proposeTimeoutMs);
        await this.waitApplied(confirmed.index, this.options.proposeTimeoutMs);
        return confirmed.index;
    }

    /** Waits until `index` is applied here. Refuses with noMajority after `timeoutMs`. */
    async waitApplied(index: number, timeoutMs: number): Promise<void> {
        const deadline = this.clock.getMonotonicMs() + timeoutMs;
        while (this.applier.getIndex() < index && !this.stopped) {
            const left = deadline - this.clock.getMonotonicMs();
            if (left <= 0) {
                throw new RefusalError(createRefusal("noMajority", `index ${index} is not applied yet`));
            }
            await this.applier.applied.wait(left);
        }
    }

    private async proposeAsLeader(command: Command): Promise<ProposeAnswer> {
        if (this.role !== "leader" || this.stopped) {
            throw new RefusalError(createRefusal("noMajority", "not the leader", "no", this.options.electionTimeoutMs));
        }
        const term = this.storage.term;
        const entry: LogEntry = { index: this.storage.getLastIndex() + 1, term, at: this.clock.getWallMs(), command };
        const answer = this.proposals.add(entry);
        this.storage.append([entry]).then(
            () => this.advanceCommit(),
            error => this.log.error("log_append_failed", { error: String(error) }),
        );
        this.updateReplication(command);
        this.work.notifyAll();
        return answer;
    }

    /** Makes sure that this replica still leads, by an answer of a majority to something sent after the call began. */
    private async confirmAsLeader(exclude?: string): Promise<{ index: number; term: number; }> {
        const asked = this.clock.getMonotonicMs();
        const deadline = asked + this.options.proposeTimeoutMs;
        while (this.role === "leader" && !this.stopped) {
            const ownTermCommitted = this.storage.tryGetTerm(this.commitIndex) === this.storage.term;
            if (ownTermCommitted && this.getMajorityHeardAt(exclude) >= asked) {
                return { index: this.commitIndex, term: this.storage.term };
            }
            if (this.clock.getMonotonicMs() > deadline) {
                break;
            }
            this.work.notifyAll();
            await this.applier.applied.wait(this.options.heartbeatMs);
        }
        throw new RefusalError(
            createRefusal("noMajority", "no confirmed leader here", "no", this.options.electionTimeoutMs),
        );
    }

    /**
     * Whether a majority has answered this leader, or a leader has spoken to this follower, within an election timeout. What was
     * heard before the box was suspended does not count: one that was for 10 s called itself connected when it woke.
     */
    isConnectedToMajority(): boolean {
        const heardAt = this.role === "leader" ? this.getMajorityHeardAt() : this.heardFromLeaderAt;
        const leastHeardAt = this.clock.getMonotonicMs() - this.options.electionTimeoutMs * 2;
        return this.leader !== undefined && heardAt > Math.max(leastHeardAt, this.storage.getMissedAt());
    }

    private getMajorityHeardAt(exclude?: string): number {
        return this.progress.getMajorityHeardAt(this.clock.getMonotonicMs(), exclude);
    }

    // Elections

    private async runElections(): Promise<void> {
        while (!this.stopped) {
            const timeout = computeCandidacyTimeoutMs(this.options, this.heardFromLeaderAt);
            const since = this.clock.getMonotonicMs();
            await this.clock.wait(timeout);
            if (this.stopped) {
                return;
            }
            if (this.role === "leader") {
                this.checkStillLeading();
            }
            else if (this.heardFromLeaderAt < since && this.mayLead()) {
                await this.runCandidacy();
            }
        }
    }

    private mayLead(): boolean {
        return this.storage.isMember && this.replicas.isVoter(this.options.name);
    }

    private checkStillLeading(): void {
        const silent = this.clock.getMonotonicMs() - this.getMajorityHeardAt();
        if (silent > this.options.electionTimeoutMs) {
            this.log.warn("leader_steps_down", { term: this.storage.term, silent_ms: Math.round(silent) });
            this.stepDown(this.storage.term);
        }
    }

    private async runCandidacy(): Promise<void> {
        this.leader = undefined;
        const proposed = createVoteParams(this.storage, this.options.name, this.storage.term + 1);
        if (!await this.collectVotes(preVoteMethod, proposed)) {
            return;
        }
        if (this.storage.term + 1 !== proposed.term || this.stopped) {
            return;
        }
        this.role = "candidate";
        await this.storage.saveTerm(proposed.term, this.options.name);
        const won = await this.collectVotes(
            voteMethod,
            createVoteParams(this.storage, this.options.name, proposed.term),
        );
        if (won && this.role === "candidate" && this.storage.term === proposed.term && !this.stopped) {
            this.startLeading();
        }
    }

    private collectVotes(method: typeof voteMethod, params: VoteParams): Promise<boolean> {
        return collectVotes(
            this.network,
            this.replicas,
            this.options.electionTimeoutMs,
            method,
            params,
            term => this.checkTerm(term),
        );
    }

    /** Would this replica vote? Asked before a term is spent, so that one who comes back disturbs nobody. */
    private handlePreVote(params: VoteParams): VoteAnswer {
        const quiet = this.clock.getMonotonicMs() - this.heardFromLeaderAt >= this.options.electionTimeoutMs;
        const leaderless = this.role !== "leader" && quiet;
        const granted = params.term > this.storage.term && this.storage.isMember && leaderless
            && isLogUpToDate(this.storage, params);
        return { term: this.storage.term, granted };
    }

    private async handleVote(params: VoteParams): Promise<VoteAnswer> {
        if (params.term < this.storage.term || !this.storage.isMember) {
            return { term: this.storage.term, granted: false };
        }
        const candidate = isLogUpToDate(this.storage, params) ? params.candidate : undefined;
        if (params.term > this.storage.term) {
            this.role = "follower";
            this.leader = undefined;
            this.proposals.failAll();
            await this.saveVote(params.term, candidate);
        }
        else if (this.storage.votedFor === undefined && candidate !== undefined) {
            await this.saveVote(params.term, candidate);
        }
        await this.storage.waitSynced();
        return { term: this.storage.term, granted: hasVotedFor(this.storage, params) };
    }

    /** Who gives its vote waits for what comes of it: from then on, not from when the vote is synced. */
    private saveVote(term: number, candidate: string | undefined): Promise<void> {
        if (candidate !== undefined) {
            this.heardFromLeaderAt = this.clock.getMonotonicMs();
        }
        return this.storage.saveTerm(term, candidate);
    }

    /** Steps down where a higher term has been seen. */
    checkTerm(term: number): void {
        if (term > this.storage.term) {
            this.stepDown(term);
        }
    }

    private stepDown(term: number): void {
        this.role = "follower";
        this.leader = undefined;
        this.proposals.failAll();
        if (term > this.storage.term) {
            this.storage.saveTerm(term, undefined).catch(error =>
                this.log.error("term_not_saved", { error: String(error) })
            );
        }
        this.work.notifyAll();
    }

    // Leading

    private startLeading(): void {
        this.role = "leader";
        this.leader = this.options.name;
        this.log.info("leader_elected", { term: this.storage.term, last_index: this.storage.getLastIndex() });
        this.replicas.getOthers().forEach(other => this.startReplication(other));
        // An entry of the new term commits whatever the earlier terms left.
        const founding = this.replicas.tryGetFounding();
        this.proposeAsLeader(
            founding === undefined ? { type: "noop" } : { type: "setReplicas", replicas: [...founding] },
        )
            .catch(error => this.log.warn("term_not_opened", { error: String(error) }));
    }

    private startReplication(other: ReplicaAddress): void {
        const now = this.clock.getMonotonicMs();
        const progress = this.progress.reset(other.name, this.storage.getLastIndex() + 1, now);
        void new PeerReplication(this, this.storage, this.network, this.clock, this.options, other, progress).run();
    }

    /** Begins to copy to replicas that have just been added, and forgets those that have been removed. */
    private updateReplication(command: Command): void {
        if (command.type !== "setReplicas") {
            return;
        }
        const others = this.replicas.getOthers();
        others.filter(other => this.progress.tryGet(other.name) === undefined).forEach(other =>
            this.startReplication(other)
        );
        this.progress.getNames().filter(name => !others.some(other => other.name === name)).forEach(name =>
            this.progress.remove(name)
        );
    }

    /** Takes a peer's answer into account. `sentAt`: when what it answers was sent. */
    recordAnswer(answer: AppendAnswer, progress: PeerProgress, sentAt: number): void {
        if (answer.term > this.storage.term) {
            this.stepDown(answer.term);
            return;
        }
        progress.isMember = answer.isMember;
        if (answer.isMember) {
            // A replica that lost its disk may have voted for another leader and not know it: its word does not count.
            progress.heardAt = Math.max(progress.heardAt, sentAt);
        }
        if (answer.success) {
            progress.matchIndex = Math.max(progress.matchIndex, answer.index);
            progress.nextIndex = progress.matchIndex + 1;
            this.advanceCommit();
        }
        else {
            progress.nextIndex = Math.max(1, answer.index === progress.nextIndex ? answer.index - 1 : answer.index);
            // A peer that has less than it once had has lost its disk.
            progress.matchIndex = Math.min(progress.matchIndex, progress.nextIndex - 1);
        }
        this.applier.applied.notifyAll();
    }

    private advanceCommit(): void {
        if (this.role !== "leader") {
            return;
        }
        const candidate = this.progress.getMajorityMatch(this.storage.syncedIndex);
        // Only an entry of the leader's own term commits by count (Raft, section 5.4.2).
        if (candidate > this.commitIndex && this.storage.tryGetTerm(candidate) === this.storage.term) {
            this.commitIndex = candidate;
            this.applier.applyUpTo(this.commitIndex);
            this.work.notifyAll();
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
        const mismatch = this.storage.tryGetMismatch(params.previousIndex, params.previousTerm);
        if (mismatch !== undefined) {
            return this.createAppendAnswer(false, mismatch);
        }
        const news = this.storage.getNewEntries(params.entries);
        await this.storage.append(news);
        // A resent append may find its entries here already and not synced yet.
        await this.storage.waitSynced();
        if (params.term !== this.storage.term) {
            return this.createAppendAnswer(false, 0);
        }
        const matched = params.previousIndex + params.entries.length;
        this.advanceFollowerCommit(Math.min(params.commitIndex, matched));
        return this.createAppendAnswer(true, matched);
    }

    private createAppendAnswer(success: boolean, index: number): AppendAnswer {
        return { term: this.storage.term, success, index, isMember: this.storage.isMember };
    }

    private async followLeader(term: number, leader: string): Promise<void> {
        assertInvariant(this.role !== "leader" || term > this.storage.term, "two leaders in one term");
        this.heardFromLeaderAt = this.clock.getMonotonicMs();
        if (this.role === "leader") {
            this.proposals.failAll();
        }
        this.role = "follower";
        if (this.leader !== leader) {
            this.log.info("leader_followed", { leader, term });
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
        const text = this.snapshotReceiver.tryAdd(params);
        if (text !== undefined && params.lastIndex > this.applier.getIndex()) {
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
        const success = text !== undefined || this.snapshotReceiver.isExpecting(params);
        return this.createAppendAnswer(success, params.lastIndex);
    }
}

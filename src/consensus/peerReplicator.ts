/** Replicates the leader's log to one peer until the leader's term ends or the peer is removed. */
import type { Clock } from "../ports/clock.js";
import type { PeerNetwork } from "../ports/peer.js";
import type { LogStorage } from "./logStorage.js";
import { appendMethod, snapshotMethod, type SnapshotParams } from "./messages.js";
import type { PeerProgress, PeerProgressTracker } from "./peerProgress.js";
import type { ReplicaAddress } from "./replicaSet.js";
import type { ReplicatedLog } from "./replicatedLog.js";
import type { ReplicatedLogOptions } from "./replicatedLogOptions.js";

const MAX_ENTRIES_PER_APPEND = 512;
/**
 * In characters. An eighth of the maximum line length that a replica accepts, which 20 missed bundles of 1,700 routes in one
 * message would exceed, and about 50 ms of a link of 170 Mbit/s.
 */
const MAX_MESSAGE_LENGTH = 1024 * 1024;

export class PeerReplicator {
    private readonly term: number;

    constructor(
        private readonly replica: ReplicatedLog,
        private readonly storage: LogStorage,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly options: ReplicatedLogOptions,
        private readonly tracker: PeerProgressTracker,
        private readonly peer: ReplicaAddress,
        private readonly progress: PeerProgress,
    ) {
        this.term = storage.term;
    }

    /** Sends entries, a snapshot if the next entries were compacted, and heartbeats while idle. */
    async run(): Promise<void> {
        const { replica, storage, progress, options } = this;
        while (this.isActive()) {
            try {
                if (progress.nextIndex <= storage.getSnapshotIndex()) {
                    await this.sendSnapshot();
                }
                else {
                    await this.sendEntries();
                }
            }
            catch {
                await this.clock.wait(options.heartbeatMs);
                continue;
            }
            if (replica.isLeaderInTerm(this.term) && progress.nextIndex > storage.getLastIndex()) {
                await replica.waitForReplicationWork(options.heartbeatMs);
            }
        }
    }

    private isActive(): boolean {
        return this.replica.isLeaderInTerm(this.term)
            && this.replica.tryGetPeerProgress(this.peer.name) === this.progress;
    }

    private async sendEntries(): Promise<void> {
        const { replica, storage, progress, options } = this;
        const previousIndex = progress.nextIndex - 1;
        const sentAt = this.clock.getMonotonicMs();
        const silentReplicas = this.tracker.listSilentPeers(sentAt, options.electionTimeoutMs * 2);
        const params = {
            term: this.term,
            leader: options.name,
            previousIndex,
            previousTerm: storage.tryGetTerm(previousIndex) ?? 0,
            entries: storage.getEntriesFrom(progress.nextIndex, MAX_ENTRIES_PER_APPEND, MAX_MESSAGE_LENGTH),
            commitIndex: replica.getCommitIndex(),
            ...(silentReplicas.length === 0 ? {} : { silentReplicas }),
        };
        const answer = await this.network.call(this.peer.address, appendMethod, params, options.electionTimeoutMs);
        replica.recordAppendAnswer(answer, progress, sentAt);
    }

    private async sendSnapshot(): Promise<void> {
        const snapshot = this.storage.snapshot!;
        const text = JSON.stringify(snapshot.state);
        for (let offset = 0; offset < text.length; offset += MAX_MESSAGE_LENGTH) {
            const isAccepted = await this.sendChunk({
                term: this.term,
                leader: this.options.name,
                lastIndex: snapshot.lastIndex,
                lastTerm: snapshot.lastTerm,
                offset,
                piece: text.slice(offset, offset + MAX_MESSAGE_LENGTH),
                done: offset + MAX_MESSAGE_LENGTH >= text.length,
                replicas: snapshot.replicas === undefined ? undefined : [...snapshot.replicas],
            });
            if (!isAccepted) {
                return;
            }
        }
    }

    private async sendChunk(params: SnapshotParams): Promise<boolean> {
        const sentAt = this.clock.getMonotonicMs();
        const answer = await this.network.call(
            this.peer.address,
            snapshotMethod,
            params,
            this.options.proposeTimeoutMs,
        );
        if (answer.success && params.done) {
            this.replica.recordAppendAnswer(answer, this.progress, sentAt);
        }
        else {
            this.replica.observeTerm(answer.term);
            this.tracker.recordAnswer(this.progress, answer.isMember, sentAt);
        }
        return answer.success;
    }
}

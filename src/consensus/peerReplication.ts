/** Copies the leader's log to one peer. This is the peer's one task, for as long as the replica leads in its term. */
import type { Clock } from "../ports/clock.js";
import type { PeerNetwork } from "../ports/peer.js";
import type { LogStorage } from "./logStorage.js";
import { appendMethod, snapshotMethod, type SnapshotParams } from "./messages.js";
import type { PeerProgress } from "./peerProgress.js";
import type { ReplicaAddress } from "./replicaSet.js";
import type { ReplicatedLog } from "./replicatedLog.js";
import type { ReplicatedLogOptions } from "./replicatedLogOptions.js";

const MAX_ENTRIES_PER_APPEND = 512;
/**
 * Most characters that are sent at once: an eighth of the longest line that a replica takes, and some 50 ms of a link of
 * 170 Mbit/s. Without it a replica that had missed 20 bundles of 1,700 routes was sent them in a line longer than it takes.
 */
const MAX_MESSAGE_LENGTH = 1024 * 1024;

export class PeerReplication {
    /** The term in which it was begun; it ends with it. */
    private readonly term: number;

    constructor(
        private readonly replica: ReplicatedLog,
        private readonly storage: LogStorage,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly options: ReplicatedLogOptions,
        private readonly other: ReplicaAddress,
        private readonly progress: PeerProgress,
    ) {
        this.term = storage.term;
    }

    /** Sends entries, snapshots where entries are gone, and heartbeats where there is nothing to send. */
    async run(): Promise<void> {
        const { replica, storage, progress, options } = this;
        while (this.isWanted()) {
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
            if (replica.isLeadingIn(this.term) && progress.nextIndex > storage.getLastIndex()) {
                await replica.waitWork(options.heartbeatMs);
            }
        }
    }

    private isWanted(): boolean {
        return this.replica.isLeadingIn(this.term)
            && this.replica.tryGetProgress(this.other.name) === this.progress;
    }

    private async sendEntries(): Promise<void> {
        const { replica, storage, progress, options } = this;
        const previousIndex = progress.nextIndex - 1;
        const sentAt = this.clock.getMonotonicMs();
        const params = {
            term: this.term,
            leader: options.name,
            previousIndex,
            previousTerm: storage.tryGetTerm(previousIndex) ?? 0,
            entries: storage.getEntriesFrom(progress.nextIndex, MAX_ENTRIES_PER_APPEND, MAX_MESSAGE_LENGTH),
            commitIndex: replica.getCommitIndex(),
        };
        const answer = await this.network.call(this.other.address, appendMethod, params, options.electionTimeoutMs);
        replica.recordAnswer(answer, progress, sentAt);
    }

    private async sendSnapshot(): Promise<void> {
        const snapshot = this.storage.snapshot!;
        const text = JSON.stringify(snapshot.state);
        for (let offset = 0; offset < text.length; offset += MAX_MESSAGE_LENGTH) {
            const isTaken = await this.sendPiece({
                term: this.term,
                leader: this.options.name,
                lastIndex: snapshot.lastIndex,
                lastTerm: snapshot.lastTerm,
                offset,
                piece: text.slice(offset, offset + MAX_MESSAGE_LENGTH),
                done: offset + MAX_MESSAGE_LENGTH >= text.length,
                replicas: snapshot.replicas === undefined ? undefined : [...snapshot.replicas],
            });
            if (!isTaken) {
                return;
            }
        }
    }

    private async sendPiece(params: SnapshotParams): Promise<boolean> {
        const sentAt = this.clock.getMonotonicMs();
        const answer = await this.network.call(
            this.other.address,
            snapshotMethod,
            params,
            this.options.proposeTimeoutMs,
        );
        if (answer.success && params.done) {
            this.replica.recordAnswer(answer, this.progress, sentAt);
        }
        else {
            this.replica.checkTerm(answer.term);
            if (answer.isMember) {
                this.progress.heardAt = sentAt;
            }
        }
        return answer.success;
    }
}

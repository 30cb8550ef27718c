/** Copies the leader's log to one peer. This is the peer's one task, for as long as the replica leads in its term. */
import type { Clock } from "../ports/clock.js";
import type { PeerNetwork } from "../ports/peer.js";
import type { LogStorage } from "./logStorage.js";
import { appendMethod, type AppendParams, snapshotMethod, type SnapshotParams } from "./messages.js";
import type { PeerProgress } from "./peerProgress.js";
import type { ReplicaAddress, ReplicatedLog, ReplicatedLogOptions } from "./replicatedLog.js";

const MAX_ENTRIES_PER_APPEND = 512;
const SNAPSHOT_PIECE_LENGTH = 1024 * 1024;

/** Sends entries, snapshots where entries are gone, and heartbeats where there is nothing to send. */
export async function runPeerReplication(
    replica: ReplicatedLog,
    storage: LogStorage,
    network: PeerNetwork,
    clock: Clock,
    options: ReplicatedLogOptions,
    other: ReplicaAddress,
    progress: PeerProgress,
): Promise<void> {
    const term = storage.term;
    while (replica.isLeadingIn(term)) {
        try {
            if (progress.nextIndex <= storage.getSnapshotIndex()) {
                await sendSnapshot(replica, storage, network, clock, options, other, progress, term);
            }
            else {
                await sendEntries(replica, storage, network, clock, options, other, progress, term);
            }
        }
        catch {
            await clock.wait(options.heartbeatMs);
            continue;
        }
        if (replica.isLeadingIn(term) && progress.nextIndex > storage.getLastIndex()) {
            await replica.waitWork(options.heartbeatMs);
        }
    }
}

async function sendEntries(
    replica: ReplicatedLog,
    storage: LogStorage,
    network: PeerNetwork,
    clock: Clock,
    options: ReplicatedLogOptions,
    other: ReplicaAddress,
    progress: PeerProgress,
    term: number,
): Promise<void> {
    const previousIndex = progress.nextIndex - 1;
    const params: AppendParams = {
        term,
        leader: options.name,
        previousIndex,
        previousTerm: storage.tryGetTerm(previousIndex) ?? 0,
        entries: storage.getEntriesFrom(progress.nextIndex, MAX_ENTRIES_PER_APPEND),
        commitIndex: replica.getCommitIndex(),
    };
    const sentAt = clock.getMonotonicMs();
    const answer = await network.call(other.address, appendMethod, params, options.electionTimeoutMs);
    replica.recordAnswer(answer, progress, sentAt);
}

async function sendSnapshot(
    replica: ReplicatedLog,
    storage: LogStorage,
    network: PeerNetwork,
    clock: Clock,
    options: ReplicatedLogOptions,
    other: ReplicaAddress,
    progress: PeerProgress,
    term: number,
): Promise<void> {
    const snapshot = storage.snapshot!;
    const text = JSON.stringify(snapshot.state);
    for (let offset = 0; offset < text.length; offset += SNAPSHOT_PIECE_LENGTH) {
        const params: SnapshotParams = {
            term,
            leader: options.name,
            lastIndex: snapshot.lastIndex,
            lastTerm: snapshot.lastTerm,
            offset,
            piece: text.slice(offset, offset + SNAPSHOT_PIECE_LENGTH),
            done: offset + SNAPSHOT_PIECE_LENGTH >= text.length,
        };
        const sentAt = clock.getMonotonicMs();
        const answer = await network.call(other.address, snapshotMethod, params, options.proposeTimeoutMs);
        if (answer.success && params.done) {
            replica.recordAnswer(answer, progress, sentAt);
        }
        else {
            replica.checkTerm(answer.term);
            progress.heardAt = sentAt;
        }
        if (!answer.success) {
            return;
        }
    }
}

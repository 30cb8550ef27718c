/** Runs one replication task for each peer of a leader. */
import type { Clock } from "../ports/clock.js";
import type { PeerNetwork } from "../ports/peer.js";
import type { LogStorage } from "./logStorage.js";
import type { PeerProgressTracker } from "./peerProgress.js";
import { PeerReplicator } from "./peerReplicator.js";
import type { ReplicaAddress } from "./replicaSet.js";
import type { ReplicatedLog } from "./replicatedLog.js";
import type { ReplicatedLogOptions } from "./replicatedLogOptions.js";

export class ReplicationTasks {
    constructor(
        private readonly replica: ReplicatedLog,
        private readonly storage: LogStorage,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly options: ReplicatedLogOptions,
        private readonly progress: PeerProgressTracker,
    ) {}

    /** Starts replication to every peer, for a leader that was just elected. */
    startAll(): void {
        const reportedAnswersAt = this.progress.startLeading();
        this.replica.replicas.getPeers().forEach(peer => this.startTask(peer, reportedAnswersAt.get(peer.name)));
    }

    /** Starts replication to added replicas and stops it to removed ones, after the replica set has changed. */
    updatePeers(): void {
        const peers = this.replica.replicas.getPeers();
        peers.filter(peer => this.progress.tryGet(peer.name) === undefined).forEach(peer => this.startTask(peer));
        this.progress.getNames().filter(name => !peers.some(peer => peer.name === name)).forEach(name =>
            this.progress.remove(name)
        );
    }

    /** Records when this leader last heard from each peer, for the case that it is elected again before another one is. */
    recordSilence(): void {
        const now = this.clock.getMonotonicMs();
        this.progress.recordSilentReplicas(this.progress.listSilentPeers(now, 0), now);
    }

    private startTask(peer: ReplicaAddress, lastAnswerAt?: number): void {
        const now = this.clock.getMonotonicMs();
        const progress = this.progress.reset(peer.name, this.storage.getLastIndex() + 1, now, lastAnswerAt);
        const { replica, storage, network, clock, options } = this;
        void new PeerReplicator(replica, storage, network, clock, options, this.progress, peer, progress).run();
    }
}

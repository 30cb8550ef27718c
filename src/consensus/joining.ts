/**
 * Readmits a replica whose disk is empty. It may have voted and acknowledged entries before it lost its disk, so it votes
 * only if the whole deployment is new, or after it has caught up with a leader that a majority confirmed, not counting
 * this replica.
 */
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { PeerNetwork } from "../ports/peer.js";
import type { LogStorage } from "./logStorage.js";
import { readIndexMethod, replicaStateMethod } from "./messages.js";
import type { ReplicatedLog } from "./replicatedLog.js";
import type { ReplicatedLogOptions } from "./replicatedLogOptions.js";

/** Retries until the replica has joined or is stopped. */
export async function runJoinLoop(
    replica: ReplicatedLog,
    storage: LogStorage,
    network: PeerNetwork,
    clock: Clock,
    log: Log,
    options: ReplicatedLogOptions,
): Promise<void> {
    while (!replica.isStopped()) {
        const isNew = options.isFirstStart ?? await isNewDeployment(network, options);
        const mayJoin = isNew || await isCaughtUpWithLeader(replica, storage, network, options);
        // The answers may arrive after the replica was stopped and its journal closed.
        if (replica.isStopped()) {
            return;
        }
        if (mayJoin) {
            await storage.saveMembership();
            log.info("log_joined", { applied: replica.getAppliedIndex(), term: storage.term });
            return;
        }
        await clock.wait(options.heartbeatMs);
    }
}

async function isNewDeployment(network: PeerNetwork, options: ReplicatedLogOptions): Promise<boolean> {
    const requests = options.others.map(other =>
        network.call(other.address, replicaStateMethod, {}, options.electionTimeoutMs)
    );
    const answers = await Promise.allSettled(requests);
    return answers.every(answer =>
        answer.status === "fulfilled" && answer.value.term === 0 && answer.value.lastIndex === 0
    );
}

async function isCaughtUpWithLeader(
    replica: ReplicatedLog,
    storage: LogStorage,
    network: PeerNetwork,
    options: ReplicatedLogOptions,
): Promise<boolean> {
    const leader = replica.tryGetLeaderAddress();
    if (leader === undefined) {
        return false;
    }
    try {
        const confirmed = await network.call(
            leader.address,
            readIndexMethod,
            { exclude: options.name },
            options.proposeTimeoutMs,
        );
        await replica.waitApplied(confirmed.index, options.proposeTimeoutMs);
        return storage.term >= confirmed.term;
    }
    catch {
        return false;
    }
}

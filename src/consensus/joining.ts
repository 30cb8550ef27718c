/**
 * Joins a replica that found nothing on its disk. It may have voted and acknowledged before it lost its disk, so it
 * votes only when either the whole fleet is new, or a leader confirmed by a majority of the others has brought it up
 * to date. Doing no work before it is known to be safe follows the generation numbers of Neon's RFC 025 and 028.
 */
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { PeerNetwork } from "../ports/peer.js";
import type { LogStorage } from "./logStorage.js";
import { readIndexMethod, replicaStateMethod } from "./messages.js";
import type { ReplicatedLog } from "./replicatedLog.js";
import type { ReplicatedLogOptions } from "./replicatedLogOptions.js";

/** Tries until the replica has joined or is stopped. */
export async function runJoining(
    replica: ReplicatedLog,
    storage: LogStorage,
    network: PeerNetwork,
    clock: Clock,
    log: Log,
    options: ReplicatedLogOptions,
): Promise<void> {
    while (!replica.isStopped()) {
        const isFleetNew = options.isFirstStart ?? await isWholeFleetNew(network, options);
        const mayJoin = isFleetNew || await isCaughtUpWithOthers(replica, storage, network, options);
        // The others may have answered after the stop, when the journal is closed.
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

async function isWholeFleetNew(network: PeerNetwork, options: ReplicatedLogOptions): Promise<boolean> {
    const asked = options.others.map(other =>
        network.call(other.address, replicaStateMethod, {}, options.electionTimeoutMs)
    );
    const answers = await Promise.allSettled(asked);
    return answers.every(answer =>
        answer.status === "fulfilled" && answer.value.term === 0 && answer.value.lastIndex === 0
    );
}

async function isCaughtUpWithOthers(
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

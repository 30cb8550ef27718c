/**
 * Decides how a leader changes the replica set, so that the live replicas bear as many losses as the settings promise at each moment
 * of a replacement. A voter that is lost keeps its place as a non-voter until it answers again or is removed, and is never replaced
 * by fewer voters than the promise needs.
 */
import type { Replica } from "../domain/commands.js";
import type { ReplicaSetOptions } from "../settings/replicaSetSettings.js";
import { computeFaultTolerance, isLost, type ReplicaCondition } from "./replicaCondition.js";
import type { ReplicaAddress } from "./replicaSet.js";

/** Maximum number of replicas in a `setReplicas` entry. */
export const MAX_REPLICAS = 64;

/** A replica as the leader sees it, with what decides whether it may vote. */
export interface ObservedReplica extends ReplicaCondition {
    /** Whether the replica may vote and has all entries but the latest. */
    readonly isCaughtUp: boolean;
}

export interface ReplicaSetChange {
    /** `added`, `caughtUp`, `leaving`, `silent`: it no longer votes; `removed`. */
    readonly reason: "added" | "caughtUp" | "leaving" | "silent" | "removed";
    readonly replicas: readonly Replica[];
}

/**
 * Returns the next change, or undefined if none is due. Each change adds or removes one replica or one vote, and none lowers the
 * number of losses that the live replicas bear. `joiners`: controllers that asked to be added.
 */
export function selectReplicaSetChange(
    replicas: readonly ObservedReplica[],
    joiners: readonly ReplicaAddress[],
    options: ReplicaSetOptions,
): ReplicaSetChange | undefined {
    return tryAdd(replicas, joiners)
        ?? tryWithdrawVote(replicas, options)
        ?? tryPromote(replicas, options)
        ?? tryRemove(replicas, options);
}

function tryAdd(
    replicas: readonly ObservedReplica[],
    joiners: readonly ReplicaAddress[],
): ReplicaSetChange | undefined {
    const joiner = joiners.find(({ name }) => !replicas.some(replica => replica.name === name));
    return joiner === undefined || replicas.length >= MAX_REPLICAS
        ? undefined
        : { reason: "added", replicas: [...replicas.map(getReplica), { ...joiner, voting: false }] };
}

/** With an even number of voters, one that is lost raises the majority and adds nothing to it. */
function tryWithdrawVote(
    replicas: readonly ObservedReplica[],
    options: ReplicaSetOptions,
): ReplicaSetChange | undefined {
    const tolerance = computeFaultTolerance(replicas, options.silentAfterMs);
    const lost =
        replicas.filter(replica => replica.voting && isLost(replica, options.silentAfterMs)).sort(compareSilence)[0];
    const minVoters = 2 * options.toleratedLosses + 1;
    if (lost === undefined || tolerance.lossesBorne < 0 || tolerance.voters <= minVoters) {
        return undefined;
    }
    const isDue = tolerance.lossesBorne < options.toleratedLosses || lost.silentMs > options.removeAfterMs;
    return isDue
        ? { reason: lost.isLeaving ? "leaving" : "silent", replicas: copyWithVote(replicas, lost, false) }
        : undefined;
}

function tryPromote(replicas: readonly ObservedReplica[], options: ReplicaSetOptions): ReplicaSetChange | undefined {
    const ready = replicas.find(replica =>
        !replica.voting && replica.isCaughtUp && !isLost(replica, options.silentAfterMs)
    );
    return ready === undefined ? undefined : { reason: "caughtUp", replicas: copyWithVote(replicas, ready, true) };
}

function tryRemove(
    replicas: readonly ObservedReplica[],
    { removeAfterMs }: ReplicaSetOptions,
): ReplicaSetChange | undefined {
    const expired = replicas.find(replica => !replica.voting && replica.silentMs > removeAfterMs);
    return expired === undefined
        ? undefined
        : { reason: "removed", replicas: replicas.filter(replica => replica !== expired).map(getReplica) };
}

/** Longest silence first. A replica that is leaving still answers, so it comes after those that do not. */
function compareSilence(a: ObservedReplica, b: ObservedReplica): number {
    return b.silentMs - a.silentMs;
}

function copyWithVote(replicas: readonly ObservedReplica[], changed: ObservedReplica, voting: boolean): Replica[] {
    return replicas.map(replica => ({ ...getReplica(replica), voting: replica === changed ? voting : replica.voting }));
}

function getReplica({ name, address, voting }: ObservedReplica): Replica {
    return { name, address, voting };
}

/**
 * Decides how a leader changes the replica set, so that the live replicas bear as many losses as the settings promise at each moment
 * of a replacement. A voter that is lost keeps its place as a non-voter until it answers again or is removed, and is never replaced
 * by fewer voters than the promise needs.
 */
import { MAX_REPLICAS, type Replica } from "../domain/commands.js";
import type { ReplicaSetOptions } from "../settings/replicaSetSettings.js";
import { computeFaultTolerance, isLost, type ReplicaCondition } from "./replicaCondition.js";
import type { ReplicaAddress } from "./replicaSet.js";

/** A replica as the leader sees it, with what decides whether it may vote. */
export interface ObservedReplica extends ReplicaCondition {
    /** Whether the replica may vote, has all entries but the latest, and answered within an election timeout. */
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

/** A lost voter that makes the number of voters even raises the majority and adds nothing to it. */
function tryWithdrawVote(
    replicas: readonly ObservedReplica[],
    options: ReplicaSetOptions,
): ReplicaSetChange | undefined {
    const tolerance = computeFaultTolerance(replicas, options.silentAfterMs);
    const lost = listLostVoters(replicas, options).sort(compareSilence)[0];
    const minVoters = 2 * options.toleratedLosses + 1;
    if (lost === undefined || tolerance.lossesBorne < 0 || tolerance.voters <= minVoters) {
        return undefined;
    }
    const isDue = tolerance.lossesBorne < options.toleratedLosses || isEven(tolerance.voters)
        || lost.silentMs > options.removeAfterMs;
    return isDue
        ? { reason: lost.isLeaving ? "leaving" : "silent", replicas: copyWithVote(replicas, lost, false) }
        : undefined;
}

/**
 * Keeps a replica that is not needed as a non-voter: with an even number of live voters a further loss is not borne, and two halves
 * that are cut off from each other have no majority.
 */
function tryPromote(replicas: readonly ObservedReplica[], options: ReplicaSetOptions): ReplicaSetChange | undefined {
    const ready = replicas.filter(replica =>
        !replica.voting && replica.isCaughtUp && !isLost(replica, options.silentAfterMs)
    );
    const { voters, lossesBorne } = computeFaultTolerance(replicas, options.silentAfterMs);
    const isNeeded = lossesBorne < options.toleratedLosses || isEven(voters) || ready.length >= 2
        || listLostVoters(replicas, options).length > 0;
    return ready.length > 0 && isNeeded
        ? { reason: "caughtUp", replicas: copyWithVote(replicas, ready[0]!, true) }
        : undefined;
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

function listLostVoters(replicas: readonly ObservedReplica[], { silentAfterMs }: ReplicaSetOptions): ObservedReplica[] {
    return replicas.filter(replica => replica.voting && isLost(replica, silentAfterMs));
}

function isEven(count: number): boolean {
    return count % 2 === 0;
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

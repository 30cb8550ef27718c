/** RPC methods of the replicated log: Raft (Ongaro and Ousterhout, 2014) with pre-vote and check-quorum. */
import * as z from "zod";
import { type Command, commandSchema, type LogEntry, MAX_REPLICAS, replicaSchema } from "../domain/commands.js";
import { type ApplyResult } from "../domain/declaredState.js";
import { createPeerMethod } from "../ports/peer.js";
import type { ReplicaAddress } from "./replicaSet.js";

const nonNegativeInt = z.int().min(0);
const replicaName = z.string().max(128);

const voteSchema = z.object({
    term: nonNegativeInt,
    candidate: replicaName,
    lastIndex: nonNegativeInt,
    lastTerm: nonNegativeInt,
});
export type VoteParams = z.infer<typeof voteSchema>;
export interface VoteAnswer {
    readonly term: number;
    readonly granted: boolean;
    /** False if the replica may not vote until it has recovered from the loss of its disk. */
    readonly isMember?: boolean | undefined;
}

const entrySchema = z.object({
    index: nonNegativeInt,
    term: nonNegativeInt,
    at: z.number(),
    command: commandSchema,
});
/** A replica that the leader has not heard from for a while, in milliseconds. */
const silentReplicaSchema = z.object({ name: replicaName, ms: z.number().min(0) });
export type SilentReplica = z.infer<typeof silentReplicaSchema>;

const appendSchema = z.object({
    term: nonNegativeInt,
    leader: replicaName,
    previousIndex: nonNegativeInt,
    previousTerm: nonNegativeInt,
    entries: z.array(entrySchema).max(4096),
    commitIndex: nonNegativeInt,
    silentReplicas: z.array(silentReplicaSchema).max(MAX_REPLICAS).optional(),
});
export type AppendParams = Omit<z.infer<typeof appendSchema>, "entries"> & { readonly entries: readonly LogEntry[]; };
export interface AppendAnswer {
    readonly term: number;
    readonly success: boolean;
    /** On success, the last index known to match; otherwise the index the leader should try next. */
    readonly index: number;
    /** Whether the replica may vote; false until it has recovered from the loss of its disk. */
    readonly isMember: boolean;
}

const snapshotSchema = z.object({
    term: nonNegativeInt,
    leader: replicaName,
    lastIndex: nonNegativeInt,
    lastTerm: nonNegativeInt,
    /** Position of `piece` in the serialized snapshot, in characters. */
    offset: nonNegativeInt,
    piece: z.string(),
    done: z.boolean(),
    replicas: z.array(replicaSchema).max(MAX_REPLICAS).optional(),
});
export type SnapshotParams = z.infer<typeof snapshotSchema>;

/** The result of a proposal and the index of its entry. */
export interface ProposeAnswer {
    readonly index: number;
    readonly result: ApplyResult;
}

export const preVoteMethod = createPeerMethod<VoteParams, VoteAnswer>("log.preVote", voteSchema);
export const voteMethod = createPeerMethod<VoteParams, VoteAnswer>("log.vote", voteSchema);
export const appendMethod = createPeerMethod<AppendParams, AppendAnswer>(
    "log.append",
    appendSchema as unknown as z.ZodType<AppendParams>,
);
export const snapshotMethod = createPeerMethod<SnapshotParams, AppendAnswer>("log.snapshot", snapshotSchema);
export const proposeMethod = createPeerMethod<{ command: Command; }, ProposeAnswer>(
    "log.propose",
    z.object({ command: commandSchema }),
);
/** Asks a leader to confirm its leadership with a majority; `exclude` names a replica whose answers don't count. */
export const readIndexMethod = createPeerMethod<{ exclude?: string | undefined; }, { index: number; term: number; }>(
    "log.readIndex",
    z.object({ exclude: replicaName.optional() }),
);

/** Answer to a replica with an empty disk that checks whether the whole deployment is new. */
export interface ReplicaState {
    readonly term: number;
    readonly lastIndex: number;
}
export const replicaStateMethod = createPeerMethod<Record<string, unknown>, ReplicaState>(
    "log.replicaState",
    z.object({}),
);

/**
 * Asks a replica how long ago it appended the entry with this index and term. `ms` is omitted if unknown. `isMeasured`: the
 * answering process appended the entry itself and measured its age on the monotonic clock.
 */
export const entryAgeMethod = createPeerMethod<
    { index: number; term: number; },
    { ms?: number | undefined; isMeasured?: boolean; }
>(
    "log.entryAge",
    z.object({ index: z.int().min(0), term: z.int().min(0) }),
);

const replicaAddress = z.object({ name: z.string().min(1).max(128), address: z.string().min(3).max(128) });

/** Requests that a controller be added to the replica set. Any controller accepts it and forwards it to the leader. */
export const joinMethod = createPeerMethod<ReplicaAddress, { isReplica: boolean; }>("log.join", replicaAddress);

/** Announces that a controller stops, so that its vote may be withdrawn. Any controller forwards it to the leader. */
export const leaveMethod = createPeerMethod<ReplicaAddress, { isVoter: boolean; }>("log.leave", replicaAddress);

/** The messages of the replicated log, after Raft (Ongaro and Ousterhout 2014) with pre-vote and leader check. */
import * as z from "zod";
import { type Command, commandSchema, type LogEntry, replicaSchema } from "../domain/commands.js";
import { type ApplyResult } from "../domain/declaredState.js";
import { createPeerMethod } from "../ports/peer.js";

const count = z.int().min(0);
const replica = z.string().max(128);

const voteSchema = z.object({ term: count, candidate: replica, lastIndex: count, lastTerm: count });
export type VoteParams = z.infer<typeof voteSchema>;
export interface VoteAnswer {
    readonly term: number;
    readonly granted: boolean;
}

const entrySchema = z.object({ index: count, term: count, at: z.number(), command: commandSchema });
const appendSchema = z.object({
    term: count,
    leader: replica,
    previousIndex: count,
    previousTerm: count,
    entries: z.array(entrySchema).max(4096),
    commitIndex: count,
});
export type AppendParams = Omit<z.infer<typeof appendSchema>, "entries"> & { readonly entries: readonly LogEntry[]; };
export interface AppendAnswer {
    readonly term: number;
    readonly success: boolean;
    /** On success the last index known to match; otherwise where the leader should try next. */
    readonly index: number;
    /** Whether the replica may vote; false while it has yet to recover what its disk lost. */
    readonly isMember: boolean;
}

const snapshotSchema = z.object({
    term: count,
    leader: replica,
    lastIndex: count,
    lastTerm: count,
    /** Position of `piece` in the snapshot's text. */
    offset: count,
    piece: z.string(),
    done: z.boolean(),
    replicas: z.array(replicaSchema).max(64).optional(),
});
export type SnapshotParams = z.infer<typeof snapshotSchema>;

/** What a proposal came to, and the index of its entry. */
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
/** Asks a leader to confirm itself; `exclude` names a replica whose word may not count. */
export const readIndexMethod = createPeerMethod<{ exclude?: string | undefined; }, { index: number; term: number; }>(
    "log.readIndex",
    z.object({ exclude: replica.optional() }),
);

/** What a replica has, for one that finds its own disk empty. */
export interface ReplicaState {
    readonly term: number;
    readonly lastIndex: number;
}
export const replicaStateMethod = createPeerMethod<Record<string, unknown>, ReplicaState>(
    "log.replicaState",
    z.object({}),
);

/**
 * Since when a replica has the entry of a term at an index, in milliseconds; `ms` is left out where it cannot say.
 * `isMeasured`: the process that says so took it itself.
 */
export const entryAgeMethod = createPeerMethod<
    { index: number; term: number; },
    { ms?: number | undefined; isMeasured?: boolean; }
>(
    "log.entryAge",
    z.object({ index: z.int().min(0), term: z.int().min(0) }),
);

/** A controller asks to be added to the replicas. Any controller takes it; the leader does it. */
export const joinMethod = createPeerMethod<{ name: string; address: string; }, { isReplica: boolean; }>(
    "log.join",
    z.object({ name: z.string().min(1).max(128), address: z.string().min(3).max(128) }),
);

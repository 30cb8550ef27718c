/** RPC methods of a sidecar: runs, the request index, closing of grants, copies of top-ups, engine orders. */
import * as z from "zod";
import type { UsageRecord } from "../domain/billStore.js";
import type { Refusal } from "../domain/resultCodes.js";
import { createPeerMethod } from "../ports/peer.js";

const requestId = z.string().max(300);
const runId = z.string().max(320);
const tokens = z.int().min(0);
/** Chosen by the router for each answer it receives; chunks and ends carry it. */
const listenerId = z.string().max(64);

/** Parameters of a run requested by a router. */
export const startRunSchema = z.object({
    requestId,
    runId,
    listener: listenerId,
    /** Digest of the body, to reject a different body with the same id. */
    digest: z.string().max(64),
    account: z.string().max(63),
    service: z.string().max(63),
    upstream: z.string().max(63),
    budget: z.string().max(63),
    grant: z.string().max(256),
    /** Tokens reserved for the prompt and for the output. */
    promptBound: tokens,
    outputCap: tokens,
    /** Lower ranks run first. */
    rank: z.int().min(0).max(9),
    keptShare: z.number().min(0).max(1),
    ageingMs: z.number().min(1),
    /** Time until the caller stops waiting, in milliseconds. */
    deadlineMs: z.number().min(0),
    /** Whether another run of the request may exist that the router does not know of. */
    uncertain: z.boolean(),
    /** Whether the answer is retained after the end for a caller that reconnects. */
    keep: z.boolean(),
    /** Whether the run is cancelled if the connection to the router is lost. */
    cancelWhenLost: z.boolean(),
    request: z.discriminatedUnion("type", [
        z.object({
            type: z.literal("chat"),
            body: z.record(z.string(), z.unknown()),
            /** Number of chunks that the caller already has from an earlier run, and their text. */
            resumeFrom: tokens,
            resumeText: z.string(),
        }),
        z.object({
            type: z.literal("plain"),
            method: z.string().max(16),
            path: z.string().max(4096),
            headers: z.record(z.string(), z.string()),
            /** Encoded in base64. */
            body: z.string(),
        }),
    ]),
});
export type StartRunParams = z.infer<typeof startRunSchema>;

/** Load of a sidecar, returned when it accepts or refuses a run, so that routers need not poll it. */
export interface SidecarLoad {
    readonly running: number;
    readonly queued: number;
    /** Estimated wait of a new run, in milliseconds. */
    readonly waitMs: number;
}
export interface StartRunAnswer {
    readonly load: SidecarLoad;
}
/** Accepts a run, or refuses it with `ran` "no". The chunks follow as notifications. */
export const startRunMethod = createPeerMethod<StartRunParams, StartRunAnswer>("run.start", startRunSchema);

const attachSchema = z.object({ requestId, listener: listenerId, digest: z.string().max(64), from: tokens });
export interface AttachAnswer {
    readonly runId: string;
}
/** Attaches to a run started by another router, from chunk `from` on. */
export const attachRunMethod = createPeerMethod<z.infer<typeof attachSchema>, AttachAnswer>("run.attach", attachSchema);

/** A piece of an answer. Chat: the delta of the choice. Plain call: first status and headers, then parts of the body. */
export type AnswerPiece =
    | { readonly delta: Record<string, unknown>; readonly finish?: string | undefined; }
    | { readonly status: number; readonly headers: Record<string, string>; }
    | { readonly data: string; };

/** The next pieces of an answer. */
export interface RunChunk {
    readonly listener: string;
    readonly runId: string;
    /** Position of the first piece within the answer. */
    readonly position: number;
    readonly pieces: AnswerPiece[];
    /** Prompt tokens as counted by the engine, once known. */
    readonly promptTokens?: number | undefined;
}

/** Hand-written for speed: there can be a chunk per token, and a generic schema is too slow for that. */
const chunkSchema = z.custom<RunChunk>(value => {
    const chunk = value as Partial<RunChunk> | undefined;
    return typeof chunk?.listener === "string"
        && typeof chunk.runId === "string"
        && Number.isSafeInteger(chunk.position)
        && (chunk.promptTokens === undefined || Number.isSafeInteger(chunk.promptTokens))
        && Array.isArray(chunk.pieces)
        && chunk.pieces.every(isAnswerPiece);
});

function isAnswerPiece(piece: unknown): boolean {
    const fields = piece as { delta?: unknown; data?: unknown; status?: unknown; headers?: unknown; } | undefined;
    return (typeof fields?.delta === "object" && Boolean(fields.delta))
        || typeof fields?.data === "string"
        || (Number.isSafeInteger(fields?.status) && typeof fields?.headers === "object" && Boolean(fields.headers));
}
export const runChunkMethod = createPeerMethod<RunChunk, void>("run.chunk", chunkSchema);

const endSchema = z.object({
    listener: listenerId,
    runId,
    /** Position after the last piece. */
    position: tokens,
    promptTokens: tokens,
    outputTokens: tokens,
    refusal: z.object({
        code: z.string(),
        ran: z.enum(["no", "unknown", "yes"]),
        detail: z.string().optional(),
        retryAfterMs: z.number().optional(),
    }).optional(),
    waitedMs: z.number(),
});
/** The end of a run. `refusal` is set if the answer is incomplete. */
export interface RunEnd {
    readonly listener: string;
    readonly runId: string;
    readonly position: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly refusal?: Refusal | undefined;
    /** Time in the sidecar's queue, in milliseconds. */
    readonly waitedMs: number;
}
export const runEndMethod = createPeerMethod<RunEnd, void>("run.end", endSchema as unknown as z.ZodType<RunEnd>);

/** Flow control: the router has forwarded all pieces before `position`, so the sidecar may continue reading. */
const ackSchema = z.object({ runId, listener: listenerId, position: tokens });
export const runAckMethod = createPeerMethod<z.infer<typeof ackSchema>, void>("run.ack", ackSchema);

export const cancelRunMethod = createPeerMethod<{ runId: string; }, void>("run.cancel", z.object({ runId }));

const claimSchema = z.object({
    requestId,
    digest: z.string().max(64),
    owner: z.string().max(200),
});
/** State of a request in the index. */
export type ClaimAnswer =
    | { readonly type: "claimed"; }
    | { readonly type: "pending"; readonly digest: string; }
    | { readonly type: "dispatched"; readonly digest: string; readonly sidecar: string; };
/** Claims a request for a router, or returns its state if it is already claimed. */
export const claimMethod = createPeerMethod<z.infer<typeof claimSchema>, ClaimAnswer>("index.claim", claimSchema);

const placeSchema = claimSchema.extend({ sidecar: z.string().max(128) });
/** Records the sidecar to which a claimed request is about to be dispatched. */
export const placeMethod = createPeerMethod<z.infer<typeof placeSchema>, void>("index.place", placeSchema);
/** Releases a claim under which nothing ran. */
export const unclaimMethod = createPeerMethod<z.infer<typeof claimSchema>, void>("index.unclaim", claimSchema);

/** Rejects further runs under the grants and returns what is still pending under them. */
const closeGrantSchema = z.object({ grants: z.array(z.string().max(256)).max(1000) });
export interface CloseGrantAnswer {
    readonly box: string;
    readonly incarnation: string;
    /** Grants with unfinished runs. */
    readonly active: readonly string[];
    /** Usage records under these grants that no ledger has acknowledged. */
    readonly records: readonly UsageRecord[];
}
export const closeGrantMethod = createPeerMethod<z.infer<typeof closeGrantSchema>, CloseGrantAnswer>(
    "grant.close",
    closeGrantSchema,
);

const witnessSchema = z.object({
    ledger: z.string().max(128),
    operationId: z.string().max(128),
    operator: z.string().max(128),
    budget: z.string().max(63),
    tokens,
});
export type WitnessedTopUp = z.infer<typeof witnessSchema>;
/** Stores a copy of a top-up in memory until it is in the log. */
export const holdWitnessMethod = createPeerMethod<WitnessedTopUp, void>("witness.hold", witnessSchema);
export const listWitnessMethod = createPeerMethod<{ controller: string; }, { topUps: WitnessedTopUp[]; }>(
    "witness.list",
    z.object({ controller: z.string() }),
);

const orderSchema = z.object({
    upstream: z.string().max(63),
    /** The model to serve. */
    model: z.string().max(200),
    /** Term of the leader that issues the order, and the revision that it implements. */
    term: z.int().min(0),
    revision: z.int().min(0),
});
export type EngineOrder = z.infer<typeof orderSchema>;
/** Sends an order to an engine, unless one with a higher term or revision has been seen. */
export const orderMethod = createPeerMethod<EngineOrder, void>("order.give", orderSchema);

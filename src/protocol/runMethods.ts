/** How routers speak with sidecars: runs, the request index, closed grants, witnesses of top-ups, orders. */
import * as z from "zod";
import type { UsageRecord } from "../domain/billStore.js";
import type { Refusal } from "../domain/resultCodes.js";
import { createPeerMethod } from "../ports/peer.js";

const requestId = z.string().max(300);
const runId = z.string().max(320);
const tokens = z.int().min(0);
/** Chosen by the router for each answer it listens to; chunks and ends are addressed by it. */
const listenerId = z.string().max(64);

/** A run as a router asks for it. */
export const startRunSchema = z.object({
    requestId,
    runId,
    listener: listenerId,
    /** Digest of the body, to refuse another body under the same id. */
    digest: z.string().max(64),
    account: z.string().max(63),
    service: z.string().max(63),
    upstream: z.string().max(63),
    budget: z.string().max(63),
    grant: z.string().max(256),
    /** Tokens reserved for the prompt and for the output. */
    promptBound: tokens,
    outputCap: tokens,
    /** Lower goes first. */
    rank: z.int().min(0).max(9),
    keptShare: z.number().min(0).max(1),
    ageingMs: z.number().min(1),
    /** Milliseconds from now after which nobody waits for the answer. */
    deadlineMs: z.number().min(0),
    /** Whether another run of the request may exist that the router could not know of. */
    uncertain: z.boolean(),
    /** Whether the answer is kept after the end for a caller that comes back. */
    keep: z.boolean(),
    /** Whether a loss of the router's connection ends the run. */
    cancelWhenLost: z.boolean(),
    request: z.discriminatedUnion("type", [
        z.object({
            type: z.literal("chat"),
            body: z.record(z.string(), z.unknown()),
            /** Chunks the caller has had already from an earlier run, and their text. */
            resumeFrom: tokens,
            resumeText: z.string(),
        }),
        z.object({
            type: z.literal("plain"),
            method: z.string().max(16),
            path: z.string().max(4096),
            headers: z.record(z.string(), z.string()),
            /** Base64. */
            body: z.string(),
        }),
    ]),
});
export type StartRunParams = z.infer<typeof startRunSchema>;

/** How the sidecar stands as it takes or refuses a run, so that routers know of its load without asking. */
export interface SidecarLoad {
    readonly running: number;
    readonly queued: number;
    /** Estimated wait of a new run, in milliseconds. */
    readonly waitMs: number;
}
export interface StartRunAnswer {
    readonly load: SidecarLoad;
}
/** Takes a run in, or refuses with `ran` "no". The chunks follow as notifications. */
export const startRunMethod = createPeerMethod<StartRunParams, StartRunAnswer>("run.start", startRunSchema);

const attachSchema = z.object({ requestId, listener: listenerId, digest: z.string().max(64), from: tokens });
export interface AttachAnswer {
    readonly runId: string;
}
/** Joins a run that another router began, from chunk `from` on. */
export const attachRunMethod = createPeerMethod<z.infer<typeof attachSchema>, AttachAnswer>("run.attach", attachSchema);

/** One piece of an answer. For a chat: the choice's delta. For a plain call: status and headers first, then body pieces. */
export type AnswerPiece =
    | { readonly delta: Record<string, unknown>; readonly finish?: string | undefined; }
    | { readonly status: number; readonly headers: Record<string, string>; }
    | { readonly data: string; };

/** The next pieces of an answer. */
export interface RunChunk {
    readonly listener: string;
    readonly runId: string;
    /** Position of the first piece in the whole answer. */
    readonly position: number;
    readonly pieces: AnswerPiece[];
    /** The engine's own count of the prompt, once it has told it. Tokens. */
    readonly promptTokens?: number | undefined;
}

/** Checked by hand: there is a chunk for each token, and the general check took a tenth of a router's time. */
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
    const known = piece as { delta?: unknown; data?: unknown; status?: unknown; headers?: unknown; } | undefined;
    return (typeof known?.delta === "object" && Boolean(known.delta))
        || typeof known?.data === "string"
        || (Number.isSafeInteger(known?.status) && typeof known?.headers === "object" && Boolean(known.headers));
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
/** The end of a run; `refusal` where its answer is not whole. */
export interface RunEnd {
    readonly listener: string;
    readonly runId: string;
    readonly position: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly refusal?: Refusal | undefined;
    /** Milliseconds it waited in the sidecar's queue. */
    readonly waitedMs: number;
}
export const runEndMethod = createPeerMethod<RunEnd, void>("run.end", endSchema as unknown as z.ZodType<RunEnd>);

/** The router has passed everything before `position` on; the sidecar may read on. */
const ackSchema = z.object({ runId, listener: listenerId, position: tokens });
export const runAckMethod = createPeerMethod<z.infer<typeof ackSchema>, void>("run.ack", ackSchema);

export const cancelRunMethod = createPeerMethod<{ runId: string; }, void>("run.cancel", z.object({ runId }));

const claimSchema = z.object({
    requestId,
    digest: z.string().max(64),
    owner: z.string().max(200),
});
/** Where a request stands according to the index. */
export type ClaimAnswer =
    | { readonly type: "claimed"; }
    | { readonly type: "pending"; readonly digest: string; }
    | { readonly type: "dispatched"; readonly digest: string; readonly sidecar: string; };
/** Claims a request for one router, or tells who has it. */
export const claimMethod = createPeerMethod<z.infer<typeof claimSchema>, ClaimAnswer>("index.claim", claimSchema);

const placeSchema = claimSchema.extend({ sidecar: z.string().max(128) });
/** Says at which sidecar a claimed request is about to run. */
export const placeMethod = createPeerMethod<z.infer<typeof placeSchema>, void>("index.place", placeSchema);
/** Gives a claim up, because nothing ran. */
export const unclaimMethod = createPeerMethod<z.infer<typeof claimSchema>, void>("index.unclaim", claimSchema);

/** Refuses further runs under grants, and tells what is still to come from them. */
const closeGrantSchema = z.object({ grants: z.array(z.string().max(256)).max(1000) });
export interface CloseGrantAnswer {
    readonly box: string;
    readonly incarnation: string;
    /** Grants with runs that have not ended. */
    readonly active: readonly string[];
    /** Usage records under these grants that no ledger has acknowledged yet. */
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
/** Holds a copy of a top-up in memory until the log has it. */
export const holdWitnessMethod = createPeerMethod<WitnessedTopUp, void>("witness.hold", witnessSchema);
export const listWitnessMethod = createPeerMethod<{ controller: string; }, { topUps: WitnessedTopUp[]; }>(
    "witness.list",
    z.object({ controller: z.string() }),
);

const orderSchema = z.object({
    upstream: z.string().max(63),
    /** The wanted model. */
    model: z.string().max(200),
    /** Term of the leader that gives the order, and the revision it carries out. */
    term: z.int().min(0),
    revision: z.int().min(0),
});
export type EngineOrder = z.infer<typeof orderSchema>;
/** Gives an engine an order, unless one of a higher term or revision has been seen. */
export const orderMethod = createPeerMethod<EngineOrder, void>("order.give", orderSchema);

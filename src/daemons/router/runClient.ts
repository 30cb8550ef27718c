/** Client of runs at sidecars: starts or joins runs, and dispatches their chunks to the streams that read them. */
import { createRandomId } from "../../domain/identifiers.js";
import { createRefusal, RefusalError } from "../../domain/resultCodes.js";
import type { Peer, PeerHandlers, PeerNetwork } from "../../ports/peer.js";
import {
    type AnswerPiece,
    attachRunMethod,
    cancelRunMethod,
    runAckMethod,
    type RunChunk,
    runChunkMethod,
    type RunEnd,
    runEndMethod,
    type SidecarLoad,
    startRunMethod,
    type StartRunParams,
} from "../../protocol/runMethods.js";

const START_TIMEOUT_MS = 2_000;
const ATTACH_TIMEOUT_MS = 1_000;
/** Pieces between acknowledgements to the sidecar. */
const ACK_INTERVAL_PIECES = 32;

type StreamItem = { readonly type: "chunk"; readonly chunk: RunChunk; } | {
    readonly type: "end";
    readonly end: RunEnd;
};

/** The next pieces of an answer, or its end. */
export type RunEvent =
    | { readonly type: "pieces"; readonly pieces: readonly AnswerPiece[]; readonly promptTokens: number | undefined; }
    | { readonly type: "end"; readonly end: RunEnd; };

/** The answer of a run as a stream of events. */
export class RunStream {
    private readonly items: StreamItem[] = [];
    private wakeReader: (() => void) | undefined;
    private isDisconnected = false;
    private ackedPosition: number;
    runId = "";

    constructor(
        readonly listener: string,
        private readonly peer: Peer,
        private position: number,
        private readonly unregister: () => void,
    ) {
        this.ackedPosition = position;
    }

    /** Returns the position after the last piece returned by `next`. */
    getPosition(): number {
        return this.position;
    }

    /** Returns the next event. Rejects with peerGone if the connection is lost, with peerMalformed if pieces are missing. */
    async next(): Promise<RunEvent> {
        while (this.items.length === 0) {
            if (this.isDisconnected) {
                throw new RefusalError(createRefusal("peerGone", "connection to the sidecar lost", "unknown"));
            }
            await new Promise<void>(resolve => {
                this.wakeReader = resolve;
            });
        }
        const item = this.items.shift()!;
        return item.type === "end" ? this.readEnd(item.end) : this.readChunk(item.chunk);
    }

    /** Acknowledges the pieces that `next` has returned so far, at most once per ACK_INTERVAL_PIECES. */
    acknowledge(): void {
        if (this.position - this.ackedPosition >= ACK_INTERVAL_PIECES) {
            this.ackedPosition = this.position;
            this.peer.notify(runAckMethod, { runId: this.runId, listener: this.listener, position: this.position });
        }
    }

    cancel(): void {
        this.peer.notify(cancelRunMethod, { runId: this.runId });
    }

    enqueue(item: StreamItem): void {
        this.items.push(item);
        this.wakeReader?.();
    }

    handleDisconnect(): void {
        this.isDisconnected = true;
        this.wakeReader?.();
    }

    private readEnd(end: RunEnd): RunEvent {
        this.unregister();
        if (end.refusal === undefined && end.position !== this.position) {
            throw new RefusalError(
                createRefusal(
                    "peerMalformed",
                    `answer ends at piece ${end.position}, expected ${this.position}`,
                    "unknown",
                ),
            );
        }
        return { type: "end", end };
    }

    /** Checks that a chunk belongs to this run and leaves no gap, and returns the pieces that are new. */
    private readChunk(chunk: RunChunk): RunEvent {
        if (chunk.runId !== this.runId || chunk.position > this.position) {
            throw new RefusalError(
                createRefusal(
                    "peerMalformed",
                    `chunk at piece ${chunk.position} of run ${chunk.runId} is out of order`,
                    "unknown",
                ),
            );
        }
        const pieces = chunk.pieces.slice(this.position - chunk.position);
        this.position += pieces.length;
        return { type: "pieces", pieces, promptTokens: chunk.promptTokens };
    }
}

export class RunClient {
    private readonly streams = new Map<string, RunStream>();

    constructor(private readonly network: PeerNetwork) {}

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(runChunkMethod, chunk => {
            this.streams.get(chunk.listener)?.enqueue({ type: "chunk", chunk });
        });
        handlers.add(runEndMethod, end => {
            this.streams.get(end.listener)?.enqueue({ type: "end", end });
        });
    }

    /**
     * Starts a run. `checkBeforeSend` is called once connected, immediately before the run is sent. Rejects with `ran` "no"
     * only if the sidecar has not accepted the run.
     */
    async start(
        address: string,
        params: Omit<StartRunParams, "listener">,
        checkBeforeSend: () => void,
    ): Promise<{ stream: RunStream; load: SidecarLoad; }> {
        const peer = await this.network.connect(address);
        checkBeforeSend();
        const from = params.request.type === "chat" ? params.request.resumeFrom : 0;
        const stream = this.createStream(peer, from);
        stream.runId = params.runId;
        try {
            const answer = await peer.call(startRunMethod, { ...params, listener: stream.listener }, START_TIMEOUT_MS);
            return { stream, load: answer.load };
        }
        catch (error) {
            this.streams.delete(stream.listener);
            throw error;
        }
    }

    /** Joins a run that is in progress, or has ended and is retained, from piece `from` on. */
    async attach(address: string, requestId: string, digest: string, from: number): Promise<RunStream> {
        const peer = await this.network.connect(address);
        const stream = this.createStream(peer, from);
        try {
            const params = { requestId, listener: stream.listener, digest, from };
            stream.runId = (await peer.call(attachRunMethod, params, ATTACH_TIMEOUT_MS)).runId;
            return stream;
        }
        catch (error) {
            this.streams.delete(stream.listener);
            throw error;
        }
    }

    private createStream(peer: Peer, from: number): RunStream {
        const listener = createRandomId();
        const removeCloseHandler = peer.onClose(() => stream.handleDisconnect());
        const stream = new RunStream(listener, peer, from, () => {
            this.streams.delete(listener);
            removeCloseHandler();
        });
        this.streams.set(listener, stream);
        return stream;
    }
}

/** A router's side of runs: starts or joins them at sidecars, and sorts what comes back to whoever listens. */
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
/** Pieces after which the sidecar is told how far the caller has read. */
const ACK_EVERY = 32;

type StreamItem = { readonly type: "chunk"; readonly chunk: RunChunk; } | {
    readonly type: "end";
    readonly end: RunEnd;
};

/** What a listener gets: the next pieces of the answer, or its end. */
export type RunEvent =
    | { readonly type: "pieces"; readonly pieces: readonly AnswerPiece[]; readonly promptTokens: number | undefined; }
    | { readonly type: "end"; readonly end: RunEnd; };

/** One answer as it arrives. */
export class RunStream {
    private readonly items: StreamItem[] = [];
    private wake: (() => void) | undefined;
    private lost = false;
    private ackedPosition: number;
    runId = "";

    constructor(
        readonly listener: string,
        private readonly peer: Peer,
        private position: number,
        private readonly forget: () => void,
    ) {
        this.ackedPosition = position;
    }

    /** Position up to which the answer has been handed over. */
    getPosition(): number {
        return this.position;
    }

    /** The next event. Rejects with peerGone when the connection is lost, and where pieces are missing. */
    async next(): Promise<RunEvent> {
        while (this.items.length === 0) {
            if (this.lost) {
                throw new RefusalError(createRefusal("peerGone", "the sidecar was lost", "unknown"));
            }
            await new Promise<void>(resolve => {
                this.wake = resolve;
            });
        }
        const item = this.items.shift()!;
        return item.type === "end" ? this.takeEnd(item.end) : this.takeChunk(item.chunk);
    }

    /** Tells the sidecar that everything handed over so far has been passed on. */
    acknowledge(): void {
        if (this.position - this.ackedPosition >= ACK_EVERY) {
            this.ackedPosition = this.position;
            this.peer.notify(runAckMethod, { runId: this.runId, listener: this.listener, position: this.position });
        }
    }

    cancel(): void {
        this.peer.notify(cancelRunMethod, { runId: this.runId });
    }

    add(item: StreamItem): void {
        this.items.push(item);
        this.wake?.();
    }

    lose(): void {
        this.lost = true;
        this.wake?.();
    }

    private takeEnd(end: RunEnd): RunEvent {
        this.forget();
        if (end.refusal === undefined && end.position !== this.position) {
            throw new RefusalError(
                createRefusal("peerMalformed", `the answer ends at ${end.position}, not ${this.position}`, "unknown"),
            );
        }
        return { type: "end", end };
    }

    /** An answer never mixes runs and never has a hole: a chunk must be of this run, and begin where the last ended. */
    private takeChunk(chunk: RunChunk): RunEvent {
        if (chunk.runId !== this.runId || chunk.position > this.position) {
            throw new RefusalError(
                createRefusal("peerMalformed", `piece ${chunk.position} of ${chunk.runId} out of order`, "unknown"),
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
            this.streams.get(chunk.listener)?.add({ type: "chunk", chunk });
        });
        handlers.add(runEndMethod, end => {
            this.streams.get(end.listener)?.add({ type: "end", end });
        });
    }

    /**
     * Starts a run. `checkBeforeSend` is called once a connection stands, right before the run is sent. Rejects with
     * `ran` "no" only where the run was certainly not taken in.
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

    /** Joins a run that is going on, or has ended and is kept, from piece `from` on. */
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
        const stopWatching = peer.onClose(() => stream.lose());
        const stream = new RunStream(listener, peer, from, () => {
            this.streams.delete(listener);
            stopWatching();
        });
        this.streams.set(listener, stream);
        return stream;
    }
}

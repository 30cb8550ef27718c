/** One run at a sidecar: its answer so far, who listens to it, and how far each listener has read. */
import { ConditionVariable } from "../../consensus/conditionVariable.js";
import { createRefusal, type Refusal } from "../../domain/resultCodes.js";
import type { Peer } from "../../ports/peer.js";
import type { UpstreamEvent } from "../../ports/upstream.js";
import {
    type AnswerPiece,
    runChunkMethod,
    type RunEnd,
    runEndMethod,
    type StartRunParams,
} from "../../protocol/runMethods.js";

/** Pieces a listener may lie behind before the engine's stream is held up. */
export const READ_AHEAD_PIECES = 256;

interface Listener {
    readonly peer: Peer;
    readonly id: string;
    /** Takes back the handler that watches for the peer's loss. */
    stopWatching: () => void;
    /** Position up to which the listener has passed the answer on. */
    acked: number;
}

export class Run {
    /** The pieces from `firstKept` on. */
    private pieces: AnswerPiece[] = [];
    private firstKept: number;
    private position: number;
    private keptBytes = 0;
    private readonly listeners = new Set<Listener>();
    private readonly changed = new ConditionVariable();
    private end: Omit<RunEnd, "listener"> | undefined;
    private promptTokens: number | undefined;
    private outputTokens = 0;
    private exactOutput: number | undefined;
    readonly abort = new AbortController();
    /** Why the run was cancelled, where it was. */
    cancelledBy: Refusal | undefined;
    /** Monotonic clock, milliseconds. */
    endedAt: number | undefined;

    constructor(readonly params: StartRunParams, readonly enqueuedAt: number) {
        this.position = params.request.type === "chat" ? params.request.resumeFrom : 0;
        this.firstKept = this.position;
    }

    isEnded(): boolean {
        return this.end !== undefined;
    }

    /** Whether the answer can still be had from `position` on. */
    hasFrom(position: number): boolean {
        return position >= this.firstKept;
    }

    getKeptBytes(): number {
        return this.keptBytes;
    }

    hasListeners(): boolean {
        return this.listeners.size > 0;
    }

    /** Adds a listener and sends it what there is from `from` on. */
    addListener(peer: Peer, id: string, from: number): void {
        const listener: Listener = { peer, id, acked: from, stopWatching: () => undefined };
        this.listeners.add(listener);
        const pieces = this.pieces.slice(from - this.firstKept);
        if (pieces.length > 0) {
            this.sendChunk(listener, from, pieces);
        }
        if (this.end !== undefined) {
            peer.notify(runEndMethod, { ...this.end, listener: id });
            return;
        }
        listener.stopWatching = peer.onClose(() => this.loseListener(listener));
    }

    /** A listener's connection is gone. A run that nobody can come back for ends with its last one. */
    private loseListener(listener: Listener): void {
        this.listeners.delete(listener);
        if (this.params.cancelWhenLost && this.listeners.size === 0) {
            this.cancel();
        }
        this.changed.notifyAll();
    }

    recordAck(peer: Peer, id: string, position: number): void {
        for (const listener of this.listeners) {
            if (listener.peer === peer && listener.id === id) {
                listener.acked = Math.max(listener.acked, position);
            }
        }
        this.dropRead();
        this.changed.notifyAll();
    }

    /** Adds what came from the upstream and passes it on. */
    addEvent(event: UpstreamEvent): void {
        this.promptTokens = event.promptTokens ?? this.promptTokens;
        this.exactOutput = event.outputTokens ?? this.exactOutput;
        if (event.pieces.length === 0) {
            return;
        }
        const from = this.position;
        for (const piece of event.pieces) {
            this.pieces.push(piece);
            this.keptBytes += getPieceBytes(piece);
            this.outputTokens += isToken(piece) ? 1 : 0;
        }
        this.position += event.pieces.length;
        for (const listener of this.listeners) {
            this.sendChunk(listener, from, event.pieces);
        }
        this.dropRead();
    }

    /** Waits until the slowest listener has read on. Answers false when none has for `stallMs`. */
    async waitReadable(stallMs: number): Promise<boolean> {
        while (this.isFarAhead() && !this.abort.signal.aborted) {
            const acked = this.getSlowestAck();
            await this.changed.wait(stallMs);
            if (this.isFarAhead() && this.getSlowestAck() === acked) {
                return false;
            }
        }
        return true;
    }

    /** Output tokens: the engine's count where it gave one, else one for each piece with text. */
    getOutputTokens(): number {
        return this.exactOutput ?? this.outputTokens;
    }

    /** The engine's count of the prompt, if it has told it. */
    tryGetPromptTokens(): number | undefined {
        return this.promptTokens;
    }

    /** Ends the run and tells its listeners. */
    finish(
        consumed: { promptTokens: number; outputTokens: number; },
        waitedMs: number,
        now: number,
        refusal?: Refusal,
    ): void {
        this.end = {
            runId: this.params.runId,
            position: this.position,
            ...consumed,
            waitedMs: Math.round(waitedMs),
            ...(refusal === undefined ? {} : { refusal }),
        };
        this.endedAt = now;
        for (const listener of this.listeners) {
            listener.stopWatching();
            listener.peer.notify(runEndMethod, { ...this.end, listener: listener.id });
        }
        this.changed.notifyAll();
    }

    cancel(reason: Refusal = createRefusal("runCancelled", undefined, "yes")): void {
        if (this.end === undefined && this.cancelledBy === undefined) {
            this.cancelledBy = reason;
            this.abort.abort();
            this.changed.notifyAll();
        }
    }

    private sendChunk(listener: Listener, position: number, pieces: AnswerPiece[]): void {
        const prompt = this.promptTokens === undefined ? {} : { promptTokens: this.promptTokens };
        listener.peer.notify(runChunkMethod, {
            listener: listener.id,
            runId: this.params.runId,
            position,
            pieces,
            ...prompt,
        });
    }

    /** Drops what every listener has had, unless the answer is kept for callers that come back. */
    private dropRead(): void {
        if (this.params.keep || this.listeners.size === 0) {
            return;
        }
        const read = Math.min(this.getSlowestAck(), this.position) - this.firstKept;
        if (read > 0) {
            const dropped = this.pieces.splice(0, read);
            dropped.forEach(piece => this.keptBytes -= getPieceBytes(piece));
            this.firstKept += read;
        }
    }

    private isFarAhead(): boolean {
        return this.listeners.size > 0 && this.position - this.getSlowestAck() > READ_AHEAD_PIECES;
    }

    private getSlowestAck(): number {
        let slowest = Infinity;
        this.listeners.forEach(listener => slowest = Math.min(slowest, listener.acked));
        return slowest;
    }
}

function getPieceBytes(piece: AnswerPiece): number {
    if ("data" in piece) {
        return piece.data.length;
    }
    return "delta" in piece ? 48 + String(piece.delta["content"] ?? "").length : 256;
}

/** Whether a piece counts as a token where the engine does not tell its own count. */
function isToken(piece: AnswerPiece): boolean {
    return "delta" in piece && Object.keys(piece.delta).some(key => key !== "role" && piece.delta[key] !== "");
}

/** A run on a sidecar: the buffered answer, its listeners, and the position that each has acknowledged. */
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

/** Pieces the slowest listener may leave unacknowledged before reading from the upstream pauses. */
export const MAX_UNACKED_PIECES = 256;

interface Listener {
    readonly peer: Peer;
    readonly id: string;
    /** Removes the handler for the close of the peer's connection. */
    removeCloseHandler: () => void;
    /** Position up to which the listener has acknowledged the answer. */
    acked: number;
}

export class Run {
    /** The retained pieces; the first is at position `firstRetained`. */
    private pieces: AnswerPiece[] = [];
    private firstRetained: number;
    private position: number;
    private retainedBytes = 0;
    private readonly listeners = new Set<Listener>();
    private readonly changed = new ConditionVariable();
    private end: Omit<RunEnd, "listener"> | undefined;
    private promptTokens: number | undefined;
    private outputTokens = 0;
    private reportedOutputTokens: number | undefined;
    readonly abort = new AbortController();
    /** Undefined unless the run was cancelled. */
    cancelReason: Refusal | undefined;
    /** Monotonic clock, milliseconds. */
    endedAt: number | undefined;

    constructor(readonly params: StartRunParams, readonly enqueuedAt: number) {
        this.position = params.request.type === "chat" ? params.request.resumeFrom : 0;
        this.firstRetained = this.position;
    }

    isEnded(): boolean {
        return this.end !== undefined;
    }

    /** Returns whether the answer is retained from `position` on. */
    isRetainedFrom(position: number): boolean {
        return position >= this.firstRetained;
    }

    getRetainedBytes(): number {
        return this.retainedBytes;
    }

    hasListeners(): boolean {
        return this.listeners.size > 0;
    }

    /** Adds a listener and sends it the retained pieces from `from` on. */
    addListener(peer: Peer, id: string, from: number): void {
        const listener: Listener = { peer, id, acked: from, removeCloseHandler: () => undefined };
        this.listeners.add(listener);
        const pieces = this.pieces.slice(from - this.firstRetained);
        if (pieces.length > 0) {
            this.sendChunk(listener, from, pieces);
        }
        if (this.end !== undefined) {
            peer.notify(runEndMethod, { ...this.end, listener: id });
            return;
        }
        listener.removeCloseHandler = peer.onClose(() => this.handleListenerClosed(listener));
    }

    /** Removes a listener whose connection closed. Cancels the run after the last one if it cannot be reattached to. */
    private handleListenerClosed(listener: Listener): void {
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
        this.evictAcked();
        this.changed.notifyAll();
    }

    /** Buffers an event from the upstream and sends its pieces to the listeners. */
    addEvent(event: UpstreamEvent): void {
        this.promptTokens = event.promptTokens ?? this.promptTokens;
        this.reportedOutputTokens = event.outputTokens ?? this.reportedOutputTokens;
        if (event.pieces.length === 0) {
            return;
        }
        const from = this.position;
        for (const piece of event.pieces) {
            this.pieces.push(piece);
            this.retainedBytes += getPieceBytes(piece);
            this.outputTokens += isToken(piece) ? 1 : 0;
        }
        this.position += event.pieces.length;
        for (const listener of this.listeners) {
            this.sendChunk(listener, from, event.pieces);
        }
        this.evictAcked();
    }

    /**
     * Waits until the slowest listener is within the limit of unacknowledged pieces. Returns false if it makes no progress
     * for `stallMs`.
     */
    async waitForAcks(stallMs: number): Promise<boolean> {
        while (this.exceedsUnackedLimit() && !this.abort.signal.aborted) {
            const acked = this.getLowestAck();
            await this.changed.wait(stallMs);
            if (this.exceedsUnackedLimit() && this.getLowestAck() === acked) {
                return false;
            }
        }
        return true;
    }

    /** Returns the engine's count of output tokens if reported, otherwise the number of pieces with content. */
    getOutputTokens(): number {
        return this.reportedOutputTokens ?? this.outputTokens;
    }

    /** Returns the engine's count of prompt tokens, if reported. */
    tryGetPromptTokens(): number | undefined {
        return this.promptTokens;
    }

    /** Ends the run and notifies its listeners. */
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
            listener.removeCloseHandler();
            listener.peer.notify(runEndMethod, { ...this.end, listener: listener.id });
        }
        this.changed.notifyAll();
    }

    cancel(reason: Refusal = createRefusal("runCancelled", undefined, "yes")): void {
        if (this.end === undefined && this.cancelReason === undefined) {
            this.cancelReason = reason;
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

    /** Evicts pieces that every listener has acknowledged, unless the answer is retained for callers that reconnect. */
    private evictAcked(): void {
        if (this.params.keep || this.listeners.size === 0) {
            return;
        }
        const ackedCount = Math.min(this.getLowestAck(), this.position) - this.firstRetained;
        if (ackedCount > 0) {
            const dropped = this.pieces.splice(0, ackedCount);
            dropped.forEach(piece => this.retainedBytes -= getPieceBytes(piece));
            this.firstRetained += ackedCount;
        }
    }

    private exceedsUnackedLimit(): boolean {
        return this.listeners.size > 0 && this.position - this.getLowestAck() > MAX_UNACKED_PIECES;
    }

    private getLowestAck(): number {
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

/** Returns whether a piece counts as a token if the engine does not report its own count. */
function isToken(piece: AnswerPiece): boolean {
    return "delta" in piece && Object.keys(piece.delta).some(key => key !== "role" && piece.delta[key] !== "");
}

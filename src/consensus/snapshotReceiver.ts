/** Assembles a snapshot from its chunks. */
import type { SnapshotParams } from "./messages.js";

export class SnapshotReceiver {
    private snapshotKey = "";
    private text = "";

    /** Adds a chunk and returns the complete text after the last one. Drops a chunk that is out of order. */
    tryAddChunk(params: SnapshotParams): string | undefined {
        const key = `${params.term}/${params.lastIndex}`;
        if (params.offset === 0) {
            this.snapshotKey = key;
            this.text = "";
        }
        if (key !== this.snapshotKey || params.offset !== this.text.length) {
            return undefined;
        }
        this.text += params.piece;
        return params.done ? this.text : undefined;
    }

    /** Returns whether the chunk passed to the last `tryAddChunk` call was in order. */
    hasAccepted(params: SnapshotParams): boolean {
        return this.snapshotKey === `${params.term}/${params.lastIndex}`
            && this.text.length === params.offset + params.piece.length;
    }
}

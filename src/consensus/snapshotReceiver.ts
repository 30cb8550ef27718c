/** Puts a snapshot together from its pieces. */
import type { SnapshotParams } from "./messages.js";

export class SnapshotReceiver {
    private key = "";
    private text = "";

    /** Takes a piece; answers the whole text with the last one. A piece out of order is dropped. */
    tryAdd(params: SnapshotParams): string | undefined {
        const key = `${params.term}/${params.lastIndex}`;
        if (params.offset === 0) {
            this.key = key;
            this.text = "";
        }
        if (key !== this.key || params.offset !== this.text.length) {
            return undefined;
        }
        this.text += params.piece;
        return params.done ? this.text : undefined;
    }

    /** Whether the piece just given was the one that came next. */
    isExpecting(params: SnapshotParams): boolean {
        return this.key === `${params.term}/${params.lastIndex}`
            && this.text.length === params.offset + params.piece.length;
    }
}

/**
 * Collects the pieces in which a body arrives. A buffer for each piece would cost some hundred bytes, and could keep all that was read from the
 * connection together with it, so that pieces are copied into blocks. All sizes are in bytes.
 */

const MIN_BLOCK_BYTES = 512;
const MAX_BLOCK_BYTES = 65_536;

export class BodyBuffer {
    private blocks: Buffer[] = [];
    private lastBlockUsed = 0;
    private length = 0;
    private heldBytes = 0;

    /** `declaredLength`: of the whole body; undefined if it is not known. */
    constructor(private readonly declaredLength: number | undefined) {}

    /** Returns the length of what has been appended. */
    getLength(): number {
        return this.length;
    }

    /** Returns the size of all blocks: at most twice the length of what has been appended, above `MIN_BLOCK_BYTES`. */
    getHeldBytes(): number {
        return this.heldBytes;
    }

    /** Copies a piece. */
    append(piece: Buffer): void {
        let rest = piece;
        while (rest.length > 0) {
            const block = this.blocks.at(-1);
            const isFull = block === undefined || this.lastBlockUsed === block.length;
            const target = isFull ? this.addBlock(rest.length) : block;
            const copied = rest.copy(target, this.lastBlockUsed);
            this.lastBlockUsed += copied;
            this.length += copied;
            rest = rest.subarray(copied);
        }
    }

    /** Returns the whole body, and keeps nothing. */
    take(): Buffer {
        const { blocks, lastBlockUsed } = this;
        this.clear();
        if (blocks.length === 0) {
            return Buffer.alloc(0);
        }
        const last = blocks.pop()!.subarray(0, lastBlockUsed);
        return blocks.length === 0 ? last : Buffer.concat([...blocks, last]);
    }

    clear(): void {
        this.blocks = [];
        this.lastBlockUsed = 0;
        this.length = 0;
        this.heldBytes = 0;
    }

    private addBlock(neededBytes: number): Buffer {
        const missingBytes = (this.declaredLength ?? 0) - this.length;
        // What has been collected before bounds what a block may leave unused.
        const grownBytes = Math.max(MIN_BLOCK_BYTES, neededBytes, this.heldBytes);
        const bytes = Math.min(MAX_BLOCK_BYTES, missingBytes > 0 ? missingBytes : grownBytes);
        const block = Buffer.allocUnsafeSlow(bytes);
        this.blocks.push(block);
        this.lastBlockUsed = 0;
        this.heldBytes += bytes;
        return block;
    }
}

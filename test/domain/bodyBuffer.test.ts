/** Guards against bodies that cost many times their bytes because they arrive in small pieces. */
import fc from "fast-check";
import t from "tap";
import { BodyBuffer } from "../../src/domain/bodyBuffer.js";

const MIN_BLOCK_BYTES = 512;
const MAX_PIECE_BYTES = 200_000;
const PIECES = 100_000;

void t.test("a body is whole, and held in at most twice its bytes, however it is split", t => {
    const pieces = fc.array(fc.uint8Array({ maxLength: 3_000 }), { maxLength: 40 });
    fc.assert(
        fc.property(pieces, fc.boolean(), (parts, isDeclared) => {
            const whole = Buffer.concat(parts);
            const buffer = new BodyBuffer(isDeclared ? whole.length : undefined);
            parts.forEach(part => buffer.append(Buffer.from(part)));
            const maxHeldBytes = isDeclared ? whole.length : Math.max(MIN_BLOCK_BYTES, 2 * whole.length);
            return buffer.getLength() === whole.length && buffer.getHeldBytes() <= maxHeldBytes
                && buffer.take().equals(whole) && buffer.getHeldBytes() === 0;
        }),
        { seed: 89, numRuns: 500 },
    );
    t.end();
});

void t.test("pieces of one byte share blocks", t => {
    const buffer = new BodyBuffer(undefined);
    const read = Buffer.alloc(MAX_PIECE_BYTES);
    for (let i = 0; i < PIECES; i++) {
        buffer.append(read.subarray(i, i + 1));
    }
    t.ok(buffer.getHeldBytes() <= 2 * PIECES);
    t.equal(buffer.take().length, PIECES);
    t.end();
});

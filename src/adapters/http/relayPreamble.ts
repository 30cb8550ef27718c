/**
 * The first bytes of a relayed connection: how long the relaying router has held it, and which process relays it. The receiving router
 * counts the time towards the timeout of the first request, since it cannot know otherwise when the request arrived.
 */
import type { Socket } from "node:net";

const AGE_BYTES = 4;
/** First byte of a preamble with an instance. Without one, a preamble is the age alone, whose first byte is lower. */
const INSTANCE_MARKER = 0xff;
/** Length of an id of `createRandomId`. */
const INSTANCE_BYTES = 24;
const MAX_AGE_MS = 2 ** 24 - 1;

export interface RelayPreamble {
    /** How long the relaying router has held the connection, in milliseconds. */
    readonly ageMs: number;
    /** Process that relays the connection; undefined if it is of a version that does not tell. */
    readonly instance: string | undefined;
    /** Length of the preamble. */
    readonly bytes: number;
}

export function encodeRelayPreamble(ageMs: number, instance: string): Buffer {
    const bytes = Buffer.alloc(AGE_BYTES + INSTANCE_BYTES);
    bytes.writeUInt32BE(Math.min(MAX_AGE_MS, Math.max(0, Math.round(ageMs))));
    bytes[0] = INSTANCE_MARKER;
    bytes.write(instance, AGE_BYTES, "latin1");
    return bytes;
}

/** Calls `handle` with the preamble once it has arrived; the bytes after it are left in the socket. */
export function readRelayPreamble(socket: Socket, handle: (preamble: RelayPreamble) => void): void {
    let age: Buffer | undefined;
    const destroy = (): void => void socket.destroy();
    const finish = (preamble: RelayPreamble): void => {
        socket.off("readable", tryRead);
        socket.off("end", destroy);
        handle(preamble);
    };
    const tryRead = (): void => {
        const bytes = (socket.read(age === undefined ? AGE_BYTES : INSTANCE_BYTES) ?? undefined) as Buffer | undefined;
        if (bytes === undefined) {
            return;
        }
        if (age !== undefined && bytes.length === INSTANCE_BYTES) {
            const ageMs = age.readUInt32BE() - INSTANCE_MARKER * 2 ** 24;
            finish({ ageMs, instance: bytes.toString("latin1"), bytes: AGE_BYTES + INSTANCE_BYTES });
        }
        else if (age === undefined && bytes.length === AGE_BYTES) {
            age = bytes;
            if (age[0] === INSTANCE_MARKER) {
                tryRead();
            }
            else {
                finish({ ageMs: age.readUInt32BE(), instance: undefined, bytes: AGE_BYTES });
            }
        }
        else {
            // The connection has ended before the preamble was complete.
            socket.destroy();
        }
    };
    socket.on("readable", tryRead);
    socket.on("end", destroy);
}

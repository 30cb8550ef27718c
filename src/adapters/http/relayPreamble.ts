/**
 * The first bytes of a relayed connection: how long the relaying router has held it. The receiving router counts this time
 * towards the timeout of the first request, since it cannot know otherwise when the request arrived.
 */
import type { Socket } from "node:net";

export const PREAMBLE_BYTES = 4;
const MAX_AGE_MS = 2 ** 32 - 1;

export function encodeRelayPreamble(ageMs: number): Buffer {
    const bytes = Buffer.alloc(PREAMBLE_BYTES);
    bytes.writeUInt32BE(Math.min(MAX_AGE_MS, Math.max(0, Math.round(ageMs))));
    return bytes;
}

/** Calls `handle` with the age in milliseconds once it has arrived; the bytes after it are left in the socket. */
export function readRelayPreamble(socket: Socket, handle: (ageMs: number) => void): void {
    const destroy = (): void => void socket.destroy();
    const tryRead = (): void => {
        const bytes = (socket.read(PREAMBLE_BYTES) ?? undefined) as Buffer | undefined;
        if (bytes?.length === PREAMBLE_BYTES) {
            socket.off("readable", tryRead);
            socket.off("end", destroy);
            handle(bytes.readUInt32BE());
        }
        else if (bytes !== undefined) {
            // The connection has ended before the preamble was complete.
            socket.destroy();
        }
    };
    socket.on("readable", tryRead);
    socket.on("end", destroy);
}

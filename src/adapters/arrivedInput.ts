/** Reads what has arrived on a connection at once, without waiting until the event loop polls for it. */
import { readSync } from "node:fs";
import type { Socket } from "node:net";

/** `bytes`: what had arrived. `hasEnded`: whether the peer has closed or reset the connection behind it. */
export interface ArrivedInput {
    readonly bytes: readonly Buffer[];
    readonly hasEnded: boolean;
}

/** Reads after which the rest is left to the event loop. */
const MAX_READS = 4;
const READ_BYTES = 65_536;
const NOTHING_ARRIVED = "EAGAIN";

const readBuffer = Buffer.allocUnsafeSlow(READ_BYTES);

/**
 * Reads from a connection in flowing mode, right after the event loop has read from it. Returns undefined where the runtime does not
 * expose the connection's descriptor.
 */
export function tryReadArrived(socket: Socket): ArrivedInput | undefined {
    const descriptor = tryGetDescriptor(socket);
    if (descriptor === undefined) {
        return undefined;
    }
    const bytes: Buffer[] = [];
    for (let reads = 0; reads < MAX_READS; reads++) {
        const length = tryRead(descriptor);
        if (length === undefined || length === 0) {
            return { bytes, hasEnded: length === 0 };
        }
        bytes.push(Buffer.from(readBuffer.subarray(0, length)));
    }
    return { bytes, hasEnded: false };
}

/** Returns 0 at the end of the connection, also of one that was reset; undefined if nothing has arrived. */
function tryRead(descriptor: number): number | undefined {
    try {
        return readSync(descriptor, readBuffer);
    }
    catch (error) {
        return (error as NodeJS.ErrnoException).code === NOTHING_ARRIVED ? undefined : 0;
    }
}

/** The descriptor is no documented property of a socket. */
function tryGetDescriptor(socket: Socket): number | undefined {
    const { _handle: handle } = socket as unknown as { readonly _handle?: { readonly fd?: number; }; };
    const descriptor = handle?.fd;
    return descriptor === undefined || descriptor < 0 ? undefined : descriptor;
}

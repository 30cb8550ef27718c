/** Ends connections over which nothing is served any more. */
import type { Socket } from "node:net";

/**
 * Time for which a connection that this router has ended is read on, in milliseconds. If it were closed while a further request arrives,
 * the system would reset it, and discard what the caller has not taken of the last answer.
 */
const LINGER_MS = 1_000;

/** Ends a connection and closes it after a while. It has to be read meanwhile. */
export function endLingering(socket: Socket): void {
    socket.end();
    setTimeout(() => socket.destroy(), LINGER_MS).unref();
}

/** Tells connections that were reset from those that were closed. */
import type { Socket } from "node:net";

/**
 * Whether a connection that Node.js reports as ended was reset: Node.js reports a reset that it reads together with data as a
 * regular end. To be called as the end is read, or at the `end` event. A reset connection has no peer; neither has one of which
 * both halves are closed, so that this is false if the sending half is closed.
 */
export function isResetAtEnd(socket: Socket): boolean {
    return socket.writable && socket.remoteAddress === undefined;
}

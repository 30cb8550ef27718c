/** Stops listening without the loss of connections that wait to be accepted. */
import type { Server } from "node:net";
import { waitForNextPoll } from "./nextPoll.js";

/** Maximum length of the queue of pending connections that Node.js asks the system for. */
const MAX_WAITING_CONNECTIONS = 512;

/**
 * Accepts what waits to be accepted, since the system resets connections that wait as their listener is closed, and then calls `close`. An
 * event loop accepts one connection of a listener for each poll, so that a poll that accepts none has found none. Connections that come
 * meanwhile are waited for only as long as an earlier one may have been behind them.
 */
export async function stopListening(
    server: Server,
    close: () => void,
    maxWaiting = MAX_WAITING_CONNECTIONS,
): Promise<void> {
    let accepted = 0;
    const count = (): void => void (accepted += 1);
    server.on("connection", count);
    for (let polls = 0; polls <= maxWaiting; polls++) {
        const acceptedBefore = accepted;
        await waitForNextPoll();
        if (accepted === acceptedBefore) {
            break;
        }
    }
    server.off("connection", count);
    close();
}

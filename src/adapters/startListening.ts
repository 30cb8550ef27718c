/** Starts listening on a server socket. */
import type { Server } from "node:net";

/**
 * Resolves once the server is listening; rejects if it cannot. `backlog`: maximum length of the queue of pending
 * connections; Node's default if omitted.
 */
export function startListening(server: Server, host: string, port: number, backlog?: number): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host, port, backlog }, resolve);
    });
}

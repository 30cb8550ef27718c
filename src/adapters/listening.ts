/** Opens a server's listener. */
import type { Server } from "node:net";

/**
 * Resolves once the server listens; rejects where it cannot. `backlog`: most connections that wait to be taken; the system's
 * own bound where it is left out.
 */
export function startListening(server: Server, host: string, port: number, backlog?: number): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host, port, backlog }, resolve);
    });
}

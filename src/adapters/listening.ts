/** Opens a server's listener. */
import type { Server } from "node:net";

/** Resolves once the server listens; rejects where it cannot. */
export function startListening(server: Server, host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
}

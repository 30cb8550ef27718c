/** Checks whether a process is listening at an address. */
import { connect } from "node:net";
import { parseAddress } from "./rpc/tcpNetwork.js";

/**
 * Returns false if a connection to HOST:PORT is refused, and undefined on any other error or if the connection is not
 * established within `timeoutMs`. Closes the connection at once without sending anything.
 */
export function isListening(address: string, timeoutMs: number): Promise<boolean | undefined> {
    return new Promise(resolve => {
        const socket = connect({ ...parseAddress(address), timeout: timeoutMs });
        const finish = (result: boolean | undefined): void => {
            socket.destroy();
            resolve(result);
        };
        socket.once("connect", () => finish(true));
        socket.once("timeout", () => finish(undefined));
        socket.on("error", (error: NodeJS.ErrnoException) => finish(error.code === "ECONNREFUSED" ? false : undefined));
    });
}

/** Finds out whether a process listens at an address. */
import { connect } from "node:net";
import { parseAddress } from "./rpc/tcpNetwork.js";

/**
 * False where a connection to HOST:PORT is refused, undefined where there is another error or no answer within `timeoutMs`.
 * The connection is closed at once; nothing is sent over it.
 */
export function isListening(address: string, timeoutMs: number): Promise<boolean | undefined> {
    return new Promise(resolve => {
        const socket = connect({ ...parseAddress(address), timeout: timeoutMs });
        const finish = (answer: boolean | undefined): void => {
            socket.destroy();
            resolve(answer);
        };
        socket.once("connect", () => finish(true));
        socket.once("timeout", () => finish(undefined));
        socket.on("error", (error: NodeJS.ErrnoException) => finish(error.code === "ECONNREFUSED" ? false : undefined));
    });
}

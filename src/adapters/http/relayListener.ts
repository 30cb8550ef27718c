/** Accepts the connections that other routers relay to this one, and reads how long they have held each of them. */
import { createServer, type Server, type Socket } from "node:net";
import type { ConnectionArrival } from "../../domain/arrivalEstimator.js";
import { DeadlineQueue } from "../deadlineQueue.js";
import { parseAddress } from "../rpc/tcpNetwork.js";
import { startListening } from "../startListening.js";
import type { AcceptMonitor } from "./acceptMonitor.js";
import { readRelayPreamble, type RelayPreamble } from "./relayPreamble.js";

/** Time within which the first bytes of a relayed connection must arrive: callers may open connections ahead of requests. */
const PREAMBLE_TIMEOUT_MS = 15_000;

export class RelayListener {
    private readonly server: Server;
    private readonly withoutPreamble = new Set<Socket>();
    private readonly preambles = new DeadlineQueue<Socket>(
        PREAMBLE_TIMEOUT_MS,
        socket => this.withoutPreamble.has(socket),
        socket => socket.destroy(),
    );

    /** `handle`: called with each connection, its arrival at this router and its preamble. */
    constructor(
        private readonly accepts: AcceptMonitor,
        private readonly handle: (socket: Socket, arrival: ConnectionArrival, preamble: RelayPreamble) => void,
        maxConnections: number,
    ) {
        this.server = createServer({ allowHalfOpen: true, noDelay: true }, socket => this.accept(socket));
        this.server.maxConnections = maxConnections;
    }

    /** Resolves once it listens. `backlog`: maximum number of connections that wait to be accepted. */
    listen(address: string, backlog: number): Promise<void> {
        const { host, port } = parseAddress(address);
        return startListening(this.server, host, port, backlog);
    }

    /** Stops accepting connections, and closes those on which nothing has arrived. */
    close(): void {
        this.server.close();
        this.withoutPreamble.forEach(socket => socket.destroy());
    }

    private accept(socket: Socket): void {
        const arrival = this.accepts.recordAccepted();
        const ignoreError = (): void => undefined;
        socket.on("error", ignoreError);
        socket.once("close", () => this.withoutPreamble.delete(socket));
        this.withoutPreamble.add(socket);
        this.preambles.add(socket);
        readRelayPreamble(socket, preamble => {
            this.withoutPreamble.delete(socket);
            socket.off("error", ignoreError);
            this.handle(socket, arrival, preamble);
        });
    }
}

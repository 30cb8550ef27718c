/** Accepts the connections that other routers relay to this one, and reads how long they have held each of them. */
import { createServer, type Server, type Socket } from "node:net";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import { DeadlineQueue } from "../deadlineQueue.js";
import { parseAddress } from "../rpc/tcpNetwork.js";
import { startListening } from "../startListening.js";
import type { AcceptMonitor } from "./acceptMonitor.js";
import { endLingering } from "./lingeringEnd.js";
import { readRelayPreamble, type RelayPreamble } from "./relayPreamble.js";

/** Time within which the first bytes of a relayed connection must arrive: callers may open connections ahead of requests. */
const PREAMBLE_TIMEOUT_MS = 15_000;

/** Maximum number of connections beyond the limit that are ended at the same time; further ones are reset. */
const MAX_ENDING_CONNECTIONS = 256;

export class RelayListener {
    private readonly server: Server;
    private acceptedCount = 0;
    private endingCount = 0;
    private readonly withoutPreamble = new Set<Socket>();
    private readonly preambles = new DeadlineQueue<Socket>(
        PREAMBLE_TIMEOUT_MS,
        socket => this.withoutPreamble.has(socket),
        socket => socket.destroy(),
    );

    /**
     * `handle`: called with each connection and its preamble. A connection beyond `maxConnections` is ended unread: the relaying router
     * then serves it.
     */
    constructor(
        private readonly accepts: AcceptMonitor,
        private readonly handle: (socket: Socket, preamble: RelayPreamble) => void,
        private readonly maxConnections: number,
        private readonly log: Log,
        private readonly metrics: Metrics,
    ) {
        this.server = createServer({ allowHalfOpen: true, noDelay: true }, socket => this.accept(socket));
        this.server.maxConnections = maxConnections + MAX_ENDING_CONNECTIONS;
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
        this.accepts.recordAccepted();
        if (this.acceptedCount >= this.maxConnections) {
            this.endUnread(socket);
            return;
        }
        this.acceptedCount += 1;
        socket.once("close", () => this.acceptedCount -= 1);
        const ignoreError = (): void => undefined;
        socket.on("error", ignoreError);
        socket.once("close", () => this.withoutPreamble.delete(socket));
        this.withoutPreamble.add(socket);
        this.preambles.add(socket);
        readRelayPreamble(socket, preamble => {
            this.withoutPreamble.delete(socket);
            socket.off("error", ignoreError);
            this.handle(socket, preamble);
        });
    }

    private endUnread(socket: Socket): void {
        this.metrics.addCount("connections_relayed_in_ended");
        if (this.endingCount === 0) {
            this.log.warn("relay_listener_full", { connections: this.acceptedCount });
        }
        this.endingCount += 1;
        socket.once("close", () => this.endingCount -= 1);
        socket.on("error", () => undefined);
        socket.resume();
        endLingering(socket);
    }
}

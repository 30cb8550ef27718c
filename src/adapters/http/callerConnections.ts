/** The connections over which a router's HTTP server serves callers, and the requests that it owns. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
    CallerConnection,
    type CallerExchange,
    type ConnectionCounts,
    countConnections,
} from "../../domain/callerConnection.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";

/** Why an answer was not delivered whole. */
export type UndeliveredCause = "callerClosed" | "relayClosed" | "aborted" | "stopping";

export class CallerConnections {
    private readonly connections = new Map<Socket, CallerConnection>();
    /** Connections that this router has reset, and why. */
    private readonly resetCauses = new WeakMap<Socket, UndeliveredCause>();

    constructor(private readonly log: Log, private readonly metrics: Metrics) {}

    /** Adds a connection unless it is known. `relay`, `accountedBytes`: see `CallerConnection`. */
    add(socket: Socket, relay?: string, accountedBytes = 0): void {
        if (!this.connections.has(socket)) {
            this.connections.set(socket, new CallerConnection(relay, accountedBytes));
            socket.once("close", () => this.connections.delete(socket));
        }
    }

    /** Records a request whose head was read, until its answer was handed to the operating system. */
    beginExchange(message: IncomingMessage, response: ServerResponse, id: string): CallerExchange {
        const { socket } = message;
        const connection = this.connections.get(socket)!;
        const exchange = connection.beginExchange(id, performance.now());
        message.once("end", () => connection.recordBodyEnd(exchange, socket.bytesRead));
        response.once("prefinish", () => exchange.recordAnswerEnd());
        response.once("close", () => {
            connection.endExchange(exchange);
            if (!response.writableFinished) {
                this.logUndelivered(socket, connection, exchange);
            }
        });
        response.once("finish", () => connection.endExchange(exchange));
        return exchange;
    }

    /** Records that this router resets a connection. */
    recordReset(socket: Socket, cause: UndeliveredCause): void {
        this.resetCauses.set(socket, cause);
    }

    count(): ConnectionCounts {
        return countConnections(
            [...this.connections].map(([socket, connection]) => ({ connection, readBytes: socket.bytesRead })),
        );
    }

    /** Logs an answer that its caller did not get whole. */
    private logUndelivered(socket: Socket, { relay }: CallerConnection, exchange: CallerExchange): void {
        const cause = this.resetCauses.get(socket) ?? (relay === undefined ? "callerClosed" : "relayClosed");
        this.metrics.addCount(`answers_undelivered_${cause}`);
        this.log.info("answer_undelivered", {
            request: exchange.id,
            cause,
            stage: exchange.getStage(),
            relay,
            age_ms: Math.round(performance.now() - exchange.startedAt),
        });
    }
}

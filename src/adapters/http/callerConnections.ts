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
import { type ArrivedInput, tryReadArrived } from "../arrivedInput.js";
import { endLingering } from "./lingeringEnd.js";

/**
 * Longest time for which a close may have lain at the router that relays a connection, in milliseconds. What it spends is not told; at
 * its limit of CPU time turns of its event loop take up to this long.
 */
const RELAYED_CLOSE_AGE_MS = 250;

/** Why an answer was not delivered whole. */
export type UndeliveredCause = "callerClosed" | "relayClosed" | "aborted" | "stopping";

export class CallerConnections {
    private readonly connections = new Map<Socket, CallerConnection>();
    /** Connections that this router has reset, and why. */
    private readonly resetCauses = new WeakMap<Socket, UndeliveredCause>();
    /** Connections with bytes that are no request, which are ended after the answers under way. */
    private readonly malformed = new WeakSet<Socket>();
    /** Connections that failed over from lost routers, until the first answer, and whether their first request may have run. */
    private readonly failedOver = new Map<Socket, { mayHaveRun: boolean; }>();
    /** Connections that this router has ended, over which nothing is served any more. */
    private readonly ended = new Set<Socket>();

    /**
     * `isClosing`: whether a connection is ended as soon as this router owns no request of it. `getMaxReadDelayMs`: longest time for which
     * what is read now may have been there, in milliseconds.
     */
    constructor(
        private readonly log: Log,
        private readonly metrics: Metrics,
        private readonly isClosing: (socket: Socket) => boolean,
        private readonly getMaxReadDelayMs: () => number = () => 0,
    ) {}

    /** Adds a connection unless it is known. `relay`, `accountedBytes`: see `CallerConnection`. */
    add(socket: Socket, relay?: string, accountedBytes = 0): void {
        if (!this.connections.has(socket)) {
            const connection = new CallerConnection(relay, accountedBytes);
            this.connections.set(socket, connection);
            const handleClosed = (): void => {
                this.recordClosed(connection);
                connection.listExchanges().forEach(exchange => exchange.endByCaller());
            };
            socket.once("end", handleClosed);
            socket.once("error", handleClosed);
            socket.once("close", () => {
                this.connections.delete(socket);
                this.ended.delete(socket);
            });
        }
    }

    /** Adds a connection that another router served until it was lost. `mayHaveRun`: whether the request on it may have run there. */
    addFailedOver(socket: Socket, mayHaveRun: boolean, accountedBytes: number): void {
        this.add(socket, undefined, accountedBytes);
        this.failedOver.set(socket, { mayHaveRun });
        socket.once("close", () => this.failedOver.delete(socket));
    }

    /**
     * Returns whether a request that was just read came with a connection from a lost router, and may have run there; undefined if it did
     * not come so. Of requests that came together, only of the first one it is certain that it did not run.
     */
    tryGetEarlierRun(socket: Socket): boolean | undefined {
        const earlier = this.failedOver.get(socket);
        const mayHaveRun = earlier?.mayHaveRun;
        if (earlier !== undefined) {
            earlier.mayHaveRun = true;
        }
        return mayHaveRun;
    }

    /** Whether another router relays a connection to this one. */
    isRelayedIn(socket: Socket): boolean {
        return this.connections.get(socket)?.relay !== undefined;
    }

    /**
     * Whether this router has ended a connection, or told its caller so. A request that arrives over it has crossed the end, and cannot
     * be answered.
     */
    isEnded(socket: Socket): boolean {
        return this.ended.has(socket) || this.connections.get(socket)?.hasAnnouncedEnd() === true;
    }

    /** Records that an answer tells its caller that the connection ends; false if it may not. See `CallerConnection`. */
    tryAnnounceEnd(socket: Socket, exchange: CallerExchange): boolean {
        return this.connections.get(socket)?.tryAnnounceEnd(exchange) ?? true;
    }

    /** Whether a caller has closed its connection. Reads what has arrived, also what the event loop has not read yet. */
    hasLeft(socket: Socket): boolean {
        const connection = this.connections.get(socket);
        if (connection === undefined || socket.destroyed || socket.readableEnded) {
            return true;
        }
        if (readAhead(socket, connection)?.hasEnded === true) {
            this.recordClosed(connection);
        }
        return connection.hasClosed();
    }

    /**
     * Returns the longest time since a caller's close arrived at the first router, in milliseconds; 0 if it has not closed its
     * connection.
     */
    getCloseAgeMs(socket: Socket): number {
        return this.connections.get(socket)?.tryGetCloseAgeMs(performance.now()) ?? 0;
    }

    /** Records bytes that are no request. Returns whether only whole requests are under way, after which the connection is ended. */
    recordMalformed(socket: Socket): boolean {
        const exchanges = this.connections.get(socket)?.listExchanges() ?? [];
        const isAnswering = exchanges.length > 0 && exchanges.every(exchange => exchange.wasReadWhole());
        if (isAnswering) {
            this.malformed.add(socket);
        }
        return isAnswering;
    }

    /** Ends the connections that are to be closed and carry no request. Called right after a poll for I/O. */
    endIdle(): void {
        for (const [socket, connection] of this.connections) {
            this.endIfIdle(socket, connection);
        }
    }

    /** Resets the connections with a request, and closes the others. */
    close(): void {
        for (const socket of this.connections.keys()) {
            if (this.ended.has(socket)) {
                socket.destroy();
            }
            else {
                this.recordReset(socket, "stopping");
                socket.resetAndDestroy();
            }
        }
    }

    /** Returns the number of connections that this router has not ended. */
    countOpen(): number {
        return this.connections.size - this.ended.size;
    }

    /**
     * Reads what has arrived on a connection, and returns whether that is a part of a request. The event loop may not have read it yet: it reads
     * from a connection only in the turns after the one in which it accepts it.
     */
    private readArrived(socket: Socket, connection: CallerConnection): boolean {
        const arrived = socket.destroyed || socket.readableEnded ? undefined : readAhead(socket, connection);
        return arrived !== undefined && arrived.bytes.length > 0;
    }

    private recordClosed(connection: CallerConnection): void {
        if (connection.hasClosed()) {
            return;
        }
        const delayMs = this.getMaxReadDelayMs();
        const relayDelayMs = connection.relay === undefined ? 0 : RELAYED_CLOSE_AGE_MS;
        connection.recordClosed(performance.now() - delayMs - relayDelayMs);
        if (connection.listExchanges().length > 0) {
            this.metrics.recordTiming("close_read_ms", delayMs);
        }
    }

    private endIfIdle(socket: Socket, connection: CallerConnection): void {
        const isMalformed = this.malformed.has(socket) && connection.listExchanges().length === 0;
        const isIdle = connection.isIdle(socket.bytesRead) && this.isClosing(socket);
        if (!this.ended.has(socket) && (isMalformed || (isIdle && !this.readArrived(socket, connection)))) {
            this.ended.add(socket);
            this.metrics.addCount("connections_ended_idle");
            endLingering(socket);
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
        response.once("finish", () => {
            this.failedOver.delete(socket);
            connection.endExchange(exchange);
            this.endIfIdle(socket, connection);
        });
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
    private logUndelivered(socket: Socket, connection: CallerConnection, exchange: CallerExchange): void {
        const { relay } = connection;
        const now = performance.now();
        const closeAgeMs = connection.tryGetCloseAgeMs(now);
        const cause = this.resetCauses.get(socket) ?? (relay === undefined ? "callerClosed" : "relayClosed");
        this.metrics.addCount(`answers_undelivered_${cause}`);
        this.log.info("answer_undelivered", {
            request: exchange.id,
            cause,
            stage: exchange.getStage(),
            relay,
            relay_port: relay === undefined ? undefined : socket.remotePort,
            close_age_ms: closeAgeMs === undefined ? undefined : Math.round(closeAgeMs),
            age_ms: Math.round(now - exchange.startedAt),
        });
    }
}

/** Reads what has arrived on a connection, and hands its bytes to the HTTP server; undefined where that is not known. */
function readAhead(socket: Socket, connection: CallerConnection): ArrivedInput | undefined {
    const arrived = tryReadArrived(socket);
    if (arrived !== undefined && arrived.bytes.length > 0) {
        returnBytes(socket, connection, arrived.bytes);
    }
    return arrived;
}

/** Hands bytes of a further request to the HTTP server, which otherwise reads them from the system itself. */
function returnBytes(socket: Socket, connection: CallerConnection, bytes: readonly Buffer[]): void {
    // A listener for data makes the HTTP parser take all data from the stream, so that the order is kept.
    if (connection.beginReadingAhead()) {
        socket.on("data", () => undefined);
    }
    for (const chunk of bytes) {
        connection.recordReadAhead(chunk.length);
        socket.push(chunk);
    }
}

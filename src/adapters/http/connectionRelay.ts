/**
 * Relays callers' connections to another router as byte streams, without parsing them. The router that relays is short of CPU
 * time, so that each chunk is passed on by plain event handlers, and timeouts share one timer.
 */
import { connect, type Socket } from "node:net";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import { tryReadArrived } from "../arrivedInput.js";
import { DeadlineQueue } from "../deadlineQueue.js";
import { waitForNextPoll } from "../nextPoll.js";
import type { ReadPacer } from "../readPacer.js";
import { parseAddress } from "../rpc/tcpNetwork.js";
import { isResetAtEnd } from "../socketReset.js";
import { encodeRelayPreamble } from "./relayPreamble.js";

/** Size of the buffer into which all connections to other routers are read. */
const READ_BUFFER_BYTES = 65_536;
/** Reads of an answer that are never followed by a pause: the head, and the first bytes of the body. */
const UNPACED_READS = 2;

/** Time from the connection to the neighbour until a request that the caller had sent before it is read, in milliseconds. */
const FIRST_REQUEST_WINDOW_MS = 250;

/** Closes that may have been read later than this are logged, in milliseconds. */
const MIN_LOGGED_CLOSE_AGE_MS = 100;

/** Time that a caller may take to close its connection after the neighbour has closed its own, in milliseconds. */
const HALF_CLOSED_TIMEOUT_MS = 5_000;

/** Silence after which the system asks whether the box of the other router still answers, in milliseconds. */
const KEEP_ALIVE_DELAY_MS = 1_000;

/** A router that connections are relayed to. */
export interface RelayTarget {
    /** Peer address, which identifies it. */
    readonly address: string;
    /** HOST:PORT at which it accepts relayed connections. */
    readonly relayAddress: string;
}

export interface ConnectionRelayOptions {
    /** Whether the process of a router is known to run, by its peer address. */
    readonly isReachable: (address: string) => boolean;
    /** Whether a router has announced that its process is about to end, by its peer address. */
    readonly isStopping: (address: string) => boolean;
    /** Identifies this process to the routers that it relays to. */
    readonly instance: string;
    /** Time after which a connection attempt to another router is given up, in milliseconds. */
    readonly connectTimeoutMs: number;
    /** Maximum number of concurrent relayed connections. */
    readonly maxConnections: number;
    /** Returns the longest time for which what is read now may have been there, in milliseconds. */
    readonly getMaxReadDelayMs: () => number;
}

/** What a relayed connection has carried, for logs. Bytes, milliseconds. */
interface RelayProgress {
    readonly age_ms: number;
    /** Estimated time in the listen queue. */
    readonly unaccepted_ms: number;
    /** Local port of the connection to the other router. */
    readonly port: number | undefined;
    /** Time since bytes were last passed on. */
    readonly quiet_ms: number;
    readonly request_bytes: number;
    readonly answer_bytes: number;
    /** Bytes of the answer that the caller has not taken. */
    readonly unsent_bytes: number;
    /** Whether bytes of an answer have come since the caller last sent something. */
    readonly answering: boolean;
}

/** Why this router closed a relayed connection regularly. */
type RelayCloseCause = "callerKeepsOpen" | "callerLeft" | "stopping";

/** Why a relayed connection was reset. */
export type RelayResetCause = "neighbourLost" | "neighbourUnreachable" | "stopping";

export class ConnectionRelay {
    private readonly connections = new Set<RelayedConnection>();
    private readonly connecting: DeadlineQueue<RelayedConnection>;
    private readonly halfClosed = new DeadlineQueue<RelayedConnection>(
        HALF_CLOSED_TIMEOUT_MS,
        connection => connection.isOpen(),
        connection => connection.close("callerKeepsOpen"),
    );
    /** Shared by all connections: each read is copied before the next one. */
    private readonly readBuffer = Buffer.allocUnsafeSlow(READ_BUFFER_BYTES);

    constructor(
        readonly pacer: ReadPacer,
        private readonly log: Log,
        private readonly metrics: Metrics,
        private readonly options: ConnectionRelayOptions,
    ) {
        this.connecting = new DeadlineQueue(
            options.connectTimeoutMs,
            connection => connection.isConnecting(),
            connection => connection.failConnecting("no connection in time"),
        );
    }

    /**
     * Relays a connection that was accepted with `pauseOnConnect`. If the other router cannot be reached, `serveLocally` is
     * called with the socket untouched. Returns false, and does nothing, if there are too many relayed connections.
     * `arrivedAt`: estimated arrival of the connection. Monotonic clock, milliseconds.
     */
    tryRelay(
        caller: Socket,
        target: RelayTarget,
        arrivedAt: number,
        serveLocally: (error: string) => void,
    ): boolean {
        if (this.connections.size >= this.options.maxConnections) {
            return false;
        }
        const connection = new RelayedConnection(this, caller, target, arrivedAt, this.readBuffer, error => {
            this.logFailure(target, error, undefined);
            serveLocally(error);
        });
        this.connections.add(connection);
        this.connecting.add(connection);
        return true;
    }

    /**
     * Resets the connections to routers that are not reachable any more: their callers would wait in vain. A router that has announced
     * its stop ends its connections itself, and callers may still read what it has sent.
     */
    resetUnreachable(): void {
        for (const connection of this.connections) {
            // An answer that has arrived whole is still delivered to a slow caller.
            if (!connection.hasNeighbourEnded && this.isLost(connection.target.address)) {
                connection.reset("neighbourUnreachable");
            }
        }
    }

    /** Closes the connections over which callers have sent nothing: the routers that they are relayed to do not know whose they are. */
    closeUnused(): void {
        for (const connection of this.connections) {
            if (connection.isUnused()) {
                connection.close("stopping");
            }
        }
    }

    /** Returns the peer addresses of the routers that connections are relayed to. */
    listTargets(): string[] {
        return [...new Set([...this.connections].map(({ target }) => target.address))];
    }

    /** Returns the number of connections whose last byte is not handed to the operating system. */
    countUndelivered(): number {
        return [...this.connections].filter(connection => !connection.isDelivered()).length;
    }

    /** Whether a router can have ended its connections only because its process is gone. */
    isLost(address: string): boolean {
        return !this.options.isReachable(address) && !this.options.isStopping(address);
    }

    getInstance(): string {
        return this.options.instance;
    }

    countOpen(): number {
        return this.connections.size;
    }

    /** Ends all connections, those that are not delivered by a reset. */
    close(): void {
        for (const connection of this.connections) {
            if (connection.isDelivered()) {
                connection.close("stopping");
            }
            else {
                connection.reset("stopping");
            }
        }
    }

    /** Called by a connection once it is established. */
    recordConnected(): void {
        this.metrics.addCount("connections_relayed");
    }

    /** Called by a connection whose neighbour has sent everything. */
    addHalfClosed(connection: RelayedConnection): void {
        this.halfClosed.add(connection);
    }

    /** Called by a connection that has ended or failed. */
    remove(connection: RelayedConnection): void {
        this.connections.delete(connection);
    }

    /** Called by a connection that is closed regularly by this router. */
    logClosed(target: RelayTarget, reason: RelayCloseCause, progress: RelayProgress): void {
        this.metrics.addCount("connections_relay_closed");
        this.log.info("relay_closed", { router: target.address, reason, ...progress });
    }

    /** Called by a connection whose caller has ended or reset it. */
    recordCallerClose(connection: RelayedConnection): void {
        const closeAgeMs = this.options.getMaxReadDelayMs();
        this.metrics.recordTiming("relay_close_read_ms", closeAgeMs);
        if (closeAgeMs >= MIN_LOGGED_CLOSE_AGE_MS || connection.isUnanswered()) {
            this.log.info("relay_caller_closed", {
                router: connection.target.address,
                close_age_ms: Math.round(closeAgeMs),
                ...connection.getProgress(),
            });
        }
    }

    /** Called by a connection that is reset. */
    logFailure(target: RelayTarget, reason: string, progress: RelayProgress | undefined): void {
        this.metrics.addCount("connections_relay_failed");
        this.log.info("relay_failed", { router: target.address, reason, ...progress });
    }
}

/** A caller's connection and its continuation to another router. Either buffers at most its high-water mark. */
class RelayedConnection {
    /** Whether the neighbour has sent everything. */
    hasNeighbourEnded = false;
    /** When bytes were last passed on in either direction. Monotonic clock, milliseconds. */
    private lastBytesAt = performance.now();
    /** When the neighbour's connection was established. Monotonic clock, milliseconds. */
    private openedAt = 0;
    private readonly neighbour: Socket;
    private readonly acceptedAt = performance.now();
    private isPreambleSent = false;
    /** Bytes of the caller that wait for another poll. */
    private delayedBytes: Buffer[] | undefined;
    private hasCallerClosed = false;
    private state: "connecting" | "open" | "closed" = "connecting";
    /** Reads from the neighbour since the caller last sent something. */
    private answerReads = 0;
    /** Whether the caller's buffer is full. */
    private isBlocked = false;
    /** Whether reading from the neighbour is paused until the next tick of the pacer. */
    private isPaced = false;

    constructor(
        private readonly relay: ConnectionRelay,
        private readonly caller: Socket,
        readonly target: RelayTarget,
        private readonly arrivedAt: number,
        readBuffer: Buffer,
        private readonly serveLocally: (error: string) => void,
    ) {
        this.neighbour = connect({
            ...parseAddress(target.relayAddress),
            allowHalfOpen: true,
            noDelay: true,
            keepAlive: true,
            keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS,
            onread: { buffer: readBuffer, callback: (length, buffer) => this.handleAnswer(length, buffer) },
        });
        this.neighbour.on("connect", this.handleConnect);
        this.neighbour.on("error", this.handleNeighbourError);
    }

    getProgress(): RelayProgress {
        const now = performance.now();
        return {
            age_ms: Math.round(now - this.acceptedAt),
            unaccepted_ms: Math.round(this.acceptedAt - this.arrivedAt),
            port: this.neighbour.localPort,
            quiet_ms: Math.round(now - this.lastBytesAt),
            request_bytes: this.caller.bytesRead,
            answer_bytes: this.neighbour.bytesRead,
            unsent_bytes: this.caller.writableLength,
            answering: this.answerReads > 0,
        };
    }

    /** Whether the neighbour was reached, and the caller has sent nothing. */
    isUnused(): boolean {
        return this.state === "open" && !this.isPreambleSent && this.delayedBytes === undefined;
    }

    /** Whether bytes of the caller were passed on that no answer has followed. */
    isUnanswered(): boolean {
        return this.isPreambleSent && this.answerReads === 0;
    }

    /** Whether the neighbour has ended the connection, and the operating system has all of its bytes for the caller. */
    isDelivered(): boolean {
        return this.hasNeighbourEnded && this.caller.writableFinished;
    }

    isConnecting(): boolean {
        return this.state === "connecting";
    }

    isOpen(): boolean {
        return this.state === "open";
    }

    /** Gives up the attempt to connect, and returns the caller's connection, of which nothing was read. */
    failConnecting(error: string): void {
        if (this.state === "connecting") {
            this.finish();
            this.neighbour.destroy();
            this.serveLocally(error);
        }
    }

    /** Resets both connections, so that nobody takes what was passed on so far as complete. */
    reset(cause: RelayResetCause): void {
        if (this.state === "connecting") {
            this.failConnecting(cause);
        }
        else if (this.state === "open") {
            this.finish();
            this.relay.logFailure(this.target, cause, this.getProgress());
            this.neighbour.resetAndDestroy();
            this.caller.resetAndDestroy();
        }
    }

    /** Closes both connections regularly. */
    close(cause: RelayCloseCause): void {
        if (this.state === "connecting") {
            this.failConnecting("closing");
        }
        else if (this.state === "open") {
            this.finish();
            this.relay.logClosed(this.target, cause, this.getProgress());
            this.neighbour.destroy();
            this.caller.destroy();
        }
    }

    private readonly handleConnect = (): void => {
        if (this.state !== "connecting") {
            return;
        }
        const { caller, neighbour } = this;
        this.state = "open";
        this.openedAt = performance.now();
        this.relay.recordConnected();
        caller.on("data", this.handleRequest);
        caller.on("end", () => this.handleCallerEnd());
        caller.on("drain", this.handleCallerDrain);
        caller.on("error", () => this.handleCallerClose());
        caller.on("close", () => this.handleCallerClose());
        neighbour.on("end", () => void this.handleNeighbourEnd());
        neighbour.on("drain", () => caller.resume());
        neighbour.on("close", () => this.handleNeighbourClose());
        caller.resume();
    };

    private readonly handleRequest = (chunk: Buffer): void => {
        if (this.neighbour.readableEnded || this.hasCallerClosed) {
            // The neighbour has closed the connection, and the caller does not know yet; or the caller has left.
            return;
        }
        if (this.delayedBytes !== undefined) {
            this.delayedBytes.push(chunk);
            return;
        }
        const arrived = tryReadArrived(this.caller);
        if (arrived === undefined) {
            this.delayedBytes = [chunk];
            void this.forwardAfterPoll();
        }
        else if (arrived.hasEnded) {
            this.handleCallerEnd();
        }
        else {
            this.forwardRequest(arrived.bytes.length === 0 ? chunk : Buffer.concat([chunk, ...arrived.bytes]));
        }
    };

    /** Passes on bytes unless the caller has left meanwhile. */
    private async forwardAfterPoll(): Promise<void> {
        await waitForNextPoll();
        const bytes = Buffer.concat(this.delayedBytes!);
        this.delayedBytes = undefined;
        if (this.state === "open" && !this.hasCallerClosed && !this.neighbour.readableEnded) {
            this.forwardRequest(bytes);
        }
    }

    /** The other router does not get what its caller has sent last: it would begin to work before it learns of the end. */
    private handleCallerEnd(): void {
        if (this.hasCallerClosed || this.state !== "open") {
            return;
        }
        this.hasCallerClosed = true;
        this.relay.recordCallerClose(this);
        if (this.isPreambleSent) {
            this.neighbour.end();
        }
        else {
            this.close("callerLeft");
        }
    }

    private forwardRequest(chunk: Buffer): void {
        this.lastBytesAt = performance.now();
        this.answerReads = 0;
        if (this.isPaced) {
            this.resumePaced();
        }
        if (!this.neighbour.write(this.addPreamble(chunk))) {
            this.caller.pause();
        }
    }

    /** Sends the preamble together with the first bytes, which saves a packet. */
    private addPreamble(chunk: Buffer): Buffer {
        if (this.isPreambleSent) {
            return chunk;
        }
        this.isPreambleSent = true;
        // Callers may open connections ahead of requests. A request that was there already is read soon after.
        const isWaiting = performance.now() - this.openedAt < FIRST_REQUEST_WINDOW_MS;
        const ageMs = isWaiting ? performance.now() - this.arrivedAt : 0;
        return Buffer.concat([encodeRelayPreamble(ageMs, this.relay.getInstance()), chunk]);
    }

    /** Returns whether to continue reading. */
    private handleAnswer(length: number, buffer: Uint8Array): boolean {
        if (this.state !== "open") {
            return false;
        }
        this.lastBytesAt = performance.now();
        this.answerReads += 1;
        this.isBlocked = !this.caller.write(Buffer.from(buffer.subarray(0, length)));
        const { pacer } = this.relay;
        if (this.answerReads > UNPACED_READS && pacer.isActive()) {
            this.isPaced = true;
            pacer.scheduleResume(this.resumePaced);
        }
        return !this.isBlocked && !this.isPaced;
    }

    private readonly resumePaced = (): void => {
        this.isPaced = false;
        this.resumeReading();
    };

    private readonly handleCallerDrain = (): void => {
        this.isBlocked = false;
        this.resumeReading();
    };

    private resumeReading(): void {
        if (this.state === "open" && !this.isBlocked && !this.isPaced) {
            this.neighbour.resume();
        }
    }

    private readonly handleNeighbourError = (error: Error): void => {
        if (this.state === "connecting") {
            this.failConnecting((error as NodeJS.ErrnoException).code ?? error.message);
        }
        else if (!this.neighbour.readableEnded) {
            this.reset("neighbourLost");
        }
    };

    /**
     * When a process is killed, its system closes its connections as regularly as after a complete answer. Its peer link is
     * closed together with them, so that the link is read first.
     */
    private async handleNeighbourEnd(): Promise<void> {
        // Bytes that cross a regular end are answered with a reset, too; no answer is under way then.
        const isReset = this.answerReads > 0 && isResetAtEnd(this.neighbour);
        await waitForNextPoll();
        if (isReset || this.relay.isLost(this.target.address)) {
            this.reset("neighbourLost");
        }
        else if (this.state === "open") {
            this.hasNeighbourEnded = true;
            // A slow caller first gets the rest of the answer.
            this.caller.end(() => this.relay.addHalfClosed(this));
        }
    }

    private handleNeighbourClose(): void {
        if (this.neighbour.readableEnded) {
            this.finishIfClosed();
        }
        else {
            this.reset("neighbourLost");
        }
    }

    /** A caller that leaves early closes or resets the connection; the neighbour is told at once, so that upstreams stop. */
    private handleCallerClose(): void {
        if (this.caller.readableEnded && this.caller.writableFinished) {
            this.finishIfClosed();
        }
        else if (this.state === "open") {
            this.finish();
            this.neighbour.resetAndDestroy();
            this.caller.destroy();
        }
    }

    private finishIfClosed(): void {
        if (this.caller.destroyed && this.neighbour.destroyed) {
            this.finish();
        }
    }

    private finish(): void {
        this.state = "closed";
        this.relay.remove(this);
    }
}

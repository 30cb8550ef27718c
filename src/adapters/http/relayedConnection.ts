/** One relayed connection: passes bytes between a caller and the router that serves it, and decides what becomes of the caller if that is lost. */
import { connect, type Socket } from "node:net";
import { type NeighbourEnd, RelayedExchange, resolveLostLink } from "../../domain/relayedExchange.js";
import { tryReadArrived } from "../arrivedInput.js";
import { waitForNextPoll } from "../nextPoll.js";
import { parseAddress } from "../rpc/tcpNetwork.js";
import { isResetAtEnd } from "../socketReset.js";
import type { ConnectionRelay, LostRequest } from "./connectionRelay.js";
import type { FailoverCause, RelayCloseCause, RelayProgress, RelayResetCause } from "./relayEvents.js";
import { encodeRelayPreamble } from "./relayPreamble.js";

/** Reads of an answer that are never followed by a pause: the head, and the first bytes of the body. */
const UNPACED_READS = 2;

/** Time from the connection to the neighbour until a request that the caller had sent before it is read, in milliseconds. */
const FIRST_REQUEST_WINDOW_MS = 250;

/** Silence after which the system asks whether the box of the other router still answers, in milliseconds. */
const KEEP_ALIVE_DELAY_MS = 1_000;

/** A router that connections are relayed to. */
export interface RelayTarget {
    /** Peer address, which identifies it. */
    readonly address: string;
    /** HOST:PORT at which it accepts relayed connections. */
    readonly relayAddress: string;
}

/** A caller's connection and its continuation to another router. Either buffers at most its high-water mark. */
export class RelayedConnection {
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
    /** Undefined without failover. */
    private readonly exchange: RelayedExchange | undefined;
    /** When the peer link to the neighbour was lost; undefined while there is one. Monotonic clock, milliseconds. */
    private linkLostAt: number | undefined;
    private linkTimer: NodeJS.Timeout | undefined;
    private callerHandlers: readonly (readonly [string, (bytes: Buffer) => void])[] = [];
    /** Whether the caller's connection has no neighbour any more, and waits for a request that is served here. */
    private isDetached = false;

    constructor(
        private readonly relay: ConnectionRelay,
        private readonly caller: Socket,
        readonly target: RelayTarget,
        private readonly arrivedAt: number,
        readBuffer: Buffer,
        private readonly serveLocally: (error: string) => void,
    ) {
        this.exchange = relay.failover && new RelayedExchange(relay.failover.retention);
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

    /** Whether no neighbour knows of the connection, and no request has come. */
    isUnused(): boolean {
        return this.state === "open" && (this.isDetached || !this.isPreambleSent) && this.delayedBytes === undefined;
    }

    /** Passes on what has arrived and the event loop has not read yet; returns whether there was anything. */
    forwardArrived(): boolean {
        const bytes = Buffer.concat(tryReadArrived(this.caller)?.bytes ?? []);
        if (bytes.length > 0) {
            this.handleRequest(bytes);
        }
        return bytes.length > 0;
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
        this.callerHandlers = [
            ["data", this.handleRequest],
            ["end", this.handleCallerEnd],
            ["drain", this.handleCallerDrain],
            ["error", this.handleCallerClose],
            ["close", this.handleCallerClose],
        ];
        this.callerHandlers.forEach(([event, handler]) => caller.on(event, handler));
        neighbour.on("end", () => void this.handleNeighbourEnd());
        neighbour.on("drain", () => caller.resume());
        neighbour.on("close", () => this.handleNeighbourClose());
        caller.resume();
    };

    private readonly handleRequest = (chunk: Buffer): void => {
        if (this.isDetached) {
            this.serveDetached(chunk);
            return;
        }
        if (this.neighbour.readableEnded) {
            // The neighbour has closed the connection, and the caller does not know yet.
            this.exchange?.recordRequest(chunk, performance.now());
            return;
        }
        if (this.hasCallerClosed) {
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
        if (this.delayedBytes === undefined) {
            return;
        }
        const bytes = Buffer.concat(this.delayedBytes);
        this.delayedBytes = undefined;
        if (this.state !== "open" || this.hasCallerClosed) {
            return;
        }
        if (this.neighbour.readableEnded) {
            this.exchange?.recordRequest(bytes, performance.now());
        }
        else {
            this.forwardRequest(bytes);
        }
    }

    /** The other router does not get what its caller has sent last: it would begin to work before it learns of the end. */
    private readonly handleCallerEnd = (): void => {
        if (this.hasCallerClosed || this.state !== "open") {
            return;
        }
        this.hasCallerClosed = true;
        this.relay.recordCallerClose(this);
        if (this.isPreambleSent && !this.isDetached) {
            this.neighbour.end();
        }
        else {
            this.close("callerLeft");
        }
    };

    private forwardRequest(chunk: Buffer): void {
        this.lastBytesAt = performance.now();
        this.answerReads = 0;
        const isFirst = this.exchange?.getState() === "idle";
        this.exchange?.recordRequest(chunk, this.lastBytesAt);
        const cause = isFirst ? this.tryGetFirstCause() : undefined;
        if (cause !== undefined) {
            // Nothing of this request has been passed on.
            this.failOver(cause, "closed");
            return;
        }
        if (this.isPaced) {
            this.resumePaced();
        }
        if (!this.neighbour.write(this.addPreamble(chunk))) {
            this.caller.pause();
        }
    }

    /** Returns why a request is not to be passed on, nothing of which has been; undefined if it is. */
    private tryGetFirstCause(): FailoverCause | undefined {
        if (this.linkLostAt !== undefined || this.relay.isLost(this.target.address)) {
            return "linkLost";
        }
        // A router that is paused would answer by the older configuration when it goes on.
        return this.relay.isOutdated(this.target.address) ? "outdated" : undefined;
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
        const received = Buffer.from(buffer.subarray(0, length));
        const bytes = this.exchange?.readAnswer(received) ?? received;
        if (bytes.length === 0) {
            return true;
        }
        this.answerReads += 1;
        this.isBlocked = !this.caller.write(bytes);
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

    /**
     * Called when the peer link to the neighbour is lost, which says nothing of this connection: the neighbour may be paused, slow or about to end.
     * A request that may be repeated is served here; the others wait for as long as they may, since they may be running.
     */
    async handleLostLink(): Promise<void> {
        if (this.exchange === undefined || this.state === "connecting") {
            this.reset("neighbourUnreachable");
            return;
        }
        if (this.linkLostAt !== undefined) {
            return;
        }
        this.linkLostAt = performance.now();
        // The system of a process that has ended closes this connection too.
        await waitForNextPoll();
        this.checkLostLink();
    }

    /** Called when the peer link to the neighbour is there again. */
    handleRestoredLink(): void {
        this.linkLostAt = undefined;
        clearTimeout(this.linkTimer);
    }

    /** Decides how long the neighbour is waited for without a link to it. */
    private checkLostLink(): void {
        clearTimeout(this.linkTimer);
        if (this.state !== "open" || this.hasNeighbourEnded || this.isDetached || this.linkLostAt === undefined) {
            return;
        }
        const exchange = this.exchange!;
        const action = resolveLostLink(
            exchange,
            this.relay.tryGetTerms(exchange.tryGetHead()),
            this.relay.isStopping(this.target.address),
            Math.max(this.lastBytesAt, this.linkLostAt),
        );
        if (action.type === "detach") {
            this.detach("linkLost");
        }
        else if (action.type === "failOver") {
            this.failOver("linkLost", "reset");
        }
        else {
            this.waitWithoutLink(action.until);
        }
    }

    private waitWithoutLink(until: number): void {
        const remainingMs = until - performance.now();
        if (remainingMs <= 0) {
            this.handleLoss("reset", "late");
        }
        else {
            this.linkTimer = setTimeout(() => void waitForNextPoll().then(() => this.checkLostLink()), remainingMs);
            this.linkTimer.unref();
        }
    }

    private readonly handleNeighbourError = (error: Error): void => {
        if (this.state === "connecting") {
            this.failConnecting((error as NodeJS.ErrnoException).code ?? error.message);
        }
        else if (!this.neighbour.readableEnded && !this.isDetached) {
            this.handleLoss("reset", "neighbourReset");
        }
    };

    /**
     * When a process is killed, its system closes its connections as regularly as after a complete answer. Its peer link is
     * closed together with them, so that the link is read first.
     */
    private async handleNeighbourEnd(): Promise<void> {
        const wasReset = isResetAtEnd(this.neighbour);
        // Bytes that cross a regular end are answered with a reset, too; no answer is under way then.
        const isReset = this.answerReads > 0 && wasReset;
        await waitForNextPoll();
        if (this.state !== "open") {
            return;
        }
        const state = this.exchange?.getState();
        const isLost = isReset || this.linkLostAt !== undefined || this.relay.isLost(this.target.address);
        if (state === "unanswered" || state === "answering" || (state === "idle" && isLost)) {
            this.handleLoss(wasReset ? "reset" : "closed", wasReset ? "neighbourReset" : "neighbourClosed");
        }
        else if (isLost) {
            this.reset("neighbourLost");
        }
        else {
            this.endCaller();
        }
    }

    /** Serves the caller here unless it has a part of an answer, which nobody can complete. */
    private handleLoss(end: NeighbourEnd, cause: FailoverCause): void {
        const state = this.exchange?.getState();
        if (this.hasCallerClosed) {
            this.reset("neighbourLost");
        }
        else if (state === "idle") {
            this.detach(cause);
        }
        else if (state === "unanswered") {
            this.failOver(cause, end);
        }
        else {
            this.reset("neighbourLost");
        }
    }

    /** Keeps the caller's connection, which carries no request, for one that may be under way. */
    private detach(cause: FailoverCause): void {
        if (this.state !== "open" || this.isDetached) {
            return;
        }
        this.isDetached = true;
        this.relay.logFailover(this.target, cause, { mayHaveRun: false, isRetained: true }, this.getProgress());
        this.neighbour.resetAndDestroy();
        this.relay.addHalfClosed(this);
        const { delayedBytes } = this;
        this.delayedBytes = undefined;
        delayedBytes?.forEach(chunk => this.handleRequest(chunk));
    }

    private serveDetached(chunk: Buffer): void {
        if (!this.hasNeighbourEnded) {
            this.exchange!.recordRequest(chunk, performance.now());
            this.failOver("linkLost", "closed");
        }
    }

    /** Ends a connection whose caller has sent nothing for too long, or closes one that the caller keeps open after its end. */
    endOverdue(): void {
        if (this.isDetached && !this.hasNeighbourEnded) {
            this.endCaller();
        }
        else {
            this.close("callerKeepsOpen");
        }
    }

    /** A slow caller first gets the rest of the answer. */
    private endCaller(): void {
        this.hasNeighbourEnded = true;
        this.caller.end(() => this.relay.addHalfClosed(this));
    }

    /** Answers the request under way as one that may have run, if there is one; returns whether there is. */
    tryRefuse(): boolean {
        const canRefuse = this.state === "open" && this.exchange?.getState() === "unanswered" && !this.hasCallerClosed;
        if (canRefuse) {
            this.endFailover("stopping", "reset", lost => this.relay.failover!.refuse(this.caller, lost));
        }
        return canRefuse;
    }

    private failOver(cause: FailoverCause, end: NeighbourEnd): void {
        this.endFailover(cause, end, lost => this.relay.failover!.serve(this.caller, lost));
    }

    /** Hands the caller's connection over, with the request under way in front. */
    private endFailover(cause: FailoverCause, end: NeighbourEnd, handOver: (lost: LostRequest) => void): void {
        if (this.state !== "open") {
            return;
        }
        if (this.hasCallerClosed) {
            this.reset("neighbourLost");
            return;
        }
        const { caller, neighbour } = this;
        const exchange = this.exchange!;
        const mayHaveRun = exchange.mayHaveRun(end);
        const bytes = exchange.tryGetRequest();
        if (!this.isDetached) {
            const request = { mayHaveRun, isRetained: bytes !== undefined };
            this.relay.logFailover(this.target, cause, request, this.getProgress());
        }
        caller.pause();
        this.callerHandlers.forEach(([event, handler]) => caller.off(event, handler));
        this.finish();
        neighbour.resetAndDestroy();
        handOver({ bytes, mayHaveRun, startedAt: exchange.getStartedAt() });
    }

    private handleNeighbourClose(): void {
        if (this.isDetached) {
            return;
        }
        if (this.neighbour.readableEnded) {
            this.finishIfClosed();
        }
        else if (this.state === "open") {
            this.handleLoss("reset", "neighbourReset");
        }
    }

    /** A caller that leaves early closes or resets the connection; the neighbour is told at once, so that upstreams stop. */
    private readonly handleCallerClose = (): void => {
        if (this.caller.readableEnded && this.caller.writableFinished) {
            this.finishIfClosed();
        }
        else if (this.state === "open") {
            if (!this.hasCallerClosed) {
                this.relay.recordCallerClose(this);
            }
            this.finish();
            this.neighbour.resetAndDestroy();
            this.caller.destroy();
        }
    };

    private finishIfClosed(): void {
        if (this.caller.destroyed && this.neighbour.destroyed) {
            this.finish();
        }
    }

    private finish(): void {
        this.state = "closed";
        clearTimeout(this.linkTimer);
        this.exchange?.release();
        this.relay.remove(this);
    }
}

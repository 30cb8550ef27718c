/** A connection to another process: bidirectional JSON-RPC 2.0 with one message per line. */
import {
    createJSONRPCErrorResponse,
    createJSONRPCSuccessResponse,
    JSONRPCClient,
    type JSONRPCRequest,
    type JSONRPCResponse,
    JSONRPCServer,
} from "json-rpc-2.0";
import type { Socket } from "node:net";
import { createRefusal, getRefusal, type Refusal, RefusalError, ResultCodes } from "../../domain/resultCodes.js";
import { Peer, type PeerHandlers, type PeerIdentity, type PeerMethod } from "../../ports/peer.js";
import { waitForNextPoll } from "../nextPoll.js";
import { readLines } from "./lineReader.js";

/** Limit on the bytes buffered for sending; a peer that exceeds it is disconnected. */
export const MAX_SEND_BUFFER_BYTES = 64 * 1024 * 1024;

const LIVENESS_CHECK_PERIOD_MS = 500;
/** A connection in use is closed if nothing is received for this long, including replies to pings. */
export const IDLE_TIMEOUT_MS = 2_000;
const PING_METHOD = "peer.ping";
const PONG_METHOD = "peer.pong";

const UNKNOWN_IDENTITY: PeerIdentity = { name: "", role: "operator", zone: "", incarnation: "" };

/** Whether a call to `method` is allowed; rejects other calls until the handshake is complete. */
export type CallFilter = (method: string) => boolean;

export class TcpPeer extends Peer {
    override identity: PeerIdentity = UNKNOWN_IDENTITY;
    /** Why this side closed the connection; undefined if it closed without a refusal. */
    closedBy: Refusal | undefined;
    private readonly client: JSONRPCClient;
    private readonly server = new JSONRPCServer();
    private readonly closeHandlers = new Set<() => void>();
    private open = true;
    /** Whether nothing is sent or handled any more, while what was sent is on its way. */
    private isEnding = false;
    private pendingCalls = 0;
    private closeListener: () => void = () => undefined;
    private lastReceivedAtMs = performance.now();
    private lastCheckedAtMs = performance.now();
    private lastBytesRead = 0;
    private lastCallId = 0;
    /**
     * Whether a call has timed out and nothing has been received since. Without it, calls that time out between two
     * liveness checks would never cause a dead connection to be detected.
     */
    private hasTimedOutCall = false;
    private readonly livenessTimer: NodeJS.Timeout;

    constructor(
        private readonly socket: Socket,
        private readonly handlers: PeerHandlers,
        private readonly isCallAllowed: CallFilter,
        private readonly getMaxLineBytes?: () => number,
    ) {
        super();
        socket.setNoDelay(true);
        this.client = new JSONRPCClient(request => this.sendMessage(request));
        this.server.applyMiddleware(async (_next, request) => this.createResponse(request));
        this.livenessTimer = setInterval(() => this.checkLiveness(), LIVENESS_CHECK_PERIOD_MS);
        this.livenessTimer.unref();
    }

    /** Reads and handles messages until the connection ends. */
    async run(): Promise<void> {
        try {
            for await (const line of readLines(this.socket, this.getMaxLineBytes)) {
                this.lastReceivedAtMs = performance.now();
                this.hasTimedOutCall = false;
                this.handleMessage(line);
            }
        }
        catch (error) {
            this.closedBy ??= getRefusal(error);
        }
        finally {
            this.close();
        }
    }

    override async call<P, R>(method: PeerMethod<P, R>, params: P, timeoutMs: number): Promise<R> {
        if (!this.open) {
            throw new RefusalError(createRefusal("peerGone", method.name));
        }
        this.pendingCalls += 1;
        this.lastCallId += 1;
        const id = this.lastCallId;
        const timer = setTimeout(() => void this.timeOutCall(id, method.name), timeoutMs);
        try {
            const request = { jsonrpc: "2.0" as const, id, method: method.name, params: params as never };
            const { result, error } = await this.client.requestAdvanced(request);
            if (result !== undefined && error === undefined) {
                return result as R;
            }
            // The client ends the pending calls of a lost connection with errors that carry no refusal.
            const refusal = error?.data as Refusal | undefined ?? createRefusal("peerGone", method.name, "unknown");
            this.hasTimedOutCall ||= refusal.code === "peerTimeout";
            throw new RefusalError(refusal);
        }
        finally {
            clearTimeout(timer);
            this.pendingCalls -= 1;
        }
    }

    /** Ends a call without a response. After a stall of this process, a response may have arrived that it has not read. */
    private async timeOutCall(id: number, method: string): Promise<void> {
        await waitForNextPoll();
        const data = createRefusal("peerTimeout", method, "unknown");
        this.client.receive({ jsonrpc: "2.0", id, error: { code: ResultCodes.peerTimeout.number, message: "", data } });
    }

    override notify<P>(method: PeerMethod<P, void>, params: P): void {
        if (this.open) {
            this.sendMessage({ jsonrpc: "2.0", method: method.name, params: params as never });
        }
    }

    override onClose(handler: () => void): () => void {
        if (!this.open) {
            handler();
            return () => undefined;
        }
        this.closeHandlers.add(handler);
        return () => this.closeHandlers.delete(handler);
    }

    /** Sets a listener for the end of the connection. Unlike `onClose`, it does not make the connection count as in use. */
    setCloseListener(handler: () => void): void {
        this.closeListener = handler;
        if (!this.open) {
            handler();
        }
    }

    override isOpen(): boolean {
        return this.open;
    }

    /** Closes the connection when the other side has received what was sent, or after `limitMs`. */
    async finish(limitMs: number): Promise<void> {
        if (!this.open) {
            return;
        }
        this.isEnding = true;
        const closed = new Promise(resolve => this.socket.once("close", resolve));
        const timer = setTimeout(() => this.close(), limitMs);
        // Destroying the socket would discard what is unsent, and reset the connection if something is unread.
        this.socket.end();
        await closed;
        clearTimeout(timer);
    }

    /** Closes the connection; pending calls reject with peerGone. */
    close(): void {
        if (!this.open) {
            return;
        }
        this.open = false;
        clearInterval(this.livenessTimer);
        this.socket.destroy();
        this.client.rejectAllPendingRequests("connection lost");
        this.closeListener();
        this.closeHandlers.forEach(handler => handler());
    }

    /**
     * Detects connections that are lost without a TCP close. A connection in use that is idle is pinged, and closed after
     * IDLE_TIMEOUT_MS, so that pending calls fail over. Time during which this process was stalled does not count: what
     * the peer sent meanwhile has not been read.
     */
    private checkLiveness(): void {
        const now = performance.now();
        this.lastReceivedAtMs += Math.max(0, now - this.lastCheckedAtMs - LIVENESS_CHECK_PERIOD_MS);
        this.lastCheckedAtMs = now;
        // Bytes of an incomplete line count as well: a long line takes seconds on a slow link.
        if (this.socket.bytesRead > this.lastBytesRead) {
            this.lastBytesRead = this.socket.bytesRead;
            this.lastReceivedAtMs = performance.now();
        }
        const isInUse = this.pendingCalls > 0 || this.closeHandlers.size > 0 || this.hasTimedOutCall;
        const idleMs = performance.now() - this.lastReceivedAtMs;
        if (!isInUse) {
            this.lastReceivedAtMs = performance.now();
        }
        else if (idleMs > IDLE_TIMEOUT_MS) {
            this.closedBy = createRefusal("peerStalled", "connection idle", "unknown");
            this.close();
        }
        else if (idleMs >= LIVENESS_CHECK_PERIOD_MS) {
            this.client.notify(PING_METHOD, {});
        }
    }

    private handleMessage(line: string): void {
        if (this.isEnding) {
            return;
        }
        let message: JSONRPCRequest | JSONRPCResponse;
        try {
            message = JSON.parse(line) as JSONRPCRequest | JSONRPCResponse;
        }
        catch {
            throw new RefusalError(createRefusal("peerMalformed", "message is not valid JSON"));
        }
        if (message === null || typeof message !== "object" || message.jsonrpc !== "2.0") {
            throw new RefusalError(createRefusal("peerMalformed", "message is not JSON-RPC 2.0"));
        }
        if ("method" in message) {
            if (message.method === PING_METHOD) {
                this.client.notify(PONG_METHOD, {});
            }
            else if (message.id === undefined) {
                this.handleNotification(message);
            }
            else {
                void this.handleCall(message);
            }
        }
        else {
            this.client.receive(message);
        }
    }

    /** Bypasses JSONRPCServer, because most messages are notifications with chunks of answers. */
    private handleNotification(message: JSONRPCRequest): void {
        if (message.method !== PONG_METHOD && this.isCallAllowed(message.method)) {
            // An invalid notification is dropped, since it has no response.
            this.handlers.handle(message.method, message.params, this).catch(() => undefined);
        }
    }

    private async handleCall(request: JSONRPCRequest): Promise<void> {
        const response = await this.server.receive(request);
        if (response) {
            this.sendMessage(response);
        }
    }

    private async createResponse(request: JSONRPCRequest) {
        try {
            if (!this.isCallAllowed(request.method)) {
                throw new RefusalError(createRefusal("peerUntrusted", request.method));
            }
            const result = await this.handlers.handle(request.method, request.params, this);
            return request.id === undefined ? null : createJSONRPCSuccessResponse(request.id, result ?? {});
        }
        catch (error) {
            const refusal = getRefusal(error);
            const code = ResultCodes[refusal.code].number;
            return request.id === undefined
                ? null
                : createJSONRPCErrorResponse(request.id, code, refusal.code, refusal);
        }
    }

    private sendMessage(message: JSONRPCRequest | JSONRPCResponse): void {
        if (!this.open || this.isEnding) {
            return;
        }
        this.socket.write(`${JSON.stringify(message)}\n`);
        if (this.socket.writableLength > MAX_SEND_BUFFER_BYTES) {
            this.closedBy = createRefusal("peerStalled", "send buffer limit exceeded", "unknown");
            this.close();
        }
    }
}

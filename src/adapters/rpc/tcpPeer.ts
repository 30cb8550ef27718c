/** One connection to another process: JSON-RPC 2.0, a message a line, both sides calling and answering. */
import {
    createJSONRPCErrorResponse,
    createJSONRPCSuccessResponse,
    JSONRPCClient,
    JSONRPCErrorException,
    type JSONRPCRequest,
    type JSONRPCResponse,
    JSONRPCServer,
} from "json-rpc-2.0";
import type { Socket } from "node:net";
import { createRefusal, getRefusal, type Refusal, RefusalError, ResultCodes } from "../../domain/resultCodes.js";
import { Peer, type PeerHandlers, type PeerIdentity, type PeerMethod } from "../../ports/peer.js";
import { readLines } from "./lineReader.js";

/** Most bytes that may wait to be written; a peer that reads slower than that is cut off. */
export const MAX_WAITING_BYTES = 64 * 1024 * 1024;

/** How often a connection that somebody waits on is looked after. */
const WATCH_PERIOD_MS = 500;
/** A connection that somebody waits on is lost after this much silence, pings unanswered. */
export const SILENCE_LIMIT_MS = 2_000;
const PING = "peer.ping";
const PONG = "peer.pong";

const noIdentity: PeerIdentity = { name: "", role: "operator", zone: "", incarnation: "" };

/** Decides whether a call may be answered yet; used until the handshake is done. */
export type CallGate = (method: string) => boolean;

export class TcpPeer extends Peer {
    override identity: PeerIdentity = noIdentity;
    /** The refusal that closed the connection, where this side closed it. */
    closedBy: Refusal | undefined;
    private readonly client: JSONRPCClient;
    private readonly server = new JSONRPCServer();
    private readonly closeHandlers = new Set<() => void>();
    private open = true;
    private pendingCalls = 0;
    private lostHandler: () => void = () => undefined;
    private receivedAt = performance.now();
    private bytesSeen = 0;
    /**
     * A call was given up and nothing has come since. The connection may have gone silent for good, which calls of 60 ms,
     * each given up between two looks at it, would never show.
     */
    private isSuspect = false;
    private readonly watchTimer: NodeJS.Timeout;

    constructor(
        private readonly socket: Socket,
        private readonly handlers: PeerHandlers,
        private readonly gate: CallGate,
    ) {
        super();
        socket.setNoDelay(true);
        this.client = new JSONRPCClient(request => this.sendMessage(request));
        this.server.applyMiddleware(async (_next, request) => this.answer(request));
        this.watchTimer = setInterval(() => this.watch(), WATCH_PERIOD_MS);
        this.watchTimer.unref();
    }

    /** Reads the connection until it ends. This is the connection's one task. */
    async run(): Promise<void> {
        try {
            for await (const line of readLines(this.socket)) {
                this.receivedAt = performance.now();
                this.isSuspect = false;
                this.receive(line);
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
        try {
            const timeoutRefusal = createRefusal("peerTimeout", method.name, "unknown");
            const answer: unknown = await this.client
                .timeout(
                    timeoutMs,
                    id => ({ jsonrpc: "2.0", id, error: { code: 0, message: "", data: timeoutRefusal } }),
                )
                .request(method.name, params as never);
            return answer as R;
        }
        catch (error) {
            const refusal = getPeerRefusal(error, method.name);
            this.isSuspect ||= refusal.code === "peerTimeout";
            throw new RefusalError(refusal);
        }
        finally {
            this.pendingCalls -= 1;
        }
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

    /** Calls back when the connection is lost, without counting as somebody who waits on it. */
    onLost(handler: () => void): void {
        this.lostHandler = handler;
        if (!this.open) {
            handler();
        }
    }

    override isOpen(): boolean {
        return this.open;
    }

    /** Closes the connection; calls without an answer yet end with peerGone. */
    close(): void {
        if (!this.open) {
            return;
        }
        this.open = false;
        clearInterval(this.watchTimer);
        this.socket.destroy();
        this.client.rejectAllPendingRequests("connection lost");
        this.lostHandler();
        this.closeHandlers.forEach(handler => handler());
    }

    /**
     * A connection can be cut without a sign. Where somebody waits on it, silence is first answered by a ping, then by
     * closing it, so that whoever waits can turn elsewhere.
     */
    private watch(): void {
        // Bytes of a line that is not whole yet are a sign of life too: a long one takes seconds on a thin link.
        if (this.socket.bytesRead > this.bytesSeen) {
            this.bytesSeen = this.socket.bytesRead;
            this.receivedAt = performance.now();
        }
        const isWaitedOn = this.pendingCalls > 0 || this.closeHandlers.size > 0 || this.isSuspect;
        const silentMs = performance.now() - this.receivedAt;
        if (!isWaitedOn) {
            this.receivedAt = performance.now();
        }
        else if (silentMs > SILENCE_LIMIT_MS) {
            this.closedBy = createRefusal("peerStalled", "silent", "unknown");
            this.close();
        }
        else if (silentMs >= WATCH_PERIOD_MS) {
            this.client.notify(PING, {});
        }
    }

    private receive(line: string): void {
        let message: JSONRPCRequest | JSONRPCResponse;
        try {
            message = JSON.parse(line) as JSONRPCRequest | JSONRPCResponse;
        }
        catch {
            throw new RefusalError(createRefusal("peerMalformed", "not JSON"));
        }
        if (message === null || typeof message !== "object" || message.jsonrpc !== "2.0") {
            throw new RefusalError(createRefusal("peerMalformed", "not a JSON-RPC 2.0 message"));
        }
        if ("method" in message) {
            if (message.method === PING) {
                this.client.notify(PONG, {});
            }
            else if (message.id === undefined) {
                this.receiveNotification(message);
            }
            else {
                void this.receiveCall(message);
            }
        }
        else {
            this.client.receive(message);
        }
    }

    /** Most of what arrives are the chunks of answers: they are handled without the machinery that an answer needs. */
    private receiveNotification(message: JSONRPCRequest): void {
        if (message.method !== PONG && this.gate(message.method)) {
            // A notification that does not fit its schema is dropped; nobody waits for an answer to it.
            this.handlers.handle(message.method, message.params, this).catch(() => undefined);
        }
    }

    private async receiveCall(request: JSONRPCRequest): Promise<void> {
        const response = await this.server.receive(request);
        if (response) {
            this.sendMessage(response);
        }
    }

    private async answer(request: JSONRPCRequest) {
        try {
            if (!this.gate(request.method)) {
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
        if (!this.open) {
            return;
        }
        this.socket.write(`${JSON.stringify(message)}\n`);
        if (this.socket.writableLength > MAX_WAITING_BYTES) {
            this.closedBy = createRefusal("peerStalled", "reads too slowly", "unknown");
            this.close();
        }
    }
}

function getPeerRefusal(error: unknown, method: string): Refusal {
    if (error instanceof JSONRPCErrorException && error.data !== undefined) {
        return error.data as Refusal;
    }
    return createRefusal("peerGone", method, "unknown");
}

/** Peer network over TCP: one listening socket, and one persistent connection to each address that is called. */
import { randomBytes } from "node:crypto";
import { connect as connectSocket, createServer, type Server, type Socket } from "node:net";
import { createRefusal, formatRefusal, getRefusal, RefusalError } from "../../domain/resultCodes.js";
import { type Log } from "../../ports/log.js";
import { Peer, PeerHandlers, type PeerIdentity, PeerNetwork } from "../../ports/peer.js";
import { EventSummary } from "../eventSummary.js";
import { waitForNextPoll } from "../nextPoll.js";
import { startListening } from "../startListening.js";
import { areProofsEqual, computeProof, type HandshakeNonces, helloMethod, proveMethod } from "./handshake.js";
import { MAX_LINE_BYTES } from "./lineReader.js";
import { TcpPeer } from "./tcpPeer.js";

const CONNECT_TIMEOUT_MS = 1_000;
const HANDSHAKE_TIMEOUT_MS = 1_500;
/** Delay after a failed connection attempt before the next one. */
const RECONNECT_DELAY_MS = 150;
/** How long a call waits for a connection to an address where the last attempt failed. */
const RECONNECT_TIMEOUT_MS = 60;
const NONCE_BYTES = 12;
/** Longest line before the other side has proved that it knows the fleet secret: the calls of the handshake are shorter. */
const MAX_HANDSHAKE_LINE_BYTES = 8_192;
/** Maximum number of connections whose other side has not proved that; further ones are closed. */
const MAX_UNAUTHENTICATED_CONNECTIONS = 1_024;

export interface TcpNetworkOptions {
    readonly identity: PeerIdentity;
    /** The fleet secret, shared by all processes of the fleet. */
    readonly secret: string;
    readonly handlers: PeerHandlers;
    readonly log: Log;
    /** Addresses to connect to in place of the declared ones, by declared address. */
    readonly addressMap?: Readonly<Record<string, string>>;
    readonly maxConnections?: number;
}

interface PeerEntry {
    peer: Promise<TcpPeer>;
    /** Monotonic time at which the last attempt failed, in milliseconds; undefined otherwise. */
    failedAt: number | undefined;
    /** The pending attempt after a failed one. */
    reconnection: Promise<TcpPeer> | undefined;
}

export class TcpNetwork extends PeerNetwork {
    private readonly entries = new Map<string, PeerEntry>();
    private readonly accepted = new Set<TcpPeer>();
    /** Accepted connections whose other side has not proved yet that it knows the fleet secret. */
    private readonly unauthenticated = new Set<TcpPeer>();
    private readonly unknownPeers: EventSummary;
    private server: Server | undefined;
    private closed = false;

    constructor(private readonly options: TcpNetworkOptions) {
        super();
        this.unknownPeers = new EventSummary(count => options.log.warn("peers_unknown_closed", { count }));
    }

    /** Listens for connections from other processes and resolves to the port. */
    async listen(host: string, port: number): Promise<number> {
        const server = createServer(socket => void this.handleConnection(socket));
        server.maxConnections = this.options.maxConnections ?? 4096;
        await startListening(server, host, port);
        this.server = server;
        return (server.address() as { port: number; }).port;
    }

    override connect(address: string): Promise<Peer> {
        const entry = this.entries.get(address);
        if (entry === undefined) {
            return this.connectFirst(address);
        }
        return entry.failedAt === undefined ? entry.peer : this.reconnect(address, entry);
    }

    private connectFirst(address: string): Promise<TcpPeer> {
        const entry: PeerEntry = { peer: this.dial(address), failedAt: undefined, reconnection: undefined };
        this.entries.set(address, entry);
        this.trackAttempt(address, entry, entry.peer);
        return entry.peer;
    }

    /** Limits the wait to RECONNECT_TIMEOUT_MS, so that a caller can try another process soon. */
    private reconnect(address: string, entry: PeerEntry): Promise<TcpPeer> {
        if (entry.reconnection === undefined) {
            if (performance.now() - entry.failedAt! < RECONNECT_DELAY_MS) {
                return entry.peer;
            }
            entry.reconnection = this.dial(address);
            this.trackAttempt(address, entry, entry.reconnection);
        }
        const timeout = new Promise<never>((_resolve, reject) => {
            setTimeout(
                () => reject(new RefusalError(createRefusal("peerGone", `timed out reconnecting to ${address}`))),
                RECONNECT_TIMEOUT_MS,
            );
        });
        return Promise.race([entry.reconnection, timeout]);
    }

    private trackAttempt(address: string, entry: PeerEntry, attempt: Promise<TcpPeer>): void {
        attempt.then(
            peer => {
                entry.peer = attempt;
                entry.failedAt = undefined;
                entry.reconnection = undefined;
                peer.setCloseListener(() => this.entries.delete(address));
            },
            () => {
                entry.peer = attempt;
                entry.failedAt = performance.now();
                entry.reconnection = undefined;
            },
        );
    }

    /** Closes the listening socket, and all connections once the other sides have received what was sent, or after `limitMs`. */
    async close(limitMs: number): Promise<void> {
        this.closed = true;
        this.server?.close();
        const dialed = [...this.entries.values()].map(entry =>
            entry.peer.then(peer => peer.finish(limitMs), () => undefined)
        );
        const accepted = [...this.accepted].map(peer => peer.finish(limitMs));
        // Does not wait for connections that are only being opened.
        const timeout = new Promise<void>(resolve => setTimeout(resolve, limitMs));
        await Promise.race([timeout, Promise.all([...dialed, ...accepted])]);
    }

    private async dial(address: string): Promise<TcpPeer> {
        if (this.closed) {
            throw new RefusalError(createRefusal("peerGone", "this process is shutting down"));
        }
        const socket = await openSocket(this.options.addressMap?.[address] ?? address);
        const peer: TcpPeer = new TcpPeer(socket, this.options.handlers, () => peer.identity.name !== "");
        void peer.run();
        try {
            await this.performHandshake(peer);
        }
        catch (error) {
            peer.close();
            throw new RefusalError({ ...getRefusal(error), ran: "no" });
        }
        return peer;
    }

    private async performHandshake(peer: TcpPeer): Promise<void> {
        const { identity, secret } = this.options;
        const nonce = randomBytes(NONCE_BYTES).toString("hex");
        const result = await peer.call(helloMethod, { identity, nonce }, HANDSHAKE_TIMEOUT_MS);
        const nonces = { dialer: nonce, acceptor: result.nonce };
        if (!areProofsEqual(result.proof, computeProof(secret, "acceptor", nonces, result.identity))) {
            throw new RefusalError(
                createRefusal("peerUntrusted", "peer failed to prove that it knows the fleet secret"),
            );
        }
        peer.identity = result.identity;
        await peer.call(proveMethod, { proof: computeProof(secret, "dialer", nonces, identity) }, HANDSHAKE_TIMEOUT_MS);
    }

    private async handleConnection(socket: Socket): Promise<void> {
        if (this.unauthenticated.size >= MAX_UNAUTHENTICATED_CONNECTIONS) {
            this.unknownPeers.record();
            socket.destroy();
            return;
        }
        const peer = this.createAcceptedPeer(socket);
        this.accepted.add(peer);
        this.unauthenticated.add(peer);
        const timer = setTimeout(() => this.unauthenticated.has(peer) && peer.close(), HANDSHAKE_TIMEOUT_MS);
        await peer.run();
        clearTimeout(timer);
        this.accepted.delete(peer);
        const wasAuthenticated = !this.unauthenticated.delete(peer);
        if (peer.closedBy !== undefined && wasAuthenticated) {
            this.options.log.warn("peer_closed", { peer: peer.identity.name, reason: formatRefusal(peer.closedBy) });
        }
        else if (peer.closedBy !== undefined) {
            this.unknownPeers.record();
        }
    }

    private createAcceptedPeer(socket: Socket): TcpPeer {
        const { secret } = this.options;
        let claim: { identity: PeerIdentity; nonces: HandshakeNonces; } | undefined;
        const handshake = new PeerHandlers();
        handshake.add(helloMethod, params => {
            const nonce = randomBytes(NONCE_BYTES).toString("hex");
            const nonces = { dialer: params.nonce, acceptor: nonce };
            claim = { identity: params.identity, nonces };
            const identity = this.options.identity;
            return { identity, nonce, proof: computeProof(secret, "acceptor", nonces, identity) };
        });
        handshake.add(proveMethod, params => {
            if (
                claim === undefined
                || !areProofsEqual(params.proof, computeProof(secret, "dialer", claim.nonces, claim.identity))
            ) {
                setImmediate(() => peer.close());
                throw new RefusalError(createRefusal("peerUntrusted"));
            }
            this.unauthenticated.delete(peer);
            peer.identity = claim.identity;
            return { ok: true as const };
        });
        const handlers = new PeerHandlers();
        handlers.handle = (name, params, from) =>
            name === helloMethod.name || name === proveMethod.name
                ? handshake.handle(name, params, from)
                : this.options.handlers.handle(name, params, from);
        const isAllowed = (method: string): boolean =>
            !this.unauthenticated.has(peer) || method === helloMethod.name || method === proveMethod.name;
        const getMaxLineBytes = (): number =>
            this.unauthenticated.has(peer) ? MAX_HANDSHAKE_LINE_BYTES : MAX_LINE_BYTES;
        const peer: TcpPeer = new TcpPeer(socket, handlers, isAllowed, getMaxLineBytes);
        return peer;
    }
}

/** Splits HOST:PORT, such as "127.0.0.1:7100" or "[::1]:7100". */
export function parseAddress(address: string): { host: string; port: number; } {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon).replace(/^\[|\]$/g, ""), port: Number(address.slice(colon + 1)) };
}

function openSocket(address: string): Promise<Socket> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve, reject) => {
        const socket = connectSocket({ host, port });
        const fail = (): void => {
            socket.destroy();
            reject(new RefusalError(createRefusal("peerGone", `cannot connect to ${address}`)));
        };
        const failIfConnecting = (): void => {
            if (socket.connecting) {
                fail();
            }
        };
        // After a stall of this process, the connection may have been established without its knowledge.
        const timer = setTimeout(() => void waitForNextPoll().then(failIfConnecting), CONNECT_TIMEOUT_MS);
        socket.once("error", () => {
            clearTimeout(timer);
            fail();
        });
        socket.once("connect", () => {
            clearTimeout(timer);
            socket.on("error", () => undefined);
            resolve(socket);
        });
    });
}

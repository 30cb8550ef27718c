/** The processes' network over TCP: one listener, and one connection kept to each address that is called. */
import { randomBytes } from "node:crypto";
import { connect as connectSocket, createServer, type Server, type Socket } from "node:net";
import { createRefusal, formatRefusal, getRefusal, RefusalError } from "../../domain/resultCodes.js";
import { type Log } from "../../ports/log.js";
import { Peer, PeerHandlers, type PeerIdentity, PeerNetwork } from "../../ports/peer.js";
import { startListening } from "../listening.js";
import { computeProof, type HandshakeNonces, helloMethod, isProofEqual, proveMethod } from "./handshake.js";
import { TcpPeer } from "./tcpPeer.js";

const CONNECT_TIMEOUT_MS = 1_000;
const HANDSHAKE_TIMEOUT_MS = 1_500;
/** After a failed connection, how long no other is tried. */
const RETRY_PAUSE_MS = 150;
/** How long a call waits for a connection to an address where the last one failed. */
const REDIAL_WAIT_MS = 60;
const NONCE_BYTES = 12;

/** What a network needs to know of its process. */
export interface TcpNetworkOptions {
    readonly identity: PeerIdentity;
    /** The fleet secret; every process of the fleet holds the same. */
    readonly secret: string;
    readonly handlers: PeerHandlers;
    readonly log: Log;
    /** Where another address than the declared one reaches a process from this box. */
    readonly addressMap?: Readonly<Record<string, string>>;
    readonly maxConnections?: number;
}

interface KnownPeer {
    peer: Promise<TcpPeer>;
    /** When the last attempt failed, if it did. Monotonic clock, milliseconds. */
    failedAt: number | undefined;
    /** An attempt that is going on after one that failed. */
    redial: Promise<TcpPeer> | undefined;
}

export class TcpNetwork extends PeerNetwork {
    private readonly known = new Map<string, KnownPeer>();
    private readonly accepted = new Set<TcpPeer>();
    private server: Server | undefined;
    private closed = false;

    constructor(private readonly options: TcpNetworkOptions) {
        super();
    }

    /** Listens for other processes; answers the port. */
    async listen(host: string, port: number): Promise<number> {
        const server = createServer(socket => void this.runAccepted(socket));
        server.maxConnections = this.options.maxConnections ?? 4096;
        await startListening(server, host, port);
        this.server = server;
        return (server.address() as { port: number; }).port;
    }

    override connect(address: string): Promise<Peer> {
        const known = this.known.get(address);
        if (known === undefined) {
            return this.connectFirst(address);
        }
        return known.failedAt === undefined ? known.peer : this.connectAgain(address, known);
    }

    private connectFirst(address: string): Promise<TcpPeer> {
        const entry: KnownPeer = { peer: this.dial(address), failedAt: undefined, redial: undefined };
        this.known.set(address, entry);
        this.keep(address, entry, entry.peer);
        return entry.peer;
    }

    /** To an address where the last attempt failed nobody waits long: whoever calls has other places to turn to. */
    private connectAgain(address: string, entry: KnownPeer): Promise<TcpPeer> {
        if (entry.redial === undefined) {
            if (performance.now() - entry.failedAt! < RETRY_PAUSE_MS) {
                return entry.peer;
            }
            entry.redial = this.dial(address);
            this.keep(address, entry, entry.redial);
        }
        const giveUp = new Promise<never>((_resolve, reject) => {
            setTimeout(
                () => reject(new RefusalError(createRefusal("peerGone", `no connection to ${address}`))),
                REDIAL_WAIT_MS,
            );
        });
        return Promise.race([entry.redial, giveUp]);
    }

    private keep(address: string, entry: KnownPeer, attempt: Promise<TcpPeer>): void {
        attempt.then(
            peer => {
                entry.peer = attempt;
                entry.failedAt = undefined;
                entry.redial = undefined;
                peer.onLost(() => this.known.delete(address));
            },
            () => {
                entry.peer = attempt;
                entry.failedAt = performance.now();
                entry.redial = undefined;
            },
        );
    }

    /** Closes the listener and every connection. */
    close(): void {
        this.closed = true;
        this.server?.close();
        this.accepted.forEach(peer => peer.close());
        this.known.forEach(entry => void entry.peer.then(peer => peer.close(), () => undefined));
    }

    private async dial(address: string): Promise<TcpPeer> {
        if (this.closed) {
            throw new RefusalError(createRefusal("peerGone", "this process is stopping"));
        }
        const socket = await openSocket(this.options.addressMap?.[address] ?? address);
        const peer: TcpPeer = new TcpPeer(socket, this.options.handlers, () => peer.identity.name !== "");
        void peer.run();
        try {
            await this.introduce(peer);
        }
        catch (error) {
            peer.close();
            throw new RefusalError({ ...getRefusal(error), ran: "no" });
        }
        return peer;
    }

    private async introduce(peer: TcpPeer): Promise<void> {
        const { identity, secret } = this.options;
        const nonce = randomBytes(NONCE_BYTES).toString("hex");
        const answer = await peer.call(helloMethod, { identity, nonce }, HANDSHAKE_TIMEOUT_MS);
        const nonces = { dialer: nonce, acceptor: answer.nonce };
        if (!isProofEqual(answer.proof, computeProof(secret, "acceptor", nonces, answer.identity))) {
            throw new RefusalError(createRefusal("peerUntrusted", "the other side does not know the fleet secret"));
        }
        peer.identity = answer.identity;
        await peer.call(proveMethod, { proof: computeProof(secret, "dialer", nonces, identity) }, HANDSHAKE_TIMEOUT_MS);
    }

    private async runAccepted(socket: Socket): Promise<void> {
        const session = this.createAcceptedSession(socket);
        this.accepted.add(session.peer);
        const timer = setTimeout(() => session.closeUnlessTrusted(), HANDSHAKE_TIMEOUT_MS);
        await session.peer.run();
        clearTimeout(timer);
        this.accepted.delete(session.peer);
        if (session.peer.closedBy !== undefined) {
            this.options.log.warn("peer_closed", {
                peer: session.peer.identity.name,
                reason: formatRefusal(session.peer.closedBy),
            });
        }
    }

    private createAcceptedSession(socket: Socket): { peer: TcpPeer; closeUnlessTrusted: () => void; } {
        const { secret } = this.options;
        let claimed: { identity: PeerIdentity; nonces: HandshakeNonces; } | undefined;
        let trusted = false;
        const handshake = new PeerHandlers();
        handshake.add(helloMethod, params => {
            const nonce = randomBytes(NONCE_BYTES).toString("hex");
            const nonces = { dialer: params.nonce, acceptor: nonce };
            claimed = { identity: params.identity, nonces };
            const identity = this.options.identity;
            return { identity, nonce, proof: computeProof(secret, "acceptor", nonces, identity) };
        });
        handshake.add(proveMethod, params => {
            if (
                claimed === undefined
                || !isProofEqual(params.proof, computeProof(secret, "dialer", claimed.nonces, claimed.identity))
            ) {
                setImmediate(() => peer.close());
                throw new RefusalError(createRefusal("peerUntrusted"));
            }
            trusted = true;
            peer.identity = claimed.identity;
            return { ok: true as const };
        });
        const handlers = new PeerHandlers();
        handlers.handle = (name, params, from) =>
            name === helloMethod.name || name === proveMethod.name
                ? handshake.handle(name, params, from)
                : this.options.handlers.handle(name, params, from);
        const isAllowed = (method: string): boolean =>
            trusted || method === helloMethod.name || method === proveMethod.name;
        const peer = new TcpPeer(socket, handlers, isAllowed);
        return { peer, closeUnlessTrusted: () => trusted || peer.close() };
    }
}

/** Splits "127.0.0.1:7100" or "[::1]:7100". */
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
            reject(new RefusalError(createRefusal("peerGone", `no connection to ${address}`)));
        };
        const timer = setTimeout(fail, CONNECT_TIMEOUT_MS);
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

/** RPC between the processes of the fleet. A method has a name, a schema for its parameters, and a result type. */
import type * as z from "zod";
import { createRefusal, RefusalError } from "../domain/resultCodes.js";

export interface PeerMethod<P, R> {
    readonly name: string;
    readonly params: z.ZodType<P>;
    /** Carries the result type; never set. */
    readonly result?: R;
}

/** Declares a method. The receiver validates parameters by schema; the result type is only checked by the compiler. */
export function createPeerMethod<P, R>(name: string, params: z.ZodType<P>): PeerMethod<P, R> {
    return { name, params };
}

/** Identity of the process at the other end of a connection. */
export interface PeerIdentity {
    readonly name: string;
    readonly role: "router" | "sidecar" | "controller" | "operator";
    readonly zone: string;
    /** Unique to each start of the process. */
    readonly incarnation: string;
}

/** A connection to another process, opened by either side. */
export abstract class Peer {
    abstract readonly identity: PeerIdentity;
    /** Calls a method. Rejects with a RefusalError: peerGone or peerTimeout with `ran` "unknown", or the peer's refusal. */
    abstract call<P, R>(method: PeerMethod<P, R>, params: P, timeoutMs: number): Promise<R>;
    /** Sends a notification, which has no response. It is lost without an error if the connection is lost. */
    abstract notify<P>(method: PeerMethod<P, void>, params: P): void;
    /** Calls `handler` once, when the connection is lost. Returns a function that removes the handler. */
    abstract onClose(handler: () => void): () => void;
    abstract isOpen(): boolean;
}

/** Connects to other processes by address. */
export abstract class PeerNetwork {
    /** Returns a connection to `address`. Rejects with peerGone and `ran` "no" if none can be opened. */
    abstract connect(address: string): Promise<Peer>;

    /**
     * Connects and calls `method`. In a refusal, `ran` is "no" only if nothing was sent. `connectTimeoutMs` limits the time
     * to connect, where it differs from the time to respond.
     */
    async call<P, R>(
        address: string,
        method: PeerMethod<P, R>,
        params: P,
        timeoutMs: number,
        connectTimeoutMs = timeoutMs,
    ): Promise<R> {
        const peer = await this.connectWithTimeout(address, connectTimeoutMs);
        return peer.call(method, params, timeoutMs);
    }

    /** Like `connect`, but rejects with peerGone and `ran` "no" after `timeoutMs`. */
    private async connectWithTimeout(address: string, timeoutMs: number): Promise<Peer> {
        let timer: NodeJS.Timeout | undefined;
        const timeout = new Promise<never>((_resolve, reject) => {
            timer = setTimeout(
                () => reject(new RefusalError(createRefusal("peerGone", `timed out connecting to ${address}`))),
                timeoutMs,
            );
        });
        try {
            return await Promise.race([this.connect(address), timeout]);
        }
        finally {
            clearTimeout(timer);
        }
    }
}

type UntypedHandler = (params: unknown, peer: Peer) => Promise<unknown>;

/** Dispatches calls to the handlers of a process. */
export class PeerHandlers {
    private readonly handlers = new Map<string, UntypedHandler>();
    private isComplete = false;

    /** `onHandle` is called before each call is handled. */
    constructor(private readonly onHandle: () => void = () => undefined) {}

    /** Registers `handler` for `method`. Parameters that violate the schema are rejected before it is called. */
    add<P, R>(method: PeerMethod<P, R>, handler: (params: P, peer: Peer) => Promise<R> | R): void {
        this.handlers.set(method.name, async (params, peer) => {
            const parsed = method.params.safeParse(params);
            if (!parsed.success) {
                throw new RefusalError(
                    createRefusal("peerMalformed", `${method.name}: ${parsed.error.issues[0]?.message}`),
                );
            }
            return handler(parsed.data, peer);
        });
    }

    /** Marks that all handlers of the process are registered. Until then an unknown method may be called again later. */
    markComplete(): void {
        this.isComplete = true;
    }

    async handle(name: string, params: unknown, peer: Peer): Promise<unknown> {
        this.onHandle();
        const handler = this.handlers.get(name);
        if (handler === undefined) {
            throw new RefusalError(createRefusal(this.isComplete ? "methodUnknown" : "peerStarting", name));
        }
        return handler(params, peer);
    }
}

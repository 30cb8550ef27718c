/** Calls between the system's own processes. A method is a name, a schema for what is sent, and a type of answer. */
import type * as z from "zod";
import { createRefusal, RefusalError } from "../domain/resultCodes.js";

/** A method of the protocol between processes. */
export interface PeerMethod<P, R> {
    readonly name: string;
    readonly params: z.ZodType<P>;
    /** Carries the answer's type only; never set. */
    readonly result?: R;
}

/** Declares a method. The answer's type is checked by the compiler, what is sent by its schema on arrival. */
export function createPeerMethod<P, R>(name: string, params: z.ZodType<P>): PeerMethod<P, R> {
    return { name, params };
}

/** Who is at the other end of a connection. */
export interface PeerIdentity {
    readonly name: string;
    readonly role: "router" | "sidecar" | "controller" | "operator";
    readonly zone: string;
    /** New at each start of the process. */
    readonly incarnation: string;
}

/** One connection to another process, whichever side opened it. */
export abstract class Peer {
    abstract readonly identity: PeerIdentity;
    /** Calls a method. Rejects with a RefusalError: peerGone or peerTimeout with `ran` unknown, or what the other refused with. */
    abstract call<P, R>(method: PeerMethod<P, R>, params: P, timeoutMs: number): Promise<R>;
    /** Sends without an answer. Lost silently when the connection is lost. */
    abstract notify<P>(method: PeerMethod<P, void>, params: P): void;
    /** Calls back once, when the connection is lost. Answers a function that takes the handler back. */
    abstract onClose(handler: () => void): () => void;
    abstract isOpen(): boolean;
}

/** Reaches other processes by address, opening connections as needed. */
export abstract class PeerNetwork {
    /** A connection to `address`. Rejects with peerGone and `ran` "no" when none can be opened. */
    abstract connect(address: string): Promise<Peer>;

    /**
     * Connects and calls. `ran` is "no" in a refusal only where nothing was sent. `connectMs`: for the connection, where an
     * answer may take longer. Milliseconds.
     */
    async call<P, R>(
        address: string,
        method: PeerMethod<P, R>,
        params: P,
        timeoutMs: number,
        connectMs = timeoutMs,
    ): Promise<R> {
        const peer = await this.connectWithin(address, connectMs);
        return peer.call(method, params, timeoutMs);
    }

    /** A connection, or a refusal with `ran` "no" when there is none in time. */
    private async connectWithin(address: string, timeoutMs: number): Promise<Peer> {
        let timer: NodeJS.Timeout | undefined;
        const giveUp = new Promise<never>((_resolve, reject) => {
            timer = setTimeout(
                () => reject(new RefusalError(createRefusal("peerGone", `no connection to ${address} in time`))),
                timeoutMs,
            );
        });
        try {
            return await Promise.race([this.connect(address), giveUp]);
        }
        finally {
            clearTimeout(timer);
        }
    }
}

type UntypedHandler = (params: unknown, peer: Peer) => Promise<unknown>;

/** The methods a process answers to. */
export class PeerHandlers {
    private readonly handlers = new Map<string, UntypedHandler>();

    /** `onHandle`: called for each call, before it is handled. */
    constructor(private readonly onHandle: () => void = () => undefined) {}

    /** Answers `method` by `handler`, which sees only what fits the schema. */
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

    /** Runs the handler of a method. */
    async handle(name: string, params: unknown, peer: Peer): Promise<unknown> {
        this.onHandle();
        const handler = this.handlers.get(name);
        if (handler === undefined) {
            throw new RefusalError(createRefusal("peerMalformed", `unknown method ${name}`));
        }
        return handler(params, peer);
    }
}

/** A connection relay between callers and a neighbour, without routers. */
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import type { Test } from "tap";
import { ConnectionRelay, type LostRequest } from "../../src/adapters/http/connectionRelay.js";
import { ReadPacer } from "../../src/adapters/readPacer.js";
import { isResetAtEnd } from "../../src/adapters/socketReset.js";
import { createRandomId } from "../../src/domain/identifiers.js";
import { RequestRetention, type RequestTerms } from "../../src/domain/relayedExchange.js";
import { NoLog } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { waitUntil } from "./waiting.js";

export const CONNECT_TIMEOUT_MS = 100;
const MAX_RETAINED_BYTES = 1_000_000;

export interface RelaySetup {
    readonly relay: ConnectionRelay;
    /** Connections that arrived at the neighbour. */
    readonly accepted: Socket[];
    /** Connections that were served locally. */
    readonly local: Socket[];
    readonly unreachable: Set<string>;
    /** Connections that failed over. */
    readonly lost: (LostRequest & { readonly caller: Socket; })[];
    /** Routers that have announced their stop. */
    readonly stopping: Set<string>;
    /** Peer addresses of routers that serve an older configuration. */
    readonly outdated: Set<string>;
    target: { address: string; relayAddress: string; };
    connectCaller(): Promise<Socket>;
}

export async function listen(t: Test, server: Server): Promise<number> {
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => server.close());
    return (server.address() as AddressInfo).port;
}

/** Starts a neighbour and a listener that relays everything to it. */
export async function createRelaySetup(
    t: Test,
    options: { maxConnections?: number; readDelayMs?: number; terms?: RequestTerms; } = {},
): Promise<RelaySetup> {
    const accepted: Socket[] = [];
    const local: Socket[] = [];
    const lost: (LostRequest & { readonly caller: Socket; })[] = [];
    const unreachable = new Set<string>();
    const stopping = new Set<string>();
    const outdated = new Set<string>();
    const neighbourPort = await listen(
        t,
        createServer({ allowHalfOpen: true }, socket => accepted.push(socket.on("error", () => undefined))),
    );
    const relay = new ConnectionRelay(new ReadPacer(() => options.readDelayMs ?? 0), new NoLog(), new NoMetrics(), {
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        maxConnections: options.maxConnections ?? 10,
        isReachable: address => !unreachable.has(address),
        isConnected: address => !unreachable.has(address),
        isOutdated: address => outdated.has(address),
        isStopping: address => stopping.has(address),
        instance: createRandomId(),
        getMaxReadDelayMs: () => 0,
        ...(options.terms === undefined ? {} : {
            failover: {
                retention: new RequestRetention(MAX_RETAINED_BYTES, MAX_RETAINED_BYTES),
                tryGetTerms: () => options.terms,
                serve: (caller, request) => lost.push({ ...request, caller }),
                refuse: caller => caller.end("refused"),
            },
        }),
    });
    const callers: Socket[] = [];
    const port = await listen(
        t,
        createServer({ allowHalfOpen: true, pauseOnConnect: true }, socket => {
            const serveLocally = (): void => void local.push(socket);
            if (!relay.tryRelay(socket, setup.target, performance.now(), serveLocally)) {
                serveLocally();
            }
        }),
    );
    const setup: RelaySetup = {
        relay,
        accepted,
        local,
        lost,
        unreachable,
        stopping,
        outdated,
        target: { address: "r2", relayAddress: `127.0.0.1:${neighbourPort}` },
        connectCaller: async () => {
            const caller = connect({ host: "127.0.0.1", port, allowHalfOpen: true });
            caller.on("error", () => undefined);
            callers.push(caller);
            await once(caller, "connect");
            return caller;
        },
    };
    t.teardown(() => {
        [...callers, ...accepted, ...local].forEach(socket => socket.destroy());
        relay.close();
    });
    return setup;
}

/** Connects a caller whose first bytes have arrived at the neighbour, and returns both ends. */
export async function openRelayed(
    setup: RelaySetup,
    request = "request",
): Promise<{ caller: Socket; neighbour: Socket; }> {
    const previousCount = setup.accepted.length;
    const caller = await setup.connectCaller();
    caller.write(request);
    await waitUntil("relayed", () => setup.accepted.length > previousCount);
    const neighbour = setup.accepted.at(-1)!;
    await once(neighbour, "data");
    return { caller, neighbour };
}

/** Reads from a connection that was accepted with `pauseOnConnect`. */
export async function readChunk(socket: Socket): Promise<string> {
    const data = once(socket, "data");
    socket.resume();
    return String((await data)[0]);
}

/** Resolves to the error code with which a connection ends, or to "end" if it is closed regularly. */
export function waitForEnd(socket: Socket): Promise<string> {
    socket.resume();
    return new Promise(resolve => {
        socket.once("end", () => resolve(isResetAtEnd(socket) ? "ECONNRESET" : "end"));
        socket.once("error", (error: NodeJS.ErrnoException) => resolve(error.code!));
    });
}

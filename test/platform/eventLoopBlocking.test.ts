/**
 * Decoding large configurations must not block the event loop, since a blocked router holds requests past their time-out.
 * The time that a request waits to be read counts against its time-out.
 */
import { Worker } from "node:worker_threads";
import t from "tap";
import { WireBundleDecoder } from "../../platform/wireBundle.js";
import { BundleFetcher } from "../../src/daemons/directRouter/bundleFetcher.js";
import type { RelayRequest } from "../../src/daemons/directRouter/relayRequest.js";
import { createRefusal, RefusalError } from "../../src/domain/resultCodes.js";
import { NoLog } from "../../src/ports/log.js";
import { type Peer, type PeerMethod, PeerNetwork } from "../../src/ports/peer.js";
import { encodeBundle } from "../../src/protocol/bundleTransfer.js";
import { getBundleMethod } from "../../src/protocol/fleetMethods.js";
import { DirectFleet } from "../tools/directFleet.js";
import { waitUntil } from "../tools/waiting.js";
import { createLargeWireBundle } from "../tools/wireBundle.js";

const NETWORK = 85;
const CALLER_PORT = 8227;
const ROUTES = 1_700;
/** Maximum number of routes decoded per turn of the event loop. */
const MAX_ROUTES_PER_TURN = 250;
const REVISIONS = 8;
/** How long each bundle, or each turn of the event loop, blocks the router. */
const BLOCK_MS = 30;
const TURN_MS = 200;

void t.test("the event loop keeps running while a configuration with many routes is decoded", async t => {
    const text = JSON.stringify(createLargeWireBundle(1, ROUTES));
    let turns = 0;
    let isDecoding = true;
    const countTurn = (): void => {
        if (isDecoding) {
            turns += 1;
            setImmediate(countTurn);
        }
    };
    setImmediate(countTurn);
    const bundle = await new WireBundleDecoder().decode(text);
    isDecoding = false;
    t.ok(bundle.routes.length >= ROUTES);
    t.ok(turns >= ROUTES / MAX_ROUTES_PER_TURN, `${turns} turns`);
});

/** A controller that returns a newer revision on each call. */
class ControllerWithNewRevisions extends PeerNetwork {
    revision = 0;

    override connect(address: string): Promise<Peer> {
        return Promise.reject(new RefusalError(createRefusal("peerGone", address)));
    }

    override async call<P, R>(address: string, method: PeerMethod<P, R>): Promise<R> {
        t.equal(method.name, getBundleMethod.name, address);
        this.revision += 1;
        const bundle = await encodeBundle({ revision: this.revision, text: `{${this.revision}}` }, undefined);
        return { bundle } as R;
    }
}

void t.test("frequent new revisions take up less than a third of a router's time", async t => {
    const network = new ControllerWithNewRevisions();
    let blockedMs = 0;
    const listener = {
        receiveBundle(): void {
            blockedMs += blockEventLoop(BLOCK_MS);
        },
    };
    const fetcher = new BundleFetcher(network, new NoLog(), listener, 1_000);
    const startedAt = performance.now();
    for (let i = 0; i < REVISIONS; i++) {
        await fetcher.fetchAnnouncement("c1", network.revision + 1);
    }
    const elapsedMs = performance.now() - startedAt;
    t.ok(blockedMs < elapsedMs / 3, `blocked for ${blockedMs} of ${elapsedMs} ms`);
    t.equal(network.revision, REVISIONS, "each revision was applied");
});

void t.test("the arrival of a request is estimated correctly if its connection waited for a long turn to be accepted", async t => {
    const fleet = new DirectFleet(NETWORK);
    await fleet.open();
    t.teardown(() => fleet.close());
    await fleet.startController("c1", true);
    await fleet.startRouter("r1");
    const { daemon } = fleet.routers.get("r1")!.role;
    const requests: RelayRequest[] = [];
    const handle = daemon.handle.bind(daemon);
    daemon.handle = (request, sink) => {
        requests.push(request);
        return handle(request, sink);
    };
    await new Promise(resolve => setTimeout(resolve, TURN_MS));
    const sentAt = blockUntilSent(fleet.getIp("r1"));
    let longestTurnMs = 0;
    let turnStartedAt = sentAt;
    let isBlocking = true;
    const blockTurn = (): void => {
        blockEventLoop(TURN_MS);
        longestTurnMs = Math.max(longestTurnMs, performance.now() - turnStartedAt);
        turnStartedAt = performance.now();
        if (isBlocking) {
            setImmediate(blockTurn);
        }
    };
    blockTurn();
    await waitUntil("the request", () => requests.length === 1);
    isBlocking = false;
    const error = requests[0]!.arrivedAt - sentAt;
    t.ok(error < longestTurnMs, `${error} ms after it was sent, in turns of ${longestTurnMs} ms`);
});

/** Returns the actual duration in milliseconds. */
function blockEventLoop(ms: number): number {
    const startedAt = performance.now();
    while (performance.now() - startedAt < ms);
    return performance.now() - startedAt;
}

/** Blocks this thread until another thread has sent a request on a new connection. Returns the time at which it was sent. */
function blockUntilSent(ip: string): number {
    const done = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
    const bytes = "GET /s/x HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: a1\r\n\r\n";
    const worker = new Worker(
        `const { workerData } = require("node:worker_threads");
        const socket = require("node:net").connect(workerData.port, workerData.ip, () => {
            socket.write(workerData.bytes, () => {
                Atomics.store(workerData.done, 0, 1);
                Atomics.notify(workerData.done, 0);
            });
        });`,
        { eval: true, workerData: { port: CALLER_PORT, ip, bytes, done } },
    );
    worker.unref();
    Atomics.wait(done, 0, 0);
    return performance.now();
}

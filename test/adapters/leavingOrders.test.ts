/**
 * Guards against bytes that a relay passes on although their caller has closed the connection already: callers send and close in any
 * order while the event loop of the relay is blocked.
 */
import fc from "fast-check";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { Worker } from "node:worker_threads";
import t from "tap";
import { ConnectionRelay } from "../../src/adapters/http/connectionRelay.js";
import { ReadPacer } from "../../src/adapters/readPacer.js";
import { createRandomId } from "../../src/domain/identifiers.js";
import { NoLog } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { wait, waitUntil } from "../tools/waiting.js";

const PREAMBLE_BYTES = 28;
const BLOCKED_TIMEOUT_MS = 2_000;
/** Several turns of the event loop. */
const RUN_MS = 12;

/** What a caller does while the event loop is blocked. `bytes`: lengths of what it sends. */
interface Phase {
    readonly bytes: readonly number[];
    readonly close: "none" | "half" | "whole" | "reset";
}

/** Carries out phases in a thread of its own, each of which counts up in shared memory when it has reached the system. */
const CALLER = `
    const { parentPort, workerData: { done } } = require("node:worker_threads");
    const { connect } = require("node:net");
    const count = new Int32Array(done);
    let socket;
    const finish = () => setTimeout(() => {
        Atomics.add(count, 0, 1);
        Atomics.notify(count, 0);
    }, 3);
    parentPort.on("message", ({ port, phase }) => {
        if (port !== undefined) {
            socket = connect({ host: "127.0.0.1", port, allowHalfOpen: true, noDelay: true }, finish);
            socket.on("error", () => undefined);
            socket.resume();
            return;
        }
        phase.bytes.forEach(length => socket.write(Buffer.alloc(length, "x")));
        ({ none: () => undefined, half: () => socket.end(), whole: () => socket.destroy(), reset: () => socket.resetAndDestroy() })[phase.close]();
        finish();
    });
`;

const done = new SharedArrayBuffer(4);
const count = new Int32Array(done);
const caller = new Worker(CALLER, { eval: true, workerData: { done } });
const neighbours: Socket[] = [];
let received = 0;
const neighbour = createServer({ allowHalfOpen: true }, socket => {
    neighbours.push(socket.on("error", () => undefined));
    socket.on("data", (bytes: Buffer) => received += bytes.length);
}).listen(0, "127.0.0.1");
await once(neighbour, "listening");
const relay = new ConnectionRelay(new ReadPacer(() => 0), new NoLog(), new NoMetrics(), {
    connectTimeoutMs: 1_000,
    maxConnections: 1_000,
    isReachable: () => true,
    isConnected: () => true,
    isOutdated: () => false,
    isStopping: () => false,
    instance: createRandomId(),
    getMaxReadDelayMs: () => 0,
});
const target = { address: "r2", relayAddress: `127.0.0.1:${(neighbour.address() as AddressInfo).port}` };
const listener = createServer({ allowHalfOpen: true, pauseOnConnect: true }, socket => {
    relay.tryRelay(socket, target, performance.now(), () => undefined);
}).listen(0, "127.0.0.1");
await once(listener, "listening");
t.teardown(async () => {
    neighbours.forEach(socket => socket.destroy());
    relay.close();
    listener.close();
    neighbour.close();
    await caller.terminate();
});

/** Blocks the event loop until the caller has done something. */
function blockUntilDone(message: object): void {
    const before = Atomics.load(count, 0);
    caller.postMessage(message);
    Atomics.wait(count, 0, before, BLOCKED_TIMEOUT_MS);
}

/** Returns the number of bytes that reached the other router, and of those that were sent in phases without a close. */
async function play(
    connectsInFirst: boolean,
    phases: readonly Phase[],
): Promise<{ passed: number; expected: number; }> {
    const { port } = listener.address() as AddressInfo;
    received = 0;
    blockUntilDone({ port });
    if (!connectsInFirst) {
        await waitUntil("the connection", () => relay.countOpen() > 0);
        await wait(RUN_MS);
    }
    let expected = 0;
    for (const phase of phases) {
        blockUntilDone({ phase });
        const sent = phase.bytes.reduce((sum, length) => sum + length, 0);
        expected += phase.close === "none" ? sent : 0;
        await waitUntil("the bytes", () => getPassed() >= expected);
        await wait(RUN_MS);
        if (phase.close !== "none") {
            break;
        }
    }
    const passed = getPassed();
    relay.close();
    await waitUntil("the end", () => relay.countOpen() === 0);
    return { passed, expected };
}

function getPassed(): number {
    return Math.max(0, received - PREAMBLE_BYTES);
}

void t.test("a relay passes on all that callers sent before their close was there, and nothing that it read together with the close", async t => {
    const phase = fc.record({
        bytes: fc.array(fc.oneof(fc.integer({ min: 1, max: 300 }), fc.integer({ min: 60_000, max: 70_000 })), {
            maxLength: 3,
        }),
        close: fc.constantFrom("none", "none", "half", "whole", "reset"),
    }) satisfies fc.Arbitrary<Phase>;
    await fc.assert(
        fc.asyncProperty(
            fc.boolean(),
            fc.array(phase, { minLength: 1, maxLength: 4 }),
            async (connectsInFirst, phases) => {
                const { passed, expected } = await play(connectsInFirst, phases);
                if (passed !== expected) {
                    throw new Error(`${passed} bytes were passed on, not ${expected}`);
                }
            },
        ),
        { seed: 80, numRuns: 80 },
    );
    t.pass("in all orders");
});

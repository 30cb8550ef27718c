/** Guards against relayed connections that look complete though they broke, that leak, or that hold up their callers. */
import { once } from "node:events";
import { connect, createServer } from "node:net";
import { Worker } from "node:worker_threads";
import t, { type Test } from "tap";
import {
    CONNECT_TIMEOUT_MS,
    createRelaySetup,
    listen,
    openRelayed,
    readChunk,
    waitForEnd,
} from "../tools/relaySetup.js";
import { wait, waitUntil } from "../tools/waiting.js";

const MANY_BYTES = 20_000_000;

/** Starts a blocked process, whose listen queue is full, so that connections to it are neither accepted nor refused. */
async function startSilentListener(t: Test): Promise<string> {
    const worker = new Worker(
        `const { parentPort } = require("node:worker_threads");
        const server = require("node:net").createServer().listen({ host: "127.0.0.1", port: 0, backlog: 1 }, () => {
            parentPort.postMessage(server.address().port);
            setImmediate(() => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0));
        });`,
        { eval: true },
    );
    t.teardown(() => worker.terminate());
    const [port] = await once(worker, "message");
    await wait(100);
    const fillers = Array.from({ length: 4 }, () => connect({ host: "127.0.0.1", port }).on("error", () => undefined));
    t.teardown(() => fillers.forEach(socket => socket.destroy()));
    await wait(100);
    return `127.0.0.1:${port}`;
}

void t.test("bytes pass in both directions, and a half-closed connection is passed on as half-closed", async t => {
    const setup = await createRelaySetup(t);
    const { caller, neighbour } = await openRelayed(setup);
    const requestEnd = waitForEnd(neighbour);
    caller.end();
    t.equal(await requestEnd, "end");
    neighbour.write("answer");
    t.equal(String((await once(caller, "data"))[0]), "answer", "after the caller has closed its half");
    neighbour.end();
    t.equal(await waitForEnd(caller), "end");
    await waitUntil("removed", () => setup.relay.countOpen() === 0);
});

void t.test("large amounts pass unchanged, also with paced reads", async t => {
    for (const readDelayMs of [0, 20]) {
        const setup = await createRelaySetup(t, { readDelayMs });
        const { caller, neighbour } = await openRelayed(setup);
        const sent = Buffer.from(Array.from({ length: 1_000_003 }, (_, i) => i * i % 251));
        const chunks: Buffer[] = [];
        caller.on("data", (chunk: Buffer) => chunks.push(chunk));
        neighbour.end(sent);
        await once(caller, "end");
        t.ok(Buffer.concat(chunks).equals(sent), `read delay ${readDelayMs} ms`);
    }
});

void t.test("the first bytes of an answer are not delayed by paced reads", async t => {
    const setup = await createRelaySetup(t, { readDelayMs: 2_000 });
    const { caller, neighbour } = await openRelayed(setup);
    const startedAt = performance.now();
    for (const part of ["head", "first", "second"]) {
        neighbour.write(part);
        t.equal(String((await once(caller, "data"))[0]), part);
    }
    t.ok(performance.now() - startedAt < 1_000);
});

// Guards against a reset of the next request, or of a body, because of what is known about the neighbour.
void t.test("bytes of a caller are passed on as long as the neighbour keeps the connection", async t => {
    const setup = await createRelaySetup(t);
    const { caller, neighbour } = await openRelayed(setup);
    neighbour.write("answer");
    await once(caller, "data");
    setup.stopping.add("r2");
    caller.write("second");
    t.equal(String((await once(neighbour, "data"))[0]), "second");
});

// Guards against an answer that is cut off by a request which crosses the end of its connection.
void t.test("a request that crosses the neighbour's end does not cut off the answer before it", async t => {
    const setup = await createRelaySetup(t);
    const { caller, neighbour } = await openRelayed(setup);
    const answer = Buffer.alloc(MANY_BYTES / 10, "a");
    neighbour.end(answer);
    await wait(100);
    caller.write("crossing");
    neighbour.resume();
    let received = 0;
    caller.on("data", (chunk: Buffer) => received += chunk.length);
    t.equal(await waitForEnd(caller), "end");
    t.equal(received, answer.length);
});

// Guards against callers' connections that are reset, with what they have not read, because a request crossed their end.
void t.test("a request that crosses the neighbour's end and is answered with a reset does not reset the caller's connection", async t => {
    const setup = await createRelaySetup(t);
    const { caller, neighbour } = await openRelayed(setup);
    neighbour.write("answer");
    t.equal(await readChunk(caller), "answer");
    const end = waitForEnd(caller);
    caller.write("next");
    neighbour.destroy();
    t.equal(await end, "end");
});

// Guards against a saturated router that sends on requests whose callers have left.
void t.test("a late first request is not passed on if its caller has left", async t => {
    const setup = await createRelaySetup(t);
    const leaving = await setup.connectCaller();
    await waitUntil("connected", () => setup.accepted.length === 1);
    await wait(300);
    const received: Buffer[] = [];
    setup.accepted[0]!.on("data", (chunk: Buffer) => received.push(chunk));
    leaving.end("request");
    await waitUntil("removed", () => setup.relay.countOpen() === 0);
    t.equal(received.length, 0);
    const staying = await setup.connectCaller();
    await waitUntil("connected", () => setup.accepted.length === 2);
    await wait(300);
    staying.write("request");
    t.ok(String((await once(setup.accepted[1]!, "data"))[0]).endsWith("request"));
});

void t.test("the neighbour refuses the connection: the caller is served locally, and nothing was read", async t => {
    const setup = await createRelaySetup(t);
    const unused = createServer();
    const port = await listen(t, unused);
    unused.close();
    setup.target = { address: "r2", relayAddress: `127.0.0.1:${port}` };
    const caller = await setup.connectCaller();
    caller.write("request");
    await waitUntil("served locally", () => setup.local.length === 1);
    t.equal(await readChunk(setup.local[0]!), "request");
    t.equal(setup.relay.countOpen(), 0);
});

void t.test("the neighbour does not answer the connection attempt: the caller is served locally in time", async t => {
    const setup = await createRelaySetup(t);
    setup.target = { address: "r2", relayAddress: await startSilentListener(t) };
    const startedAt = performance.now();
    const callers = await Promise.all([setup.connectCaller(), setup.connectCaller()]);
    callers.forEach(caller => caller.write("request"));
    await waitUntil("served locally", () => setup.local.length === 2);
    t.ok(performance.now() - startedAt < 10 * CONNECT_TIMEOUT_MS);
    t.equal(await readChunk(setup.local[0]!), "request");
    t.equal(setup.relay.countOpen(), 0);
});

void t.test("the neighbour resets the connection: the caller's is reset, not closed as if the answer were complete", async t => {
    const setup = await createRelaySetup(t);
    const { caller, neighbour } = await openRelayed(setup);
    neighbour.write("part of an answer");
    await once(caller, "data");
    neighbour.resetAndDestroy();
    t.equal(await waitForEnd(caller), "ECONNRESET");
    t.equal(setup.relay.countOpen(), 0);
});

void t.test("the neighbour resets the connection right after bytes of an answer: the caller's is reset", async t => {
    const setup = await createRelaySetup(t);
    const { caller, neighbour } = await openRelayed(setup);
    neighbour.write("part");
    neighbour.resetAndDestroy();
    t.equal(await waitForEnd(caller), "ECONNRESET");
});

void t.test("the neighbour's process is killed, whose system closes the connection regularly: the caller's is reset", async t => {
    const setup = await createRelaySetup(t);
    const { caller, neighbour } = await openRelayed(setup);
    neighbour.write("part of an answer");
    await once(caller, "data");
    setup.unreachable.add("r2");
    neighbour.end();
    t.equal(await waitForEnd(caller), "ECONNRESET");
});

void t.test("the neighbour is silent: its connections are reset once its peer link is lost, others are not", async t => {
    const setup = await createRelaySetup(t);
    const { caller } = await openRelayed(setup);
    const otherCaller = await setup.connectCaller();
    otherCaller.write("x");
    await waitUntil("both relayed", () => setup.accepted.length === 2);
    setup.relay.handleUnreachable();
    t.equal(setup.relay.countOpen(), 2, "still reachable");
    setup.unreachable.add("r2");
    setup.relay.handleUnreachable();
    t.equal(await waitForEnd(caller), "ECONNRESET");
    t.equal(setup.relay.countOpen(), 0);
});

void t.test("the caller resets or closes its connection: the neighbour is told at once", async t => {
    const setup = await createRelaySetup(t);
    const first = await openRelayed(setup);
    const firstEnd = waitForEnd(first.neighbour);
    first.caller.resetAndDestroy();
    t.equal(await firstEnd, "ECONNRESET");
    const second = await openRelayed(setup);
    const secondEnd = waitForEnd(second.neighbour);
    second.caller.destroy();
    t.equal(await secondEnd, "end");
    second.neighbour.destroy();
    await waitUntil("removed", () => setup.relay.countOpen() === 0);
});

void t.test("a slow reader holds up the sender in either direction, and buffers are bounded", async t => {
    const setup = await createRelaySetup(t);
    const { caller, neighbour } = await openRelayed(setup);
    for (const [from, to] of [[neighbour, caller], [caller, neighbour]] as const) {
        to.pause();
        from.write(Buffer.alloc(MANY_BYTES));
        await wait(300);
        const before = process.memoryUsage().arrayBuffers;
        await wait(300);
        t.ok(from.writableLength > 0, "the sender is held up");
        t.ok(process.memoryUsage().arrayBuffers - before < MANY_BYTES / 10, "nothing accumulates");
        let received = 0;
        to.on("data", (chunk: Buffer) => received += chunk.length);
        to.resume();
        await waitUntil("everything has arrived", () => received === MANY_BYTES);
        to.removeAllListeners("data");
    }
});

void t.test("the number of relayed connections is bounded; further ones are served locally", async t => {
    const setup = await createRelaySetup(t, { maxConnections: 1 });
    await openRelayed(setup);
    await setup.connectCaller();
    await waitUntil("served locally", () => setup.local.length === 1);
    t.equal(setup.relay.countOpen(), 1);
});

void t.test("a caller that keeps its half open after the answer does not occupy the relay for long", async t => {
    const setup = await createRelaySetup(t);
    const { caller, neighbour } = await openRelayed(setup);
    neighbour.end("answer");
    await once(caller, "data");
    await waitUntil("removed", () => setup.relay.countOpen() === 0, 10_000);
});

// Guards against a planned stop that takes a connection for idle because it carries no bytes.
void t.test("a relayed connection counts as undelivered until the neighbour has ended it and the caller has its bytes", async t => {
    const setup = await createRelaySetup(t);
    const { caller, neighbour } = await openRelayed(setup);
    await wait(2_100);
    t.equal(setup.relay.countUndelivered(), 1, "an upstream may take longer for its first byte");
    neighbour.write("part of an answer");
    await once(caller, "data");
    await wait(2_100);
    t.equal(setup.relay.countUndelivered(), 1, "the answer may go on");
    const end = waitForEnd(caller);
    neighbour.end("the rest");
    t.equal(await end, "end");
    await waitUntil("delivered", () => setup.relay.countUndelivered() === 0);
});

void t.test("at the end of a stop a connection whose answer may go on is reset", async t => {
    const setup = await createRelaySetup(t);
    const { caller, neighbour } = await openRelayed(setup);
    neighbour.write("part of an answer");
    await once(caller, "data");
    await wait(2_100);
    const end = waitForEnd(caller);
    setup.relay.close();
    t.equal(await end, "ECONNRESET");
});

void t.test("connections without a request are closed by the relay itself at a stop", async t => {
    const setup = await createRelaySetup(t);
    const { caller: used } = await openRelayed(setup);
    const unused = await setup.connectCaller();
    await waitUntil("both relayed", () => setup.accepted.length === 2);
    await wait(50);
    const end = waitForEnd(unused);
    setup.relay.closeUnused();
    t.equal(await end, "end");
    t.equal(setup.relay.countOpen(), 1);
    t.notOk(used.readableEnded);
});

// Guards against a complete answer that is cut off because the link of a stopped router is lost before its end is read.
void t.test("a neighbour that has announced its stop ends its answers regularly, though its link is lost", async t => {
    const setup = await createRelaySetup(t);
    const { caller, neighbour } = await openRelayed(setup);
    setup.stopping.add("r2");
    setup.unreachable.add("r2");
    setup.relay.handleUnreachable();
    t.equal(setup.relay.countOpen(), 1);
    const end = waitForEnd(caller);
    neighbour.end("answer");
    t.equal(await end, "end");
});

// Guards against a whole answer that is discarded because its caller reads slowly and the router that served it has ended.
void t.test("a slow caller gets the whole answer of a neighbour that has stopped and is gone", async t => {
    const setup = await createRelaySetup(t);
    const { caller, neighbour } = await openRelayed(setup);
    caller.pause();
    setup.stopping.add("r2");
    neighbour.end(Buffer.alloc(MANY_BYTES / 2));
    await wait(200);
    setup.unreachable.add("r2");
    setup.relay.handleUnreachable();
    await wait(200);
    let received = 0;
    caller.on("data", (chunk: Buffer) => received += chunk.length);
    t.equal(await waitForEnd(caller), "end");
    t.equal(received, MANY_BYTES / 2);
});

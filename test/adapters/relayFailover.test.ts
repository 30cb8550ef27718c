/** Guards against requests that are lost, or run twice, with the router that a connection is relayed to. */
import { once } from "node:events";
import { createServer, type Socket } from "node:net";
import t, { type Test } from "tap";
import { RelayListener } from "../../src/adapters/http/relayListener.js";
import type { RequestTerms } from "../../src/domain/relayedExchange.js";
import { NoLog } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { createRelaySetup, listen, openRelayed, readChunk, type RelaySetup, waitForEnd } from "../tools/relaySetup.js";
import { wait, waitUntil } from "../tools/waiting.js";

/** Returns a port on which nobody listens. */
async function findFreePort(t: Test): Promise<number> {
    const server = createServer();
    const port = await listen(t, server);
    server.close();
    return port;
}

/** Connects a caller whose first request the neighbour has answered, and returns both ends. */
async function openAnswered(setup: RelaySetup): ReturnType<typeof openRelayed> {
    const connection = await openRelayed(setup, REQUEST);
    connection.neighbour.write(ANSWER);
    await once(connection.caller, "data");
    return connection;
}

const REPEATABLE: RequestTerms = { mayRepeat: true, timeoutMs: 10_000 };
const NOT_REPEATABLE: RequestTerms = { mayRepeat: false, timeoutMs: 300 };
const MANY_BYTES = 20_000_000;
const REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
const ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const CONFIRMATION = "HTTP/1.1 102 Processing\r\n\r\n";

void t.test("a request whose serving router was killed before it answered fails over with its bytes, on a usable connection", async t => {
    const setup = await createRelaySetup(t, { terms: REPEATABLE });
    const { caller, neighbour } = await openRelayed(setup);
    setup.unreachable.add("r2");
    neighbour.end();
    await waitUntil("failed over", () => setup.lost.length === 1);
    const [lost] = setup.lost;
    t.equal(String(lost!.bytes), "request");
    t.equal(lost!.mayHaveRun, false, "closed without a confirmation");
    t.equal(setup.relay.countOpen(), 0);
    lost!.caller.write("answer");
    t.equal(String((await once(caller, "data"))[0]), "answer");
    caller.write("next");
    t.equal(await readChunk(lost!.caller), "next");
});

void t.test("a request that was confirmed, or whose connection was reset, fails over as one that may have run", async t => {
    const setup = await createRelaySetup(t, { terms: NOT_REPEATABLE });
    const confirmed = await openRelayed(setup);
    confirmed.neighbour.end(CONFIRMATION);
    const reset = await openRelayed(setup);
    reset.neighbour.resetAndDestroy();
    await waitUntil("failed over", () => setup.lost.length === 2);
    t.same(setup.lost.map(({ mayHaveRun }) => mayHaveRun), [true, true]);
    t.same(confirmed.caller.bytesRead, 0, "the confirmation is not passed on");
});

void t.test("a request that crosses the end of its connection by the serving router is served here", async t => {
    const setup = await createRelaySetup(t, { terms: NOT_REPEATABLE });
    const { caller, neighbour } = await openRelayed(setup, REQUEST);
    const answered = once(caller, "data");
    neighbour.end(ANSWER);
    t.equal(String((await answered)[0]), ANSWER);
    // The relay reads both in the same poll, or the caller sees the end before it sends.
    caller.write(REQUEST);
    await waitUntil("decided", () => setup.lost.length === 1 || caller.readableEnded || setup.relay.countOpen() === 0);
    setup.lost.forEach(({ bytes, mayHaveRun }) => t.same([String(bytes), mayHaveRun], [REQUEST, false]));

    const crossed = await createRelaySetup(t, { terms: NOT_REPEATABLE });
    const connection = await openRelayed(crossed, REQUEST);
    connection.neighbour.end();
    connection.caller.write("");
    await waitUntil("failed over", () => crossed.lost.length === 1);
    t.equal(crossed.lost[0]!.mayHaveRun, false);
});

void t.test("a connection without a request outlives the router that served it, untouched, and its next request is a new one", async t => {
    const setup = await createRelaySetup(t, { terms: NOT_REPEATABLE });
    const { caller, neighbour } = await openAnswered(setup);
    const readBytes = caller.bytesRead;
    neighbour.resetAndDestroy();
    await wait(200);
    t.equal(setup.lost.length, 0);
    t.equal(caller.bytesRead, readBytes);
    t.equal(caller.readableEnded || caller.destroyed, false);
    const sentAt = performance.now();
    caller.write(REQUEST);
    await waitUntil("failed over", () => setup.lost.length === 1);
    t.same([String(setup.lost[0]!.bytes), setup.lost[0]!.mayHaveRun], [REQUEST, false]);
    t.ok(setup.lost[0]!.startedAt >= sentAt, "its time begins with it");
});

void t.test("a connection without a request and without a serving router is closed regularly after a while", async t => {
    const setup = await createRelaySetup(t, { terms: NOT_REPEATABLE });
    const { caller, neighbour } = await openAnswered(setup);
    const end = waitForEnd(caller);
    neighbour.resetAndDestroy();
    t.equal(await end, "end");
    caller.end();
    await waitUntil("removed", () => setup.relay.countOpen() === 0);
});

void t.test("an answer under way goes on while the link is lost, and waits for no earlier loss", async t => {
    const setup = await createRelaySetup(t, { terms: NOT_REPEATABLE });
    const { caller, neighbour } = await openRelayed(setup, REQUEST);
    setup.unreachable.add("r2");
    setup.relay.handleLinkChange();
    await wait(NOT_REPEATABLE.timeoutMs / 2);
    setup.unreachable.delete("r2");
    setup.relay.handleLinkChange();
    await wait(NOT_REPEATABLE.timeoutMs);
    t.equal(setup.lost.length, 0, "the link is there again, and the serving router keeps the time");
    neighbour.write(ANSWER.slice(0, -1));
    await once(caller, "data");
    setup.unreachable.add("r2");
    setup.relay.handleLinkChange();
    await wait(2 * NOT_REPEATABLE.timeoutMs);
    neighbour.write(ANSWER.slice(-1));
    t.equal(String((await once(caller, "data"))[0]), ANSWER.slice(-1));
});

void t.test("a request at a router that has announced its stop and is gone is answered when its time is over", async t => {
    const setup = await createRelaySetup(t, { terms: { mayRepeat: true, timeoutMs: 300 } });
    await openRelayed(setup, REQUEST);
    setup.stopping.add("r2");
    setup.unreachable.add("r2");
    setup.relay.handleLinkChange();
    await wait(100);
    t.equal(setup.lost.length, 0, "it may still answer");
    await waitUntil("failed over", () => setup.lost.length === 1);
    t.equal(setup.lost[0]!.mayHaveRun, true);
});

void t.test("at the end of a stop a request without an answer is refused as possibly run, not reset", async t => {
    const setup = await createRelaySetup(t, { terms: NOT_REPEATABLE });
    const { caller } = await openRelayed(setup, REQUEST);
    const answered = once(caller, "data");
    setup.relay.close();
    t.equal(String((await answered)[0]), "refused");
});

void t.test("a caller that has left is not served again", async t => {
    const setup = await createRelaySetup(t, { terms: REPEATABLE });
    const { caller, neighbour } = await openRelayed(setup, REQUEST);
    caller.end();
    await once(neighbour.resume(), "end");
    neighbour.resetAndDestroy();
    await waitUntil("closed", () => setup.relay.countOpen() === 0);
    t.equal(setup.lost.length, 0);
});

void t.test("an answer that is cut off is not completed by another run", async t => {
    const setup = await createRelaySetup(t, { terms: REPEATABLE });
    const { caller, neighbour } = await openRelayed(setup);
    const end = waitForEnd(caller);
    neighbour.end(ANSWER.slice(0, -1));
    t.equal(await end, "ECONNRESET");
    t.equal(setup.lost.length, 0);
});

void t.test("while the link to the serving router is lost, only a request that may be repeated fails over before its time is over", async t => {
    const repeatable = await createRelaySetup(t, { terms: REPEATABLE });
    await openRelayed(repeatable, REQUEST);
    repeatable.unreachable.add("r2");
    repeatable.relay.handleLinkChange();
    await waitUntil("failed over", () => repeatable.lost.length === 1);
    t.equal(repeatable.lost[0]!.mayHaveRun, true);

    const other = await createRelaySetup(t, { terms: NOT_REPEATABLE });
    const [answered, late] = [await openRelayed(other, REQUEST), await openRelayed(other, REQUEST)];
    other.unreachable.add("r2");
    other.relay.handleLinkChange();
    await wait(NOT_REPEATABLE.timeoutMs / 2);
    t.equal(other.lost.length, 0);
    answered.neighbour.write(ANSWER);
    t.equal(String((await once(answered.caller, "data"))[0]), ANSWER, "a router that was only silent");
    await waitUntil("failed over", () => other.lost.length === 1);
    t.equal(other.lost[0]!.mayHaveRun, true);
    const hasEnded = () => late.neighbour.readableEnded || late.neighbour.destroyed;
    await waitUntil("the silent router to learn that the caller is gone", hasEnded);
});

void t.test("a request that comes while the link to the serving router is lost is not passed on", async t => {
    const setup = await createRelaySetup(t, { terms: NOT_REPEATABLE });
    const { caller, neighbour } = await openAnswered(setup);
    const received = neighbour.bytesRead;
    setup.unreachable.add("r2");
    caller.write(REQUEST);
    await waitUntil("failed over", () => setup.lost.length === 1);
    t.equal(String(setup.lost[0]!.bytes), REQUEST);
    t.equal(setup.lost[0]!.mayHaveRun, false);
    t.equal(neighbour.bytesRead, received);
});

void t.test("a connection beyond the listener's limit is ended without a reset, so that its request is known not to have run", async t => {
    const accepts = { recordAccepted: () => undefined } as never;
    const handled: Socket[] = [];
    const listener = new RelayListener(
        accepts,
        socket => void handled.push(socket.on("error", () => undefined)),
        1,
        new NoLog(),
        new NoMetrics(),
    );
    const port = await findFreePort(t);
    await listener.listen(`127.0.0.1:${port}`, 8);
    t.teardown(() => listener.close());
    const setup = await createRelaySetup(t, { terms: NOT_REPEATABLE });
    setup.target = { address: "r2", relayAddress: `127.0.0.1:${port}` };
    for (let i = 0; i < 2; i++) {
        const caller = await setup.connectCaller();
        caller.write("request");
        await waitUntil("handled", () => handled.length + setup.lost.length === i + 1);
    }
    t.same(setup.lost.map(({ bytes, mayHaveRun }) => [String(bytes), mayHaveRun]), [["request", false]]);
    handled.forEach(socket => socket.destroy());
    await wait(50);
    const caller = await setup.connectCaller();
    caller.write("third");
    await waitUntil("handled", () => handled.length === 2);
});

void t.test("a slow caller gets a whole answer though the router that has sent it is lost, and its connection is then closed", async t => {
    const setup = await createRelaySetup(t, { terms: NOT_REPEATABLE });
    const { caller, neighbour } = await openRelayed(setup, REQUEST);
    caller.pause();
    const body = Buffer.alloc(MANY_BYTES, "x");
    neighbour.write(`HTTP/1.1 200 OK\r\nContent-Length: ${MANY_BYTES}\r\n\r\n`);
    neighbour.end(body);
    setup.unreachable.add("r2");
    setup.relay.handleLinkChange();
    const closed = once(caller, "end");
    let receivedBytes = 0;
    await wait(6_000);
    caller.on("data", (bytes: Buffer) => receivedBytes += bytes.length);
    caller.resume();
    await closed;
    t.ok(receivedBytes > MANY_BYTES, `${receivedBytes} bytes`);
});

// Guards against answers by an older configuration of a router that was paused when the configuration changed.
void t.test("a request that comes while the serving router has an older configuration is not passed on", async t => {
    const setup = await createRelaySetup(t, { terms: NOT_REPEATABLE });
    const { caller, neighbour } = await openRelayed(setup, REQUEST);
    setup.outdated.add("r2");
    neighbour.write(ANSWER);
    t.equal(String((await once(caller, "data"))[0]), ANSWER, "a request that was passed on before is answered");
    const received = neighbour.bytesRead;
    caller.write(REQUEST);
    await waitUntil("failed over", () => setup.lost.length === 1);
    t.equal(String(setup.lost[0]!.bytes), REQUEST);
    t.equal(setup.lost[0]!.mayHaveRun, false);
    t.equal(neighbour.bytesRead, received);
});

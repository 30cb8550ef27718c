/** Guards against requests that are lost, or run twice, with the router that a connection is relayed to. */
import { once } from "node:events";
import t from "tap";
import type { RequestTerms } from "../../src/adapters/http/connectionRelay.js";
import { createRelaySetup, openRelayed, readChunk, waitForEnd } from "../tools/relaySetup.js";
import { wait, waitUntil } from "../tools/waiting.js";

const REPEATABLE: RequestTerms = { isRepeatable: true, timeoutMs: 10_000 };
const NOT_REPEATABLE: RequestTerms = { isRepeatable: false, timeoutMs: 300 };
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

void t.test("a request that crosses the end of its connection by the serving router is not lost", async t => {
    const setup = await createRelaySetup(t, { terms: NOT_REPEATABLE });
    const { caller, neighbour } = await openRelayed(setup);
    const answered = once(caller, "data");
    neighbour.end(ANSWER);
    caller.write("second");
    t.equal(String((await answered)[0]), ANSWER);
    await waitUntil("decided", () => setup.lost.length === 1 || caller.readableEnded);
    // Either the caller's request came first, or it sees a connection that was closed before.
    t.ok(setup.lost.every(({ bytes, mayHaveRun }) => String(bytes) === "second" && !mayHaveRun));
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
    await openRelayed(repeatable);
    repeatable.unreachable.add("r2");
    repeatable.relay.handleUnreachable();
    await waitUntil("failed over", () => repeatable.lost.length === 1);
    t.equal(repeatable.lost[0]!.mayHaveRun, true);

    const other = await createRelaySetup(t, { terms: NOT_REPEATABLE });
    const [answered, late] = [await openRelayed(other), await openRelayed(other)];
    other.unreachable.add("r2");
    other.relay.handleUnreachable();
    await wait(NOT_REPEATABLE.timeoutMs / 2);
    t.equal(other.lost.length, 0);
    answered.neighbour.write(ANSWER);
    t.equal(String((await once(answered.caller, "data"))[0]), ANSWER, "a router that was only silent");
    await waitUntil("failed over", () => other.lost.length === 1);
    t.equal(other.lost[0]!.mayHaveRun, true);
    t.equal(
        late.neighbour.readableEnded || late.neighbour.destroyed,
        true,
        "the silent router learns that the caller is gone",
    );
});

void t.test("a request that comes while the link to the serving router is lost is not passed on", async t => {
    const setup = await createRelaySetup(t, { terms: NOT_REPEATABLE });
    const { caller, neighbour } = await openRelayed(setup);
    neighbour.write(ANSWER);
    await once(caller, "data");
    const received = neighbour.bytesRead;
    setup.unreachable.add("r2");
    caller.write("second");
    await waitUntil("failed over", () => setup.lost.length === 1);
    t.equal(String(setup.lost[0]!.bytes), "second");
    t.equal(setup.lost[0]!.mayHaveRun, false);
    t.equal(neighbour.bytesRead, received);
});

// Guards against answers by an older configuration of a router that was paused when the configuration changed.
void t.test("a request that comes while the serving router has an older configuration is not passed on", async t => {
    const setup = await createRelaySetup(t, { terms: NOT_REPEATABLE });
    const { caller, neighbour } = await openRelayed(setup);
    setup.outdated.add("r2");
    neighbour.write(ANSWER);
    t.equal(String((await once(caller, "data"))[0]), ANSWER, "a request that was passed on before is answered");
    const received = neighbour.bytesRead;
    caller.write("second");
    await waitUntil("failed over", () => setup.lost.length === 1);
    t.equal(String(setup.lost[0]!.bytes), "second");
    t.equal(setup.lost[0]!.mayHaveRun, false);
    t.equal(neighbour.bytesRead, received);
});

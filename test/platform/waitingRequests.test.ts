/**
 * Requests that wait for a connection to an upstream when it asks for a backoff must be sent to another upstream, not to this
 * one as connections become free.
 */
import t from "tap";
import { SignallingFleet } from "../tools/signallingFleet.js";
import { wait, waitUntil } from "../tools/waiting.js";

const REQUESTS = 24;
/** Delay before the upstream rejects a request. */
const REJECTION_DELAY_MS = 200;
/** Time during which requests in flight may still arrive. */
const IN_FLIGHT_MS = 500;
const BACKOFF_MS = 3_000;
/** Requests that one router may send to an upstream during its backoff. */
const MAX_IN_BACKOFF = 2;
const fleet = new SignallingFleet({ network: 97, routers: ["r1"], engines: ["e1", "e2"], maxConnections: 4 });
const { callers } = fleet;
const [slow, spare] = [fleet.engines[0]!, fleet.engines[1]!];

void t.test("requests that wait for a connection to an upstream that asks for a backoff", async t => {
    t.teardown(() => fleet.close());
    await fleet.open();
    await fleet.startEngine(slow);
    slow.responseDelayMs = REJECTION_DELAY_MS;
    slow.rejectionHeaders = { "Retry-After": String(BACKOFF_MS / 1_000) };
    const startedAt = performance.now();
    const waiting = Array.from({ length: REQUESTS }, () => callers.call("r1"));
    await waitUntil("all requests active", () => fleet.getDaemon("r1").getActiveRequestCount() === REQUESTS);
    await spare.start("c1");
    const { registry } = fleet.getDaemon("r1");
    await waitUntil("other upstream known", () => registry.tryGet("e2") !== undefined);
    const answers = await Promise.all(waiting);
    await wait(Math.max(0, startedAt + REJECTION_DELAY_MS + BACKOFF_MS - performance.now()));

    void t.test("are not sent there during the backoff", t => {
        const askedAt = startedAt + REJECTION_DELAY_MS;
        const late = slow.arrivals.filter(({ at }) => at > askedAt + IN_FLIGHT_MS && at < askedAt + BACKOFF_MS);
        t.ok(late.length <= MAX_IN_BACKOFF, `${late.length} during the backoff`);
        t.end();
    });

    void t.test("are served by another upstream", t => {
        t.same(answers.filter(({ status }) => status !== 200), []);
        t.end();
    });
    t.end();
});

/**
 * Requests that wait for a connection to an upstream while it asks for rest.
 *
 * What users would see: a router holds few connections to an upstream, so that requests wait for one; the upstream turns the
 * first away and asks for rest, and those that waited reach it one after the other, within the rest.
 *
 * The cause: whether an upstream may be sent to was asked when it was chosen, and not again when there was a connection; the
 * time between has no bound but the caller's patience. What showed it: arrivals at the pace at which the upstream turned the
 * ones before away, each of a request that had come before the rest was asked for.
 */
import t from "tap";
import { SignallingFleet } from "../tools/signallingFleet.js";
import { wait, waitUntil } from "../tools/waiting.js";

const REQUESTS = 24;
/** How long the upstream takes until it turns a request away. Milliseconds. */
const HOLD_MS = 200;
/** What was under way may still arrive for so long. Milliseconds. */
const UNDER_WAY_MS = 500;
const REST_MS = 3_000;
/** Requests that may reach an upstream from one router during its rest. */
const MOST_IN_REST = 2;
const world = new SignallingFleet({ network: 97, routers: ["r1"], engines: ["e1", "e2"], maxConnections: 4 });
const { callers } = world;
const [slow, spare] = [world.engines[0]!, world.engines[1]!];

void t.test("requests that wait for a connection to an upstream that asks for rest", async t => {
    t.teardown(() => world.close());
    await world.open();
    await world.startEngine(slow);
    slow.workMs = HOLD_MS;
    slow.turnsAwayWith = { "Retry-After": String(REST_MS / 1_000) };
    const startedAt = performance.now();
    const waiting = Array.from({ length: REQUESTS }, () => callers.call("r1"));
    await waitUntil("all have come", () => world.getDaemon("r1").getActiveRequestCount() === REQUESTS);
    await spare.start("c1");
    const { registry } = world.getDaemon("r1");
    await waitUntil("the other one is known", () => registry.tryGet("e2") !== undefined);
    const answers = await Promise.all(waiting);
    await wait(Math.max(0, startedAt + HOLD_MS + REST_MS - performance.now()));

    void t.test("leave for another one", t => {
        const askedAt = startedAt + HOLD_MS;
        const late = slow.arrivals.filter(({ at }) => at > askedAt + UNDER_WAY_MS && at < askedAt + REST_MS);
        t.ok(late.length <= MOST_IN_REST, `${late.length} within the rest`);
        t.end();
    });

    void t.test("are answered there", t => {
        t.same(answers.filter(({ status }) => status !== 200), []);
        t.end();
    });
    t.end();
});

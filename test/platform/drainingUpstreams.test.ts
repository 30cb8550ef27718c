/**
 * An upstream that announces its shutdown in response headers must get no new requests, even while its registrations, delayed
 * or lost, still say that it is ready.
 */
import t from "tap";
import type { SignallingEngine } from "../tools/signallingEngine.js";
import { SignallingFleet } from "../tools/signallingFleet.js";
import { wait, waitUntil } from "../tools/waiting.js";

/** Time during which a draining upstream may still receive new requests. */
const DRAIN_MS = 2_000;
const WATCH_MS = 1_500;
const fleet = new SignallingFleet({ network: 98, routers: ["r1", "r2"], engines: ["e1", "e2", "e3"] });
const [first, second] = fleet.engines;

/** Has an upstream announce its shutdown and counts the requests that it receives after the drain period. */
async function countArrivalsAfterDrain(engine: SignallingEngine): Promise<number> {
    engine.headers = { "Server-Leaving": "1" };
    const announcedAt = performance.now();
    await waitUntil("shutdown announced", () => engine.arrivals.some(({ at }) => at > announcedAt));
    await wait(DRAIN_MS + WATCH_MS);
    return engine.arrivals.filter(({ at }) => at > announcedAt + DRAIN_MS).length;
}

void t.test("an upstream that announces its shutdown", async t => {
    t.teardown(() => fleet.close());
    await fleet.open();
    await fleet.startCallers();

    await t.test("gets no new requests after the drain period, even if registered as ready", async t => {
        t.equal(await countArrivalsAfterDrain(first!), 0);
        t.same(fleet.listFailedStatuses(), [], "the other upstreams serve all callers");
    });

    await t.test("gets none from routers without a controller either", async t => {
        await fleet.stopControllers();
        t.equal(await countArrivalsAfterDrain(second!), 0);
        t.same(fleet.listFailedStatuses(), [], "the other upstreams serve all callers");
    });
});

/**
 * An upstream that says in its answers that it leaves, and goes on registering as ready: its registrations come late, or are
 * lost in a cut.
 *
 * What users would see: requests cut off by an upstream that ends, though it had said so for seconds in each answer.
 *
 * The cause: only registrations were read for it. What showed it: the upstream got new requests for as long as it registered as
 * ready, also from routers that it had told in each answer.
 */
import t from "tap";
import type { SignallingEngine } from "../tools/signallingEngine.js";
import { SignallingFleet } from "../tools/signallingFleet.js";
import { wait, waitUntil } from "../tools/waiting.js";

/** How long a leaving upstream may still get new work, and how long it is watched after that. Milliseconds. */
const DRAIN_MS = 2_000;
const WATCH_MS = 1_500;
const world = new SignallingFleet({ network: 98, routers: ["r1", "r2"], engines: ["e1", "e2", "e3"] });
const [first, second] = world.engines;

/** Lets an upstream say that it leaves; answers how many requests reach it after the time for that. */
async function leave(engine: SignallingEngine): Promise<number> {
    engine.headers = { "Server-Leaving": "1" };
    const saidAt = performance.now();
    await waitUntil("it has said so", () => engine.arrivals.some(({ at }) => at > saidAt));
    await wait(DRAIN_MS + WATCH_MS);
    return engine.arrivals.filter(({ at }) => at > saidAt + DRAIN_MS).length;
}

void t.test("an upstream that says that it leaves", async t => {
    t.teardown(() => world.close());
    await world.open();
    await world.startCallers();

    await t.test("gets nothing new after seconds, whatever it registers", async t => {
        t.equal(await leave(first!), 0);
        t.same(world.listRefused(), [], "callers are served by the others");
    });

    await t.test("nor from routers that reach no controller", async t => {
        await world.stopControllers();
        t.equal(await leave(second!), 0);
        t.same(world.listRefused(), [], "callers are served by the others");
    });
});

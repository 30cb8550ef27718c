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
import { DirectCallers } from "../tools/directCallers.js";
import { DirectFleet } from "../tools/directFleet.js";
import { SignallingEngine } from "../tools/signallingEngine.js";
import { wait, waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const NETWORK = 98;
const ROUTERS = ["r1", "r2"];
const CALLERS = 4;
const CALL_PAUSE_MS = 20;
/** How long a leaving upstream may still get new work, and how long it is watched after that. Milliseconds. */
const DRAIN_MS = 2_000;
const WATCH_MS = 1_500;
const fleet = new DirectFleet(NETWORK);
const callers = new DirectCallers(fleet);
const engines = ["e1", "e2", "e3"].map((id, i) => new SignallingEngine(fleet, id, `r${11 + i}`));
const [first, second] = engines as [SignallingEngine, SignallingEngine];

/** Lets an upstream say that it leaves; answers how many requests reach it after the time for that. */
async function leave(engine: SignallingEngine): Promise<number> {
    engine.headers = { "Server-Leaving": "1" };
    const saidAt = performance.now();
    await waitUntil("it has said so", () => engine.arrivals.some(({ at }) => at > saidAt));
    await wait(DRAIN_MS + WATCH_MS);
    return engine.arrivals.filter(({ at }) => at > saidAt + DRAIN_MS).length;
}

void t.test("an upstream that says that it leaves", async t => {
    await fleet.open();
    t.teardown(async () => {
        await callers.stop();
        engines.forEach(engine => engine.close());
        await fleet.close();
    });
    await Promise.all(["c1", "c2", "c3"].map(box => fleet.startController(box, true)));
    await fleet.putBundle("c1", createWireBundle(1));
    await Promise.all(ROUTERS.map(box => fleet.startRouter(box)));
    for (const engine of engines) {
        await engine.start("c1");
    }
    const statuses: number[] = [];
    for (const router of ROUTERS) {
        await waitUntil("callers are answered", async () => (await callers.call(router)).status === 200);
        for (let i = 0; i < CALLERS; i++) {
            callers.start(router, CALL_PAUSE_MS, status => statuses.push(status));
        }
    }
    await waitUntil("all are used", () => engines.every(({ arrivals }) => arrivals.length > 0));

    await t.test("gets nothing new after seconds, whatever it registers", async t => {
        t.equal(await leave(first), 0);
        t.same(statuses.filter(status => status !== 200), [], "callers are served by the others");
    });

    await t.test("nor from routers that reach no controller", async t => {
        await Promise.all(["c1", "c2", "c3"].map(box => fleet.stopController(box)));
        t.equal(await leave(second), 0);
        t.same(statuses.filter(status => status !== 200), [], "callers are served by the others");
    });
});

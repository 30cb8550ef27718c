/**
 * An upstream in need that names how many requests a second it takes from all routers together.
 *
 * What users saw: model engines named a limit of 1 a second in their answers and got 28 to 36 requests in 4 s from routers that
 * had been told, 11 being tolerated.
 */
import t from "tap";
import { DirectCallers } from "../tools/directCallers.js";
import { DirectFleet } from "../tools/directFleet.js";
import { SignallingEngine } from "../tools/signallingEngine.js";
import { wait, waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const NETWORK = 95;
const ROUTERS = ["r1", "r2", "r3"];
const CALLERS = 4;
const CALL_PAUSE_MS = 30;
/** How long routers have until all keep to a limit, and the span in which requests are counted. Milliseconds. */
const COMPLY_MS = 3_000;
const SPAN_MS = 4_000;
const LIMIT = 1;
/** Half as much again as the limit allows, and five. */
const MOST_IN_SPAN = 1.5 * LIMIT * SPAN_MS / 1_000 + 5;
const fleet = new DirectFleet(NETWORK);
const callers = new DirectCallers(fleet);
const engines = ["e1", "e2", "e3"].map((id, i) => new SignallingEngine(fleet, id, `r${11 + i}`));
const [limited] = engines as [SignallingEngine];

void t.test("an upstream that names a limit", async t => {
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
    await waitUntil("all routers use it", () => new Set(limited.arrivals.map(({ router }) => router)).size === 3);

    await t.test("gets no more than that from all routers together", async t => {
        limited.headers = { "Server-Limit": String(LIMIT) };
        const namedAt = performance.now();
        await wait(COMPLY_MS + SPAN_MS);
        const busiest = limited.countBusiest(namedAt + COMPLY_MS, SPAN_MS);
        t.ok(busiest <= MOST_IN_SPAN, `${busiest} in ${SPAN_MS} ms`);
        t.same(statuses.filter(status => status !== 200), [], "callers are served by the others");
    });
});

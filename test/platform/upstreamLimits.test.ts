/**
 * An upstream in need that names how many requests a second it takes from all routers together.
 *
 * What users saw: model engines named a limit of 1 a second in their answers and got 28 to 36 requests in 4 s from routers that
 * had been told, 11 being tolerated.
 *
 * The order of events: an upstream begins to name a limit; each router gets answers that say so within a second; each goes on
 * choosing the upstream by its load alone, which falls as the upstream gets slow work done.
 *
 * The cause: of an answer's head a router read whether and what had run, and nothing that the upstream says of itself. What
 * showed it: the requests that reached the upstream each second were the same before and after it began to speak, so
 * neither a bound of each router nor what was decided before can have been at work.
 */
import t from "tap";
import { SignallingFleet } from "../tools/signallingFleet.js";
import { wait, waitUntil } from "../tools/waiting.js";

const ROUTERS = ["r1", "r2", "r3"];
/** How long routers have until all keep to a limit, and the span in which requests are counted. Milliseconds. */
const COMPLY_MS = 3_000;
const SPAN_MS = 4_000;
const LIMIT = 1;
/** Half as much again as the limit allows, and five. */
const MOST_IN_SPAN = 1.5 * LIMIT * SPAN_MS / 1_000 + 5;
/** Requests of one router that only a router that keeps to no limit sends soon. */
const FREELY = 4;
const world = new SignallingFleet({ network: 95, routers: ROUTERS, engines: ["e1", "e2", "e3"] });
const { callers, engines } = world;
const limited = engines[0]!;

/** What each router believes of an upstream's limit. */
function getLimits(id: string): (number | undefined)[] {
    return ROUTERS.map(router => {
        const { registry } = world.getDaemon(router);
        const known = registry.tryGet(id);
        return known === undefined ? NaN : registry.tryGetLimit(known);
    });
}

void t.test("an upstream that names a limit", async t => {
    t.teardown(() => world.close());
    await world.open();
    await world.startCallers();

    await t.test("gets no more than that from all routers together", async t => {
        limited.headers = { "Server-Limit": String(LIMIT) };
        const namedAt = performance.now();
        await wait(COMPLY_MS + SPAN_MS);
        const busiest = limited.countBusiest(namedAt + COMPLY_MS, SPAN_MS);
        t.ok(busiest <= MOST_IN_SPAN, `${busiest} in ${SPAN_MS} ms`);
        t.same(world.listRefused(), [], "callers are served by the others");
    });

    await t.test("gets its part from all of them as soon as it names no limit any more", async t => {
        limited.headers = {};
        const endedAt = performance.now();
        await waitUntil("all routers use it again", () => {
            const since = limited.arrivals.filter(({ at }) => at > endedAt);
            return ROUTERS.every(name => since.filter(({ router }) => router === name).length > FREELY);
        });
        t.same(world.listRefused(), []);
    });

    await t.test("is not held to it when another upstream has its address", async t => {
        limited.headers = { "Server-Limit": "0" };
        await waitUntil("routers know", () => getLimits(limited.id).every(limit => limit === 0));
        limited.id = "e4";
        await waitUntil("the other one is known", () => getLimits("e4").every(limit => limit === undefined));
        t.same(world.listRefused(), []);
    });

    await t.test("is refused for at once where nobody else is there, with when to come back", async t => {
        engines.forEach(engine => engine.headers = { "Server-Limit": "0.5" });
        const named = engines.map(({ id }) => id);
        await waitUntil("routers know", () => named.every(id => getLimits(id).every(limit => limit === 0.5)));
        await callers.stop();
        const answers = await Promise.all(ROUTERS.flatMap(router => [callers.call(router), callers.call(router)]));
        const refused = answers.filter(({ status }) => status !== 200);
        t.ok(refused.length > 0, "more came than all upstreams take");
        for (const { status, retryAfter } of refused) {
            t.equal(status, 503);
            t.ok(Number(retryAfter) > 0 && Number(retryAfter) <= 2, `come back in ${retryAfter} s`);
        }
    });
});

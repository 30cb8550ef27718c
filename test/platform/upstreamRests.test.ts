/**
 * An upstream that turns a request away and asks the router for rest.
 *
 * What users saw: overloaded upstreams answered 503 and asked for 3 s of rest; the router that was told sent them a third and
 * a fourth request within that time, and callers were turned away by an upstream that had said so before.
 *
 * The order of events: an upstream turns a request away with a time of rest; the router sends nothing there for 100 ms; another
 * request that the upstream runs meanwhile ends that pause; the router's next requests go there again.
 *
 * The cause: the time of rest was not read. The pause after a request that was turned away is a rule of the router's own, meant
 * for upstreams that say nothing, and a good answer ends it. What showed it: requests of the same router reached the upstream
 * 2.2 and 2.7 s after the rest was asked for, long after anything decided before could have been under way.
 */
import t from "tap";
import { SignallingFleet } from "../tools/signallingFleet.js";
import { wait, waitUntil } from "../tools/waiting.js";

const ROUTERS = ["r1", "r2"];
const REST_MS = 3_000;
/** What was under way may still arrive for so long. Milliseconds. */
const UNDER_WAY_MS = 500;
/** Requests that may reach an upstream from one router during its rest. */
const MOST_IN_REST = 2;
const world = new SignallingFleet({ network: 96, routers: ROUTERS, engines: ["e1", "e2", "e3"] });
const { callers, engines } = world;
const tired = engines[0]!;

/** Requests of a router in the rest that it was asked for first. */
function countInRest(name: string): number {
    const own = tired.arrivals.filter(({ router }) => router === name);
    const askedAt = own.find(({ isTurnedAway }) => isTurnedAway)!.at;
    return own.filter(({ at }) => at > askedAt + UNDER_WAY_MS && at < askedAt + REST_MS).length;
}

void t.test("an upstream that asks for rest", async t => {
    t.teardown(() => world.close());
    await world.open();
    await world.startCallers();

    await t.test("gets nothing more from the router that was told, also where it has answered others since", async t => {
        tired.turnsAwayWith = { "Retry-After": String(REST_MS / 1_000) };
        await waitUntil("both are told", () => {
            const told = tired.arrivals.filter(({ isTurnedAway }) => isTurnedAway);
            return new Set(told.map(({ router }) => router)).size === 2;
        });
        tired.turnsAwayWith = undefined;
        await wait(REST_MS + UNDER_WAY_MS);
        for (const router of ROUTERS) {
            const count = countInRest(router);
            t.ok(count <= MOST_IN_REST, `${count} from ${router}`);
        }
        t.same(world.listRefused(), [], "callers are served by the others");
    });

    await t.test("is used again when the rest is over", async () => {
        const since = performance.now();
        await waitUntil("both use it", () => world.hasAllSince(tired, since));
    });

    await t.test("is refused for at once where all rest, with when the first rest ends", async t => {
        await callers.stop();
        engines.forEach((engine, i) => engine.turnsAwayWith = { "Retry-After": String(2 + i) });
        await waitUntil("all have been asked", async () => {
            await callers.call("r1");
            return engines.every(({ arrivals }) => arrivals.at(-1)?.router === "r1" && arrivals.at(-1)!.isTurnedAway);
        });
        const before = engines.map(({ arrivals }) => arrivals.length);
        const { status, retryAfter } = await callers.call("r1");
        t.equal(status, 503);
        t.ok(Number(retryAfter) > 0 && Number(retryAfter) <= 2, `come back in ${retryAfter} s`);
        t.same(engines.map(({ arrivals }) => arrivals.length), before, "nobody was asked for it");
    });
});

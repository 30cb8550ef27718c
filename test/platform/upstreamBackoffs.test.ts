/**
 * An upstream that rejects a request with Retry-After must get no more requests from that router until the backoff ends, even
 * if another request succeeds there in the meantime.
 */
import t from "tap";
import { SignallingFleet } from "../tools/signallingFleet.js";
import { wait, waitUntil } from "../tools/waiting.js";

const ROUTERS = ["r1", "r2"];
const BACKOFF_MS = 3_000;
/** Time during which requests in flight may still arrive. */
const IN_FLIGHT_MS = 500;
/** Requests that one router may send to an upstream during its backoff. */
const MAX_IN_BACKOFF = 2;
const fleet = new SignallingFleet({ network: 96, routers: ROUTERS, engines: ["e1", "e2", "e3"] });
const { callers, engines } = fleet;
const overloaded = engines[0]!;

/** Counts the requests from a router during the first backoff that it was asked for. */
function countInBackoff(name: string): number {
    const own = overloaded.arrivals.filter(({ router }) => router === name);
    const askedAt = own.find(({ isRejected: isTurnedAway }) => isTurnedAway)!.at;
    return own.filter(({ at }) => at > askedAt + IN_FLIGHT_MS && at < askedAt + BACKOFF_MS).length;
}

void t.test("an upstream that asks for a backoff", async t => {
    t.teardown(() => fleet.close());
    await fleet.open();
    await fleet.startCallers();

    await t.test("gets no more requests from a router that it rejected, even after later successes", async t => {
        overloaded.rejectionHeaders = { "Retry-After": String(BACKOFF_MS / 1_000) };
        await waitUntil("both routers rejected", () => {
            const rejected = overloaded.arrivals.filter(({ isRejected: isTurnedAway }) => isTurnedAway);
            return new Set(rejected.map(({ router }) => router)).size === 2;
        });
        overloaded.rejectionHeaders = undefined;
        await wait(BACKOFF_MS + IN_FLIGHT_MS);
        for (const router of ROUTERS) {
            const count = countInBackoff(router);
            t.ok(count <= MAX_IN_BACKOFF, `${count} from ${router}`);
        }
        t.same(fleet.listFailedStatuses(), [], "the other upstreams serve all callers");
    });

    await t.test("is used again when the backoff is over", async () => {
        const since = performance.now();
        await waitUntil("use by both routers", () => fleet.isUsedByAllSince(overloaded, since));
    });

    await t.test("causes immediate refusals with the shortest Retry-After when all upstreams back off", async t => {
        await callers.stop();
        engines.forEach((engine, i) => engine.rejectionHeaders = { "Retry-After": String(2 + i) });
        await waitUntil("rejections by all upstreams", async () => {
            await callers.call("r1");
            return engines.every(({ arrivals }) => arrivals.at(-1)?.router === "r1" && arrivals.at(-1)!.isRejected);
        });
        const before = engines.map(({ arrivals }) => arrivals.length);
        const { status, retryAfter } = await callers.call("r1");
        t.equal(status, 503);
        t.ok(Number(retryAfter) > 0 && Number(retryAfter) <= 2, `Retry-After: ${retryAfter}`);
        t.same(engines.map(({ arrivals }) => arrivals.length), before, "no upstream received the request");
    });
});

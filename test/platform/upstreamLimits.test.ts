/**
 * An upstream under load announces in response headers how many requests per second it accepts. All routers together must keep
 * to that limit, and must drop it once it is withdrawn or another upstream has the address.
 */
import t from "tap";
import { SignallingFleet } from "../tools/signallingFleet.js";
import { wait, waitUntil } from "../tools/waiting.js";

const ROUTERS = ["r1", "r2", "r3"];
/** Time until all routers keep to a limit. */
const COMPLIANCE_MS = 3_000;
/** Window in which requests are counted. */
const SPAN_MS = 4_000;
/** Requests per second. */
const LIMIT = 1;
/** 1.5 times the limit, plus 5. */
const MAX_IN_SPAN = 1.5 * LIMIT * SPAN_MS / 1_000 + 5;
/** Number of requests from one router that shows that it applies no limit. */
const UNLIMITED_REQUESTS = 4;
const fleet = new SignallingFleet({ network: 95, routers: ROUTERS, engines: ["e1", "e2", "e3"] });
const { callers, engines } = fleet;
const limited = engines[0]!;

/** Returns the limit that each router has recorded for an upstream; NaN where the upstream is unknown. */
function getLimits(id: string): (number | undefined)[] {
    return ROUTERS.map(router => {
        const { registry } = fleet.getDaemon(router);
        const known = registry.tryGet(id);
        return known === undefined ? NaN : registry.tryGetLimit(known);
    });
}

void t.test("an upstream that announces a limit", async t => {
    t.teardown(() => fleet.close());
    await fleet.open();
    await fleet.startCallers();

    await t.test("gets no more requests than that from all routers together", async t => {
        limited.headers = { "Server-Limit": String(LIMIT) };
        const announcedAt = performance.now();
        await wait(COMPLIANCE_MS + SPAN_MS);
        const busiest = limited.countPeakArrivals(announcedAt + COMPLIANCE_MS, SPAN_MS);
        t.ok(busiest <= MAX_IN_SPAN, `${busiest} in ${SPAN_MS} ms`);
        t.same(fleet.listFailedStatuses(), [], "the other upstreams serve all callers");
    });

    await t.test("gets its share from all routers once the limit is withdrawn", async t => {
        limited.headers = {};
        const withdrawnAt = performance.now();
        await waitUntil("use by all routers", () => {
            const since = limited.arrivals.filter(({ at }) => at > withdrawnAt);
            return ROUTERS.every(name => since.filter(({ router }) => router === name).length > UNLIMITED_REQUESTS);
        });
        t.same(fleet.listFailedStatuses(), []);
    });

    await t.test("has its limit dropped when another upstream has its address", async t => {
        limited.headers = { "Server-Limit": "0" };
        await waitUntil("limit known to all routers", () => getLimits(limited.id).every(limit => limit === 0));
        limited.id = "e4";
        await waitUntil("new upstream known to all routers", () => getLimits("e4").every(limit => limit === undefined));
        t.same(fleet.listFailedStatuses(), []);
    });

    await t.test("causes immediate refusals with Retry-After when no other upstream is available", async t => {
        engines.forEach(engine => engine.headers = { "Server-Limit": "0.5" });
        const ids = engines.map(({ id }) => id);
        await waitUntil(
            "limit known to all routers",
            () => ids.every(id => getLimits(id).every(limit => limit === 0.5)),
        );
        await callers.stop();
        const answers = await Promise.all(ROUTERS.flatMap(router => [callers.call(router), callers.call(router)]));
        const refused = answers.filter(({ status }) => status !== 200);
        t.ok(refused.length > 0, "requests exceeded the limits of all upstreams");
        for (const { status, retryAfter } of refused) {
            t.equal(status, 503);
            t.ok(Number(retryAfter) > 0 && Number(retryAfter) <= 2, `Retry-After: ${retryAfter}`);
        }
    });
});

/** Engines of several software versions serve one service. A stream must never hold events of two versions. */
import t, { type Test } from "tap";
import { DirectFleet } from "../tools/directFleet.js";
import { type CallerStream, hasMixedVersions, isWhole, StreamCaller } from "../tools/streamCaller.js";
import { BREAKING_PATH, SLOW_PATH, VersionedEngine } from "../tools/versionedEngine.js";
import { waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const NETWORK = 101;
const CONTROLLERS = ["c1", "c2", "c3"];
const ROUTERS = ["r1", "r2", "r3", "r4"];
const VERSIONS = ["v1", "v1.1", "v1.2"];
const ENGINES_PER_VERSION = 2;
const STREAMS = 24;
/** Events that a caller has when it leaves a stream. */
const EVENTS_BEFORE_LEAVING = 2;
/** Enough for every stream to go on. */
const RETRIES = {
    repeats: {
        windowMs: 10_000,
        ratio: 1_000,
        permitWaitMs: 100,
        claimTimeoutMs: 500,
        minClaimIntervalMs: 1_000,
    },
};
const fleet = new DirectFleet(NETWORK);
const caller = new StreamCaller(fleet);
const engines = VERSIONS.flatMap((version, v) =>
    Array.from({ length: ENGINES_PER_VERSION }, (_, i) => {
        const box = `r${21 + v * ENGINES_PER_VERSION + i}`;
        return new VersionedEngine(fleet, `e-${version}-${i}`, box, version);
    })
);

async function waitForEngines(router: string, count: number): Promise<void> {
    const { registry } = fleet.routers.get(router)!.role.daemon;
    await waitUntil("engines known", () => registry.getReady("engines", performance.now(), Infinity).length === count);
}

/** Starts streams at a router that their caller leaves in the middle. */
function startStreams(router: string): Promise<CallerStream[]> {
    return Promise.all(
        Array.from({ length: STREAMS }, () => caller.start(router, SLOW_PATH, EVENTS_BEFORE_LEAVING)),
    );
}

function checkResumed(t: Test, streams: readonly CallerStream[]): void {
    t.equal(streams.filter(hasMixedVersions).length, 0, "streams with events of two versions");
    t.equal(streams.filter(isWhole).length, streams.length, "streams that went on to their end");
}

void t.test("a stream that goes on at another upstream stays with the software version that began it", async t => {
    t.teardown(() => fleet.close());
    await fleet.open();
    await Promise.all(CONTROLLERS.map(box => fleet.startController(box, true)));
    await Promise.all(ROUTERS.map(box => fleet.startRouter(box, RETRIES)));
    const bundle = createWireBundle(1);
    // Accounts without a limit, so that no stream waits for prepaid tokens.
    await fleet.putBundle("c1", {
        ...bundle,
        tenants: bundle.tenants.map(tenant => ({ ...tenant, prepaid: undefined })),
    });
    await Promise.all(engines.map(engine => engine.start("c1")));
    await Promise.all(ROUTERS.map(router => waitForEngines(router, engines.length)));

    await t.test("stays with one version when its upstream breaks it off", async t => {
        checkResumed(
            t,
            await Promise.all(
                ROUTERS.flatMap(router =>
                    Array.from({ length: STREAMS / ROUTERS.length }, () => caller.start(router, BREAKING_PATH))
                ),
            ),
        );
    });

    await t.test("stays with one version when its caller resumes it at the same router", async t => {
        const streams = await startStreams("r1");
        checkResumed(t, await Promise.all(streams.map(stream => caller.resume("r1", SLOW_PATH, stream))));
    });

    await t.test("stays with one version when its caller resumes it at another router, twice", async t => {
        const streams = await startStreams("r1");
        const resumed = await Promise.all(streams.map(stream => caller.resume("r2", SLOW_PATH, stream, 1)));
        checkResumed(t, await Promise.all(resumed.map(stream => caller.resume("r3", SLOW_PATH, stream))));
    });

    await t.test("stays with one version when the router that began it has stopped", async t => {
        const streams = await startStreams("r4");
        await fleet.stopRouter("r4");
        checkResumed(t, await Promise.all(streams.map(stream => caller.resume("r2", SLOW_PATH, stream))));
    });

    await t.test("is refused with Retry-After and not run when nobody knows which version began it", async t => {
        const stream = { firstAttempt: "unknown", versions: ["v1"], status: 200, retryAfter: undefined };
        const runs = engines.flatMap(engine => engine.runs).length;
        const { status, retryAfter } = await caller.resume("r1", SLOW_PATH, stream);
        t.equal(status, 503);
        t.ok(Number(retryAfter) > 0);
        t.equal(engines.flatMap(engine => engine.runs).length, runs);
    });

    await t.test("is refused when no upstream of its version is left", async t => {
        const streams = await startStreams("r1");
        const lost = streams.filter(({ versions }) => versions[0] === "v1");
        await Promise.all(engines.slice(0, ENGINES_PER_VERSION).map(engine => engine.leave("c1")));
        await Promise.all(["r1", "r2"].map(router => waitForEngines(router, engines.length - ENGINES_PER_VERSION)));
        const resumed = await Promise.all(lost.map(stream => caller.resume("r2", SLOW_PATH, stream)));
        t.ok(lost.length > 0, "some streams began at the version");
        t.same(resumed.filter(({ status }) => status !== 503), []);
    });
});

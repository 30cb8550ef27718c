/** Streams are resumed while processes restart, versions come and ids return. None may go on at another version. */
import t from "tap";
import { DirectFleet } from "../tools/directFleet.js";
import { type CallerStream, hasMixedVersions, isWhole, StreamCaller } from "../tools/streamCaller.js";
import { SLOW_PATH, VersionedEngine } from "../tools/versionedEngine.js";
import { waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const NETWORK = 102;
const CONTROLLERS = ["c1", "c2", "c3"];
const ROUTERS = ["r1", "r2"];
const STREAMS = 12;
/** Events that a caller has when it leaves a stream. */
const EVENTS_BEFORE_LEAVING = 2;
/** A refusal is prompt within a quarter of the route's latency goal of 800 ms, on a machine that may be busy. */
const MAX_REFUSAL_MS = 1_000;
const fleet = new DirectFleet(NETWORK);
const caller = new StreamCaller(fleet);
const engines = {
    old1: new VersionedEngine(fleet, "e1", "r21", "v1"),
    old2: new VersionedEngine(fleet, "e2", "r22", "v1"),
    new1: new VersionedEngine(fleet, "e3", "r23", "v2"),
    new2: new VersionedEngine(fleet, "e4", "r24", "v2"),
};

async function waitForEngines(count: number): Promise<void> {
    for (const router of ROUTERS) {
        const { daemon } = fleet.routers.get(router)!.role;
        await waitUntil("router ready", () => daemon.isReady());
        await waitUntil(
            "engines known",
            () => daemon.registry.getReady("engines", performance.now(), Infinity).length === count,
        );
    }
}

function startStreams(router: string): Promise<CallerStream[]> {
    return Promise.all(
        Array.from({ length: STREAMS }, () => caller.start(router, SLOW_PATH, EVENTS_BEFORE_LEAVING)),
    );
}

function resumeAll(router: string, streams: readonly CallerStream[]): Promise<CallerStream[]> {
    return Promise.all(streams.map(stream => caller.resume(router, SLOW_PATH, stream)));
}

async function restartRouters(): Promise<void> {
    await Promise.all(ROUTERS.map(box => fleet.stopRouter(box)));
    await Promise.all(ROUTERS.map(box => fleet.startRouter(box)));
}

void t.test("streams that are resumed while the fleet fails never hold events of two versions", async t => {
    t.teardown(() => fleet.close());
    await fleet.open();
    await Promise.all(CONTROLLERS.map(box => fleet.startController(box, true)));
    await Promise.all(ROUTERS.map(box => fleet.startRouter(box)));
    const bundle = createWireBundle(1);
    // Accounts without a limit, so that no stream waits for prepaid tokens.
    await fleet.putBundle("c1", {
        ...bundle,
        tenants: bundle.tenants.map(tenant => ({ ...tenant, prepaid: undefined })),
    });
    await engines.old1.start("c1");
    await engines.old2.start("c2");
    await waitForEngines(2);

    await t.test("with one version, all go on after every router has restarted", async t => {
        const streams = await startStreams("r1");
        await restartRouters();
        await waitForEngines(2);
        t.ok((await resumeAll("r2", streams)).every(isWhole));
    });

    await t.test("streams that began before the second version came go on at the first", async t => {
        const streams = await startStreams("r1");
        await engines.new1.start("c3");
        await engines.new2.start("c1");
        await waitForEngines(4);
        const resumed = await resumeAll("r2", streams);
        t.notOk(resumed.some(hasMixedVersions));
        t.ok(resumed.every(isWhole));
    });

    await t.test("streams go on after all controllers have restarted", async t => {
        const streams = await startStreams("r1");
        await Promise.all(CONTROLLERS.map(box => fleet.stopController(box)));
        await Promise.all(CONTROLLERS.map(box => fleet.startController(box, false)));
        const [probe] = streams;
        await waitUntil(
            "the streams to be known again",
            async () => isWhole(await caller.resume("r2", SLOW_PATH, probe!)),
        );
        const resumed = await resumeAll("r2", streams);
        t.notOk(resumed.some(hasMixedVersions));
        t.ok(resumed.every(isWhole));
    });

    await t.test("streams that only ended processes knew are refused as not run", async t => {
        await waitForEngines(4);
        const streams = await startStreams("r1");
        await Promise.all([
            ...ROUTERS.map(box => fleet.stopRouter(box)),
            ...CONTROLLERS.map(box => fleet.stopController(box)),
        ]);
        await Promise.all(CONTROLLERS.map(box => fleet.startController(box, false)));
        await Promise.all(ROUTERS.map(box => fleet.startRouter(box)));
        await waitForEngines(4);
        const resumed = await resumeAll("r2", streams);
        t.notOk(resumed.some(hasMixedVersions));
        t.same(resumed.filter(({ status }) => status !== 503), []);
    });

    await t.test("a router cut off from the controllers resumes its own streams and refuses others at once", async t => {
        const own = await startStreams("r2");
        const others = await startStreams("r1");
        await Promise.all(CONTROLLERS.map(box => fleet.stopController(box)));
        const startedAt = performance.now();
        const refused = await resumeAll("r2", others);
        const refusedMs = performance.now() - startedAt;
        t.same(refused.filter(({ status }) => status !== 503), []);
        t.ok(refusedMs < MAX_REFUSAL_MS, `${Math.round(refusedMs)} ms`);
        const resumed = await resumeAll("r2", own);
        t.notOk(resumed.some(hasMixedVersions));
        t.ok(resumed.every(isWhole));
        await Promise.all(CONTROLLERS.map(box => fleet.startController(box, false)));
    });

    await t.test("streams are refused whose upstream has just returned under its id with another version", async t => {
        await waitForEngines(4);
        const streams = (await startStreams("r1")).filter(({ versions }) => versions[0] === "v1");
        await Promise.all([engines.old1.changeVersion("c1", "v2"), engines.old2.changeVersion("c1", "v2")]);
        const { registry } = fleet.routers.get("r1")!.role.daemon;
        await waitUntil("the new versions", () => ["e1", "e2"].every(id => registry.tryGet(id)?.version === "v2"));
        await engines.new1.leave("c1");
        await engines.new2.leave("c1");
        t.ok(streams.length > 0);
        const resumed = await resumeAll("r1", streams);
        t.same(resumed.filter(({ status }) => status !== 503), []);
    });
});

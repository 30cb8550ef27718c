/** Planned stops of routers that are separate processes: no answer is lost, and each stop ends in time with 0. */
import t, { type Test } from "tap";
import type { KeptConnection } from "../tools/keptConnection.js";
import { GRACE_MS, type PlannedStop, startPlay } from "../tools/plannedPlay.js";
import { getLargePath, type PlayPath, PlayPaths } from "../tools/playEngine.js";
import { wait } from "../tools/waiting.js";

const NETWORK = 203;
const ROUTERS = 4;
/** Streams that have begun and not ended. */
const UNDER_WAY_MS = 400;
const TURN_MS = 1_000;
/** Of the time of a router's event loop. */
const BUSY_FRACTIONS = [0.8, 0.95];
const SHORT_PAUSE_MS = 250;
const LONG_PAUSE_MS = 7_000;
/** After SIGTERM, when callers begin to read. */
const READ_AFTER_MS = 3_000;
const READ_STEP_MS = 100;
/** From what the system buffers for a caller to more than that. */
const MIN_LARGE_BYTES = 2_000_000;
const LARGE_STEP_BYTES = 200_000;
/** After SIGTERM, around the time at which a router without requests ends. */
const BODY_AFTER_MS = 2_550;
const BODY_STEP_MS = 25;

const play = await startPlay(NETWORK, ROUTERS);
t.teardown(() => play.close());
t.beforeEach(() => play.resetRecords());

/** Checks how stops ended, and that no answer was lost by them; starts their routers again. */
async function checkStops(t: Test, routers: readonly string[], stops: readonly PlannedStop[]): Promise<void> {
    stops.forEach(({ code, tookMs }, i) => {
        t.equal(code, 0, `${routers[i]} ends with 0`);
        t.ok(tookMs <= GRACE_MS, `${routers[i]} ends within its grace period, after ${Math.round(tookMs)} ms`);
    });
    t.same(play.audit.listLosses(), [], `answers ${JSON.stringify(play.outcomes)}`);
    play.closeConnections();
    await Promise.all(routers.map(router => play.startAgain(router)));
}

function sendOnAll(connections: readonly KeptConnection[], path: PlayPath) {
    return connections.map(connection => play.send(connection, path));
}

void t.test("a relayed stream that is silent for seconds is not cut off by the stop of its relaying router", async t => {
    const connections = await play.openRelayed("r1", 6);
    const streams = sendOnAll(connections, PlayPaths.silent);
    await wait(UNDER_WAY_MS);
    const stop = await play.stop("r1");
    await Promise.all(streams);
    await checkStops(t, ["r1"], [stop]);
});

void t.test("kept connections take no request that a stopping router then cuts off", async t => {
    const relayed = await play.openRelayed("r1", 12);
    const connections = [...relayed, ...await play.openServed("r1", 12)];
    const stopped = play.stop("r1");
    let isOver = false;
    const callers = connections.map((connection, i) => {
        const maxPauseMs = i % 2 === 0 ? SHORT_PAUSE_MS : LONG_PAUSE_MS;
        const choosePath = () => Math.random() < 0.5 ? PlayPaths.steady : PlayPaths.short;
        const getPauseMs = () => SHORT_PAUSE_MS + Math.random() * (maxPauseMs - SHORT_PAUSE_MS);
        return play.runCaller(connection, choosePath, getPauseMs, () => isOver);
    });
    const stop = await stopped;
    isOver = true;
    await Promise.all(callers);
    await checkStops(t, ["r1"], [stop]);
});

for (const busyFraction of BUSY_FRACTIONS) {
    void t.test(`a router that stops while it is short of CPU time, busy ${busyFraction}, cuts nothing off`, async t => {
        const connections = await play.openRelayed("r1", 12);
        play.fleet.setBusyFraction("r1", busyFraction);
        const streams = sendOnAll(connections.slice(0, 6), PlayPaths.silent);
        let isOver = false;
        const callers = connections.slice(6).map(connection =>
            play.runCaller(connection, () => PlayPaths.steady, () => Math.random() * SHORT_PAUSE_MS, () => isOver)
        );
        await wait(UNDER_WAY_MS);
        const stop = await play.stop("r1");
        isOver = true;
        await Promise.all([...streams, ...callers]);
        await checkStops(t, ["r1"], [stop]);
    });
}

void t.test("callers that read late get whole answers from a stopping router", async t => {
    const connections = [...await play.openRelayed("r1", 12), ...await play.openServed("r1", 12)];
    const stopsAt = wait(UNDER_WAY_MS);
    const answers = connections.map((connection, i) => {
        const turn = i % 12;
        const readsAfter = stopsAt.then(() => wait(READ_AFTER_MS + turn * READ_STEP_MS));
        return play.send(connection, getLargePath(MIN_LARGE_BYTES + turn * LARGE_STEP_BYTES), { readsAfter });
    });
    await stopsAt;
    const stop = await play.stop("r1");
    await Promise.all(answers);
    await checkStops(t, ["r1"], [stop]);
});

void t.test("callers that end their requests as a stopping router ends get whole answers", async t => {
    const connections = [...await play.openRelayed("r1", 12), ...await play.openServed("r1", 12)];
    const stopsAt = wait(UNDER_WAY_MS);
    const answers = connections.map((connection, i) => {
        const bodyEndsAfter = stopsAt.then(() => wait(BODY_AFTER_MS + i % 12 * BODY_STEP_MS));
        return play.send(connection, PlayPaths.short, { bodyEndsAfter });
    });
    await stopsAt;
    const stop = await play.stop("r1");
    await Promise.all(answers);
    await checkStops(t, ["r1"], [stop]);
});

void t.test("relayed streams are not cut off by the stop of the router that serves them", async t => {
    const connections = await play.openRelayed("r1", 8);
    const streams = sendOnAll(connections, PlayPaths.silent);
    await wait(UNDER_WAY_MS);
    // The rule speaks of the router that took a request; its callers expect the same of the one that serves it.
    play.audit.recordStop("r1", performance.now());
    const stop = await play.stop("r2");
    await Promise.all(streams);
    await checkStops(t, ["r2"], [stop]);
});

void t.test("relayed streams are not cut off by stops of both of their routers, one after the other", async t => {
    const connections = await play.openRelayed("r1", 8);
    const streams = sendOnAll(connections, PlayPaths.silent);
    await wait(UNDER_WAY_MS);
    const first = play.stop("r1");
    await wait(TURN_MS);
    const stops = await Promise.all([first, play.stop("r2")]);
    await Promise.all(streams);
    await checkStops(t, ["r1", "r2"], stops);
});

void t.test("relayed streams are not cut off by stops of both of their routers at once", async t => {
    const connections = await play.openRelayed("r1", 8);
    const streams = sendOnAll(connections, PlayPaths.silent);
    await wait(UNDER_WAY_MS);
    const stops = await Promise.all([play.stop("r1"), play.stop("r2")]);
    await Promise.all(streams);
    await checkStops(t, ["r1", "r2"], stops);
});

void t.test("a second SIGTERM cuts nothing off", async t => {
    const connections = [...await play.openRelayed("r1", 6), ...await play.openServed("r1", 6)];
    const streams = sendOnAll(connections, PlayPaths.silent);
    await wait(UNDER_WAY_MS);
    const stopped = play.stop("r1");
    await wait(TURN_MS);
    play.fleet.signal("r1", "SIGTERM");
    const stop = await stopped;
    await Promise.all(streams);
    await checkStops(t, ["r1"], [stop]);
});

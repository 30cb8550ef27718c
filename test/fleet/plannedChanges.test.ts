/** New configurations, changes of settings and signals during starts of routers that are separate processes: no answer is lost. */
import t, { type Test } from "tap";
import { GRACE_MS, type PlannedStop, startPlay } from "../tools/plannedPlay.js";
import { PlayPaths } from "../tools/playEngine.js";
import { listOlderAnswers } from "../tools/versionAudit.js";
import { wait, waitUntil } from "../tools/waiting.js";

const NETWORK = 204;
const ROUTERS = 4;
/** After the beginning of streams, which by then have been silent for more than 2 s. */
const SILENT_MS = 2_600;
const BETWEEN_BUNDLES_MS = 1_000;
/** By which configurations differ for longer than routers tolerate, and less than the silence that is left. */
const LATE_MS = 500;
/** Between calls of a caller; some calls of each pass while configurations differ. */
const MAX_PAUSE_MS = 150;
const RELAYED_STREAMS = 6;
const CALLERS = 10;
/** After a process was created. */
const SIGNAL_AFTER_MS = [100, 200, 300];

const play = await startPlay(NETWORK, ROUTERS);
t.teardown(() => play.close());
t.beforeEach(() => play.resetRecords());

function choosePath() {
    const paths = [PlayPaths.short, PlayPaths.steady, play.getNewestPath(), play.getNewestPath()];
    return paths[Math.floor(Math.random() * paths.length)]!;
}

/** Starts callers that go on until they are stopped, beside streams that are silent. Resolves after `leadMs` to what stops them. */
async function startLoad(leadMs = SILENT_MS): Promise<() => Promise<void>> {
    const relayed = await play.openRelayed("r1", RELAYED_STREAMS + CALLERS);
    const served = await play.openServed("r1", CALLERS);
    const streams = relayed.slice(0, RELAYED_STREAMS).map(connection => play.send(connection, PlayPaths.silent));
    let isOver = false;
    const callers = [...relayed.slice(RELAYED_STREAMS), ...served].map(connection =>
        play.runCaller(connection, choosePath, () => Math.random() * MAX_PAUSE_MS, () => isOver)
    );
    await wait(leadMs);
    return async () => {
        await Promise.all(streams);
        isOver = true;
        await Promise.all(callers);
    };
}

function checkAnswers(t: Test): void {
    t.same(play.audit.listLosses(), [], `answers ${JSON.stringify(play.outcomes)}`);
    t.same(listOlderAnswers(play.answers), [], "no answers by older configurations");
    play.closeConnections();
}

function checkStop(t: Test, { code, tookMs }: PlannedStop): void {
    t.equal(code, 0, "the router ends with 0");
    t.ok(tookMs <= GRACE_MS, `the router ends within its grace period, after ${Math.round(tookMs)} ms`);
}

void t.test("a new configuration cuts off no relayed stream that is silent, and no request of callers that go on", async t => {
    const stopLoad = await startLoad();
    await play.putNextBundle();
    await stopLoad();
    checkAnswers(t);
});

void t.test("a configuration that serving routers get later cuts off no relayed stream that is silent", async t => {
    const connections = await play.openRelayed("r1", RELAYED_STREAMS);
    const streams = connections.map(connection => play.send(connection, PlayPaths.silent));
    await wait(SILENT_MS - LATE_MS);
    const serving = play.fleet.listRouters().filter(router => router !== "r1");
    serving.forEach(router => play.fleet.signal(router, "SIGSTOP"));
    await play.putNextBundle();
    await wait(LATE_MS);
    serving.forEach(router => play.fleet.signal(router, "SIGCONT"));
    await Promise.all(streams);
    checkAnswers(t);
});

void t.test("a stop of the relaying router between two configurations cuts nothing off", async t => {
    const stopLoad = await startLoad(SILENT_MS - BETWEEN_BUNDLES_MS / 2);
    await play.putNextBundle();
    await wait(BETWEEN_BUNDLES_MS / 2);
    const stopped = play.stop("r1");
    await wait(BETWEEN_BUNDLES_MS / 2);
    await play.putNextBundle();
    const stop = await stopped;
    await stopLoad();
    checkStop(t, stop);
    checkAnswers(t);
    await play.startAgain("r1");
});

void t.test("changed settings of both routers of a relayed connection cut nothing off", async t => {
    const stopLoad = await startLoad();
    for (const router of play.fleet.listRouters()) {
        play.reload(router);
        await waitUntil("the settings", () => play.fleet.listLogLines(router, /settings_reloaded/).length > 0);
    }
    await stopLoad();
    checkAnswers(t);
});

/** Starts a router, to which callers open connections from then on. */
function startUnderLoad(router: string) {
    const lines = countLogLines(router);
    play.fleet.startBox(router);
    const ended = play.fleet.waitEnd(router);
    let isOver = false;
    const callers = Array.from({ length: CALLERS }, async () => {
        while (!isOver) {
            await play.send(play.open(router), PlayPaths.short);
            await wait(Math.random() * MAX_PAUSE_MS);
        }
    });
    const stop = async (): Promise<void> => {
        isOver = true;
        await Promise.all(callers);
    };
    return { ended, stop, hasLogged: () => countLogLines(router) > lines };
}

function countLogLines(router: string): number {
    return play.fleet.listLogLines(router, /./).length;
}

for (const afterMs of SIGNAL_AFTER_MS) {
    void t.test(`SIGTERM ${afterMs} ms after a start: a router ends with 0 and answers what it has taken`, async t => {
        await play.stop("r1");
        const start = startUnderLoad("r1");
        await wait(afterMs);
        play.audit.recordStop("r1", performance.now());
        play.fleet.signal("r1", "SIGTERM");
        const { code } = await start.ended;
        await start.stop();
        // Node.js has no handler of the program before it has loaded it.
        t.ok(code === 0 || code === undefined && !start.hasLogged(), `ends with ${code}`);
        checkAnswers(t);
        await play.startAgain("r1");
    });

    void t.test(`SIGHUP ${afterMs} ms after a start: a router goes on and answers what it has taken`, async t => {
        await play.stop("r1");
        const start = startUnderLoad("r1");
        await wait(afterMs);
        play.reload("r1");
        const ended = start.ended.then(() => "ended");
        const ready = play.waitReady("r1").then(() => "ready", () => "not ready");
        const outcome = await Promise.race([ended, ready]);
        await start.stop();
        t.ok(outcome === "ready" || outcome === "ended" && !start.hasLogged(), outcome);
        checkAnswers(t);
        if (outcome === "ended") {
            await play.startAgain("r1");
        }
    });
}

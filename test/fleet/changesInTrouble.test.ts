/** New configurations while routers and controllers that are separate processes are paused, cut off, busy, killed or restarted. */
import t, { type Test } from "tap";
import type { KeptConnection } from "../tools/keptConnection.js";
import { startPlay } from "../tools/plannedPlay.js";
import type { PlayPath } from "../tools/playEngine.js";
import { listOlderAnswers } from "../tools/versionAudit.js";
import { wait, waitUntil } from "../tools/waiting.js";

const NETWORK = 215;
const RELAYED = 8;
/** Between calls of a caller. */
const PAUSE_MS = 30;
/** Less than the silence after which a link is closed. */
const SHORT_PAUSE_MS = 1_200;
/** Longer than callers may see an older configuration after a newer one. */
const TOLERANCE_MS = 400;
/** After a pause or a cut. */
const AFTERWARDS_MS = 1_000;
const MAX_SHOWN = 5;
const CUT_MS = 2_500;

const play = await startPlay(NETWORK, 2, { attempts: 2, resumable: true }, { hasCuttableLinks: true });
t.teardown(() => play.close());
t.beforeEach(() => play.resetRecords());

/** Uses connections to a router, and new ones when they are closed, until told to stop. Each sends one request at a time. */
function startCallers(connections: readonly KeptConnection[], path: PlayPath): () => Promise<void> {
    let isOver = false;
    const callers = connections.map(async first => {
        let connection = first;
        while (!isOver) {
            if (!connection.isOpen()) {
                connection = play.open(first.router);
            }
            await play.send(connection, path);
            await wait(PAUSE_MS);
        }
    });
    return async () => {
        isOver = true;
        await Promise.all(callers);
    };
}

function checkVersions(t: Test): void {
    const older = listOlderAnswers(play.answers);
    t.same(older.slice(-MAX_SHOWN), [], `no answers by older configurations, ${older.length} found`);
    t.ok(play.answers.some(({ status }) => status === 200), "callers have seen the newer one");
    t.comment(`answers ${JSON.stringify(play.outcomes)}`);
    play.closeConnections();
}

void t.test("callers of a router that is cut off from the controllers never see its older configuration after a relayed newer one", async t => {
    const connections = await play.openRelayed("r1", RELAYED);
    play.resetRecords();
    play.fleet.cutFromControllers("r1");
    const bundle = play.createNextBundle();
    const stop = startCallers(connections, play.getNewestPath());
    await waitUntil("the configuration", () => play.fleet.putBundle(bundle));
    await wait(CUT_MS);
    play.fleet.healLinks();
    await wait(AFTERWARDS_MS);
    await stop();
    checkVersions(t);
});

void t.test("callers whose serving router is killed never come back to an older configuration", async t => {
    const connections = await play.openRelayed("r1", RELAYED);
    play.resetRecords();
    play.fleet.cutFromControllers("r1");
    const bundle = play.createNextBundle();
    const stop = startCallers(connections, play.getNewestPath());
    await waitUntil("the configuration", () => play.fleet.putBundle(bundle));
    await waitUntil("an answer by it", () => Promise.resolve(play.answers.some(({ status }) => status === 200)));
    const ended = play.fleet.waitEnd("r2");
    play.fleet.signal("r2", "SIGKILL");
    await ended;
    await wait(CUT_MS);
    play.fleet.healLinks();
    await stop();
    checkVersions(t);
    await play.startAgain("r2");
});

void t.test("callers of a router see no older configuration of a serving router that was paused during the change", async t => {
    const connections = await play.openRelayed("r1", RELAYED);
    const served = await play.openServed("r1", 2);
    play.resetRecords();
    play.fleet.signal("r2", "SIGSTOP");
    const bundle = play.createNextBundle();
    const path = play.getNewestPath();
    await waitUntil("the configuration", () => play.fleet.putBundle(bundle));
    const stopServed = startCallers(served, path);
    await waitUntil("an answer by it", () => Promise.resolve(play.answers.some(({ status }) => status === 200)));
    await wait(TOLERANCE_MS);
    const stop = startCallers(connections, path);
    await wait(SHORT_PAUSE_MS - TOLERANCE_MS);
    play.fleet.signal("r2", "SIGCONT");
    await wait(AFTERWARDS_MS);
    await stop();
    await stopServed();
    checkVersions(t);
});

/**
 * Routers that end or fall silent while connections are relayed to them, as separate processes: callers of the relaying router, which
 * runs on, get an answer to each request.
 */
import t, { type Test } from "tap";
import type { KeptConnection } from "../tools/keptConnection.js";
import { startPlay } from "../tools/plannedPlay.js";
import { type PlayPath, PlayPaths } from "../tools/playEngine.js";
import { wait } from "../tools/waiting.js";

const NETWORK = 214;
const CONNECTIONS = 8;
/** Requests that have reached their engine, whose answer has not begun. */
const UNANSWERED_MS = 500;
/** Longer than the time that callers have for the head of a request. */
const IDLE_MS = 4_000;
/** Longer than the silence after which a link between routers is closed. */
const LONG_PAUSE_MS = 3_500;

const play = await startPlay(NETWORK, 2, { attempts: 2, resumable: true });
t.teardown(() => play.close());
t.beforeEach(() => play.resetRecords());

function sendOnAll(connections: readonly KeptConnection[], path: PlayPath) {
    return Promise.all(connections.map(connection => play.send(connection, path)));
}

/** Sends a request on each of some connections that r1 relays to r2, and ends r2's process before their answers begin. */
async function killBeforeAnswers(path: PlayPath) {
    const connections = await play.openRelayed("r1", CONNECTIONS);
    const answers = sendOnAll(connections, path);
    await wait(UNANSWERED_MS);
    const ended = play.fleet.waitEnd("r2");
    play.fleet.signal("r2", "SIGKILL");
    await ended;
    return { connections, statuses: await answers };
}

async function restart(t: Test): Promise<void> {
    play.closeConnections();
    await play.startAgain("r2");
    t.comment(`answers ${JSON.stringify(play.outcomes)}`);
}

function fill(status: number): number[] {
    return new Array<number>(CONNECTIONS).fill(status);
}

for (const path of [PlayPaths.lateLookup, PlayPaths.lateStream]) {
    void t.test(`requests that may be repeated are answered whole though the router that served them was killed: ${path}`, async t => {
        const { connections, statuses } = await killBeforeAnswers(path);
        t.same(statuses, fill(200));
        t.same(
            await sendOnAll(connections.filter(connection => connection.isOpen()), PlayPaths.short),
            fill(200),
            "kept connections go on",
        );
        await restart(t);
    });
}

void t.test("a request that may not be repeated is answered as possibly run though the router that served it was killed", async t => {
    const startedAt = performance.now();
    const { statuses } = await killBeforeAnswers(PlayPaths.lateChange);
    t.same(statuses, fill(502));
    t.comment(`after ${Math.round(performance.now() - startedAt)} ms`);
    await restart(t);
});

void t.test("kept connections without a request outlive the router that served them, and are not answered unasked", async t => {
    const connections = await play.openRelayed("r1", CONNECTIONS);
    const countFailedOver = async () => await play.fleet.readMetric("r1", "connections_relay_failed_over") ?? 0;
    const failedOverBefore = await countFailedOver();
    play.fleet.signal("r2", "SIGKILL");
    await wait(IDLE_MS);
    // A connection whose end is read before that of the link is closed regularly.
    const failedOver = await countFailedOver() - failedOverBefore;
    t.ok(failedOver > 0);
    t.ok(connections.filter(connection => connection.isOpen()).length >= failedOver);
    t.same(await sendOnAll(connections, PlayPaths.short), fill(200));
    await restart(t);
});

void t.test("a request that was not sent to an upstream yet is served though the router that read it was killed", async t => {
    const connections = await play.openRelayed("r1", CONNECTIONS);
    const ended = play.fleet.waitEnd("r2");
    const answers = connections.map(connection =>
        play.send(connection, PlayPaths.lateChange, { bodyEndsAfter: ended.then(() => wait(UNANSWERED_MS)) })
    );
    await wait(UNANSWERED_MS);
    play.fleet.signal("r2", "SIGKILL");
    t.same(await Promise.all(answers), fill(200));
    await restart(t);
});

for (const path of [PlayPaths.lateLookup, PlayPaths.lateStream, PlayPaths.lateChange, PlayPaths.silent]) {
    void t.test(`no request is cut off because the router that serves it is silent for seconds: ${path}`, async t => {
        const connections = await play.openRelayed("r1", CONNECTIONS);
        const answers = sendOnAll(connections, path);
        await wait(UNANSWERED_MS);
        play.fleet.signal("r2", "SIGSTOP");
        await wait(LONG_PAUSE_MS);
        play.fleet.signal("r2", "SIGCONT");
        t.same(await answers, fill(200));
        play.closeConnections();
    });
}

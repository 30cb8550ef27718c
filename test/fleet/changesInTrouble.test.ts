/** New configurations while routers and controllers that are separate processes are paused, cut off, busy, killed or restarted. */
import t, { type Test } from "tap";
import type { CutDirection } from "../tools/cutRelay.js";
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
/** After its acknowledgement, a change is in force at each router and read from each controller. */
const IN_FORCE_MS = 2_000;
const EXTRA_ROUTES = 350;
const CHANGES = 5;
const BETWEEN_CHANGES_MS = 200;
const TROUBLE_MS = 3_000;
const INVALID_ROUNDS = 2;

interface Acknowledged {
    readonly revision: number;
    /** Path of the route that it adds. */
    readonly path: PlayPath;
    readonly text: string;
    /** Monotonic clock, milliseconds. */
    readonly at: number;
}

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

/** Changes the configuration while a router is cut off from the controllers, and r1's callers use connections that r2 serves. */
async function changeBesideCut(t: Test, router: string, direction: CutDirection): Promise<void> {
    const connections = await play.openRelayed("r1", RELAYED);
    play.resetRecords();
    play.fleet.cutFromControllers(router, direction);
    const bundle = play.createNextBundle();
    const stop = startCallers(connections, play.getNewestPath());
    await waitUntil("the configuration", () => play.fleet.putBundle(bundle));
    await wait(CUT_MS);
    play.fleet.healLinks();
    await wait(AFTERWARDS_MS);
    await stop();
    checkVersions(t);
}

void t.test("callers of a router that is cut off from the controllers never see its older configuration after a relayed newer one", t =>
    changeBesideCut(t, "r1", "both"));

void t.test("callers of a router that hears no controller never see its older configuration after a relayed newer one", t =>
    changeBesideCut(t, "r1", "back"));

void t.test("callers of a router never see the older configuration of a serving router that is cut off from the controllers", t =>
    changeBesideCut(t, "r2", "both"));

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

/** Puts the next configuration and resolves to when a controller acknowledged it. Monotonic clock, milliseconds. */
async function putNext(controllers = play.fleet.listControllers()): Promise<Acknowledged> {
    const bundle = play.createNextBundle();
    const text = JSON.stringify(bundle);
    await waitUntil("the configuration", async () => {
        const answers = await Promise.all(controllers.map(controller => play.fleet.putText(controller, text)));
        return answers.some(({ status }) => status === 200);
    });
    return { revision: bundle.config_rev, path: play.getNewestPath(), text, at: performance.now() };
}

/** Checks that each router serves a route in time after the configuration that has it was acknowledged. */
async function checkInForce(t: Test, { path, at }: Acknowledged): Promise<void> {
    for (const router of play.fleet.listRouters()) {
        await waitUntil(`${router} to serve ${path}`, async () => {
            const connection = play.open(router);
            const status = await play.send(connection, path);
            connection.close();
            return status === 200;
        });
        const tookMs = Math.round(performance.now() - at);
        t.ok(tookMs <= IN_FORCE_MS, `${path} is in force at ${router} after ${tookMs} ms`);
    }
}

/** Checks that no controller answers with a configuration older than one that was acknowledged 2 s ago. */
async function checkReads(t: Test, { revision, at }: Acknowledged): Promise<void> {
    await wait(Math.max(0, at + IN_FORCE_MS - performance.now()));
    await Promise.all(
        play.fleet.listControllers().map(async controller => {
            const { status, text } = await play.fleet.readConfig(controller);
            const isCurrent = status === 200 && (JSON.parse(text) as { config_rev: number; }).config_rev >= revision;
            t.ok(isCurrent || status === undefined || status >= 500, `${controller}: ${status} ${text.slice(0, 40)}`);
        }),
    );
}

for (const fraction of [0.8, 0.95]) {
    void t.test(`changes of large configurations come into force in time at a router that is busy for ${fraction} of its time`, async t => {
        play.extraRoutes = EXTRA_ROUTES;
        play.fleet.setBusyFraction("r2", fraction);
        const changes: Acknowledged[] = [];
        for (let i = 0; i < CHANGES; i++) {
            changes.push(await putNext());
            await wait(BETWEEN_CHANGES_MS);
        }
        await checkInForce(t, changes.at(-1)!);
        play.fleet.setBusyFraction("r2", 0);
        play.extraRoutes = 0;
        checkVersions(t);
    });
}

/** What happens to a controller for a while. The function that is returned ends it. */
const TROUBLES: Readonly<Record<string, (controller: string) => () => Promise<void> | void>> = {
    paused: controller => {
        play.fleet.signal(controller, "SIGSTOP");
        return () => play.fleet.signal(controller, "SIGCONT");
    },
    restarted: controller => {
        const restarted = play.fleet.restartBox(controller, "SIGKILL");
        return () => restarted;
    },
    "cut off": controller => {
        play.fleet.cutFromControllers(controller);
        return () => play.fleet.healLinks();
    },
    "unheard by the others": controller => {
        play.fleet.cutFromControllers(controller, "forward");
        return () => play.fleet.healLinks();
    },
    "deaf to the others": controller => {
        play.fleet.cutFromControllers(controller, "back");
        return () => play.fleet.healLinks();
    },
};

/** Changes the configuration beside a controller that is in trouble, and reads and sends it again everywhere, during the trouble and after it. */
async function changeBeside(t: Test, controller: string, begin: typeof TROUBLES[string]): Promise<void> {
    const others = play.fleet.listControllers().filter(other => other !== controller);
    const end = begin(controller);
    const change = await putNext(others);
    await checkInForce(t, change);
    await Promise.all([checkReads(t, change), wait(TROUBLE_MS)]);
    await end();
    await checkReads(t, change);
    const answers = await Promise.all(
        play.fleet.listControllers().map(other => play.fleet.putText(other, change.text)),
    );
    const statuses = answers.map(({ status }) => status);
    t.ok(statuses.every(status => status === 200 || status === undefined || status >= 500), `resent: ${statuses}`);
    t.ok(statuses.includes(200), "acknowledged again");
}

Object.entries(TROUBLES).forEach(([name, begin], i) => {
    void t.test(`a change beside a controller that is ${name} is in force in time, and no controller reads an older one later`, async t => {
        const controllers = play.fleet.listControllers();
        await changeBeside(t, controllers[i % controllers.length]!, begin);
        checkVersions(t);
    });
});

/** Returns invalid configurations of the next revision, as text, by what is wrong. */
function createInvalidTexts(): Record<string, string> {
    const bundle = play.createNextBundle();
    const [first, ...rest] = bundle.routes;
    const [tenant] = bundle.tenants;
    const kinds = {
        "unknown service": { ...bundle, routes: [{ ...first!, backend: "missing" }, ...rest] },
        "same host and prefix": { ...bundle, routes: [...bundle.routes, { ...first!, name: "again" }] },
        "weights without a sum": {
            ...bundle,
            routes: [{ ...first!, backend: undefined, split: [{ backend: "engines", weight: 0 }] }, ...rest],
        },
        "timeout of 0": { ...bundle, routes: [{ ...first!, timeout_ms: 0 }, ...rest] },
        "shared key": { ...bundle, tenants: [tenant!, { ...tenant!, name: "other" }] },
    };
    const texts = Object.entries(kinds).map(([kind, invalid]) => [kind, JSON.stringify(invalid)]);
    return { ...Object.fromEntries(texts) as Record<string, string>, truncated: JSON.stringify(bundle).slice(0, -20) };
}

/** Checks that each controller refuses each of the texts. `restarting`: a controller that may not answer. */
async function checkRefused(t: Test, texts: Readonly<Record<string, string>>, restarting?: string): Promise<void> {
    for (const [kind, text] of Object.entries(texts)) {
        for (const box of play.fleet.listControllers()) {
            const { status, text: detail } = await play.fleet.putText(box, text);
            const isRefused = status !== undefined && status >= 400 && status < 500;
            t.ok(isRefused || (status === undefined && box === restarting), `${kind} at ${box}: ${status} ${detail}`);
        }
    }
}

void t.test("invalid configurations are refused and never obeyed, beside valid ones and kills of controllers", async t => {
    for (let round = 0; round < INVALID_ROUNDS; round++) {
        const texts = createInvalidTexts();
        const invalidPath = play.getNewestPath();
        const invalidRevision = play.getRevision();
        const controller = play.fleet.listControllers()[round]!;
        const restarted = play.fleet.restartBox(controller, "SIGKILL");
        await checkRefused(t, texts, controller);
        for (const box of play.fleet.listControllers()) {
            const { status, text } = await play.fleet.readConfig(box);
            const isOlder = status === 200
                && (JSON.parse(text) as { config_rev: number; }).config_rev < invalidRevision;
            t.ok(isOlder || status === undefined || status >= 500, `${box} has not taken it: ${status}`);
        }
        for (const router of play.fleet.listRouters()) {
            t.equal(await play.send(play.open(router), invalidPath), 404, `${router} does not obey it`);
        }
        await restarted;
        await waitUntil(
            `${controller} to answer`,
            async () => (await play.fleet.readConfig(controller)).status === 200,
        );
        await checkRefused(t, texts);
        const change = await putNext();
        await checkInForce(t, change);
        await checkReads(t, change);
    }
    checkVersions(t);
});

void t.test("an acknowledged change is not lost when all controllers are killed at once", async t => {
    const change = await putNext();
    await Promise.all(play.fleet.listControllers().map(controller => play.fleet.restartBox(controller, "SIGKILL")));
    await checkReads(t, change);
    await waitUntil("a read", async () => {
        const answers = await Promise.all(play.fleet.listControllers().map(box => play.fleet.readConfig(box)));
        return answers.some(({ status }) => status === 200);
    });
    await checkReads(t, change);
    await checkInForce(t, { ...change, at: performance.now() });
});

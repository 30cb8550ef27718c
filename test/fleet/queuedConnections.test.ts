/** Requests on connections that wait to be accepted by a router that is short of CPU time, or that stops: each is answered. */
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { connect } from "node:net";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import t, { type Test } from "tap";
import { CALLER_PORT } from "../tools/boxSettingsText.js";
import { endProcess, spawnNode } from "../tools/childProcesses.js";
import { CpuLimiter } from "../tools/cpuLimiter.js";
import { GRACE_MS, type PlannedPlay, type PlannedStop, startPlay } from "../tools/plannedPlay.js";
import { PlayPaths } from "../tools/playEngine.js";
import { wait } from "../tools/waiting.js";

const NETWORK = 217;
const ROUTERS = 4;
/** Of okcc-loomwinch. */
const ROUTER_CORES = 0.513;
const CONTROLLER_CORES = 0.405;
const ROUTER_MEMORY_MB = 200;
const NODE_ARGS = ["--max-old-space-size=160"];
/** More than a saturated router accepts. */
const CONNECTIONS_PER_S = 200;
/** Of the time of a saturated router's event loop. */
const BUSY_FRACTION = 0.9;
const CALLERS = 16;
const MAX_PAUSE_MS = 100;
const RELOAD_PERIOD_MS = 1_000;
const LOAD_MS = 15_000;
/** Until the router relays and closes connections. */
const LEAD_MS = 2_000;
/** After SIGTERM, around the time at which a router without requests stops listening. */
const PAUSED_AFTER_MS = 2_500;
const PAUSE_MS = 700;
const WAITING_CONNECTIONS = 20;

const testFolder = join(dirname(fileURLToPath(import.meta.url)), "..");
const limiter = new CpuLimiter();
const play: PlannedPlay = await startPlay(NETWORK, ROUTERS, undefined, {
    cpu: { limiter, routerCores: ROUTER_CORES, controllerCores: CONTROLLER_CORES },
    memoryMb: ROUTER_MEMORY_MB,
    nodeArgs: NODE_ARGS,
});
t.teardown(async () => {
    await play.close();
    await limiter.stop();
});
t.beforeEach(() => play.resetRecords());

/** Opens connections to a router that carry nothing, until the process is ended. */
function startConnectionLoad(router: string): ChildProcess {
    const program = join(testFolder, "tools", "connectionLoad.js");
    return spawnNode([program, play.fleet.getIp(router), String(CALLER_PORT), String(CONNECTIONS_PER_S)], {});
}

/** Sends each request on a connection of its own, until told to stop. */
async function runCaller(router: string, isOver: () => boolean): Promise<void> {
    while (!isOver()) {
        const connection = play.open(router);
        await play.send(connection, PlayPaths.short);
        connection.close();
        await wait(Math.random() * MAX_PAUSE_MS);
    }
}

function checkAnswers(t: Test): void {
    t.same(play.audit.listLosses(), [], `answers ${JSON.stringify(play.outcomes)}`);
    play.closeConnections();
}

function checkStop(t: Test, { code, tookMs }: PlannedStop): void {
    t.equal(code, 0, "the router ends with 0");
    t.ok(tookMs <= GRACE_MS, `the router ends within its grace period, after ${Math.round(tookMs)} ms`);
}

void t.test("a saturated router resets no connection whose request waited to be accepted", async t => {
    const load = startConnectionLoad("r1");
    play.fleet.setBusyFraction("r1", BUSY_FRACTION);
    await wait(LEAD_MS);
    let isOver = false;
    const callers = Array.from({ length: CALLERS }, () => runCaller("r1", () => isOver));
    for (let passedMs = 0; passedMs < LOAD_MS; passedMs += RELOAD_PERIOD_MS) {
        play.reload("r1");
        await wait(RELOAD_PERIOD_MS);
    }
    isOver = true;
    await Promise.all(callers);
    await endProcess(load);
    play.fleet.setBusyFraction("r1", 0);
    checkAnswers(t);
});

/** Stops a router that gets no CPU time while connections are opened, around the time at which it stops listening. */
async function stopBesideQueue(t: Test, openConnections: () => Promise<unknown>): Promise<void> {
    const stopped = play.stop("r1");
    await wait(PAUSED_AFTER_MS);
    // A process without CPU time accepts nothing, while its system completes connections.
    play.fleet.signal("r1", "SIGSTOP");
    const answers = openConnections();
    await wait(PAUSE_MS);
    play.fleet.signal("r1", "SIGCONT");
    checkStop(t, await stopped);
    await answers;
    checkAnswers(t);
    await play.startAgain("r1");
}

function sendRequests(count: number): Promise<unknown> {
    const connections = Array.from({ length: count }, () => play.open("r1"));
    return Promise.all(connections.map(connection => play.send(connection, PlayPaths.short)));
}

void t.test("a router that stops ends no connection as idle whose request it has not read yet", async t => {
    await stopBesideQueue(t, () => sendRequests(WAITING_CONNECTIONS));
});

void t.test("a router that stops does not close its listener while requests wait behind unused connections", async t => {
    await stopBesideQueue(t, async () => {
        const unused = Array.from(
            { length: WAITING_CONNECTIONS / 2 },
            () => connect(CALLER_PORT, play.fleet.getIp("r1")).on("error", () => undefined),
        );
        await Promise.all(unused.map(socket => once(socket, "connect")));
        await sendRequests(WAITING_CONNECTIONS / 2);
        unused.forEach(socket => socket.destroy());
    });
});

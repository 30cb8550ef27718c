/**
 * Guards against work for callers that have left: no request reaches an upstream on news that is older than what has arrived from its
 * caller, and upstreams learn of a close in time. Separate processes; routers are paused, as those are that get no CPU time.
 */
import t, { type Test } from "tap";
import { ArrivalEngine, type EngineMode } from "../tools/arrivalEngine.js";
import { LeavingCaller } from "../tools/leavingCaller.js";
import { ProcessFleet } from "../tools/processFleet.js";
import { wait, waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const NETWORK = 213;
const ROUTERS = 3;
/** Less than the length of a listen queue. */
const CALLERS = 24;
const ROUNDS = 4;
const DEADLINE_MS = 4_000;
const PAUSE_MS = 1_200;
/** Leaves enough time for a request to be sent again. */
const SHORT_PAUSE_MS = 800;
/** Leaves no time to wait for the end of a run. */
const LATE_READ_MS = 350;
const LEAVE_AFTER_MS = 100;
/** After which no request of a caller that has left may reach an upstream, and no upstream may be at work for it. */
const GONE_MS = 500;
const SETTLE_MS = 700;
/** Relays connections, and closes none unread. */
const BUSY_FRACTION = 0.8;
const MIN_RELAYED_FRACTION = 0.5;
/** After which a request is sent to another upstream if its own is silent: 2.5 times the goal of the route. */
const SILENCE_MS = 2_000;
const BEFORE_SILENCE_MS = 200;

const fleet = new ProcessFleet({
    network: NETWORK,
    controllers: 3,
    routers: ROUTERS,
    retryRatio: 5,
    retrySlack: 500,
    hasSmallRouters: true,
});
const engines = [["e1", "plain"], ["e2", "plain"], ["e3", "engines"], ["e4", "engines"]] as const;
const upstreams = engines.map(([box, service]) => new ArrivalEngine(fleet, box, service));
let lastId = 0;

t.before(async () => {
    await Promise.all(upstreams.map(upstream => upstream.start()));
    const bundle = createWireBundle(1);
    const backends = bundle.backends.map(backend => ({ ...backend, max_conns: 2_000 }));
    await fleet.start({ ...bundle, backends, tenants: bundle.tenants.map(tenant => ({ ...tenant, prepaid: 1e9 })) });
    await Promise.all(fleet.listRouters().map(router => waitUntil(`${router} to serve`, () => ask(router))));
});
t.teardown(async () => {
    upstreams.forEach(upstream => upstream.stop());
    await fleet.close();
});
t.afterEach(() => fleet.listRouters().forEach(router => fleet.setBusyFraction(router, 0)));

function createCaller(router: string): LeavingCaller {
    lastId += 1;
    return new LeavingCaller(`a${lastId}`, fleet.getCallerUrl(router));
}

async function ask(router: string): Promise<boolean> {
    const caller = createCaller(router);
    caller.send("/l/x", DEADLINE_MS);
    await waitUntil("an answer", () => caller.received !== "").catch(() => undefined);
    caller.leave();
    return caller.hasAnswer();
}

function setMode(mode: EngineMode): void {
    upstreams.forEach(upstream => upstream.mode = mode);
}

function listArrivals(callers: readonly LeavingCaller[]) {
    const byId = new Map(callers.map(caller => [caller.id, caller]));
    return upstreams.flatMap(({ arrivals }) => arrivals).flatMap(arrival => {
        const caller = byId.get(arrival.id);
        return caller === undefined ? [] : [{ arrival, caller }];
    });
}

function checkNoneLate(t: Test, callers: readonly LeavingCaller[]): void {
    const late = listArrivals(callers)
        .map(({ arrival, caller }) => Math.round(arrival.at - caller.leftAt))
        .filter(lateMs => lateMs > GONE_MS);
    t.same(late, [], `of ${callers.length} requests none reached an upstream late`);
}

function checkNoneAtWork(t: Test, callers: readonly LeavingCaller[]): void {
    const runs = listArrivals(callers).filter(({ arrival, caller }) => arrival.at < caller.leftAt);
    const ends = runs.map(({ arrival, caller }) => Math.round((arrival.endedAt ?? Infinity) - caller.leftAt));
    ends.sort((a, b) => a - b);
    t.comment(
        `${ends.length} runs, their ends after the close: median ${ends[ends.length >> 1]}, last ${ends.at(-1)} ms`,
    );
    t.same(ends.filter(endMs => endMs > GONE_MS), [], `of ${runs.length} runs none went on`);
}

/** Leaves a router with connections to upstreams that carry no request. */
async function openUpstreamConnections(router: string): Promise<void> {
    setMode("hold");
    const callers = Array.from({ length: 2 * CALLERS }, () => createCaller(router));
    callers.forEach(caller => caller.send("/l/x", DEADLINE_MS));
    await waitUntil("the requests at upstreams", () => listArrivals(callers).length === callers.length);
    upstreams.forEach(upstream => upstream.releaseHeld());
    await waitUntil("the answers", () => callers.every(caller => caller.hasAnswer()));
    callers.forEach(caller => caller.leave());
    setMode("answer");
}

async function startRelaying(router: string): Promise<void> {
    fleet.setBusyFraction(router, BUSY_FRACTION);
    const isRelaying = async (): Promise<boolean> =>
        (await fleet.readMetric(router, "relay_fraction") ?? 0) >= MIN_RELAYED_FRACTION;
    await waitUntil(`${router} to relay`, isRelaying);
}

/** Lets callers do something while a router is paused; they leave before it goes on. */
async function pause(
    router: string,
    callers: readonly LeavingCaller[],
    begin: () => void,
    pauseMs = PAUSE_MS,
): Promise<void> {
    fleet.signal(router, "SIGSTOP");
    begin();
    await wait(LEAVE_AFTER_MS);
    callers.forEach(caller => caller.leave());
    await wait(pauseMs - LEAVE_AFTER_MS);
    fleet.signal(router, "SIGCONT");
    await wait(SETTLE_MS);
}

async function playRounds(
    router: string,
    path: string,
    keepsConnections = false,
): Promise<LeavingCaller[]> {
    const all: LeavingCaller[] = [];
    for (let round = 0; round < ROUNDS; round++) {
        const callers = keepsConnections ? await openKept(router) : [];
        await pause(router, callers, () => {
            if (!keepsConnections) {
                callers.push(...Array.from({ length: CALLERS }, () => createCaller(router)));
            }
            callers.forEach(caller => caller.send(path, DEADLINE_MS));
        });
        all.push(...callers);
    }
    return all;
}

/** Opens connections that have carried a request each, and that the router keeps. */
async function openKept(router: string): Promise<LeavingCaller[]> {
    const callers = Array.from({ length: CALLERS }, () => createCaller(router));
    callers.forEach(caller => caller.send("/l/x", DEADLINE_MS));
    await wait(SETTLE_MS);
    const kept = callers.filter(caller => caller.hasAnswer() && caller.isOpen());
    callers.filter(caller => !kept.includes(caller)).forEach(caller => caller.leave());
    return kept;
}

void t.test("requests whose callers left while they waited at a paused router are not sent", async t => {
    setMode("answer");
    checkNoneLate(t, await playRounds("r2", "/l/x"));
});

void t.test("requests whose callers left while they waited at a paused router that relays connections are not sent", async t => {
    setMode("answer");
    await startRelaying("r1");
    checkNoneLate(t, await playRounds("r1", "/l/x"));
});

void t.test("the time in the listen queue of a router that relays is taken from the time that upstreams are given", async t => {
    setMode("answer");
    await startRelaying("r1");
    fleet.signal("r1", "SIGSTOP");
    const callers = Array.from({ length: CALLERS }, () => createCaller("r1"));
    callers.forEach(caller => caller.send("/l/x", DEADLINE_MS));
    await wait(PAUSE_MS);
    fleet.signal("r1", "SIGCONT");
    await wait(SETTLE_MS);
    const arrivals = listArrivals(callers);
    const given = arrivals.map(({ arrival }) => arrival.givenMs).filter(givenMs =>
        givenMs > DEADLINE_MS - PAUSE_MS / 3
    );
    callers.forEach(caller => caller.leave());
    t.ok(arrivals.length > 0, `${arrivals.length} requests`);
    t.same(given, [], "connections are taken to have arrived in the middle of the pause, or earlier");
});

void t.test("later requests on kept connections whose callers left are not sent, also by way of a router that relays", async t => {
    setMode("answer");
    await startRelaying("r1");
    const callers = await playRounds("r1", "/l/x", true);
    t.ok(callers.length > 0, `${callers.length} kept connections`);
    checkNoneLate(t, callers);
});

void t.test("a timer that is due before the close of a caller is read does not send its request again", async t => {
    await openUpstreamConnections("r2");
    upstreams[0]!.mode = "hang";
    const callers = Array.from({ length: CALLERS }, () => createCaller("r2"));
    callers.forEach(caller => caller.send("/l/x", DEADLINE_MS));
    await wait(SILENCE_MS - BEFORE_SILENCE_MS);
    t.ok(callers.some(caller => caller.received === ""), "an upstream is silent");
    await pause("r2", callers, () => undefined, SHORT_PAUSE_MS);
    checkNoneLate(t, callers);
});

void t.test("the refusal of an upstream that is read before the close of a caller does not send its request again", async t => {
    await openUpstreamConnections("r2");
    setMode("refuse");
    const callers = Array.from({ length: CALLERS }, () => createCaller("r2"));
    callers.forEach(caller => caller.send("/l/x", DEADLINE_MS));
    await waitUntil("the requests at upstreams", () => listArrivals(callers).length === CALLERS);
    await pause("r2", callers, () => upstreams.forEach(upstream => upstream.releaseHeld()));
    setMode("answer");
    checkNoneLate(t, callers);
});

void t.test("streams at upstreams that ignore a closed half end in time although their router reads the close late", async t => {
    setMode("run");
    upstreams.forEach(upstream => upstream.setHalfOpen(true));
    t.teardown(() => upstreams.forEach(upstream => upstream.setHalfOpen(false)));
    const callers = Array.from({ length: CALLERS }, () => createCaller("r2"));
    callers.forEach(caller => caller.send("/s/x", DEADLINE_MS, 500));
    await waitUntil("the streams", () => callers.every(caller => caller.received !== ""));
    fleet.signal("r2", "SIGSTOP");
    callers.forEach(caller => caller.leave());
    await wait(LATE_READ_MS);
    fleet.signal("r2", "SIGCONT");
    await wait(2 * GONE_MS);
    checkNoneAtWork(t, callers);
});

for (const isHalfOpen of [false, true]) {
    const kind = isHalfOpen ? "that ignore a closed half" : "that end with their connection";
    void t.test(`streams at upstreams ${kind} end in time when their callers leave routers short of CPU time`, async t => {
        setMode("run");
        upstreams.forEach(upstream => upstream.setHalfOpen(isHalfOpen));
        t.teardown(() => upstreams.forEach(upstream => upstream.setHalfOpen(false)));
        await startRelaying("r1");
        ["r2", "r3"].forEach(router => fleet.setBusyFraction(router, 0.85));
        const callers = Array.from({ length: CALLERS }, (_, i) => createCaller(fleet.listRouters()[i % ROUTERS]!));
        callers.forEach(caller => caller.send("/s/x", DEADLINE_MS, 500));
        await wait(1_500);
        callers.forEach(caller => caller.leave());
        await wait(2 * GONE_MS);
        checkNoneLate(t, callers);
        checkNoneAtWork(t, callers);
    });
}

/** What routers estimate of the upstreams' running requests and speeds, and the choice by expected end. */
import t from "tap";
import { UpstreamLoad } from "../../src/domain/upstreamLoad.js";
import { UpstreamModel, UpstreamState } from "../../src/domain/upstreamModel.js";
import {
    createRandom,
    createRegistration,
    LOAD_OPTIONS,
    MIN_REPORTED_TOKENS,
    MODEL_OPTIONS,
    type PlayOptions,
    UpstreamPlay,
} from "../tools/upstreamPlay.js";

const CONTEXT = { excludedIds: new Set<string>(), routerCount: 10, maxWaitMs: 500, remainingMs: 5_000 };
const UNLOADED: PlayOptions = {
    engines: [],
    rates: [10, 10, 10, 10],
    durationMs: 12_000,
    promptTokens: 600,
    outputTokens: 120,
    timeoutMs: 5_000,
    hasModel: true,
    hasAdmission: false,
};

function createEngines(count: number, slowFactor = 1) {
    return Array.from({ length: count }, (_, i) => ({
        registration: createRegistration(`u${i}`),
        msPerPromptToken: 0.024,
        msPerToken: 2 * (i === 0 ? slowFactor : 1),
    }));
}

function createModelLoad(): UpstreamLoad {
    return new UpstreamLoad("z1", LOAD_OPTIONS, new UpstreamModel(MODEL_OPTIONS, MIN_REPORTED_TOKENS, createRandom()));
}

/** Guards against sending a slow upstream as much as the others, and against never measuring it again. */
void t.test("an upstream that is 3 times slower gets fewer requests, but some each second", t => {
    const playShare = (hasModel: boolean) => {
        const play = new UpstreamPlay({ ...UNLOADED, engines: createEngines(6, 3), hasModel });
        play.run();
        const measured = play.requests.filter(({ at }) => at >= 2_000);
        const slow = measured.filter(({ upstream }) => upstream === "u0").map(({ at }) => at).sort((a, b) => a - b);
        const gaps = slow.map((at, i) => at - (slow[i - 1] ?? 2_000));
        return { share: slow.length / measured.length, longestGapMs: Math.max(...gaps), late: play.count("late") };
    };
    const without = playShare(false);
    t.ok(without.share > 0.1, `without the model: a share of ${without.share.toFixed(3)}`);
    const { share, longestGapMs, late } = playShare(true);
    t.ok(share < 0.08, `half of an equal share: ${share.toFixed(3)}`);
    t.ok(longestGapMs <= 1_200, `probed after ${longestGapMs} ms; the interval, and time until the next request`);
    t.equal(late, 0);
    t.end();
});

/** Guards against an upstream that is avoided for good, whose recovery nobody would notice. */
void t.test("an upstream that is 10 times slower is still probed each second", t => {
    const play = new UpstreamPlay({ ...UNLOADED, engines: createEngines(6, 10), rates: [10] });
    play.run();
    const probes = play.requests.filter(({ at, upstream }) => at >= 2_000 && upstream === "u0");
    t.ok(probes.length >= 9 && probes.length <= 20, `${probes.length} requests in 10 s`);
    t.equal(play.loads[0]!.model!.probeCount > 0, true);
    t.equal(play.count("late"), 0);
    t.end();
});

/** Guards against estimating the load of all routers from that of one, where one has most of the traffic. */
void t.test("running requests are estimated from the reports of routers of very uneven load", t => {
    const engines = createEngines(4);
    const rates = [80, 2, 2, 2, 2, 2, 2, 2, 2, 2];
    const errors = { busy: 0, idle: 0, presumed: 0, samples: 0 };
    const play = new UpstreamPlay({
        ...UNLOADED,
        engines,
        rates,
        onTick: (now, { loads }) => {
            if (now < 3_000 || now >= 12_000 || now % 100 !== 0) {
                return;
            }
            engines.forEach(engine => {
                const actual = (engine as { running?: number; }).running ?? 0;
                const estimate = (load: UpstreamLoad) => getRunning(load, engine.registration.id, now);
                errors.busy += Math.abs(estimate(loads[0]!).known - actual);
                errors.idle += Math.abs(estimate(loads[1]!).known - actual);
                errors.presumed += Math.abs(estimate(loads[0]!).own * rates.length - actual);
                errors.samples += actual;
            });
        },
    });
    play.run();
    const relative = (error: number) => error / errors.samples;
    t.ok(relative(errors.presumed) > 3, `own requests times routers: wrong by ${relative(errors.presumed).toFixed(2)}`);
    t.ok(relative(errors.busy) < 0.35, `at the busy router wrong by ${relative(errors.busy).toFixed(2)}`);
    t.ok(relative(errors.idle) < 0.35, `at an idle router wrong by ${relative(errors.idle).toFixed(2)}`);
    t.end();
});

/** Reads the state of an upstream through the choice's forecast inputs. */
function getRunning(load: UpstreamLoad, id: string, now: number): { known: number; own: number; } {
    const state = load.tryGetState(createRegistration(id));
    return state === undefined
        ? { known: 0, own: 0 }
        : { known: load.model!.countKnown(state, "s", now), own: state.running.own };
}

/** Guards against taking unreported short requests of the other routers for none. */
void t.test("reported requests are scaled by the fraction of own requests that are reported", t => {
    const load = createModelLoad();
    const upstream = createRegistration("u");
    for (let i = 0; i < 40; i++) {
        const promptTokens = i % 2 === 0 ? 600 : 100;
        const demand = { parts: [], promptTokens, outputTokens: 100 };
        const placement = load.tryChoose([upstream], demand, CONTEXT, 0)!;
        load.recordEnd(load.recordStart(placement, demand, 0), true, 0);
    }
    for (let i = 0; i < 10; i++) {
        load.recordPeerRequest(upstream, 600, 0, [], 0, { outputTokens: 100 });
    }
    const state = load.tryGetState(upstream)!;
    t.ok(Math.abs(load.model!.countKnown(state, "s", 0) - 20) < 1, "10 reported, as many unreported");
    t.end();
});

/** Guards against a stall that is taken for the speed of an upstream, or counted once per stream. */
void t.test("a stall of an upstream counts once and does not change its speed", t => {
    const engines = createEngines(3);
    const stalled = engines[0]! as (typeof engines)[number] & { stalledUntil?: number; };
    const play = new UpstreamPlay({
        ...UNLOADED,
        engines,
        rates: [60],
        durationMs: 8_000,
        onTick: now => {
            if (now === 4_000) {
                stalled.stalledUntil = 5_000;
            }
        },
    });
    play.run();
    const state = play.loads[0]!.tryGetState(stalled.registration)!;
    t.equal(state.decodeSpeed.stallCount, 1);
    t.ok(Math.abs(state.decodeSpeed.msPerToken! - 2) < 0.5, `${state.decodeSpeed.msPerToken} ms per token`);
    t.equal(play.count("late"), 0);
    t.end();
});

/** Guards against a slow caller whose pauses are taken for those of the upstream. */
void t.test("a gap in which the router did not read the stream does not count", t => {
    const load = createModelLoad();
    const upstream = createRegistration("u");
    const demand = { parts: [], promptTokens: 600, outputTokens: 100 };
    const started = load.recordStart(load.tryChoose([upstream], demand, CONTEXT, 0)!, demand, 0);
    [10, 18, 26].forEach(now => load.recordTokens(started, 4, now));
    load.recordTokens(started, 4, 900, true);
    const { decodeSpeed } = load.tryGetState(upstream)!;
    t.equal(decodeSpeed.msPerToken, 2);
    t.equal(decodeSpeed.stallCount, 0);
    t.end();
});

/** Guards against an upstream whose permanent slowdown is taken for an endless series of stalls. */
void t.test("an upstream that became much slower is measured after some stalls", t => {
    const { decodeSpeed } = new UpstreamState(0);
    for (let i = 1; i <= 20; i++) {
        decodeSpeed.recordGap(4, 8, i * 8);
    }
    for (let i = 1; i <= 200; i++) {
        decodeSpeed.recordGap(4, 400, 1_000 + i * 400);
    }
    t.ok(decodeSpeed.msPerToken! > 50, `${decodeSpeed.msPerToken} ms per token instead of 2`);
    t.end();
});

/** Guards against state of an earlier incarnation: its requests, speed and memory ended with it. */
void t.test("an upstream that restarts under its id has no requests or speed of its earlier incarnation", t => {
    const load = createModelLoad();
    const [first, second] = [createRegistration("u", 1), createRegistration("u", 2)];
    const demand = { parts: [], promptTokens: 600, outputTokens: 100 };
    const started = load.recordStart(load.tryChoose([first], demand, CONTEXT, 0)!, demand, 0);
    load.recordTokens(started, 4, 10);
    load.recordTokens(started, 4, 90);
    load.recordPeerRequest(first, 600, 0, [], 90, { outputTokens: 100 });
    load.recordRegistered(second, 100);
    const state = load.tryGetState(second)!;
    t.equal(load.model!.countKnown(state, "s", 100), 0);
    t.equal(state.running.getTokens(100), 0);
    t.equal(state.decodeSpeed.msPerToken, undefined);
    t.equal(load.tryChoose([second], demand, CONTEXT, 100)!.outlook!.hasIdle, true);
    load.recordEnd(started, false, 200);
    t.equal(state.running.own, 0, "the end of the earlier request does not count for the new incarnation");
    t.end();
});

/** Guards against taking upstreams for idle when notices of other routers stop, and against keeping old ones. */
void t.test("when the notices of other routers stop, their requests expire and are presumed instead", t => {
    const load = createModelLoad();
    const upstream = createRegistration("u");
    const demand = { parts: [], promptTokens: 600, outputTokens: 100 };
    load.recordStart(load.tryChoose([upstream], demand, CONTEXT, 0)!, demand, 0);
    for (let i = 0; i < 20; i++) {
        load.recordPeerRequest(upstream, 600, 0, [], 0, { outputTokens: 100 });
    }
    const state = load.tryGetState(upstream)!;
    t.equal(load.model!.countPresumed(state, "s", 10, 10), 21, "reported");
    t.equal(load.model!.countKnown(state, "s", 10_000), 1, "the reported ones have ended");
    t.equal(load.model!.countPresumed(state, "s", 10, 10_000), 10, "each router is presumed to send as many");
    t.equal(load.tryChoose([upstream], demand, CONTEXT, 10_000)!.outlook!.isRecent, false);
    t.end();
});

/** Guards against sending shared prompts all at once to an upstream whose cache is empty. */
void t.test("the share of a new upstream grows from a tenth to the whole over 3 s", t => {
    const load = createModelLoad();
    const upstreams = Array.from({ length: 9 }, (_, i) => createRegistration(`u${i}`));
    const added = createRegistration("added");
    upstreams.forEach(upstream => load.recordRegistered(upstream, 0));
    load.recordRegistered(added, 60_000);
    // All others have a backlog, so that the new one is always the best.
    const countChosen = (now: number) => {
        upstreams.forEach(upstream => load.recordPeerRequest(upstream, 20_000, 0, [], now));
        const demand = { parts: [], promptTokens: 600, outputTokens: 0 };
        const chosen = Array.from(
            { length: 1_000 },
            () => load.tryChoose([...upstreams, added], demand, CONTEXT, now)!.upstream,
        );
        return chosen.filter(upstream => upstream === added).length / 1_000;
    };
    const shares = [60_000, 61_500, 63_000].map(countChosen);
    t.ok(Math.abs(shares[0]! - 0.1) < 0.04, `at first ${shares[0]}`);
    t.ok(Math.abs(shares[1]! - 0.55) < 0.07, `after half of the time ${shares[1]}`);
    t.equal(shares[2], 1);
    const started = createModelLoad();
    upstreams.forEach(upstream => started.recordRegistered(upstream, 0));
    const states = upstreams.map(upstream => started.tryGetState(upstream)!);
    t.equal(started.model!.listHeldBack(states, 100).size, 0, "no ramp if all are new, as after a start of the router");
    t.end();
});

/** Guards against requests that wait for memory of an engine while others have enough. */
void t.test("a request avoids an upstream whose memory is occupied", t => {
    const load = createModelLoad();
    const [full, free] = [createRegistration("a"), createRegistration("b")];
    const demand = { parts: [], promptTokens: 100, outputTokens: 100 };
    const big = { parts: [], promptTokens: 90_000, outputTokens: 1_000 };
    const context = { ...CONTEXT, cacheTokens: 100_000 };
    const sample = load.recordStart(load.tryChoose([full], demand, context, 0)!, demand, 0);
    load.recordFirstByte(sample, 10);
    load.recordEnd(sample, true, 500);
    const placement = { ...load.tryChoose([full], big, context, 500)!, uncachedTokens: 0 };
    load.recordFirstByte(load.recordStart(placement, big, 500), 510);
    const forecast = load.tryChoose([full], { ...big, promptTokens: 50_000 }, context, 600)!.forecast!;
    t.equal(forecast.isIdle, false);
    t.ok(forecast.queueWaitMs > 100, `waits ${forecast.queueWaitMs} ms for memory`);
    t.equal(load.tryChoose([full, free], { ...big, promptTokens: 50_000 }, context, 600)!.upstream, free);
    t.end();
});

/** Guards against urgent requests that are refused for a backlog which engines process after them. */
void t.test("a request waits only for prompts that are at least as urgent", t => {
    const load = createModelLoad();
    const upstream = createRegistration("u");
    load.recordPeerRequest(upstream, 100_000, 0, [], 0, { priority: 6 });
    load.recordPeerRequest(upstream, 10_000, 0, [], 0, { priority: 3 });
    const estimate = (priority: number, now: number) => {
        const demand = { parts: [], promptTokens: 0, priority };
        return Math.round(load.tryChoose([upstream], demand, CONTEXT, now)!.outlook!.queueWaitMs);
    };
    t.equal(estimate(0, 0), 0);
    t.equal(estimate(3, 0), 200);
    t.equal(estimate(6, 0), 2_200);
    t.equal(estimate(3, 200), 0, "the more urgent prompts are processed first");
    t.equal(estimate(6, 200), 2_000);
    t.end();
});

/** Guards against other choices in a fleet without load, where speeds vary a little from measurement to measurement. */
void t.test("with the model, requests that find all upstreams idle go where they went without it", t => {
    const upstreams = Array.from({ length: 5 }, (_, i) => createRegistration(`u${i}`));
    const [plain, modelled] = [new UpstreamLoad("z1", LOAD_OPTIONS), createModelLoad()];
    const random = createRandom();
    for (let i = 0; i < 300; i++) {
        const now = i * 1_000;
        const demand = { parts: [{ id: `p${i % 7}`, tokens: 1_500 }], promptTokens: 1_800, outputTokens: 50 };
        const placements = [plain, modelled].map(load => {
            const placement = load.tryChoose(upstreams, demand, CONTEXT, now)!;
            const started = load.recordStart(placement, demand, now);
            load.recordFirstByte(started, now + 40);
            load.recordTokens(started, 4, now + 40);
            return { load, started };
        });
        const gapMs = 8 + random();
        placements.forEach(({ load, started }) => load.recordTokens(started, 4, now + 40 + gapMs));
        placements.forEach(({ load, started }) => load.recordEnd(started, true, now + 100));
        t.equal(placements[1]!.started.upstream.id, placements[0]!.started.upstream.id);
        t.equal(placements[1]!.started.outlook!.hasIdle, true);
    }
    t.end();
});

/** Guards against a changed choice where the settings have no section `upstreamModel`. */
void t.test("without the model, output tokens, deadline and memory do not change the choice", t => {
    const upstreams = Array.from({ length: 5 }, (_, i) => createRegistration(`u${i}`));
    const [plain, informed] = [new UpstreamLoad("z1", LOAD_OPTIONS), new UpstreamLoad("z1", LOAD_OPTIONS)];
    const plainContext = { excludedIds: CONTEXT.excludedIds, routerCount: 10, maxWaitMs: 500 };
    const random = createRandom();
    for (let now = 0; now < 500; now++) {
        const demand = {
            parts: [{ id: `p${now % 7}`, tokens: 300 }],
            promptTokens: 300 + Math.floor(random() * 9_000),
        };
        const first = plain.tryChoose(upstreams, demand, plainContext, now)!;
        const informedContext = { ...CONTEXT, remainingMs: 1, cacheTokens: 1 };
        const second = informed.tryChoose(upstreams, { ...demand, outputTokens: 500 }, informedContext, now)!;
        t.same(second, first);
        plain.recordStart(first, demand, now);
        informed.recordStart(second, demand, now);
    }
    t.end();
});

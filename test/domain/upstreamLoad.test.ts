/** Tests the choice of an upstream by prompt cache, load and failures. */
import t from "tap";
import { type SelectionContext, UpstreamLoad } from "../../src/domain/upstreamLoad.js";
import type { UpstreamRegistration } from "../../src/domain/upstreamRegistry.js";

const CONTEXT: SelectionContext = { excludedIds: new Set(), routerCount: 1, maxWaitMs: 500 };

function createLoad(): UpstreamLoad {
    return new UpstreamLoad("z1", {
        readingSpeed: { initialMsPerToken: 0.02, minSampleTokens: 2_000, smoothingFactor: 0.2 },
        waitWeight: 0.35,
        comfortablePart: 0.5,
        beyondWeight: 2,
        beyondStreamWeight: 0.2,
        disturbanceWeight: 1,
        disturbanceHalfLifeMs: 4_000,
        presumedKeptPart: 0.5,
        runningCostMs: 300,
        otherZoneCostMs: 2,
        maxParts: 100,
        pauseMs: 300,
        maxPauseMs: 4_000,
        failureWeight: 0.1,
        failureHalfLifeMs: 3_000,
        failureCostMs: 2_000,
    });
}

const upstreams: UpstreamRegistration[] = ["a", "b", "c", "d"].map(id => ({
    id,
    service: "s",
    address: `${id}:1`,
    zone: "z1",
    slots: 64,
    state: "ready",
    sequence: 1,
}));

function createDemand(shared: string, own: string) {
    return { promptTokens: 6_000, parts: [{ id: shared, tokens: 5_000 }, { id: own, tokens: 1_000 }] };
}

void t.test("prompts that share a part go to the same upstream from all routers", t => {
    const first = createLoad().tryChoose(upstreams, createDemand("p", "x"), CONTEXT, 0)!;
    const load = createLoad();
    for (let i = 0; i < 5; i++) {
        const demand = createDemand("p", `own-${i}`);
        const placement = load.tryChoose(upstreams, demand, CONTEXT, 0)!;
        t.equal(placement.upstream.id, first.upstream.id);
        load.recordFirstByte(load.recordStart(placement, demand, 0), 100);
    }
    t.end();
});

void t.test("a prompt goes elsewhere if the upstream that has its part cached is overloaded", t => {
    const load = createLoad();
    const demand = createDemand("p", "x");
    const first = load.tryChoose(upstreams, demand, CONTEXT, 0)!;
    for (let i = 0; i < 10; i++) {
        load.recordStart({ ...first, uncachedTokens: 6_000 }, createDemand(`other-${i}`, "y"), 0);
    }
    t.not(load.tryChoose(upstreams, demand, CONTEXT, 0)!.upstream.id, first.upstream.id);
    t.end();
});

void t.test("an unreachable upstream is paused, and retried if no other is left", t => {
    const load = createLoad();
    const demand = createDemand("p", "x");
    const first = load.tryChoose(upstreams, demand, CONTEXT, 0)!.upstream.id;
    load.recordOutcome({ id: first }, "unreachable", 0);
    t.not(load.tryChoose(upstreams, demand, CONTEXT, 100)!.upstream.id, first);
    const others = new Set(upstreams.map(upstream => upstream.id).filter(id => id !== first));
    t.equal(load.tryChoose(upstreams, demand, { ...CONTEXT, excludedIds: others }, 100)!.upstream.id, first);
    t.equal(
        load.tryChoose(upstreams, demand, { ...CONTEXT, excludedIds: new Set([...others, first]) }, 100),
        undefined,
    );
    load.recordOutcome({ id: first }, "good", 500);
    t.equal(load.tryChoose(upstreams, demand, CONTEXT, 500)!.upstream.id, first);
    t.end();
});

void t.test("an upstream that fails some of its requests is avoided", t => {
    const load = createLoad();
    const demand = { promptTokens: 0, parts: [] };
    for (let i = 0; i < 20; i++) {
        load.recordOutcome({ id: "a" }, i % 2 === 0 ? "failed" : "good", i);
    }
    t.not(load.tryChoose(upstreams, demand, CONTEXT, 1_000)!.upstream.id, "a");
    t.end();
});

void t.test("the failure rate decays", t => {
    const load = createLoad();
    const demand = createDemand("p", "x");
    const first = load.tryChoose(upstreams, demand, CONTEXT, 0)!.upstream.id;
    for (let i = 0; i < 20; i++) {
        load.recordOutcome({ id: first }, i % 2 === 0 ? "failed" : "good", i);
    }
    t.not(load.tryChoose(upstreams, demand, CONTEXT, 100)!.upstream.id, first);
    t.equal(load.tryChoose(upstreams, demand, CONTEXT, 60_000)!.upstream.id, first);
    t.end();
});

void t.test("requests of other routers count as load, and their prompt parts as cached", t => {
    const load = createLoad();
    const demand = createDemand("p", "x");
    const first = load.tryChoose(upstreams, demand, CONTEXT, 0)!.upstream.id;
    load.recordPeerRequest({ id: first }, 40_000, 0, [], 0);
    const second = load.tryChoose(upstreams, demand, CONTEXT, 0)!.upstream.id;
    t.not(second, first);
    load.recordPeerRequest({ id: second }, 6_000, 0, ["p", "y"], 0);
    const third = load.tryChoose(upstreams, demand, CONTEXT, 2_000)!;
    t.equal(third.upstream.id, second);
    t.equal(third.uncachedTokens, 1_000, "the shared part is cached");
    t.end();
});

void t.test("a long prompt goes to an upstream without streams, and streams then go elsewhere", t => {
    const load = createLoad();
    const short = { promptTokens: 200, parts: [{ id: "s", tokens: 200 }] };
    for (const upstream of upstreams.slice(0, 3)) {
        for (let i = 0; i < 8; i++) {
            const placement = { upstream, uncachedTokens: 0, queuedPrefillMs: 0, excessPrefillMs: 0 };
            load.recordFirstByte(load.recordStart(placement, short, 0), 0);
        }
    }
    const long = { promptTokens: 40_000, parts: [{ id: "l", tokens: 40_000 }] };
    const placement = load.tryChoose(upstreams, long, CONTEXT, 0)!;
    t.equal(placement.upstream.id, "d");
    t.equal(placement.excessPrefillMs, 550, "800 ms of prefill where 250 ms are harmless");
    const started = load.recordStart(placement, long, 0);
    load.recordFirstByte(started, 900);
    load.recordEnd(started);
    const others = new Set(["a", "b"]);
    const next = load.tryChoose(upstreams, short, { ...CONTEXT, excludedIds: others }, 1_000)!;
    t.equal(next.upstream.id, "c", "though d has fewer active requests");
    t.end();
});

void t.test("a restarted upstream has no cached parts, failures or load of its earlier incarnation", t => {
    const load = createLoad();
    const demand = createDemand("p", "x");
    const first = { ...load.tryChoose(upstreams, demand, CONTEXT, 0)!.upstream, bornAt: 1 };
    const placement = { upstream: first, uncachedTokens: 6_000, queuedPrefillMs: 0, excessPrefillMs: 0 };
    load.recordFirstByte(load.recordStart(placement, demand, 0), 100);
    for (let i = 0; i < 5; i++) {
        load.recordOutcome(first, "failed", 100);
    }
    t.equal(load.tryChoose([first], demand, CONTEXT, 200)!.uncachedTokens, 0);
    const again = { ...first, bornAt: 2 };
    t.equal(load.tryChoose([again], demand, CONTEXT, 200)!.uncachedTokens, 6_000);
    t.equal(load.tryChoose([again, first], { promptTokens: 0, parts: [] }, CONTEXT, 200)!.upstream, again);
    load.recordPeerRequest({ id: first.id, bornAt: 1 }, 6_000, 0, ["p", "x"], 200);
    t.equal(
        load.tryChoose([again], demand, CONTEXT, 200)!.uncachedTokens,
        6_000,
        "reports of other routers on the earlier incarnation",
    );
    load.recordEnd(placement);
    load.retainOnly(new Set([`${first.id}@2`]));
    t.equal(
        load.tryChoose([first], demand, CONTEXT, 200)!.uncachedTokens,
        6_000,
        "the earlier incarnation was evicted",
    );
    t.end();
});

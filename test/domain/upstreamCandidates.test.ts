/** Tests which upstreams may be sent to: evacuated zones, cold upstreams, backoffs, and the result if there is none. */
import t from "tap";
import type { BundleService } from "../../src/domain/bundle.js";
import { DistributedRateLimiter } from "../../src/domain/distributedRateLimiter.js";
import { EvacuatedZones } from "../../src/domain/evacuatedZones.js";
import { MAX_BACKOFF_MS, UpstreamBackoffs } from "../../src/domain/upstreamBackoffs.js";
import { UpstreamCandidates } from "../../src/domain/upstreamCandidates.js";
import { type UpstreamRegistration, UpstreamRegistry } from "../../src/domain/upstreamRegistry.js";

const SERVICE: BundleService = { name: "s", maxConnections: 8, coldPerSecond: 10, coldStartMs: 3_000 };

function createRegistration(part: Partial<UpstreamRegistration>): UpstreamRegistration {
    const id = part.id ?? "u";
    const base = { service: "s", zone: "a", slots: 4, state: "ready", sequence: 1, coldLeftMs: 0 } as const;
    return { id, address: `${id}:1`, ...base, ...part };
}

function createFixture() {
    const registry = new UpstreamRegistry();
    const zones = new EvacuatedZones();
    const coldLimiter = new DistributedRateLimiter("r1", () => 0.5, 0);
    const rests = new UpstreamBackoffs();
    const namedLimiter = new DistributedRateLimiter("r1", () => 0.5, 0.1);
    for (const limiter of [coldLimiter, namedLimiter]) {
        limiter.setPeers(["r2"], 2);
        limiter.enable();
    }
    const candidates = new UpstreamCandidates(registry, zones, rests, coldLimiter, namedLimiter);
    const list = (now: number) => candidates.list(SERVICE, now, Infinity);
    const listIds = (now: number) => list(now).upstreams.map(({ id }) => id);
    return { registry, zones, coldLimiter, rests, candidates, list, listIds };
}

void t.test("upstreams of an evacuated zone are excluded, even if no other upstream is left", t => {
    const { registry, zones, list, listIds } = createFixture();
    registry.record(createRegistration({ id: "u", zone: "a" }), 0);
    registry.record(createRegistration({ id: "v", zone: "b" }), 0);
    zones.record({ index: 1, zones: ["a"] }, 10);
    t.same(listIds(10), ["v"]);
    zones.record({ index: 2, zones: ["a", "b"] }, 20);
    t.same(list(20), { upstreams: [], waitMs: undefined, unavailableReasons: [] });
    t.end();
});

void t.test("upstreams of a restored zone count as cold, whatever they reported before", t => {
    const { registry, zones, listIds } = createFixture();
    registry.record(createRegistration({ id: "u", zone: "a" }), 0);
    registry.record(createRegistration({ id: "v", zone: "b" }), 0);
    zones.record({ index: 1, zones: ["a"] }, 10);
    zones.record({ index: 2, zones: [] }, 1_000);
    t.same(listIds(1_000), ["v"]);
    t.same(listIds(4_000), ["u", "v"], "after the cold start period");
    t.end();
});

void t.test("a cold upstream is sent to at this router's share of the rate", t => {
    const { registry, candidates, listIds } = createFixture();
    const cold = createRegistration({ coldLeftMs: 2_000 });
    registry.record(cold, 0);
    t.same(listIds(0), [], "the first request has a random offset");
    t.same(listIds(100), ["u"]);
    candidates.recordSend(cold, SERVICE, 100);
    t.same(listIds(299), []);
    t.same(listIds(300), ["u"]);
    candidates.recordSend(cold, SERVICE, 1_950);
    t.same(listIds(2_000), ["u"], "the cold period is over");
    t.end();
});

void t.test("if all upstreams are cold, the wait until one is available is returned", t => {
    const { registry, list } = createFixture();
    registry.record(createRegistration({ coldLeftMs: 2_000 }), 0);
    t.same(list(0), { upstreams: [], waitMs: 100, unavailableReasons: ["cold"] });
    t.end();
});

void t.test("an upstream that reports no cold period counts as cold after it was first heard of", t => {
    const { registry, listIds } = createFixture();
    registry.record(createRegistration({ coldLeftMs: undefined }), 0);
    t.same(listIds(0), []);
    t.same(listIds(3_000), ["u"]);
    t.end();
});

void t.test("an upstream that becomes cold again is a state change", t => {
    const registry = new UpstreamRegistry();
    registry.record(createRegistration({ sequence: 1 }), 0);
    t.equal(registry.record(createRegistration({ sequence: 2 }), 1_000), "beat");
    t.equal(registry.record(createRegistration({ sequence: 3, coldLeftMs: 3_000 }), 2_000), "state");
    t.equal(registry.record(createRegistration({ sequence: 4, coldLeftMs: 1_800 }), 3_200), "beat");
    t.equal(registry.getColdUntil(createRegistration({}), 0), 5_000);
    t.end();
});

void t.test("cold upstreams of a service without a cold limit are not rate-limited", t => {
    const { registry, candidates } = createFixture();
    registry.record(createRegistration({ coldLeftMs: 2_000 }), 0);
    const plain = { name: "s", maxConnections: 8, coldStartMs: 0 };
    t.equal(candidates.list(plain, 0, Infinity).upstreams.length, 1);
    t.end();
});

void t.test("the backoff that ends last applies, and does not outlive the incarnation that requested it", t => {
    const { registry, rests, list, listIds } = createFixture();
    const first = createRegistration({ bornAt: 1 });
    registry.record(first, 0);
    rests.record(first, 3_000, 0);
    rests.record(first, 500, 100);
    t.same(list(1_000), { upstreams: [], waitMs: 2_000, unavailableReasons: ["resting"] });
    registry.record(createRegistration({ bornAt: 2 }), 1_000);
    t.same(listIds(1_000), ["u"], "the next incarnation has requested no backoff");
    t.equal(rests.count(2_999), 1);
    t.equal(rests.count(3_000), 0);
    t.end();
});

void t.test("an excessive backoff is capped", t => {
    const { registry, rests, listIds } = createFixture();
    const upstream = createRegistration({});
    registry.record(upstream, 0);
    rests.record(upstream, 1e12, 0);
    t.same(listIds(MAX_BACKOFF_MS - 1), []);
    t.same(listIds(MAX_BACKOFF_MS), ["u"]);
    t.end();
});

void t.test("an upstream with a backoff and a limit is available when both allow it", t => {
    const { registry, rests, list } = createFixture();
    const upstream = createRegistration({});
    registry.record(upstream, 0);
    registry.recordLimit(upstream, 100, 0);
    rests.record(upstream, 3_000, 0);
    t.same(list(100), { upstreams: [], waitMs: 2_900, unavailableReasons: ["resting"] });
    t.equal(list(3_100).upstreams.length, 1);
    t.end();
});

// Guards against a Retry-After of 2.001 s where 2 s are right: differences of fractional clock values are inexact.
void t.test("fractions of the clock do not lengthen the wait", t => {
    const { registry, rests, candidates, list } = createFixture();
    const limited = createRegistration({});
    registry.record(limited, 0);
    registry.recordLimit(limited, 0.5, 0);
    for (let now = 1_234.567_891; now < 100_000; now += 3_987.654_321) {
        candidates.recordSend(limited, SERVICE, now);
        t.equal(list(now).waitMs, 2_000, `limit of 0.5 a second at ${now}`);
        rests.record(limited, 3_000, now);
        t.equal(list(now).waitMs, 3_000, `backoff of 3 s at ${now}`);
    }
    t.end();
});

/** Tests reports that arrive late, out of order, or no longer. */
import t from "tap";
import { type UpstreamRegistration, UpstreamRegistry } from "../../src/domain/upstreamRegistry.js";

function createRegistration(part: Partial<UpstreamRegistration>): UpstreamRegistration {
    return { id: "u", service: "s", address: "a:1", zone: "z", slots: 4, state: "ready", sequence: 1, ...part };
}

void t.test("an outdated report changes nothing, and an upstream that is gone is not revived", t => {
    const registry = new UpstreamRegistry();
    t.equal(registry.record(createRegistration({ sequence: 3 }), 0), "state");
    t.equal(registry.record(createRegistration({ sequence: 2, state: "leaving" }), 1), undefined);
    t.equal(registry.record(createRegistration({ sequence: 4 }), 2), "beat");
    t.equal(registry.record(createRegistration({ sequence: 5, state: "leaving" }), 3), "state");
    t.same(registry.getReady("s", 3, 1_000), []);
    registry.recordGone("u", 4);
    t.equal(registry.record(createRegistration({ sequence: 9 }), 5), undefined);
    t.equal(registry.tryGet("u")?.state, "gone");
    t.end();
});

void t.test("a late report does not add an upstream whose end was known first", t => {
    const registry = new UpstreamRegistry();
    registry.recordGone("u", 0);
    t.equal(registry.record(createRegistration({ sequence: 9 }), 1), undefined);
    t.end();
});

void t.test("a silent upstream is not ready, and is evicted eventually", t => {
    const registry = new UpstreamRegistry();
    registry.record(createRegistration({}), 0);
    t.equal(registry.getReady("s", 900, 1_000).length, 1);
    t.equal(registry.getReady("s", 1_100, 1_000).length, 0);
    t.equal(registry.getReady("s", 1_100, Infinity).length, 1);
    registry.evictExpired(599_000);
    t.ok(registry.tryGet("u"));
    registry.evictExpired(601_000);
    t.equal(registry.tryGet("u"), undefined);
    t.end();
});

function listReady(registry: UpstreamRegistry, now: number): string[] {
    return registry.getReady("s", now, Infinity).map(registration => registration.id);
}

void t.test("a late report of an upstream whose address was taken over does not make it ready", t => {
    const registry = new UpstreamRegistry();
    registry.record(createRegistration({ id: "old", sequence: 1 }), 0);
    t.equal(registry.record(createRegistration({ id: "new", sequence: 1 }), 4_000), "state");
    t.same(listReady(registry, 4_000), ["new"]);
    t.equal(registry.record(createRegistration({ id: "old", sequence: 2 }), 4_500), "beat");
    t.same(listReady(registry, 4_500), ["new"]);
    t.end();
});

void t.test("an upstream that was presumed to have ended reclaims its address when the other is silent", t => {
    const registry = new UpstreamRegistry();
    registry.record(createRegistration({ id: "here", sequence: 7 }), 0);
    registry.record(createRegistration({ id: "late", sequence: 3 }), 100);
    registry.record(createRegistration({ id: "here", sequence: 8 }), 1_200);
    t.same(listReady(registry, 1_200), ["late"]);
    t.equal(registry.record(createRegistration({ id: "here", sequence: 9 }), 3_600), "state");
    t.same(listReady(registry, 3_600), ["here"]);
    t.end();
});

void t.test("of two upstreams with the same address the one heard last owns it, and one that is gone owns none", t => {
    const registry = new UpstreamRegistry();
    registry.record(createRegistration({ id: "new" }), 5_000);
    registry.record(createRegistration({ id: "old" }), 1_000);
    registry.record(createRegistration({ id: "ended", state: "gone" }), 6_000);
    t.same(listReady(registry, 6_000), ["new"]);
    t.end();
});

void t.test("an upstream that announced its leaving in an answer is leaving until its next incarnation, whatever it reports", t => {
    const registry = new UpstreamRegistry();
    const first = createRegistration({ bornAt: 1, sequence: 5 });
    registry.record(first, 0);
    t.equal(registry.recordLeaving(first, 10), true);
    t.equal(registry.recordLeaving(first, 20), false, "already known");
    t.equal(registry.record({ ...first, sequence: 6 }, 30), "beat");
    t.same(listReady(registry, 30), []);
    t.equal(registry.record({ ...first, bornAt: 2, sequence: 1 }, 40), "state");
    t.same(listReady(registry, 40), ["u"]);
    t.equal(registry.recordLeaving(first, 50), false, "answer of the previous incarnation");
    t.same(listReady(registry, 50), ["u"]);
    t.end();
});

void t.test("a leaving state that another router forwards applies even with an outdated report", t => {
    const registry = new UpstreamRegistry();
    registry.record(createRegistration({ sequence: 9, slots: 8 }), 0);
    t.equal(registry.record(createRegistration({ sequence: 4, isLeavingSaid: true }), 10), "state");
    t.match(registry.tryGet("u"), { state: "leaving", sequence: 9, slots: 8 });
    t.equal(registry.countLeaving(), 1);
    t.end();
});

void t.test("the latest statement on a limit applies, to the incarnation that made it", t => {
    const registry = new UpstreamRegistry();
    const first = createRegistration({ bornAt: 1 });
    t.equal(registry.recordLimit(first, 5, 0), false, "unknown upstream");
    registry.record(first, 0);
    t.equal(registry.recordLimit(first, 5, 100), true);
    t.equal(registry.recordLimit(first, 4.8, 200), false, "insignificant change");
    t.equal(registry.recordLimit(first, undefined, 150), false, "older than the known statement");
    t.equal(registry.tryGetLimit(first), 5);
    t.same(registry.tryGetHeard(first, 300)?.limit, { perSecond: 5, ageMs: 100 });
    t.equal(registry.recordLimit(first, undefined, 250), true);
    t.same(
        registry.tryGetHeard(first, 300)?.limit,
        { perSecond: undefined, ageMs: 50 },
        "the end of the limit is included",
    );
    registry.recordLimit(first, 5, 400);
    t.equal(registry.countLimited(), 1);
    registry.record({ ...first, bornAt: 2 }, 500);
    t.equal(registry.tryGetLimit({ ...first, bornAt: 2 }), undefined);
    t.equal(registry.recordLimit(first, 5, 600), false, "answer of the previous incarnation");
    t.end();
});

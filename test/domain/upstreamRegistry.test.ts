/** Registrations that come late, out of order, or not any more. */
import t from "tap";
import { type UpstreamRegistration, UpstreamRegistry } from "../../src/domain/upstreamRegistry.js";

function createRegistration(part: Partial<UpstreamRegistration>): UpstreamRegistration {
    return { id: "u", service: "s", address: "a:1", zone: "z", slots: 4, state: "ready", sequence: 1, ...part };
}

void t.test("an older report changes nothing, and one that is gone does not come back", t => {
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

void t.test("one that is gone before it was known does not come up by a late report", t => {
    const registry = new UpstreamRegistry();
    registry.recordGone("u", 0);
    t.equal(registry.record(createRegistration({ sequence: 9 }), 1), undefined);
    t.end();
});

void t.test("one that has not been heard is not ready, and is forgotten in the end", t => {
    const registry = new UpstreamRegistry();
    registry.record(createRegistration({}), 0);
    t.equal(registry.getReady("s", 900, 1_000).length, 1);
    t.equal(registry.getReady("s", 1_100, 1_000).length, 0);
    t.equal(registry.getReady("s", 1_100, Infinity).length, 1);
    registry.forgetOld(599_000);
    t.ok(registry.tryGet("u"));
    registry.forgetOld(601_000);
    t.equal(registry.tryGet("u"), undefined);
    t.end();
});

/** Ids of the upstreams that are ready at `now`. */
function listReady(registry: UpstreamRegistry, now: number): string[] {
    return registry.getReady("s", now, Infinity).map(registration => registration.id);
}

void t.test("a late report of one whose address another has taken does not bring it back", t => {
    const registry = new UpstreamRegistry();
    registry.record(createRegistration({ id: "old", sequence: 1 }), 0);
    t.equal(registry.record(createRegistration({ id: "new", sequence: 1 }), 4_000), "state");
    t.same(listReady(registry, 4_000), ["new"]);
    t.equal(registry.record(createRegistration({ id: "old", sequence: 2 }), 4_500), "beat");
    t.same(listReady(registry, 4_500), ["new"]);
    t.end();
});

void t.test("one that was taken for ended holds its address again when the other is silent", t => {
    const registry = new UpstreamRegistry();
    registry.record(createRegistration({ id: "here", sequence: 7 }), 0);
    registry.record(createRegistration({ id: "late", sequence: 3 }), 100);
    registry.record(createRegistration({ id: "here", sequence: 8 }), 1_200);
    t.same(listReady(registry, 1_200), ["late"]);
    t.equal(registry.record(createRegistration({ id: "here", sequence: 9 }), 3_600), "state");
    t.same(listReady(registry, 3_600), ["here"]);
    t.end();
});

void t.test("of two that are told together the one heard last holds the address, and one that is gone holds none", t => {
    const registry = new UpstreamRegistry();
    registry.record(createRegistration({ id: "new" }), 5_000);
    registry.record(createRegistration({ id: "old" }), 1_000);
    registry.record(createRegistration({ id: "ended", state: "gone" }), 6_000);
    t.same(listReady(registry, 6_000), ["new"]);
    t.end();
});

void t.test("one that said in an answer that it leaves stays so, whatever its later reports say, until its next life", t => {
    const registry = new UpstreamRegistry();
    const first = createRegistration({ bornAt: 1, sequence: 5 });
    registry.record(first, 0);
    t.equal(registry.recordLeaving(first, 10), true);
    t.equal(registry.recordLeaving(first, 20), false, "that is known");
    t.equal(registry.record({ ...first, sequence: 6 }, 30), "beat");
    t.same(listReady(registry, 30), []);
    t.equal(registry.record({ ...first, bornAt: 2, sequence: 1 }, 40), "state");
    t.same(listReady(registry, 40), ["u"]);
    t.equal(registry.recordLeaving(first, 50), false, "an answer of the life before");
    t.same(listReady(registry, 50), ["u"]);
    t.end();
});

void t.test("another router's word that one leaves counts also beside an older report", t => {
    const registry = new UpstreamRegistry();
    registry.record(createRegistration({ sequence: 9, slots: 8 }), 0);
    t.equal(registry.record(createRegistration({ sequence: 4, isLeavingSaid: true }), 10), "state");
    t.match(registry.tryGet("u"), { state: "leaving", sequence: 9, slots: 8 });
    t.equal(registry.countLeaving(), 1);
    t.end();
});

void t.test("of what was said of a limit the newest counts, for the life that said it", t => {
    const registry = new UpstreamRegistry();
    const first = createRegistration({ bornAt: 1 });
    t.equal(registry.recordLimit(first, 5, 0), false, "it is not known");
    registry.record(first, 0);
    t.equal(registry.recordLimit(first, 5, 100), true);
    t.equal(registry.recordLimit(first, 4.8, 200), false, "hardly another limit");
    t.equal(registry.recordLimit(first, undefined, 150), false, "older than what is known");
    t.equal(registry.tryGetLimit(first), 5);
    t.same(registry.tryGetHeard(first, 300)?.limit, { perSecond: 5, ageMs: 100 });
    t.equal(registry.recordLimit(first, undefined, 250), true);
    t.same(registry.tryGetHeard(first, 300)?.limit, { perSecond: undefined, ageMs: 50 }, "its end is told, too");
    registry.recordLimit(first, 5, 400);
    t.equal(registry.countLimited(), 1);
    registry.record({ ...first, bornAt: 2 }, 500);
    t.equal(registry.tryGetLimit({ ...first, bornAt: 2 }), undefined);
    t.equal(registry.recordLimit(first, 5, 600), false, "an answer of the life before");
    t.end();
});

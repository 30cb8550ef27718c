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

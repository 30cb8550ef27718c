/** Tests upstreams that restart under the same id: incarnations are distinguished by their start times. */
import t from "tap";
import { type UpstreamRegistration, UpstreamRegistry } from "../../src/domain/upstreamRegistry.js";

const FIRST_START_MS = 1_700_000_000_000;
const SECOND_START_MS = FIRST_START_MS + 60_000;

function createRegistration(part: Partial<UpstreamRegistration>): UpstreamRegistration {
    const base = { id: "u", service: "s", address: "a:1", zone: "z", slots: 4, state: "ready", sequence: 1 } as const;
    return { ...base, bornAt: FIRST_START_MS, ...part };
}

/** Returns the latest state of the upstream, and whether it accepts new work. */
function getState(registry: UpstreamRegistry, now: number) {
    const isReady = registry.getReady("s", now, Infinity).length === 1;
    return { state: registry.tryGet("u")?.state, bornAt: registry.tryGet("u")?.bornAt, isReady };
}

void t.test("a later incarnation replaces an earlier one at once, though its sequence numbers start over", t => {
    const registry = new UpstreamRegistry();
    registry.record(createRegistration({ sequence: 40 }), 0);
    t.equal(registry.record(createRegistration({ bornAt: SECOND_START_MS, sequence: 1 }), 2_000), "state");
    t.same(getState(registry, 2_000), { state: "ready", bornAt: SECOND_START_MS, isReady: true });
    t.end();
});

void t.test("a later incarnation replaces one that was leaving or gone", t => {
    const registry = new UpstreamRegistry();
    registry.record(createRegistration({ sequence: 40, state: "leaving" }), 0);
    registry.recordGone("u", 1_000);
    t.equal(registry.record(createRegistration({ bornAt: SECOND_START_MS, sequence: 1 }), 2_000), "state");
    t.same(getState(registry, 2_000), { state: "ready", bornAt: SECOND_START_MS, isReady: true });
    t.end();
});

void t.test("late reports of an earlier incarnation change nothing", t => {
    const registry = new UpstreamRegistry();
    registry.record(createRegistration({ bornAt: SECOND_START_MS, sequence: 1 }), 0);
    t.equal(registry.record(createRegistration({ sequence: 41, state: "leaving" }), 500), undefined);
    t.equal(registry.record(createRegistration({ sequence: 42, state: "gone" }), 600), undefined);
    t.equal(registry.recordGone("u", 700, FIRST_START_MS), undefined);
    t.same(getState(registry, 700), { state: "ready", bornAt: SECOND_START_MS, isReady: true });
    t.end();
});

void t.test("an ambiguous end that names no incarnation lasts until the next report", t => {
    const registry = new UpstreamRegistry();
    registry.record(createRegistration({ sequence: 40 }), 0);
    registry.record(createRegistration({ bornAt: SECOND_START_MS, sequence: 1 }), 20_000);
    t.ok(registry.recordGone("u", 40_000)?.mayReturn);
    t.equal(getState(registry, 40_000).isReady, false);
    t.equal(
        registry.record(createRegistration({ bornAt: SECOND_START_MS, sequence: 1 }), 40_100),
        undefined,
        "outdated report",
    );
    t.equal(registry.record(createRegistration({ bornAt: SECOND_START_MS, sequence: 2 }), 41_200), "state");
    t.equal(getState(registry, 41_200).isReady, true);
    t.end();
});

void t.test("an end that names no incarnation is ambiguous if the later incarnation was only just heard of", t => {
    const registry = new UpstreamRegistry();
    registry.record(createRegistration({ bornAt: SECOND_START_MS, sequence: 1 }), 0);
    t.ok(registry.recordGone("u", 3_000)?.mayReturn);
    t.equal(registry.record(createRegistration({ bornAt: SECOND_START_MS, sequence: 4 }), 4_200), "state");
    t.end();
});

void t.test("an end that another controller forwards does not override a newer report", t => {
    const registry = new UpstreamRegistry();
    registry.record(createRegistration({ sequence: 40 }), 0);
    registry.record(createRegistration({ bornAt: SECOND_START_MS, sequence: 1 }), 1_000);
    const gone = registry.recordGone("u", 2_000)!;
    registry.record(createRegistration({ bornAt: SECOND_START_MS, sequence: 2 }), 3_200);
    t.equal(registry.record(gone, 3_300), undefined);
    t.equal(getState(registry, 3_300).isReady, true);
    t.end();
});

void t.test("the end of the only incarnation is final, and so is an end that names its incarnation", t => {
    const registry = new UpstreamRegistry();
    registry.record(createRegistration({ sequence: 40 }), 0);
    registry.recordGone("u", 20_000);
    t.equal(registry.record(createRegistration({ sequence: 41 }), 20_500), undefined);
    t.equal(getState(registry, 20_500).isReady, false);
    registry.record(createRegistration({ bornAt: SECOND_START_MS, sequence: 1 }), 30_000);
    registry.recordGone("u", 31_000, SECOND_START_MS);
    t.equal(registry.record(createRegistration({ bornAt: SECOND_START_MS, sequence: 2 }), 31_500), undefined);
    t.end();
});

void t.test("an incarnation on a box whose clock was set back is accepted once the other has long been silent", t => {
    const registry = new UpstreamRegistry();
    registry.record(createRegistration({ bornAt: SECOND_START_MS, sequence: 9 }), 0);
    t.equal(registry.record(createRegistration({ bornAt: FIRST_START_MS, sequence: 1 }), 5_000), undefined);
    t.equal(registry.record(createRegistration({ bornAt: FIRST_START_MS, sequence: 9 }), 16_000), "state");
    t.same(getState(registry, 16_000), { state: "ready", bornAt: FIRST_START_MS, isReady: true });
    t.end();
});

void t.test("a report without an incarnation belongs to the known one", t => {
    const registry = new UpstreamRegistry();
    registry.record(createRegistration({ sequence: 5 }), 0);
    t.equal(registry.record(createRegistration({ bornAt: undefined, sequence: 4 }), 100), undefined);
    t.equal(registry.record(createRegistration({ bornAt: undefined, sequence: 6 }), 200), "beat");
    t.equal(registry.tryGet("u")?.bornAt, FIRST_START_MS);
    t.end();
});

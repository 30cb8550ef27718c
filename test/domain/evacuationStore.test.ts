/** Tests evacuation commands that arrive twice, late, or concurrently. */
import t from "tap";
import { DeclaredState } from "../../src/domain/declaredState.js";
import { EvacuatedZones } from "../../src/domain/evacuatedZones.js";
import { EvacuationStore } from "../../src/domain/evacuationStore.js";

function createOrder(zone: string, isEvacuated: boolean, expectedChanges: number) {
    return { type: "setEvacuation", zone, isEvacuated, expectedChanges } as const;
}

void t.test("a command, its duplicate and its reversal", t => {
    const store = new EvacuationStore();
    t.equal(store.applySet(createOrder("a", true, 0), 5).outcome, "done");
    t.equal(store.applySet(createOrder("a", true, 0), 6).outcome, "done", "duplicate");
    t.same(store.createList(), { index: 5, zones: ["a"] });
    t.equal(store.applySet(createOrder("a", false, 1), 7).outcome, "done");
    t.equal(store.applySet(createOrder("a", false, 2), 8).outcome, "done", "second reversal");
    t.same(store.createList(), { index: 7, zones: [] });
    t.end();
});

void t.test("a duplicate that arrives after the reversal changes nothing", t => {
    const store = new EvacuationStore();
    store.applySet(createOrder("a", true, 0), 1);
    store.applySet(createOrder("a", false, 1), 2);
    t.equal(store.applySet(createOrder("a", true, 0), 3).outcome, "overtaken");
    t.same(store.createList(), { index: 2, zones: [] });
    t.end();
});

void t.test("of two commands based on the same state only one is applied", t => {
    const store = new EvacuationStore();
    store.applySet(createOrder("a", true, 0), 1);
    t.equal(store.applySet(createOrder("a", false, 1), 2).outcome, "done");
    t.equal(store.applySet(createOrder("a", true, 1), 3).outcome, "overtaken");
    t.equal(store.applySet(createOrder("b", true, 0), 4).outcome, "done", "zones are independent");
    t.end();
});

void t.test("the number of zones is bounded, and known zones can still be changed", t => {
    const store = new EvacuationStore();
    const outcomes = Array.from(
        { length: 300 },
        (_, i) => store.applySet(createOrder(`z${i}`, true, 0), i + 1).outcome,
    );
    t.equal(outcomes.filter(outcome => outcome === "done").length, 256);
    t.equal(outcomes.at(-1), "full");
    t.equal(store.applySet(createOrder("z0", false, 1), 400).outcome, "done");
    t.end();
});

void t.test("a snapshot restores the zones and their change counts", t => {
    const state = new DeclaredState();
    state.apply({ index: 9, term: 1, at: 0, command: createOrder("a", true, 0) });
    const loaded = new DeclaredState();
    loaded.loadSnapshot(JSON.parse(JSON.stringify(state.createSnapshot())));
    t.same(loaded.evacuations.createList(), { index: 9, zones: ["a"] });
    t.equal(loaded.evacuations.get("a").changes, 1);
    t.end();
});

void t.test("a router applies the newest list, whatever its source and order of arrival", t => {
    const zones = new EvacuatedZones();
    t.ok(zones.record({ index: 7, zones: ["a"] }, 100));
    t.notOk(zones.record({ index: 5, zones: [] }, 200), "lagging controller");
    t.ok(zones.isEvacuated("a"));
    t.equal(zones.getRestoredAt("a"), -Infinity);
    t.ok(zones.record({ index: 8, zones: ["b"] }, 300));
    t.notOk(zones.isEvacuated("a"));
    t.equal(zones.getRestoredAt("a"), 300);
    t.same(zones.list(), ["b"]);
    t.ok(zones.record({ index: 9, zones: ["a"] }, 400));
    t.equal(zones.getRestoredAt("a"), -Infinity);
    t.end();
});

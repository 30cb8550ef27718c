/** Recorded upstream ends are independent of order and repetition, and bounded in memory. */
import t from "tap";
import type { RecordUpstreamEndCommand } from "../../src/domain/upstreamEndCommands.js";
import { UpstreamEndStore } from "../../src/domain/upstreamEndStore.js";

function createRecord(life: string, names: string, hasBegun = false): RecordUpstreamEndCommand {
    const requests = names.split("").map(fingerprint => ({ fingerprint, hasBegun }));
    return { type: "recordUpstreamEnd", life, requests };
}

function listSuspects(store: UpstreamEndStore): string[] {
    return store.getSuspects().map(({ fingerprint, isCulprit }) => `${fingerprint}${isCulprit ? "!" : ""}`);
}

void t.test("repeated reports of one end by several routers count as one end", async t => {
    const store = new UpstreamEndStore();
    [createRecord("a", "p"), createRecord("a", "xp", true), createRecord("a", "p")].forEach((record, i) =>
        store.applyRecord(record, i + 1)
    );
    t.same(listSuspects(store), []);
    store.applyRecord(createRecord("b", "p"), 4);
    store.applyRecord(createRecord("c", "p"), 5);
    t.same(listSuspects(store), ["p!"]);
});

void t.test("ends at one moment count once", async t => {
    const store = new UpstreamEndStore();
    store.applyRecord(createRecord("a", "p"), 1);
    store.applyRecord(createRecord("x", "q"), 2);
    store.applyRecord({ ...createRecord("b", "p"), togetherWith: "a" }, 3);
    t.same(listSuspects(store), []);
    store.applyRecord({ ...createRecord("c", "p"), togetherWith: "forgotten" }, 4);
    t.same(listSuspects(store), ["p"]);
});

void t.test("a complete answer clears a request, and expired ends do not count", async t => {
    const store = new UpstreamEndStore();
    ["a", "b", "c"].forEach((life, i) => store.applyRecord(createRecord(life, "pi"), i + 1));
    store.applyClear({ type: "clearRequests", fingerprints: ["i"] }, 4);
    t.same(listSuspects(store), ["p!"]);
    store.applyForget({ type: "forgetUpstreamEnds", upTo: 1 }, 5);
    t.same(listSuspects(store), ["p"]);
    t.equal(store.getEndIndex("a"), undefined);
    t.equal(store.getLastIndex(), 5);
});

void t.test("a snapshot restores the whole state", async t => {
    const store = new UpstreamEndStore();
    ["a", "b", "c"].forEach((life, i) => store.applyRecord(createRecord(life, "pi", life === "a"), i + 1));
    const copy = new UpstreamEndStore();
    copy.loadSnapshot(JSON.parse(JSON.stringify(store.createSnapshot())) as ReturnType<typeof store.createSnapshot>);
    t.same(copy.createSnapshot(), store.createSnapshot());
    t.same(listSuspects(copy), listSuspects(store));
});

void t.test("made-up requests neither exhaust memory nor get another account's request refused", async t => {
    const store = new UpstreamEndStore();
    for (let i = 0; i < 1_000; i++) {
        const requests = Array.from({ length: 256 }, (_, j) => ({ fingerprint: `${i} ${j}`, hasBegun: true }));
        store.applyRecord({ ...createRecord(`life ${i}`, "x"), requests }, 2 * i + 1);
        store.applyRecord(createRecord(`life ${i}`, "abc"), 2 * i + 2);
    }
    const { ends } = store.createSnapshot();
    t.equal(ends.length, 128);
    t.ok(ends.every(({ requests }) => requests.length <= 256));
    t.same(listSuspects(store), []);
});

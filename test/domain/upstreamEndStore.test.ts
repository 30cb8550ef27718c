/** Recorded upstream ends are independent of order and repetition, and bounded in memory. */
import t from "tap";
import type { RecordUpstreamEndCommand } from "../../src/domain/upstreamEndCommands.js";
import { type UpstreamEndSnapshot, UpstreamEndStore } from "../../src/domain/upstreamEndStore.js";

function createRecord(life: string, names: string, hasBegun = false): RecordUpstreamEndCommand {
    const requests = names.split("").map(fingerprint => ({ fingerprint, hasBegun }));
    return { type: "recordUpstreamEnd", life, requests };
}

function listSuspects(store: UpstreamEndStore): string[] {
    return store.getSuspects().map(({ attributes, isCulprit }) =>
        `${attributes.map(attribute => attribute.replace("content:", "")).join("+")}${isCulprit ? "!" : ""}`
    );
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
    store.applyClearRequests({ type: "clearRequests", fingerprints: ["i"] }, 4);
    t.same(listSuspects(store), ["p!"]);
    store.applyForget({ type: "forgetUpstreamEnds", upTo: 1 }, 5);
    t.same(listSuspects(store), ["p!"], "two ends remain");
    t.equal(store.getEndIndex("a"), undefined);
    t.equal(store.getLastIndex(), 5);
    store.applyForget({ type: "forgetUpstreamEnds", upTo: 3 }, 6);
    t.same(listSuspects(store), ["p"]);
    t.same(store.takeLifted(), [{ attributes: ["content:p"], reason: "expired", index: 6, by: [] }]);
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
    t.ok(ends.length <= 128);
    t.ok(ends.every(({ runs }) => runs!.length <= 256));
    t.ok(ends.reduce((sum, { runs }) => sum + runs!.length, 0) <= 8_192);
    t.same(listSuspects(store), []);
});

function createSharedRecord(life: string, shared: readonly string[], answerMs = 50): RecordUpstreamEndCommand {
    return {
        type: "recordUpstreamEnd",
        life,
        requests: [{ fingerprint: `own ${life}`, hasBegun: true, answerMs, shared: [...shared] }],
    };
}

void t.test("a survivor clears its attributes at the ends known when it was seen, and at no later one", async t => {
    const store = new UpstreamEndStore();
    ["a", "b", "c"].forEach((life, i) => store.applyRecord(createSharedRecord(life, ["part:f", "part:x"]), i + 1));
    t.same(listSuspects(store), ["part:f+part:x!"]);
    t.ok(store.canClear("part:f", 2));
    store.applyClear({ type: "clearAttributes", cleared: [{ attribute: "part:f", upTo: 2 }] }, 4);
    t.notOk(store.canClear("part:f", 2));
    t.same(listSuspects(store), ["part:x!"], "the rest explains the ends");
    store.applyRecord(createSharedRecord("d", ["part:f"]), 5);
    t.same(listSuspects(store), ["part:x!", "part:f"]);
});

void t.test("ends that convict a culprit outlast a series of other ends", async t => {
    const store = new UpstreamEndStore();
    ["a", "b", "c"].forEach((life, i) => store.applyRecord(createSharedRecord(life, ["part:x"]), i + 1));
    for (let i = 0; i < 500; i++) {
        store.applyRecord(createSharedRecord(`other ${i}`, [`part:${i}`]), i + 4);
    }
    t.same(listSuspects(store), ["part:x!"]);
});

void t.test("one more end convicts a culprit again whose ends have expired, also after a restart", async t => {
    const store = new UpstreamEndStore();
    ["a", "b", "c"].forEach((life, i) => store.applyRecord(createSharedRecord(life, ["part:x"]), i + 1));
    store.applyForget({ type: "forgetUpstreamEnds", upTo: 3 }, 4);
    t.same(listSuspects(store), ["part:x"], "not blocked");
    const restarted = new UpstreamEndStore();
    restarted.loadSnapshot(JSON.parse(JSON.stringify(store.createSnapshot())) as UpstreamEndSnapshot);
    restarted.applyRecord(createSharedRecord("d", ["part:x"]), 5);
    t.same(listSuspects(restarted), ["part:x!"]);
    restarted.applyClear({ type: "clearAttributes", cleared: [{ attribute: "part:x", upTo: 5 }] }, 6);
    restarted.applyRecord(createSharedRecord("e", ["part:x"]), 7);
    t.same(listSuspects(restarted), [], "unless a request has survived meanwhile");
});

void t.test("a snapshot of an earlier version restores its requests", async t => {
    const store = new UpstreamEndStore();
    const ends = ["a", "b", "c"].map((life, i) => ({
        life,
        index: i + 1,
        moment: i + 1,
        requests: [["p", true]] as const,
    }));
    store.loadSnapshot({ lastIndex: 3, lastMoment: 3, ends });
    t.same(listSuspects(store), ["p!"]);
});

/** Recorded upstream ends are independent of order and repetition, and bounded in memory. */
import t from "tap";
import type { RecordUpstreamEndCommand } from "../../src/domain/upstreamEndCommands.js";
import { UpstreamEndStore } from "../../src/domain/upstreamEndStore.js";

function createRecord(life: string, names: string, hasBegun = false): RecordUpstreamEndCommand {
    const requests = names.split("").map(fingerprint => ({ fingerprint, hasBegun }));
    return { type: "recordUpstreamEnd", life, requests };
}

function listSuspects(book: UpstreamEndStore): string[] {
    return book.getSuspects().map(({ fingerprint, isCulprit }) => `${fingerprint}${isCulprit ? "!" : ""}`);
}

void t.test("repeated reports of one end by several routers count as one end", async t => {
    const book = new UpstreamEndStore();
    [createRecord("a", "p"), createRecord("a", "xp", true), createRecord("a", "p")].forEach((record, i) =>
        book.applyRecord(record, i + 1)
    );
    t.same(listSuspects(book), []);
    book.applyRecord(createRecord("b", "p"), 4);
    book.applyRecord(createRecord("c", "p"), 5);
    t.same(listSuspects(book), ["p!"]);
});

void t.test("ends at one moment count once", async t => {
    const book = new UpstreamEndStore();
    book.applyRecord(createRecord("a", "p"), 1);
    book.applyRecord(createRecord("x", "q"), 2);
    book.applyRecord({ ...createRecord("b", "p"), togetherWith: "a" }, 3);
    t.same(listSuspects(book), []);
    book.applyRecord({ ...createRecord("c", "p"), togetherWith: "forgotten" }, 4);
    t.same(listSuspects(book), ["p"]);
});

void t.test("a complete answer clears a request, and expired ends do not count", async t => {
    const book = new UpstreamEndStore();
    ["a", "b", "c"].forEach((life, i) => book.applyRecord(createRecord(life, "pi"), i + 1));
    book.applyClear({ type: "clearRequests", fingerprints: ["i"] }, 4);
    t.same(listSuspects(book), ["p!"]);
    book.applyForget({ type: "forgetUpstreamEnds", upTo: 1 }, 5);
    t.same(listSuspects(book), ["p"]);
    t.equal(book.getEndIndex("a"), undefined);
    t.equal(book.getLastIndex(), 5);
});

void t.test("a snapshot restores the whole state", async t => {
    const book = new UpstreamEndStore();
    ["a", "b", "c"].forEach((life, i) => book.applyRecord(createRecord(life, "pi", life === "a"), i + 1));
    const copy = new UpstreamEndStore();
    copy.loadSnapshot(JSON.parse(JSON.stringify(book.createSnapshot())) as ReturnType<typeof book.createSnapshot>);
    t.same(copy.createSnapshot(), book.createSnapshot());
    t.same(listSuspects(copy), listSuspects(book));
});

void t.test("made-up requests neither exhaust memory nor get another account's request refused", async t => {
    const book = new UpstreamEndStore();
    for (let i = 0; i < 1_000; i++) {
        const requests = Array.from({ length: 256 }, (_, j) => ({ fingerprint: `${i} ${j}`, hasBegun: true }));
        book.applyRecord({ ...createRecord(`life ${i}`, "x"), requests }, 2 * i + 1);
        book.applyRecord(createRecord(`life ${i}`, "abc"), 2 * i + 2);
    }
    const { ends } = book.createSnapshot();
    t.equal(ends.length, 128);
    t.ok(ends.every(({ requests }) => requests.length <= 256));
    t.same(listSuspects(book), []);
});

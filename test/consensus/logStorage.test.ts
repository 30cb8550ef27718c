/** The log where some entries are a thousand times as long as others: what is sent at once, and when it is compacted. */
import t from "tap";
import { LogApplier } from "../../src/consensus/logApplier.js";
import { LogStorage } from "../../src/consensus/logStorage.js";
import { PendingProposals } from "../../src/consensus/pendingProposals.js";
import type { LogEntry } from "../../src/domain/commands.js";
import { NoLog } from "../../src/ports/log.js";
import { FakeClock, FakeJournal } from "../tools/fakes.js";

const TEXT_LENGTH = 400_000;
const MAX_LENGTH = 1_000_000;

function createStorage(): LogStorage {
    return new LogStorage({ journal: new FakeJournal(true), records: [], tornBytes: 0 });
}

function createBundleEntry(index: number, textLength = TEXT_LENGTH): LogEntry {
    const text = "x".repeat(textLength);
    return { index, term: 1, at: 0, command: { type: "putBundle", revision: index, text, prepaid: [] } };
}

async function createStorageWith(entries: readonly LogEntry[]): Promise<LogStorage> {
    const storage = createStorage();
    await storage.append(entries);
    return storage;
}

void t.test("what is sent to a replica at once is bounded by its length", async t => {
    const entries = Array.from({ length: 30 }, (_, i) => createBundleEntry(i + 1));
    const storage = await createStorageWith(entries);
    t.same(storage.getEntriesFrom(1, 512, MAX_LENGTH).map(entry => entry.index), [1, 2]);
    t.same(storage.getEntriesFrom(29, 512, MAX_LENGTH).map(entry => entry.index), [29, 30]);
    t.same(storage.getEntriesFrom(31, 512, MAX_LENGTH), []);
});

void t.test("an entry that is longer than the bound is sent alone", async t => {
    const storage = await createStorageWith([createBundleEntry(1, 3 * MAX_LENGTH), createBundleEntry(2, 10)]);
    t.same(storage.getEntriesFrom(1, 512, MAX_LENGTH).map(entry => entry.index), [1]);
    t.same(storage.getEntriesFrom(2, 512, MAX_LENGTH).map(entry => entry.index), [2]);
});

void t.test("long entries are compacted before there are many of them", async t => {
    const storage = createStorage();
    const applier = new LogApplier(storage, new PendingProposals(1_000, 1_000), new NoLog(), 1_000_000);
    for (let index = 1; index <= 60; index++) {
        await storage.append([createBundleEntry(index)]);
        applier.applyUpTo(index);
    }
    t.ok(storage.getSnapshotIndex() > 0, "a snapshot was taken");
    t.ok(storage.getLengthAfterSnapshot() < 50 * TEXT_LENGTH, `${storage.getLengthAfterSnapshot()} characters left`);
    t.equal(applier.state.bundle.tryGet()?.revision, 60);
});

void t.test("dropped entries no longer count", async t => {
    const storage = await createStorageWith([createBundleEntry(1), createBundleEntry(2)]);
    const one = storage.getLengthAfterSnapshot() / 2;
    await storage.append([{ ...createBundleEntry(2), term: 2 }]);
    t.equal(storage.getLengthAfterSnapshot(), 2 * one);
});

/** A log on a disk that outlasts its process. */
function openStorage(journal: FakeJournal, clock: FakeClock): LogStorage {
    return new LogStorage({ journal, records: journal.crash(), tornBytes: 0 }, clock);
}

void t.test("a clock that was set back while the process ran does not make entries younger", async t => {
    const journal = new FakeJournal(true);
    const clock = new FakeClock();
    const storage = openStorage(journal, clock);
    await storage.append([createBundleEntry(1, 10)]);
    clock.advance(7_000);
    clock.stepWall(-5_000);
    await storage.append([createBundleEntry(2, 10)]);
    clock.advance(1_500);
    const ageMs = openStorage(journal, clock).tryGetMsSinceTaken(1);
    t.ok(ageMs === undefined || ageMs >= 8_500, `${ageMs} ms`);
});

void t.test("what is taken while a clock is known to be off says nothing of its age after a restart", async t => {
    const journal = new FakeJournal(true);
    const clock = new FakeClock();
    const storage = openStorage(journal, clock);
    await storage.append([createBundleEntry(1, 10)]);
    clock.stepWall(5_000);
    await storage.append([createBundleEntry(2, 10)]);
    t.equal(storage.tryGetMsSinceTaken(2), 0, "the process that took it measures by its monotonic clock");
    // The step is taken back while nothing runs.
    clock.advance(3_000);
    clock.stepWall(-5_000);
    const reopened = openStorage(journal, clock);
    t.equal(reopened.tryGetMsSinceTaken(1), undefined);
    t.equal(reopened.tryGetMsSinceTaken(2), undefined);
    await reopened.append([createBundleEntry(3, 10)]);
    t.equal(
        openStorage(journal, clock).tryGetMsSinceTaken(3),
        undefined,
        "it is not known that the clock is right again",
    );
});

void t.test("a snapshot keeps what is known of the clock", async t => {
    const journal = new FakeJournal(true);
    const clock = new FakeClock();
    const storage = openStorage(journal, clock);
    await storage.append([createBundleEntry(1, 10)]);
    const applier = new LogApplier(storage, new PendingProposals(1_000, 1_000), new NoLog(), 1);
    applier.applyUpTo(1);
    clock.advance(2_000);
    t.equal(openStorage(journal, clock).tryGetMsSinceTaken(1), 2_000);
    clock.stepWall(5_000);
    await storage.append([createBundleEntry(2, 10)]);
    applier.applyUpTo(2);
    await storage.waitSynced();
    t.equal(openStorage(journal, clock).getClockAheadMs(), 5_000);
    t.equal(openStorage(journal, clock).tryGetMsSinceTaken(1), undefined);
});

void t.test("time that a box was suspended for counts, also where its time of day was set back later", async t => {
    const clock = new FakeClock();
    const storage = openStorage(new FakeJournal(true), clock);
    await storage.append([createBundleEntry(1, 10)]);
    clock.advance(1_000);
    clock.suspend(4_000);
    t.ok(storage.tryGetMsSinceTaken(1)! >= 5_000, "before anybody has noticed");
    await storage.observeClock();
    clock.advance(500);
    clock.stepWall(-4_000);
    await storage.observeClock();
    t.ok(storage.tryGetMsSinceTaken(1)! >= 5_500);
    await storage.append([createBundleEntry(2, 10)]);
    clock.advance(100);
    t.equal(storage.tryGetMsSinceTaken(2), 100, "what was missed before an entry is not a part of its age");
});

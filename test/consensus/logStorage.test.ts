/** Limits on message and log length with long entries, and entry ages across clock steps, restarts and suspensions. */
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

void t.test("the entries sent in one message are limited by length", async t => {
    const entries = Array.from({ length: 30 }, (_, i) => createBundleEntry(i + 1));
    const storage = await createStorageWith(entries);
    t.same(storage.getEntriesFrom(1, 512, MAX_LENGTH).map(entry => entry.index), [1, 2]);
    t.same(storage.getEntriesFrom(29, 512, MAX_LENGTH).map(entry => entry.index), [29, 30]);
    t.same(storage.getEntriesFrom(31, 512, MAX_LENGTH), []);
});

void t.test("an entry longer than the limit is sent alone", async t => {
    const storage = await createStorageWith([createBundleEntry(1, 3 * MAX_LENGTH), createBundleEntry(2, 10)]);
    t.same(storage.getEntriesFrom(1, 512, MAX_LENGTH).map(entry => entry.index), [1]);
    t.same(storage.getEntriesFrom(2, 512, MAX_LENGTH).map(entry => entry.index), [2]);
});

void t.test("long entries trigger a snapshot before the entry count does", async t => {
    const storage = createStorage();
    const applier = new LogApplier(storage, new PendingProposals(1_000, 1_000), new NoLog(), 1_000_000);
    for (let index = 1; index <= 60; index++) {
        await storage.append([createBundleEntry(index)]);
        applier.applyUpTo(index);
    }
    t.ok(storage.getSnapshotIndex() > 0, "a snapshot was taken");
    t.ok(
        storage.getLengthAfterSnapshot() < 50 * TEXT_LENGTH,
        `${storage.getLengthAfterSnapshot()} characters after the snapshot`,
    );
    t.equal(applier.state.bundle.tryGet()?.revision, 60);
});

void t.test("truncated entries no longer count towards the log length", async t => {
    const storage = await createStorageWith([createBundleEntry(1), createBundleEntry(2)]);
    const entryLength = storage.getLengthAfterSnapshot() / 2;
    await storage.append([{ ...createBundleEntry(2), term: 2 }]);
    t.equal(storage.getLengthAfterSnapshot(), 2 * entryLength);
});

/** Opens the log as it is on disk after a crash of the previous process. */
function openStorage(journal: FakeJournal, clock: FakeClock): LogStorage {
    return new LogStorage({ journal, records: journal.crash(), tornBytes: 0 }, clock);
}

void t.test("setting the clock back while the process runs does not shorten the age of entries", async t => {
    const journal = new FakeJournal(true);
    const clock = new FakeClock();
    const storage = openStorage(journal, clock);
    await storage.append([createBundleEntry(1, 10)]);
    clock.advance(7_000);
    clock.stepWall(-5_000);
    await storage.append([createBundleEntry(2, 10)]);
    clock.advance(1_500);
    const ageMs = openStorage(journal, clock).tryGetAgeMs(1);
    t.ok(ageMs === undefined || ageMs >= 8_500, `${ageMs} ms`);
});

void t.test("the age of an entry appended while the clock is unreliable is unknown after a restart", async t => {
    const journal = new FakeJournal(true);
    const clock = new FakeClock();
    const storage = openStorage(journal, clock);
    await storage.append([createBundleEntry(1, 10)]);
    clock.stepWall(5_000);
    await storage.append([createBundleEntry(2, 10)]);
    t.equal(storage.tryGetAgeMs(2), 0, "the process that appended the entry measures its age on the monotonic clock");
    // The step is reversed while no process is running.
    clock.advance(3_000);
    clock.stepWall(-5_000);
    const reopened = openStorage(journal, clock);
    t.equal(reopened.tryGetAgeMs(1), undefined);
    t.equal(reopened.tryGetAgeMs(2), undefined);
    await reopened.append([createBundleEntry(3, 10)]);
    t.equal(
        openStorage(journal, clock).tryGetAgeMs(3),
        undefined,
        "the clock is not yet known to be correct again",
    );
});

void t.test("a snapshot preserves append times and clock steps", async t => {
    const journal = new FakeJournal(true);
    const clock = new FakeClock();
    const storage = openStorage(journal, clock);
    await storage.append([createBundleEntry(1, 10)]);
    const applier = new LogApplier(storage, new PendingProposals(1_000, 1_000), new NoLog(), 1);
    applier.applyUpTo(1);
    clock.advance(2_000);
    t.equal(openStorage(journal, clock).tryGetAgeMs(1), 2_000);
    clock.stepWall(5_000);
    await storage.append([createBundleEntry(2, 10)]);
    applier.applyUpTo(2);
    await storage.waitSynced();
    t.equal(openStorage(journal, clock).getClockOffsetMs(), 5_000);
    t.equal(openStorage(journal, clock).tryGetAgeMs(1), undefined);
});

void t.test("the age of an entry includes suspensions, even if the wall clock is set back later", async t => {
    const clock = new FakeClock();
    const storage = openStorage(new FakeJournal(true), clock);
    await storage.append([createBundleEntry(1, 10)]);
    clock.advance(1_000);
    clock.suspend(4_000);
    t.ok(storage.tryGetAgeMs(1)! >= 5_000, "before the suspension was detected");
    await storage.observeClock();
    clock.advance(500);
    clock.stepWall(-4_000);
    await storage.observeClock();
    t.ok(storage.tryGetAgeMs(1)! >= 5_500);
    await storage.append([createBundleEntry(2, 10)]);
    clock.advance(100);
    t.equal(storage.tryGetAgeMs(2), 100, "time missed before an entry was appended is not part of its age");
});

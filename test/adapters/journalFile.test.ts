/** Guards against data loss after a crash: an incomplete last record is dropped, an earlier corrupt one is an error. */
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import t from "tap";
import { formatRecord, openJournalFile } from "../../src/adapters/disk/journalFile.js";

let folder = "";
t.before(async () => {
    folder = await mkdtemp(join(tmpdir(), "loomwinch-journal-"));
});
t.teardown(() => rm(folder, { recursive: true }));

const records = [{ type: "first", tokens: 1 }, { type: "second", text: "with \n inside" }, {
    type: "third",
    tokens: 3,
}];

void t.test("torn at every byte of the last record, the journal keeps the other records and accepts appends", async t => {
    const whole = Buffer.from(records.map(formatRecord).join(""));
    const lastStart = whole.length - Buffer.byteLength(formatRecord(records[2]));
    for (let length = lastStart; length < whole.length; length++) {
        const path = join(folder, `torn-${length}`);
        await writeFile(path, whole.subarray(0, length));
        const opened = await openJournalFile(path);
        t.same(opened.records, records.slice(0, 2), `torn at byte ${length}`);
        t.equal(opened.tornBytes, length - lastStart);
        await opened.journal.append({ type: "after" });
        await opened.journal.close();
        const again = await openJournalFile(path);
        t.same(again.records, [...records.slice(0, 2), { type: "after" }]);
        await again.journal.close();
    }
});

void t.test("damage before the end is refused, not skipped", async t => {
    const path = join(folder, "damaged");
    const whole = Buffer.from(records.map(formatRecord).join(""));
    whole[12] = whole[12]! ^ 1;
    await writeFile(path, whole);
    await t.rejects(openJournalFile(path), { message: /LW4003 diskCorrupt/ });
});

void t.test("appends keep their order around a replacement", async t => {
    const path = join(folder, "replaced");
    const { journal } = await openJournalFile(path);
    await Promise.all([
        journal.append({ n: 1 }),
        journal.append({ n: 2 }),
        journal.replaceAll([{ n: "all" }]),
        journal.append({ n: 3 }),
    ]);
    await journal.close();
    const again = await openJournalFile(path);
    t.same(again.records, [{ n: "all" }, { n: 3 }]);
    await again.journal.close();
    t.equal((await readFile(path, "utf8")).split("\n").length, 3);
});

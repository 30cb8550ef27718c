/**
 * A replica that is stopped while it stands for election ends without an error of its own.
 *
 * What was seen: `unhandledRejection ... diskFailed: Error: file closed` as controllers were stopped, once, beside load. The
 * record of the candidate's term was on its way to the disk when the journal was closed, and nobody took its rejection.
 */
import t from "tap";
import { LogStorage } from "../../src/consensus/logStorage.js";
import { ReplicatedLog } from "../../src/consensus/replicatedLog.js";
import { createRefusal, RefusalError } from "../../src/domain/resultCodes.js";
import { SystemClock } from "../../src/ports/clock.js";
import { Journal } from "../../src/ports/journal.js";
import { NoLog } from "../../src/ports/log.js";
import { MemoryNetwork } from "../tools/memoryNetwork.js";
import { waitUntil } from "../tools/waiting.js";

/** Writes nothing; what waits for it is rejected when it is closed. */
class ClosingJournal extends Journal {
    waiting: (() => void)[] = [];

    override append(): Promise<void> {
        return new Promise((_resolve, reject) =>
            this.waiting.push(() => reject(new RefusalError(createRefusal("diskFailed", "file closed", "unknown"))))
        );
    }
    override replaceAll(): Promise<void> {
        return this.append();
    }
    override getSize(): number {
        return 0;
    }
    override close(): Promise<void> {
        this.waiting.forEach(reject => reject());
        return Promise.resolve();
    }
}

void t.test("a replica that is stopped while it saves its term as a candidate", async t => {
    const journal = new ClosingJournal();
    const storage = new LogStorage({ journal, records: [], tornBytes: 0 });
    const network = new MemoryNetwork("a", new Map(), { loss: 0, doubles: 0, cutOff: new Set() }, () => 0.5);
    const replica = new ReplicatedLog(storage, network, new SystemClock(), new NoLog(), {
        name: "a",
        others: [],
        electionTimeoutMs: 20,
        heartbeatMs: 5,
        proposeTimeoutMs: 100,
        snapshotEvery: 10,
        random: () => 0.5,
    });
    replica.start();
    await waitUntil("it stands for election", () => journal.waiting.length > 0);
    await replica.stop();
    // An unhandled rejection would fail this test in the next turns.
    await new Promise(resolve => setTimeout(resolve, 50));
    t.notOk(replica.isLeader());
});

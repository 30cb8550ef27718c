/**
 * A replica that is stopped while it joins the log ends without an error of its own.
 *
 * What was seen: `unhandledRejection ... diskFailed: Error: file closed` as controllers were stopped, once, beside load. A replica
 * with an emptied disk was still asking the others whether it may join; their answer came after its journal was closed, and
 * nobody took the rejection of what it then wrote. A process would have ended with an error at a planned stop.
 */
import t from "tap";
import { LogStorage } from "../../src/consensus/logStorage.js";
import { replicaStateMethod } from "../../src/consensus/messages.js";
import { ReplicatedLog } from "../../src/consensus/replicatedLog.js";
import { createRefusal, RefusalError } from "../../src/domain/resultCodes.js";
import { SystemClock } from "../../src/ports/clock.js";
import { NoLog } from "../../src/ports/log.js";
import { PeerHandlers } from "../../src/ports/peer.js";
import { FakeJournal } from "../tools/fakes.js";
import { MemoryNetwork } from "../tools/memoryNetwork.js";

/** Refuses what is written after it was closed. */
class ClosableJournal extends FakeJournal {
    private isClosed = false;

    override append(record: unknown): Promise<void> {
        return this.isClosed
            ? Promise.reject(new RefusalError(createRefusal("diskFailed", "file closed", "unknown")))
            : super.append(record);
    }
    override close(): Promise<void> {
        this.isClosed = true;
        return Promise.resolve();
    }
}

void t.test("a replica that is stopped while the others tell it that it may join", async t => {
    const handlers = new PeerHandlers();
    let asked = 0;
    handlers.add(replicaStateMethod, () => {
        asked += 1;
        return { term: 0, lastIndex: 0 };
    });
    const storage = new LogStorage({ journal: new ClosableJournal(true), records: [], tornBytes: 0 });
    const faults = { loss: 0, doubles: 0, cutOff: new Set<string>() };
    const network = new MemoryNetwork("a", new Map([["b", handlers]]), faults, () => 0.5);
    const replica = new ReplicatedLog(storage, network, new SystemClock(), new NoLog(), {
        name: "a",
        others: [{ name: "b", address: "b" }],
        electionTimeoutMs: 1_000,
        heartbeatMs: 5,
        proposeTimeoutMs: 100,
        snapshotEvery: 10,
        random: () => 0.5,
    });
    replica.start();
    await replica.stop();
    // An unhandled rejection would fail this test in the next turns.
    await new Promise(resolve => setTimeout(resolve, 50));
    t.equal(asked, 1, "the answer came after the stop");
    t.notOk(storage.isMember);
});

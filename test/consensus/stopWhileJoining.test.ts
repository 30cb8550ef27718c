/**
 * Guards against an unhandled rejection (`diskFailed: file closed`) when a replica is stopped while it joins the log: the
 * answers of the other replicas may arrive after its journal was closed.
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

/** Rejects writes after it was closed. */
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

void t.test("a replica stopped while it waits for answers to its join writes nothing afterwards", async t => {
    const handlers = new PeerHandlers();
    let requestCount = 0;
    handlers.add(replicaStateMethod, () => {
        requestCount += 1;
        return { term: 0, lastIndex: 0 };
    });
    const storage = new LogStorage({ journal: new ClosableJournal(true), records: [], tornBytes: 0 });
    const faults = { lossRate: 0, duplicateRate: 0, partitioned: new Set<string>() };
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
    // An unhandled rejection in the meantime fails this test.
    await new Promise(resolve => setTimeout(resolve, 50));
    t.equal(requestCount, 1, "the request was answered after the stop");
    t.notOk(storage.isMember);
});

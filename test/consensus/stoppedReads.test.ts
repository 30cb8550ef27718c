/** Guards against a stale read: a replica that stops before it has applied a confirmed index must not answer from its state. */
import t from "tap";
import { LogStorage } from "../../src/consensus/logStorage.js";
import { ReplicatedLog } from "../../src/consensus/replicatedLog.js";
import { SystemClock } from "../../src/ports/clock.js";
import { NoLog } from "../../src/ports/log.js";
import { FakeJournal } from "../tools/fakes.js";
import { MemoryNetwork } from "../tools/memoryNetwork.js";

const CONFIRMED_INDEX = 5;
const LONG_MS = 60_000;

function createReplica(): ReplicatedLog {
    const storage = new LogStorage({ journal: new FakeJournal(true), records: [], tornBytes: 0 });
    const faults = { lossRate: 0, duplicateRate: 0, partitioned: new Set<string>() };
    const network = new MemoryNetwork("a", new Map(), faults, () => 0.5);
    return new ReplicatedLog(storage, network, new SystemClock(), new NoLog(), {
        name: "a",
        others: [{ name: "b", address: "b" }],
        electionTimeoutMs: 1_000,
        heartbeatMs: 5,
        proposeTimeoutMs: 100,
        snapshotEvery: 10,
        random: () => 0.5,
    });
}

void t.test("a read that waits while the replica stops is refused", async t => {
    const replica = createReplica();
    const read = replica.waitApplied(CONFIRMED_INDEX, LONG_MS);
    const refused = t.rejects(read, { message: /noMajority/ });
    await replica.stop();
    await refused;
});

void t.test("a read that begins after the replica has stopped is refused", async t => {
    const replica = createReplica();
    await replica.stop();
    await t.rejects(replica.waitApplied(CONFIRMED_INDEX, LONG_MS), { message: /noMajority/ });
});

/**
 * Guards against a leader measuring the age of an entry too short because its box was suspended: the age bounds what a
 * router's previous process can have spent, so tokens already spent would be released.
 */
import t from "tap";
import { EntryAgeCollector } from "../../src/consensus/entryAgeCollector.js";
import { LogStorage } from "../../src/consensus/logStorage.js";
import { ReplicaSet } from "../../src/consensus/replicaSet.js";
import { NoLog } from "../../src/ports/log.js";
import { PeerHandlers } from "../../src/ports/peer.js";
import { FakeClock, FakeJournal } from "../tools/fakes.js";
import { MemoryNetwork, type MemoryProcesses } from "../tools/memoryNetwork.js";

const NAMES = ["a", "b", "c"];
const SUSPENDED_MS = 4_000;

/** Creates three replicas that have appended one entry; the first one is the leader. */
async function createReplicas() {
    const processes: MemoryProcesses = new Map();
    const faults = { lossRate: 0, duplicateRate: 0, partitioned: new Set<string>() };
    const replicas = await Promise.all(NAMES.map(async name => {
        const clock = new FakeClock();
        const storage = new LogStorage({ journal: new FakeJournal(true), records: [], tornBytes: 0 }, clock);
        await storage.saveTerm(1, undefined);
        await storage.append([{ index: 1, term: 1, at: 0, command: { type: "noop" } }]);
        const others = NAMES.filter(other => other !== name).map(other => ({ name: other, address: other }));
        const replicaSet = new ReplicaSet(storage, { name, others });
        const network = new MemoryNetwork(name, processes, faults, () => 0.5);
        const ages = new EntryAgeCollector(storage, replicaSet, network, new NoLog(), () => name === "a");
        const handlers = new PeerHandlers();
        ages.addHandlers(handlers);
        processes.set(name, handlers);
        return { clock, ages };
    }));
    replicas.forEach(({ clock }) => clock.advance(1_000));
    return { replicas, faults };
}

void t.test("the age measured by a leader includes the time its box was suspended", async t => {
    const { replicas: [leader], faults } = await createReplicas();
    faults.partitioned.add("b").add("c");
    leader!.clock.suspend(SUSPENDED_MS);
    const { measuredMs } = await leader!.ages.collectAge(1);
    t.ok(measuredMs! >= 1_000 + SUSPENDED_MS, `${measuredMs} ms`);
});

void t.test("a suspension hidden by a wall clock step is covered by the ages other replicas measured", async t => {
    const { replicas: [leader, ...others] } = await createReplicas();
    leader!.clock.suspend(SUSPENDED_MS);
    leader!.clock.stepWall(-SUSPENDED_MS);
    others.forEach(({ clock }) => clock.advance(SUSPENDED_MS));
    const { measuredMs } = await leader!.ages.collectAge(1);
    t.ok(measuredMs! >= 1_000 + SUSPENDED_MS, `${measuredMs} ms`);
});

/**
 * Guards against losing accepted entries while the replica set changes: replicas join, are removed, lose their disks or are
 * partitioned, and messages are lost. The set must converge to the live replicas.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import t from "tap";
import { LogStorage } from "../../src/consensus/logStorage.js";
import { ReplicaSetMonitor } from "../../src/consensus/replicaSetMonitor.js";
import { ReplicaSetReconciler } from "../../src/consensus/replicaSetReconciler.js";
import { ReplicatedLog } from "../../src/consensus/replicatedLog.js";
import { SystemClock } from "../../src/ports/clock.js";
import { NoLog } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { PeerHandlers } from "../../src/ports/peer.js";
import { FakeJournal } from "../tools/fakes.js";
import { MemoryNetwork, type MemoryProcesses, type NetworkFaults } from "../tools/memoryNetwork.js";
import { wait, waitUntil } from "../tools/waiting.js";

const INITIAL_REPLICAS = ["a:1", "b:1", "c:1"];
const JOINING_REPLICAS = ["d:1", "e:1"];
const REPLICA_SET = { toleratedLosses: 1, silentAfterMs: 300, removeAfterMs: 600 };

class ReplicaSetSimulation {
    readonly processes: MemoryProcesses = new Map();
    readonly faults: NetworkFaults = { lossRate: 0, duplicateRate: 0, partitioned: new Set() };
    readonly replicas = new Map<string, ReplicatedLog>();
    private readonly journals = new Map<string, FakeJournal>();
    readonly random: () => number;

    constructor(seed: number) {
        const generator = xoroshiro128plus(seed);
        this.random = () => (generator.next() >>> 0) / 2 ** 32;
    }

    start(name: string, isFirstStart: boolean): void {
        const journal = this.journals.get(name) ?? new FakeJournal(true);
        this.journals.set(name, journal);
        const handlers = new PeerHandlers();
        const network = new MemoryNetwork(name, this.processes, this.faults, this.random);
        const clock = new SystemClock();
        const isFounder = isFirstStart && INITIAL_REPLICAS.includes(name);
        const replica = new ReplicatedLog(
            new LogStorage({ journal, records: journal.crash(), tornBytes: 0 }),
            network,
            clock,
            new NoLog(),
            {
                name,
                address: name,
                others: isFounder
                    ? INITIAL_REPLICAS.filter(other => other !== name).map(other => ({ name: other, address: other }))
                    : [],
                isInitialReplica: isFounder,
                isFirstStart: isFounder,
                electionTimeoutMs: 60,
                heartbeatMs: 12,
                proposeTimeoutMs: 300,
                snapshotEvery: 20,
                random: this.random,
            },
        );
        const reconciler = new ReplicaSetReconciler(
            replica,
            network,
            clock,
            new NoLog(),
            new ReplicaSetMonitor(new NoLog(), new NoMetrics(), REPLICA_SET),
            { self: { name, address: name }, periodMs: 25, callTimeoutMs: 60, replicaSet: REPLICA_SET },
        );
        replica.addHandlers(handlers);
        reconciler.addHandlers(handlers);
        this.processes.set(name, handlers);
        this.replicas.set(name, replica);
        replica.start();
        void reconciler.runReconciliation();
        void reconciler.runJoinRequests(() => INITIAL_REPLICAS);
    }

    async crash(name: string): Promise<void> {
        this.processes.delete(name);
        await this.replicas.get(name)!.stop();
        this.replicas.delete(name);
    }

    eraseDisk(name: string): void {
        this.journals.delete(name);
    }

    pickReplica(): string {
        const names = [...this.replicas.keys()];
        return names[Math.floor(this.random() * names.length)]!;
    }

    /** Returns the voters if all live replicas agree on them. */
    tryGetVoters(): string[] | undefined {
        const voterSets = [...this.replicas.values()].map(replica => [...replica.replicas.getVoters()].sort().join());
        return new Set(voterSets).size === 1 ? voterSets[0]!.split(",") : undefined;
    }
}

/** Proposes bundles of increasing revision until stopped, and records the highest one accepted. */
function startProposing(simulation: ReplicaSetSimulation): { accepted: number; stop: () => Promise<void>; } {
    const state = { accepted: 0, stopped: false, stop: async (): Promise<void> => undefined };
    let revision = 0;
    const task = (async () => {
        while (!state.stopped) {
            revision += 1;
            const current = revision;
            const replica = simulation.replicas.get(simulation.pickReplica());
            await replica?.propose({ type: "putBundle", revision: current, text: `bundle ${current}`, prepaid: [] })
                .then(() => state.accepted = Math.max(state.accepted, current), () => undefined);
            await wait(4);
        }
    })();
    state.stop = async () => {
        state.stopped = true;
        await task;
    };
    return state;
}

async function waitForMoreAccepted(proposing: { accepted: number; }, condition: string): Promise<void> {
    const before = proposing.accepted;
    await waitUntil(`proposals to be accepted ${condition}`, () => proposing.accepted > before + 5);
}

for (const seed of [11, 12, 13, 14]) {
    void t.test(`accepted entries survive replica set changes (seed ${seed})`, async t => {
        const simulation = new ReplicaSetSimulation(seed);
        INITIAL_REPLICAS.forEach(name => simulation.start(name, true));
        const proposing = startProposing(simulation);
        await waitForMoreAccepted(proposing, "by the initial replicas");
        simulation.faults.lossRate = 0.05;
        simulation.faults.duplicateRate = 0.05;
        JOINING_REPLICAS.forEach(name => simulation.start(name, false));
        await waitUntil("five voters", () => simulation.tryGetVoters()?.length === 5);
        await waitForMoreAccepted(proposing, "by five replicas");

        const erased = INITIAL_REPLICAS[Math.floor(simulation.random() * INITIAL_REPLICAS.length)]!;
        await simulation.crash(erased);
        simulation.eraseDisk(erased);
        simulation.start(erased, false);
        await waitForMoreAccepted(proposing, "while a replica recovers from the loss of its disk");

        const removed = INITIAL_REPLICAS.find(name => name !== erased)!;
        await simulation.crash(removed);
        await waitUntil(
            "the stopped replica to be removed",
            () => simulation.tryGetVoters()?.includes(removed) === false,
        );
        await waitForMoreAccepted(proposing, "by four replicas");

        const isolated = simulation.pickReplica();
        simulation.faults.partitioned.add(isolated);
        await wait(150);
        simulation.faults.partitioned.clear();
        await waitForMoreAccepted(proposing, "after a partition");

        await Promise.all([...simulation.replicas.keys()].map(name => simulation.crash(name)));
        [...INITIAL_REPLICAS, ...JOINING_REPLICAS].filter(name => name !== removed).forEach(name =>
            simulation.start(name, false)
        );
        await waitForMoreAccepted(proposing, "after a crash of all replicas");
        await proposing.stop();
        simulation.faults.lossRate = 0;
        simulation.faults.duplicateRate = 0;
        await waitUntil(
            "all replicas to apply the latest accepted revision",
            () =>
                [...simulation.replicas.values()].every(replica =>
                    (replica.state.bundle.tryGet()?.revision ?? 0) >= proposing.accepted
                ),
        );
        t.same(
            simulation.tryGetVoters(),
            [...INITIAL_REPLICAS, ...JOINING_REPLICAS].filter(name => name !== removed).sort(),
        );
        await Promise.all([...simulation.replicas.keys()].map(name => simulation.crash(name)));
    });
}

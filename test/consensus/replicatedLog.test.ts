/**
 * Guards against losing accepted entries and against diverging replicas under message loss, duplication and delay, crashes
 * that lose unsynced data, partitions, and the loss of a disk.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import t from "tap";
import { LogStorage } from "../../src/consensus/logStorage.js";
import type { ReplicatedLog } from "../../src/consensus/replicatedLog.js";
import { isBudgetConserved } from "../../src/domain/budgetStore.js";
import { formatCanonicalJson } from "../../src/domain/identifiers.js";
import { type Clock, SystemClock } from "../../src/ports/clock.js";
import { Journal } from "../../src/ports/journal.js";
import { PeerHandlers } from "../../src/ports/peer.js";
import { FakeJournal } from "../tools/fakes.js";
import { MemoryNetwork, type MemoryProcesses, type NetworkFaults } from "../tools/memoryNetwork.js";
import { createMemoryReplica } from "../tools/memoryReplica.js";
import { wait, waitUntil } from "../tools/waiting.js";

const NAMES = ["a", "b", "c"];
const SNAPSHOT_EVERY = 15;

/** Syncs with a delay after each write, so that a crash in between loses data. */
class DelayedSyncJournal extends Journal {
    constructor(private readonly inner: FakeJournal) {
        super();
    }
    override append(record: unknown): Promise<void> {
        const written = this.inner.append(record);
        setTimeout(() => this.inner.sync(), 2);
        return written;
    }
    override replaceAll(records: readonly unknown[]): Promise<void> {
        return this.inner.replaceAll(records);
    }
    override getSize(): number {
        return this.inner.getSize();
    }
    override close(): Promise<void> {
        return Promise.resolve();
    }
}

class ReplicatedLogSimulation {
    readonly processes: MemoryProcesses = new Map();
    readonly faults: NetworkFaults = { lossRate: 0, duplicateRate: 0, partitioned: new Set() };
    readonly replicas = new Map<string, ReplicatedLog>();
    private readonly journals = new Map<string, FakeJournal>();
    readonly random: () => number;

    constructor(seed: number) {
        const generator = xoroshiro128plus(seed);
        this.random = () => (generator.next() >>> 0) / 2 ** 32;
    }

    start(name: string, clock: Clock = new SystemClock()): void {
        const journal = this.journals.get(name) ?? new FakeJournal(false);
        this.journals.set(name, journal);
        const storage = new LogStorage({
            journal: new DelayedSyncJournal(journal),
            records: journal.crash(),
            tornBytes: 0,
        }, clock);
        const handlers = new PeerHandlers();
        const network = new MemoryNetwork(name, this.processes, this.faults, this.random);
        const { random } = this;
        const replica = createMemoryReplica({
            name,
            replicas: NAMES,
            storage,
            network,
            clock,
            proposeTimeoutMs: 400,
            snapshotEvery: SNAPSHOT_EVERY,
            random,
        });
        replica.addHandlers(handlers);
        this.processes.set(name, handlers);
        this.replicas.set(name, replica);
        replica.start();
    }

    async crash(name: string): Promise<void> {
        this.processes.delete(name);
        await this.replicas.get(name)!.stop();
        this.replicas.delete(name);
    }

    eraseDisk(name: string): void {
        this.journals.set(name, new FakeJournal(false));
    }

    async stopAll(): Promise<void> {
        await Promise.all([...this.replicas.keys()].map(name => this.crash(name)));
    }

    pickReplica(): string {
        const names = [...this.replicas.keys()];
        return names[Math.floor(this.random() * names.length)]!;
    }
}

async function runSimulation(
    seed: number,
): Promise<{ accepted: Map<string, number>; simulation: ReplicatedLogSimulation; hasSnapshots: boolean; }> {
    const simulation = new ReplicatedLogSimulation(seed);
    NAMES.forEach(name => simulation.start(name));
    const accepted = new Map<string, number>();
    let stopped = false;
    let serial = 0;
    const proposers = NAMES.map(async () => {
        while (!stopped) {
            serial += 1;
            const operationId = `op-${serial}`;
            const replica = simulation.replicas.get(simulation.pickReplica());
            await replica?.propose({
                type: "creditTopUp",
                operationId,
                operator: "o",
                budget: "b",
                tokens: serial,
                home: "a",
            })
                .then(answer => {
                    if (answer.result.type === "accepted") {
                        accepted.set(operationId, serial);
                    }
                }, () => undefined);
            await wait(3);
        }
    });
    await waitUntil("a first proposal to be accepted", () => accepted.size > 0);
    simulation.faults.lossRate = 0.08;
    simulation.faults.duplicateRate = 0.1;
    for (let round = 0; round < 4; round++) {
        const crashed = simulation.pickReplica();
        await simulation.crash(crashed);
        await wait(80);
        if (round === 2) {
            simulation.eraseDisk(crashed);
        }
        simulation.start(crashed);
        const before = accepted.size;
        await waitUntil("proposals to be accepted after a crash", () => accepted.size > before + 10);
        const isolated = NAMES[Math.floor(simulation.random() * NAMES.length)]!;
        simulation.faults.partitioned.add(isolated);
        await wait(150);
        simulation.faults.partitioned.clear();
        await waitUntil("proposals to be accepted after a partition", () => accepted.size > before + 20);
    }
    stopped = true;
    await Promise.all(proposers);
    simulation.faults.lossRate = 0;
    simulation.faults.duplicateRate = 0;
    await waitUntil(
        "a final entry to be accepted",
        async () => (await simulation.replicas.get(simulation.pickReplica())!.propose({ type: "noop" })).index > 0,
    );
    await waitUntil("all replicas to reach the same applied index", () => {
        const applied = new Set([...simulation.replicas.values()].map(replica => replica.getAppliedIndex()));
        return applied.size === 1;
    });
    return {
        accepted,
        simulation,
        hasSnapshots: [...simulation.replicas.values()].every(replica => replica.getAppliedIndex() > SNAPSHOT_EVERY),
    };
}

for (const seed of [1, 2, 3, 4, 5, 6]) {
    void t.test(`accepted entries are kept and all replicas agree (seed ${seed})`, async t => {
        const { accepted, simulation, hasSnapshots } = await runSimulation(seed);
        const states = [...simulation.replicas.values()].map(replica =>
            formatCanonicalJson(replica.state.createSnapshot().budgets)
        );
        t.equal(new Set(states).size, 1, "all replicas have the same state");
        t.ok(hasSnapshots, "snapshots were taken");
        const { budgets } = [...simulation.replicas.values()][0]!.state;
        const missing = [...accepted.keys()].filter(operationId => budgets.tryGetTopUp(operationId) === undefined);
        t.same(missing, [], `of ${accepted.size} accepted`);
        t.ok(isBudgetConserved(budgets.tryGetBudget("b")!));
        await simulation.stopAll();
    });
}

/** A clock whose monotonic reading misses simulated suspensions, which its wall clock includes. */
class SuspendableClock extends SystemClock {
    private missedMs = 0;

    suspend(ms: number): void {
        this.missedMs += ms;
    }
    override getWallMs(): number {
        return super.getWallMs() + this.missedMs;
    }
}

void t.test("contact before a suspension does not count as recent after it", async t => {
    const simulation = new ReplicatedLogSimulation(9);
    const clocks = new Map(NAMES.map(name => [name, new SuspendableClock()]));
    NAMES.forEach(name => simulation.start(name, clocks.get(name)));
    const all = [...simulation.replicas.values()];
    await waitUntil(
        "all replicas to be connected to a majority",
        () => all.every(replica => replica.isConnectedToMajority()),
    );
    for (const name of NAMES) {
        simulation.faults.partitioned.add(name);
        clocks.get(name)!.suspend(10_000);
        t.notOk(simulation.replicas.get(name)!.isConnectedToMajority(), name);
        simulation.faults.partitioned.delete(name);
    }
    await waitUntil(
        "all replicas to reconnect to a majority",
        () => all.every(replica => replica.isConnectedToMajority()),
    );
    await simulation.stopAll();
});

// Guards against an operator who takes down the next replica while a readmitted one cannot vote yet.
void t.test("a replica that lost its disk counts towards a majority only once another may fail", async t => {
    const simulation = new ReplicatedLogSimulation(11);
    NAMES.forEach(name => simulation.start(name));
    const getLeaderName = () => [...simulation.replicas.values()].map(one => one.getLeaderName()).find(Boolean);
    await waitUntil("a leader", () => getLeaderName() !== undefined);
    const leaderName = getLeaderName()!;
    const [erasedName, absentName] = NAMES.filter(name => name !== leaderName) as [string, string];
    await waitUntil(
        "all to have joined",
        () => [...simulation.replicas.values()].every(one => one.isElectable()),
    );

    simulation.faults.partitioned.add(absentName);
    await simulation.crash(erasedName);
    simulation.eraseDisk(erasedName);
    simulation.start(erasedName);
    const erased = simulation.replicas.get(erasedName)!;
    await waitUntil("contact with the leader", () => erased.isConnectedToMajority());
    t.notOk(erased.isElectable(), "the leader's majority does not exist without it");

    simulation.faults.partitioned.delete(absentName);
    await waitUntil("it to have joined", () => erased.isElectable());
    await simulation.crash(leaderName);
    await waitUntil("a majority without the former leader", async () => {
        const answer = await erased.propose({ type: "noop" });
        return answer.index > 0;
    });
    await simulation.stopAll();
});

// Guards against an entry that the leader appends and the other replicas refuse, after which nothing is accepted any more.
void t.test("a command out of its bounds is refused before it is appended, and the log goes on", async t => {
    const simulation = new ReplicatedLogSimulation(11);
    NAMES.forEach(name => simulation.start(name));
    const proposeAtLeader = async (tokens: number): Promise<string> => {
        const leader = [...simulation.replicas.values()].find(replica => replica.isLeader());
        const prepaid = [{ account: "a", tokens }];
        const command = { type: "putBundle", revision: 1, text: "{}", prepaid } as const;
        return leader === undefined
            ? "no leader"
            : leader.propose(command).then(() => "accepted", error => String(error));
    };
    await waitUntil("a leader", async () => (await proposeAtLeader(1)) === "accepted");
    for (const tokens of [2 ** 31, Number.MAX_SAFE_INTEGER]) {
        t.equal(await proposeAtLeader(tokens), "accepted", String(tokens));
    }
    for (const tokens of [2 ** 53, 2 ** 63, 1e300, -1, 0.5, NaN, Infinity]) {
        t.match(await proposeAtLeader(tokens), /objectInvalid/, String(tokens));
        t.equal(await proposeAtLeader(1), "accepted", `after ${tokens}`);
    }
    await waitUntil("all replicas to apply the same", () => {
        const applied = [...simulation.replicas.values()].map(replica => replica.getAppliedIndex());
        return new Set(applied).size === 1;
    });
    await simulation.stopAll();
});

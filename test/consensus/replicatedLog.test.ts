/**
 * The replicated log under lost, doubled and late messages, crashes that lose what was not synced, cuts, and an emptied
 * disk: what was accepted stays accepted, every replica comes to the same state, also through snapshots.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import t from "tap";
import { LogStorage } from "../../src/consensus/logStorage.js";
import { ReplicatedLog } from "../../src/consensus/replicatedLog.js";
import { isBudgetConserved } from "../../src/domain/budgetStore.js";
import { formatCanonicalJson } from "../../src/domain/identifiers.js";
import { type Clock, SystemClock } from "../../src/ports/clock.js";
import { Journal } from "../../src/ports/journal.js";
import { NoLog } from "../../src/ports/log.js";
import { PeerHandlers } from "../../src/ports/peer.js";
import { FakeJournal } from "../tools/fakes.js";
import { MemoryNetwork, type MemoryProcesses, type NetworkFaults } from "../tools/memoryNetwork.js";
import { wait, waitUntil } from "../tools/waiting.js";

const NAMES = ["a", "b", "c"];
const SNAPSHOT_EVERY = 15;

/** Syncs a little after each write, so that a crash in between loses something. */
class SlowJournal extends Journal {
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

class World {
    readonly processes: MemoryProcesses = new Map();
    readonly faults: NetworkFaults = { loss: 0, doubles: 0, cutOff: new Set() };
    readonly replicas = new Map<string, ReplicatedLog>();
    private readonly disks = new Map<string, FakeJournal>();
    readonly random: () => number;

    constructor(seed: number) {
        const generator = xoroshiro128plus(seed);
        this.random = () => (generator.next() >>> 0) / 2 ** 32;
    }

    start(name: string, clock: Clock = new SystemClock()): void {
        const disk = this.disks.get(name) ?? new FakeJournal(false);
        this.disks.set(name, disk);
        const storage = new LogStorage({ journal: new SlowJournal(disk), records: disk.crash(), tornBytes: 0 }, clock);
        const handlers = new PeerHandlers();
        const network = new MemoryNetwork(name, this.processes, this.faults, this.random);
        const replica = new ReplicatedLog(storage, network, clock, new NoLog(), {
            name,
            others: NAMES.filter(other => other !== name).map(other => ({ name: other, address: other })),
            electionTimeoutMs: 60,
            heartbeatMs: 12,
            proposeTimeoutMs: 400,
            snapshotEvery: SNAPSHOT_EVERY,
            random: this.random,
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

    emptyDisk(name: string): void {
        this.disks.set(name, new FakeJournal(false));
    }

    async stopAll(): Promise<void> {
        await Promise.all([...this.replicas.keys()].map(name => this.crash(name)));
    }

    pick(): string {
        const names = [...this.replicas.keys()];
        return names[Math.floor(this.random() * names.length)]!;
    }
}

async function runWorld(seed: number): Promise<{ accepted: Map<string, number>; world: World; snapshots: boolean; }> {
    const world = new World(seed);
    NAMES.forEach(name => world.start(name));
    const accepted = new Map<string, number>();
    let stopped = false;
    let serial = 0;
    const proposers = NAMES.map(async () => {
        while (!stopped) {
            serial += 1;
            const operationId = `op-${serial}`;
            const replica = world.replicas.get(world.pick());
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
    await waitUntil("a first acceptance", () => accepted.size > 0);
    world.faults.loss = 0.08;
    world.faults.doubles = 0.1;
    for (let round = 0; round < 4; round++) {
        const victim = world.pick();
        await world.crash(victim);
        await wait(80);
        if (round === 2) {
            world.emptyDisk(victim);
        }
        world.start(victim);
        const before = accepted.size;
        await waitUntil("acceptances after a crash", () => accepted.size > before + 10);
        const cut = NAMES[Math.floor(world.random() * NAMES.length)]!;
        world.faults.cutOff.add(cut);
        await wait(150);
        world.faults.cutOff.clear();
        await waitUntil("acceptances after a cut", () => accepted.size > before + 20);
    }
    stopped = true;
    await Promise.all(proposers);
    world.faults.loss = 0;
    world.faults.doubles = 0;
    await waitUntil(
        "a last entry",
        async () => (await world.replicas.get(world.pick())!.propose({ type: "noop" })).index > 0,
    );
    await waitUntil("all replicas to have applied the same", () => {
        const applied = new Set([...world.replicas.values()].map(replica => replica.getAppliedIndex()));
        return applied.size === 1;
    });
    return {
        accepted,
        world,
        snapshots: [...world.replicas.values()].every(replica => replica.getAppliedIndex() > SNAPSHOT_EVERY),
    };
}

for (const seed of [1, 2, 3, 4, 5, 6]) {
    void t.test(`nothing accepted is lost, and all replicas agree (seed ${seed})`, async t => {
        const { accepted, world, snapshots } = await runWorld(seed);
        const states = [...world.replicas.values()].map(replica =>
            formatCanonicalJson(replica.state.createSnapshot().budgets)
        );
        t.equal(new Set(states).size, 1, "one state");
        t.ok(snapshots, "snapshots were taken");
        const { budgets } = [...world.replicas.values()][0]!.state;
        const missing = [...accepted.keys()].filter(operationId => budgets.tryGetTopUp(operationId) === undefined);
        t.same(missing, [], `of ${accepted.size} accepted`);
        t.ok(isBudgetConserved(budgets.tryGetBudget("b")!));
        await world.stopAll();
    });
}

/** Counts on as it did while its box is suspended; the time of day does not. */
class SuspendedClock extends SystemClock {
    private missedMs = 0;

    suspend(ms: number): void {
        this.missedMs += ms;
    }
    override getWallMs(): number {
        return super.getWallMs() + this.missedMs;
    }
}

void t.test("what was confirmed before a box was suspended does not count as fresh after it", async t => {
    const world = new World(9);
    const clocks = new Map(NAMES.map(name => [name, new SuspendedClock()]));
    NAMES.forEach(name => world.start(name, clocks.get(name)));
    const all = [...world.replicas.values()];
    await waitUntil("all are connected", () => all.every(replica => replica.isConnectedToMajority()));
    for (const name of NAMES) {
        world.faults.cutOff.add(name);
        clocks.get(name)!.suspend(10_000);
        t.notOk(world.replicas.get(name)!.isConnectedToMajority(), name);
        world.faults.cutOff.delete(name);
    }
    await waitUntil("they are again once they hear", () => all.every(replica => replica.isConnectedToMajority()));
    await world.stopAll();
});

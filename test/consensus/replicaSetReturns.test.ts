/** Guards against replicas that get their votes back, lose them by turns, or are added and removed without end. */
import t from "tap";
import { LogStorage } from "../../src/consensus/logStorage.js";
import { ReplicaSetMonitor } from "../../src/consensus/replicaSetMonitor.js";
import { ReplicaSetReconciler } from "../../src/consensus/replicaSetReconciler.js";
import { ReplicatedLog } from "../../src/consensus/replicatedLog.js";
import { SystemClock } from "../../src/ports/clock.js";
import { Log, type LogFields } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { PeerHandlers } from "../../src/ports/peer.js";
import { FakeJournal } from "../tools/fakes.js";
import { MemoryNetwork, type MemoryProcesses, type NetworkFaults } from "../tools/memoryNetwork.js";
import { wait, waitUntil } from "../tools/waiting.js";

const INITIAL = ["a:1", "b:1", "c:1"];
const REPLICA_SET = { toleratedLosses: 1, silentAfterMs: 300, removeAfterMs: 1_500 };

interface ReplicaSetChange {
    readonly at: number;
    readonly reason: unknown;
    readonly replicas: unknown;
}

/** Keeps the changes of the replica set. */
class ChangeLog extends Log {
    constructor(private readonly changes: ReplicaSetChange[]) {
        super();
    }
    override info(event: string, fields: LogFields = {}): void {
        if (event === "replicas_changed") {
            this.changes.push({ at: performance.now(), reason: fields["reason"], replicas: fields["replicas"] });
        }
    }
    override warn(): void {}
    override error(): void {}
}

class Fleet {
    readonly processes: MemoryProcesses = new Map();
    readonly faults: NetworkFaults = { lossRate: 0, duplicateRate: 0, partitioned: new Set() };
    readonly replicas = new Map<string, ReplicatedLog>();
    readonly reconcilers = new Map<string, ReplicaSetReconciler>();
    readonly journals = new Map<string, FakeJournal>();
    readonly changes: ReplicaSetChange[] = [];

    start(name: string, isFounder: boolean): void {
        const journal = this.journals.get(name) ?? new FakeJournal(true);
        this.journals.set(name, journal);
        const handlers = new PeerHandlers();
        const network = new MemoryNetwork(name, this.processes, this.faults, Math.random);
        const clock = new SystemClock();
        const log = new ChangeLog(this.changes);
        const replica = new ReplicatedLog(
            new LogStorage({ journal, records: journal.crash(), tornBytes: 0 }),
            network,
            clock,
            log,
            {
                name,
                address: name,
                others: isFounder ? INITIAL.filter(o => o !== name).map(o => ({ name: o, address: o })) : [],
                isInitialReplica: isFounder,
                isFirstStart: isFounder,
                electionTimeoutMs: 60,
                heartbeatMs: 12,
                proposeTimeoutMs: 300,
                snapshotEvery: 2000,
                random: Math.random,
            },
        );
        const reconciler = new ReplicaSetReconciler(
            replica,
            network,
            clock,
            log,
            new ReplicaSetMonitor(log, new NoMetrics(), REPLICA_SET),
            { self: { name, address: name }, periodMs: 25, callTimeoutMs: 60, replicaSet: REPLICA_SET },
        );
        replica.addHandlers(handlers);
        reconciler.addHandlers(handlers);
        this.processes.set(name, handlers);
        this.replicas.set(name, replica);
        this.reconcilers.set(name, reconciler);
        replica.start();
        void reconciler.runReconciliation();
        void reconciler.runJoinRequests(() => INITIAL);
    }

    tryFindLeader(): string | undefined {
        return [...this.replicas].find(([, r]) => r.isLeader())?.[0];
    }

    listVoters(): string[] {
        const leader = this.tryFindLeader();
        return leader === undefined ? [] : [...this.replicas.get(leader)!.replicas.getVoters()];
    }

    async crash(name: string): Promise<void> {
        this.processes.delete(name);
        await this.replicas.get(name)!.stop();
        this.replicas.delete(name);
    }

    async close(): Promise<void> {
        await Promise.all([...this.replicas.keys()].map(name => this.crash(name)));
    }
}

void t.test("a controller that announced its stop and ended is not made a voter again", async t => {
    const fleet = new Fleet();
    t.teardown(() => fleet.close());
    INITIAL.forEach(name => fleet.start(name, true));
    await waitUntil("leader", () => fleet.listVoters().length === 3);
    fleet.start("d:1", false);
    await waitUntil("a fourth replica", () => fleet.changes.length >= 1);
    await wait(REPLICA_SET.silentAfterMs);
    const leaving = INITIAL.find(name => name !== fleet.tryFindLeader())!;
    void fleet.reconcilers.get(leaving)!.runLeave();
    await waitUntil("vote withdrawn", () => !fleet.listVoters().includes(leaving));
    await wait(200);
    const from = performance.now();
    await fleet.crash(leaving);
    let votedAgainMs = 0;
    for (let i = 0; i < 100; i++) {
        votedAgainMs += fleet.listVoters().includes(leaving) ? 5 : 0;
        await wait(5);
    }
    t.equal(votedAgainMs, 0, JSON.stringify(fleet.changes.map(c => [Math.round(c.at - from), c.reason, c.replicas])));
});

void t.test("a replica that is cut off by turns does not gain and lose its vote by turns while the others bear the promise", async t => {
    const fleet = new Fleet();
    t.teardown(() => fleet.close());
    INITIAL.forEach(name => fleet.start(name, true));
    await waitUntil("leader", () => fleet.listVoters().length === 3);
    fleet.start("d:1", false);
    await waitUntil("d added", () => fleet.changes.length >= 1);
    await wait(300);
    const flapping = INITIAL.find(name => name !== fleet.tryFindLeader())!;
    const before = fleet.changes.length;
    for (let i = 0; i < 10; i++) {
        fleet.faults.partitioned.add(flapping);
        await wait(380);
        fleet.faults.partitioned.delete(flapping);
        await wait(150);
    }
    const changes = fleet.changes.slice(before);
    t.ok(changes.length <= 2, `${changes.length} changes in 5.3 s: ${changes.map(c => c.reason).join()}`);
});

void t.test("a controller that returns to a leader which has led before it was removed is added once", async t => {
    // silent told by leader L1 to L2; L2 removes the replica, and it comes back.
    const fleet = new Fleet();
    t.teardown(() => fleet.close());
    INITIAL.forEach(name => fleet.start(name, true));
    await waitUntil("leader", () => fleet.listVoters().length === 3);
    fleet.start("d:1", false);
    fleet.start("e:1", false);
    await waitUntil("e, d added", () => fleet.changes.length >= 2);
    await wait(400);
    const first = fleet.tryFindLeader()!;
    const gone = fleet.listVoters().find(name => name !== first)!;
    fleet.faults.partitioned.add(gone);
    await wait(250);
    await fleet.crash(first);
    await waitUntil("second leader", () => fleet.tryFindLeader() !== undefined && fleet.tryFindLeader() !== gone);
    fleet.start(first, false);
    await waitUntil("removed", () => fleet.changes.some(c => c.reason === "removed"));
    await wait(1_000);
    const before = fleet.changes.length;
    // A distant replica: its answers take half an election timeout.
    const handlers = fleet.processes.get(gone)!;
    fleet.processes.set(gone, {
        handle: async (...args: Parameters<PeerHandlers["handle"]>) => {
            await wait(30);
            return handlers.handle(...args);
        },
    } as unknown as PeerHandlers);
    fleet.faults.partitioned.delete(gone);
    await wait(1_500);
    const changes = fleet.changes.slice(before);
    t.same(changes.filter(c => c.reason === "removed"), [], JSON.stringify(changes.map(c => [c.reason, c.replicas])));
});

/**
 * A log whose replicas change while it runs: founders, replicas that join, boxes that are gone for good, emptied disks,
 * cuts and lost messages. What was accepted stays accepted, and the set comes to hold whoever lives.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import t from "tap";
import { LogStorage } from "../../src/consensus/logStorage.js";
import { ReplicaSetKeeper } from "../../src/consensus/replicaSetKeeper.js";
import { ReplicatedLog } from "../../src/consensus/replicatedLog.js";
import { SystemClock } from "../../src/ports/clock.js";
import { NoLog } from "../../src/ports/log.js";
import { PeerHandlers } from "../../src/ports/peer.js";
import { FakeJournal } from "../tools/fakes.js";
import { MemoryNetwork, type MemoryProcesses, type NetworkFaults } from "../tools/memoryNetwork.js";
import { wait, waitUntil } from "../tools/waiting.js";

const FOUNDERS = ["a:1", "b:1", "c:1"];
const JOINERS = ["d:1", "e:1"];
const REMOVE_AFTER_MS = 600;
const TOLERATED = 1;

class ChangingWorld {
    readonly processes: MemoryProcesses = new Map();
    readonly faults: NetworkFaults = { loss: 0, doubles: 0, cutOff: new Set() };
    readonly replicas = new Map<string, ReplicatedLog>();
    private readonly disks = new Map<string, FakeJournal>();
    readonly random: () => number;

    constructor(seed: number) {
        const generator = xoroshiro128plus(seed);
        this.random = () => (generator.next() >>> 0) / 2 ** 32;
    }

    start(name: string, isFirstStart: boolean): void {
        const disk = this.disks.get(name) ?? new FakeJournal(true);
        this.disks.set(name, disk);
        const handlers = new PeerHandlers();
        const network = new MemoryNetwork(name, this.processes, this.faults, this.random);
        const clock = new SystemClock();
        const isFounder = isFirstStart && FOUNDERS.includes(name);
        const replica = new ReplicatedLog(
            new LogStorage({ journal: disk, records: disk.crash(), tornBytes: 0 }),
            network,
            clock,
            new NoLog(),
            {
                name,
                address: name,
                others: isFounder
                    ? FOUNDERS.filter(other => other !== name).map(other => ({ name: other, address: other }))
                    : [],
                isFounder,
                isFirstStart: isFounder,
                electionTimeoutMs: 60,
                heartbeatMs: 12,
                proposeTimeoutMs: 300,
                snapshotEvery: 20,
                random: this.random,
            },
        );
        const keeper = new ReplicaSetKeeper(replica, network, clock, new NoLog(), {
            self: { name, address: name },
            periodMs: 25,
            removeAfterMs: REMOVE_AFTER_MS,
            minimumLive: 2 * TOLERATED + 1,
            callTimeoutMs: 60,
        });
        replica.addHandlers(handlers);
        keeper.addHandlers(handlers);
        this.processes.set(name, handlers);
        this.replicas.set(name, replica);
        replica.start();
        void keeper.runKeeping();
        void keeper.runJoining(() => FOUNDERS);
    }

    async crash(name: string): Promise<void> {
        this.processes.delete(name);
        await this.replicas.get(name)!.stop();
        this.replicas.delete(name);
    }

    emptyDisk(name: string): void {
        this.disks.delete(name);
    }

    pick(): string {
        const names = [...this.replicas.keys()];
        return names[Math.floor(this.random() * names.length)]!;
    }

    /** Voters as the replicas that live see them; undefined where they differ. */
    tryGetVoters(): string[] | undefined {
        const seen = [...this.replicas.values()].map(replica => [...replica.replicas.getVoters()].sort().join());
        return new Set(seen).size === 1 ? seen[0]!.split(",") : undefined;
    }
}

/** Proposes bundles of rising revision until stopped; answers the highest that was accepted. */
function startProposing(world: ChangingWorld): { accepted: number; stop: () => Promise<void>; } {
    const state = { accepted: 0, stopped: false, stop: async (): Promise<void> => undefined };
    let revision = 0;
    const task = (async () => {
        while (!state.stopped) {
            revision += 1;
            const current = revision;
            const replica = world.replicas.get(world.pick());
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

async function waitForMore(proposing: { accepted: number; }, what: string): Promise<void> {
    const before = proposing.accepted;
    await waitUntil(`acceptances ${what}`, () => proposing.accepted > before + 5);
}

for (const seed of [11, 12, 13, 14]) {
    void t.test(`a changing set keeps what was accepted (seed ${seed})`, async t => {
        const world = new ChangingWorld(seed);
        FOUNDERS.forEach(name => world.start(name, true));
        const proposing = startProposing(world);
        await waitForMore(proposing, "by the founders");
        world.faults.loss = 0.05;
        world.faults.doubles = 0.05;
        JOINERS.forEach(name => world.start(name, false));
        await waitUntil("five voters", () => world.tryGetVoters()?.length === 5);
        await waitForMore(proposing, "by five");

        const emptied = FOUNDERS[Math.floor(world.random() * FOUNDERS.length)]!;
        await world.crash(emptied);
        world.emptyDisk(emptied);
        world.start(emptied, false);
        await waitForMore(proposing, "beside an emptied disk");

        const gone = FOUNDERS.find(name => name !== emptied)!;
        await world.crash(gone);
        await waitUntil("the one that is gone to be removed", () => world.tryGetVoters()?.includes(gone) === false);
        await waitForMore(proposing, "by four");

        const cut = world.pick();
        world.faults.cutOff.add(cut);
        await wait(150);
        world.faults.cutOff.clear();
        await waitForMore(proposing, "after a cut");

        await Promise.all([...world.replicas.keys()].map(name => world.crash(name)));
        [...FOUNDERS, ...JOINERS].filter(name => name !== gone).forEach(name => world.start(name, false));
        await waitForMore(proposing, "after all were killed");
        await proposing.stop();
        world.faults.loss = 0;
        world.faults.doubles = 0;
        await waitUntil(
            "all to hold the newest",
            () =>
                [...world.replicas.values()].every(replica =>
                    (replica.state.bundle.tryGet()?.revision ?? 0) >= proposing.accepted
                ),
        );
        t.same(world.tryGetVoters(), [...FOUNDERS, ...JOINERS].filter(name => name !== gone).sort());
        await Promise.all([...world.replicas.keys()].map(name => world.crash(name)));
    });
}

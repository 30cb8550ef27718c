/** Guards against permits that add up past their maximum while leaders are cut off, stopped and replaced. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import t from "tap";
import { LogStorage } from "../../src/consensus/logStorage.js";
import type { ReplicatedLog } from "../../src/consensus/replicatedLog.js";
import { RepeatPermitService } from "../../src/daemons/bundleController/repeatPermitService.js";
import { SystemClock } from "../../src/ports/clock.js";
import { NoLog } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { PeerHandlers } from "../../src/ports/peer.js";
import { claimPermitsMethod } from "../../src/protocol/repeatMethods.js";
import { FakeJournal } from "../tools/fakes.js";
import { MemoryNetwork, type MemoryProcesses, type NetworkFaults } from "../tools/memoryNetwork.js";
import { createMemoryReplica } from "../tools/memoryReplica.js";
import { wait, waitUntil } from "../tools/waiting.js";

const NAMES = ["a", "b", "c"];
const OPTIONS = { maxPermits: 12, windowMs: 800, lifetimeMs: 200 };
const PLAY_MS = 8_000;
const MIN_LEADERS_LOST = 5;
const MIN_GRANTED = 37;
/** Time in which permits are granted again after a leader was lost: the window, their lifetime and elections. */
const RECOVERY_MS = 10_000;
const CLAIM_PERIOD_MS = 4;
const FAULT_PERIOD_MS = 500;
const SERVICE = "s";

/** Permits that a router may use from `from` until `until`. Monotonic clock, milliseconds. */
interface Granted {
    readonly permits: number;
    readonly from: number;
    readonly until: number;
}

class Controllers {
    readonly processes: MemoryProcesses = new Map();
    readonly faults: NetworkFaults = { lossRate: 0.02, duplicateRate: 0.02, partitioned: new Set() };
    readonly replicas = new Map<string, ReplicatedLog>();
    readonly granted: Granted[] = [];
    refusedCount = 0;
    leadersLost = 0;
    private readonly journals = new Map<string, FakeJournal>();

    constructor(private readonly random: () => number, private readonly snapshotEvery = 20) {}

    start(name: string): void {
        const journal = this.journals.get(name) ?? new FakeJournal(true);
        this.journals.set(name, journal);
        const clock = new SystemClock();
        const storage = new LogStorage({ journal, records: journal.crash(), tornBytes: 0 }, clock);
        const network = new MemoryNetwork(name, this.processes, this.faults, this.random);
        const { random, snapshotEvery } = this;
        const replica = createMemoryReplica({
            name,
            replicas: NAMES,
            storage,
            network,
            clock,
            proposeTimeoutMs: 200,
            snapshotEvery,
            random,
        });
        const permits = new RepeatPermitService(replica, network, clock, new NoLog(), new NoMetrics(), OPTIONS);
        const handlers = new PeerHandlers();
        replica.addHandlers(handlers);
        handlers.add(claimPermitsMethod, claim => permits.handleClaim(claim));
        this.processes.set(name, handlers);
        this.replicas.set(name, replica);
        replica.start();
        void permits.runEviction();
    }

    async restart(name: string): Promise<void> {
        this.processes.delete(name);
        await this.replicas.get(name)!.stop();
        this.start(name);
    }

    async claim(count: number): Promise<void> {
        const router = new MemoryNetwork("router", this.processes, this.faults, this.random);
        const askedAt = performance.now();
        const name = NAMES[Math.floor(this.random() * NAMES.length)]!;
        try {
            const claim = { service: SERVICE, count, isForwarded: false };
            const { permits, lifetimeMs } = await router.call(name, claimPermitsMethod, claim, 100);
            this.granted.push({ permits, from: performance.now(), until: askedAt + lifetimeMs });
        }
        catch {
            this.refusedCount += 1;
        }
    }

    getLeader(): string | undefined {
        return NAMES.find(name => this.replicas.get(name)!.isLeader() && !this.faults.partitioned.has(name));
    }

    countGranted(): number {
        return this.granted.reduce((sum, { permits }) => sum + permits, 0);
    }

    /** Ends the cuts, and cuts off or restarts the leader if there is one. */
    async loseLeader(): Promise<void> {
        this.faults.partitioned.clear();
        const leader = this.getLeader();
        if (leader === undefined) {
            return;
        }
        this.leadersLost += 1;
        if (this.random() < 0.5) {
            this.faults.partitioned.add(leader);
        }
        else {
            await this.restart(leader);
        }
    }

    async stop(): Promise<void> {
        await Promise.all([...this.replicas.values()].map(replica => replica.stop()));
    }

    /** Most permits that can be used in one window, if each is used as it suits. */
    computePeak(): number {
        const ends = this.granted.flatMap(({ from, until }) => [from, until]);
        return Math.max(
            0,
            ...ends.map(endsAt =>
                this.granted.filter(({ from, until }) => from <= endsAt && until > endsAt - OPTIONS.windowMs)
                    .reduce((sum, { permits }) => sum + permits, 0)
            ),
        );
    }
}

function createRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => (generator.next() >>> 0) / 2 ** 32;
}

/** Routers claim permits all the time while `play` runs. */
async function playClaims(seed: number, play: (controllers: Controllers) => Promise<void>): Promise<Controllers> {
    const random = createRandom(seed);
    const controllers = new Controllers(random);
    NAMES.forEach(name => controllers.start(name));
    await waitUntil("a leader", () => controllers.getLeader() !== undefined);
    const claims: Promise<void>[] = [];
    const claimTimer = setInterval(
        () => claims.push(controllers.claim(1 + Math.floor(random() * 4))),
        CLAIM_PERIOD_MS,
    );
    try {
        await play(controllers);
    }
    finally {
        clearInterval(claimTimer);
        await Promise.all(claims);
        await controllers.stop();
    }
    return controllers;
}

for (const seed of [1, 2]) {
    void t.test(`never more permits than the maximum through cuts and restarts of controllers, seed ${seed}`, async t => {
        const controllers = await playClaims(seed, async controllers => {
            const until = performance.now() + PLAY_MS;
            while (performance.now() < until) {
                await wait(FAULT_PERIOD_MS);
                await controllers.loseLeader();
            }
        });
        const peak = controllers.computePeak();
        t.ok(controllers.countGranted() > 0, `${controllers.countGranted()} permits were granted`);
        t.ok(peak <= OPTIONS.maxPermits, `${peak} permits in one window`);
    });

    // Guards against controllers that grant nothing more once a leader was lost, and checks the maximum where each leader granted some.
    void t.test(`permits are granted again after each leader that is cut off or restarted, seed ${seed}`, async t => {
        const controllers = await playClaims(seed, async controllers => {
            while (controllers.leadersLost < MIN_LEADERS_LOST || controllers.countGranted() < MIN_GRANTED) {
                const granted = controllers.countGranted();
                await waitUntil("further permits", () => controllers.countGranted() > granted, RECOVERY_MS);
                await wait(FAULT_PERIOD_MS);
                await controllers.loseLeader();
            }
        });
        const peak = controllers.computePeak();
        t.ok(peak <= OPTIONS.maxPermits, `${peak} permits in one window`);
    });
}

// Guards against permits of a snapshot that count from when a controller first leads instead of from when it loaded them.
void t.test("restarted controllers grant at once what has left the window since they loaded their snapshots", async t => {
    const controllers = new Controllers(createRandom(3), 1);
    NAMES.forEach(name => controllers.start(name));
    await waitUntil("all permits to be granted", async () => {
        await controllers.claim(1);
        return controllers.countGranted() === OPTIONS.maxPermits;
    });
    await Promise.all(NAMES.map(name => controllers.restart(name)));
    await waitUntil("a leader", () => controllers.getLeader() !== undefined);
    await wait(2 * (OPTIONS.windowMs + OPTIONS.lifetimeMs));
    const answerCount = controllers.granted.length;
    await waitUntil("an answer", async () => {
        await controllers.claim(1);
        return controllers.granted.length > answerCount;
    });
    await controllers.stop();
    t.equal(controllers.granted[answerCount]!.permits, 1);
});

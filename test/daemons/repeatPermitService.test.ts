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
    private readonly journals = new Map<string, FakeJournal>();

    constructor(private readonly random: () => number) {}

    start(name: string): void {
        const journal = this.journals.get(name) ?? new FakeJournal(true);
        this.journals.set(name, journal);
        const clock = new SystemClock();
        const storage = new LogStorage({ journal, records: journal.crash(), tornBytes: 0 }, clock);
        const network = new MemoryNetwork(name, this.processes, this.faults, this.random);
        const { random } = this;
        const replica = createMemoryReplica({
            name,
            replicas: NAMES,
            storage,
            network,
            clock,
            proposeTimeoutMs: 200,
            snapshotEvery: 20,
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

for (const seed of [1, 2]) {
    void t.test(`permits stay within their maximum through cuts and restarts of controllers, seed ${seed}`, async t => {
        const generator = xoroshiro128plus(seed);
        const random = (): number => (generator.next() >>> 0) / 2 ** 32;
        const controllers = new Controllers(random);
        NAMES.forEach(name => controllers.start(name));
        await waitUntil("a leader", () => controllers.getLeader() !== undefined);
        const claims: Promise<void>[] = [];
        const claimTimer = setInterval(
            () => claims.push(controllers.claim(1 + Math.floor(random() * 4))),
            CLAIM_PERIOD_MS,
        );
        const until = performance.now() + PLAY_MS;
        let leaders = 0;
        while (performance.now() < until) {
            await wait(FAULT_PERIOD_MS);
            controllers.faults.partitioned.clear();
            const leader = controllers.getLeader();
            if (leader === undefined) {
                continue;
            }
            leaders += 1;
            if (random() < 0.5) {
                controllers.faults.partitioned.add(leader);
            }
            else {
                await controllers.restart(leader);
            }
        }
        clearInterval(claimTimer);
        await Promise.all(claims);
        await Promise.all([...controllers.replicas.values()].map(replica => replica.stop()));
        const total = controllers.granted.reduce((sum, { permits }) => sum + permits, 0);
        const peak = controllers.computePeak();
        t.ok(leaders > 4, `${leaders} leaders were lost`);
        t.ok(total > 3 * OPTIONS.maxPermits, `${total} permits were granted`);
        t.ok(peak <= OPTIONS.maxPermits, `${peak} permits in one window`);
    });
}

/** Controllers that replicate one log over a network in memory and in virtual time, with checks of what they do at every moment. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { LogStorage } from "../../src/consensus/logStorage.js";
import { computeFaultTolerance, type FaultTolerance } from "../../src/consensus/replicaCondition.js";
import { ReplicaSetMonitor } from "../../src/consensus/replicaSetMonitor.js";
import { ReplicaSetReconciler } from "../../src/consensus/replicaSetReconciler.js";
import { ReplicatedLog } from "../../src/consensus/replicatedLog.js";
import type { Command } from "../../src/domain/commands.js";
import { Journal } from "../../src/ports/journal.js";
import { Log, type LogFields } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { type Peer, PeerHandlers, type PeerMethod, PeerNetwork } from "../../src/ports/peer.js";
import type { ReplicaSetOptions } from "../../src/settings/replicaSetSettings.js";
import { FakeJournal } from "./fakes.js";
import { MemoryNetwork, type MemoryProcesses, type NetworkFaults } from "./memoryNetwork.js";
import { VirtualProcess, VirtualTime } from "./virtualTime.js";

export const ELECTION_TIMEOUT_MS = 60;
const PROPOSAL_PERIOD_MS = 6;
const SYNC_MS = 1;

/** Delays answers to a paused process until it goes on. */
class ProcessNetwork extends PeerNetwork {
    constructor(private readonly inner: PeerNetwork, private readonly process: VirtualProcess) {
        super();
    }
    override connect(address: string): Promise<Peer> {
        return this.inner.connect(address);
    }
    override async call<P, R>(address: string, method: PeerMethod<P, R>, params: P, timeoutMs: number): Promise<R> {
        await this.process.waitRunning();
        try {
            return await this.inner.call(address, method, params, timeoutMs);
        }
        finally {
            await this.process.waitRunning();
        }
    }
}

/** Delays calls to a paused process until it goes on. */
class ProcessHandlers extends PeerHandlers {
    constructor(private readonly time: VirtualTime, private readonly process: VirtualProcess) {
        super();
    }
    override async handle(name: string, params: unknown, peer: Peer): Promise<unknown> {
        await this.process.waitRunning();
        return this.time.runIn(this.process, () => super.handle(name, params, peer));
    }
}

/** Syncs some time after each write, and writes nothing after its process was killed. */
class ProcessJournal extends Journal {
    constructor(private readonly inner: FakeJournal, private readonly process: VirtualProcess) {
        super();
    }
    override append(record: unknown): Promise<void> {
        if (this.process.isKilled) {
            return new Promise(() => undefined);
        }
        const written = this.inner.append(record);
        setTimeout(() => this.inner.sync(), SYNC_MS);
        return written;
    }
    override replaceAll(records: readonly unknown[]): Promise<void> {
        return this.process.isKilled ? new Promise(() => undefined) : this.inner.replaceAll(records);
    }
    override getSize(): number {
        return this.inner.getSize();
    }
    override close(): Promise<void> {
        return Promise.resolve();
    }
}

export interface Controller {
    readonly name: string;
    readonly process: VirtualProcess;
    readonly replica: ReplicatedLog;
    readonly reconciler: ReplicaSetReconciler;
}

/** What was applied and accepted, also by the fleet that a simulation goes on from. */
export interface SimulationHistory {
    /** Entries as texts by index, as the first replica applied them. */
    readonly applied: Map<number, string>;
    /** Names of the processes that led, by term. */
    readonly leaders: Map<number, VirtualProcess>;
    acceptedIndex: number;
    acceptedRevision: number;
    nextRevision: number;
    readonly violations: string[];
    readonly trace: string[];
}

export function createHistory(): SimulationHistory {
    return {
        applied: new Map(),
        leaders: new Map(),
        acceptedIndex: 0,
        acceptedRevision: 0,
        nextRevision: 1,
        violations: [],
        trace: [],
    };
}

export class ControllerSimulation {
    readonly cutLinks = new Set<string>();
    readonly faults: NetworkFaults = { lossRate: 0, duplicateRate: 0, partitioned: new Set(), cutLinks: this.cutLinks };
    readonly controllers = new Map<string, Controller>();
    readonly random: () => number;
    private readonly processes: MemoryProcesses = new Map();
    private readonly journals = new Map<string, FakeJournal>();
    private isProposing = false;

    constructor(
        readonly time: VirtualTime,
        seed: number,
        private readonly replicaSet: ReplicaSetOptions,
        readonly history: SimulationHistory = createHistory(),
    ) {
        const generator = xoroshiro128plus(seed);
        this.random = () => (generator.next() >>> 0) / 2 ** 32;
    }

    /** Starts a controller on its journal, or on an empty one. `founders`: all controllers of the first start. */
    start(name: string, seeds: readonly string[], founders: readonly string[] = []): Controller {
        const journal = this.journals.get(name) ?? new FakeJournal(false);
        this.journals.set(name, journal);
        const process = new VirtualProcess();
        const network = new ProcessNetwork(
            new MemoryNetwork(name, this.processes, this.faults, this.random),
            process,
        );
        const handlers = new ProcessHandlers(this.time, process);
        const controller = this.time.runIn(process, () => {
            const opened = { journal: new ProcessJournal(journal, process), records: journal.crash(), tornBytes: 0 };
            const log = new TraceLog(this, name);
            const replica = new ReplicatedLog(new LogStorage(opened, this.time), network, this.time, log, {
                name,
                address: name,
                others: founders.filter(other => other !== name).map(other => ({ name: other, address: other })),
                isInitialReplica: founders.includes(name),
                isFirstStart: founders.includes(name),
                electionTimeoutMs: ELECTION_TIMEOUT_MS,
                heartbeatMs: 12,
                proposeTimeoutMs: 300,
                snapshotEvery: 40,
                random: this.random,
            });
            const reconciler = new ReplicaSetReconciler(
                replica,
                network,
                this.time,
                log,
                new ReplicaSetMonitor(log, new NoMetrics(), this.replicaSet),
                {
                    self: { name, address: name },
                    periodMs: 25,
                    callTimeoutMs: ELECTION_TIMEOUT_MS,
                    replicaSet: this.replicaSet,
                },
            );
            replica.addHandlers(handlers);
            reconciler.addHandlers(handlers);
            replica.onApplied(entry =>
                this.recordApplied(name, entry.index, `${entry.term} ${JSON.stringify(entry.command)}`)
            );
            replica.start();
            void reconciler.runReconciliation();
            void reconciler.runJoinRequests(() => seeds);
            return { name, process, replica, reconciler };
        });
        this.processes.set(name, handlers);
        this.controllers.set(name, controller);
        this.trace(`start ${name}${journal.getSize() === 0 ? " with an empty journal" : ""}`);
        return controller;
    }

    kill(name: string): void {
        this.trace(`kill ${name}`);
        this.controllers.get(name)!.process.kill();
        this.controllers.delete(name);
        this.processes.delete(name);
    }

    eraseJournal(name: string): void {
        this.journals.delete(name);
    }

    /** Creates a fleet of the journals of this one's controllers, as after a kill of all processes. */
    createCopy(time: VirtualTime, seed: number, names: readonly string[]): ControllerSimulation {
        const { applied, leaders } = this.history;
        const history = { ...this.history, applied: new Map(applied), leaders: new Map(leaders), violations: [] };
        const copy = new ControllerSimulation(time, seed, this.replicaSet, { ...history, trace: [] });
        for (const name of names) {
            const journal = new FakeJournal(false);
            void journal.replaceAll(this.journals.get(name)!.crash());
            copy.journals.set(name, journal);
        }
        return copy;
    }

    trace(line: string): void {
        this.history.trace.push(`${Math.floor(this.time.getMonotonicMs())} ${line}`);
    }

    listRunning(): Controller[] {
        return [...this.controllers.values()].filter(({ process }) => process.isRunning());
    }

    tryGetLeader(): Controller | undefined {
        const leaders = this.listRunning().filter(({ replica }) => replica.isLeader());
        return leaders.sort((a, b) => b.replica.getTerm() - a.replica.getTerm())[0];
    }

    /** Returns the losses that the leader's set bears, counting the controllers that really run and may vote. */
    tryComputeTolerance(): FaultTolerance | undefined {
        const leader = this.tryGetLeader();
        const running = new Map(this.listRunning().map(({ name, replica }) => [name, replica]));
        return leader === undefined || !leader.replica.isConnectedToMajority()
            ? undefined
            : computeFaultTolerance(
                leader.replica.replicas.list().map(replica => ({
                    ...replica,
                    silentMs: running.get(replica.name)?.isElectable() === true ? 0 : Infinity,
                    isLeaving: false,
                })),
                0,
            );
    }

    /** Proposes at running controllers at random, until `stopProposing`. */
    async runProposals(): Promise<void> {
        this.isProposing = true;
        while (this.isProposing) {
            const running = this.listRunning();
            const controller = running[Math.floor(this.random() * running.length)];
            if (controller !== undefined) {
                void this.propose(controller);
            }
            await this.time.wait(PROPOSAL_PERIOD_MS);
        }
    }

    stopProposing(): void {
        this.isProposing = false;
    }

    private async propose({ process, replica }: Controller): Promise<void> {
        const revision = this.history.nextRevision++;
        const command: Command = { type: "putBundle", revision, text: `bundle ${revision}`, prepaid: [] };
        try {
            const { index, result } = await this.time.runIn(process, () => replica.propose(command));
            if (this.history.applied.get(index)?.endsWith(JSON.stringify(command)) !== true) {
                this.reportViolation(`accepted revision ${revision} is not at its index ${index}`);
            }
            if ("changed" in result && result.changed) {
                this.history.acceptedIndex = Math.max(this.history.acceptedIndex, index);
                this.history.acceptedRevision = Math.max(this.history.acceptedRevision, revision);
            }
        }
        catch {
            // Refused, or its outcome is unknown.
        }
    }

    private recordApplied(name: string, index: number, text: string): void {
        const first = this.history.applied.get(index);
        if (first === undefined) {
            this.history.applied.set(index, text);
        }
        else if (first !== text) {
            this.reportViolation(`${name} applied at ${index}: ${text}, another: ${first}`);
        }
    }

    /** Checks that no term has two leaders. */
    observe(): void {
        for (const { name, process, replica } of this.controllers.values()) {
            if (replica.isLeader()) {
                const term = replica.getTerm();
                const leader = this.history.leaders.get(term);
                this.history.leaders.set(term, leader ?? process);
                if (leader !== undefined && leader !== process) {
                    this.reportViolation(`${name} leads in term ${term}, as another process did`);
                }
            }
        }
    }

    private reportViolation(text: string): void {
        this.trace(`VIOLATION ${text}`);
        this.history.violations.push(text);
    }

    /** Lets time pass until `isTrue`; resolves to whether it became true within `timeoutMs`. */
    async waitUntil(isTrue: () => boolean, timeoutMs: number): Promise<boolean> {
        const deadline = this.time.getMonotonicMs() + timeoutMs;
        await this.time.run(
            () => isTrue() || this.time.getMonotonicMs() >= deadline,
            () => this.observe(),
        );
        return isTrue();
    }
}

/** Notes what controllers log about elections and their set. */
class TraceLog extends Log {
    constructor(private readonly simulation: ControllerSimulation, private readonly name: string) {
        super();
    }
    override info(event: string, fields: LogFields = {}): void {
        this.simulation.trace(`${this.name} ${event} ${JSON.stringify(fields)}`);
    }
    override warn(event: string, fields?: LogFields): void {
        this.info(event, fields);
    }
    override error(event: string, fields?: LogFields): void {
        this.info(event, fields);
    }
}

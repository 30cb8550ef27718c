/**
 * Random orders of replacements, kills, pauses, cuts and lost disks of controllers, which overlap. No more journals are lost at a time
 * than the replica set promises to bear; other faults may go beyond that.
 */
import type { Controller, ControllerSimulation } from "./controllerSimulation.js";
import { formatLink } from "./memoryNetwork.js";

export interface OrderOptions {
    readonly toleratedLosses: number;
    readonly catchUpMs: number;
    readonly removeAfterMs: number;
}

const MAX_GAP_MS = 400;
const MAX_FAULT_MS = 500;
const LEADER_FRACTION = 0.4;
/** Fraction of faults without a loss of a journal that may go beyond the tolerated losses. */
const EXCEEDING_FRACTION = 0.3;
const RETRY_MS = 20;

export class ReplacementOrders {
    private readonly names: string[] = [];
    /** Addresses that each controller was given when it first started. */
    private readonly seeds = new Map<string, readonly string[]>();
    private readonly busy = new Set<string>();
    private readonly removed = new Set<string>();
    /** Until when controllers count as lost. */
    private readonly lostUntil = new Map<string, number>();
    private lastEventAt = 0;

    constructor(private readonly simulation: ControllerSimulation, private readonly options: OrderOptions) {}

    startFounders(count: number): void {
        const founders = Array.from({ length: count }, () => this.createName());
        founders.forEach(name => {
            this.seeds.set(name, founders);
            this.simulation.start(name, founders, founders);
        });
    }

    getLastEventAt(): number {
        return this.lastEventAt;
    }

    /** Runs `eventCount` events, and resolves when the last one has ended. */
    async runEvents(eventCount: number): Promise<void> {
        const running: Promise<void>[] = [];
        while (running.length < eventCount) {
            await this.waitRandomly(MAX_GAP_MS);
            const event = this.tryStartEvent();
            if (event === undefined) {
                await this.simulation.time.wait(RETRY_MS);
            }
            else {
                running.push(event);
            }
        }
        await Promise.all(running);
    }

    private tryStartEvent(): Promise<void> | undefined {
        const { random } = this.simulation;
        const losing = [
            (victim: Controller) => this.runReplacement(victim),
            (victim: Controller) => this.runReplacement(victim),
            (victim: Controller) => this.runReplacementBefore(victim),
            (victim: Controller) => this.runReplacementBefore(victim),
            (victim: Controller) => this.runDiskLoss(victim),
            (victim: Controller) => this.runReturn(victim),
        ];
        const sparing = [
            (victim: Controller) => this.runRestart(victim),
            (victim: Controller) => this.runPause(victim),
            (victim: Controller) => this.runCut(victim),
            () => this.runRestartOfAll(),
        ];
        const victim = this.tryChooseVictim();
        const losesJournal = random() < 0.55;
        const events = losesJournal ? losing : sparing;
        const event = events[Math.floor(random() * events.length)]!;
        const mayExceed = !losesJournal && random() < EXCEEDING_FRACTION;
        const isAllowed = this.countLost() < this.options.toleratedLosses || mayExceed;
        return victim === undefined || !isAllowed ? undefined : event(victim);
    }

    /** Removed for good; its successor starts afterwards. */
    private async runReplacement(victim: Controller): Promise<void> {
        this.recordLoss(victim, "replaced");
        await this.announceStop(victim);
        this.removed.add(victim.name);
        this.removeForGood(victim);
        await this.waitRandomly(MAX_FAULT_MS);
        this.startSuccessor();
        this.recordRecovery(victim);
    }

    /** Removed for good after its successor has started. */
    private async runReplacementBefore(victim: Controller): Promise<void> {
        this.recordLoss(victim, "replaced after the start of its successor");
        const successor = this.startSuccessor();
        this.busy.add(successor);
        await this.waitRandomly(2 * this.options.catchUpMs);
        this.busy.delete(successor);
        await this.announceStop(victim);
        this.removed.add(victim.name);
        this.removeForGood(victim);
        this.recordRecovery(victim);
    }

    private async runDiskLoss(victim: Controller): Promise<void> {
        this.recordLoss(victim, "loses its disk");
        this.removeForGood(victim);
        await this.waitRandomly(MAX_FAULT_MS);
        this.simulation.start(victim.name, this.listPresentNames());
        this.recordRecovery(victim);
    }

    /** Paused or cut off until it is removed from the set, and back then. */
    private async runReturn(victim: Controller): Promise<void> {
        this.recordLoss(victim, "is away until it is removed");
        const isPaused = this.simulation.random() < 0.5;
        if (isPaused) {
            victim.process.pause();
        }
        else {
            this.simulation.faults.partitioned.add(victim.name);
        }
        await this.waitRandomly(MAX_FAULT_MS);
        this.startSuccessor();
        await this.simulation.time.wait(this.options.removeAfterMs + this.options.catchUpMs);
        this.simulation.faults.partitioned.delete(victim.name);
        victim.process.resume();
        this.recordRecovery(victim);
    }

    private async runRestart(victim: Controller): Promise<void> {
        this.recordLoss(victim, "restarts");
        await this.announceStop(victim);
        this.simulation.kill(victim.name);
        await this.waitRandomly(MAX_FAULT_MS);
        this.restart(victim.name);
        this.recordRecovery(victim);
    }

    private async runPause(victim: Controller): Promise<void> {
        this.recordLoss(victim, "is paused");
        victim.process.pause();
        await this.waitRandomly(MAX_FAULT_MS);
        victim.process.resume();
        this.recordRecovery(victim);
    }

    /** Cut off in both directions, or in one. */
    private async runCut(victim: Controller): Promise<void> {
        const direction = ["in", "out", "both"][Math.floor(this.simulation.random() * 3)]!;
        this.recordLoss(victim, `is cut off: ${direction}`);
        const links = this.names.flatMap(other => [
            ...(direction === "out" ? [] : [formatLink(other, victim.name)]),
            ...(direction === "in" ? [] : [formatLink(victim.name, other)]),
        ]);
        links.forEach(link => this.simulation.cutLinks.add(link));
        await this.waitRandomly(MAX_FAULT_MS);
        links.forEach(link => this.simulation.cutLinks.delete(link));
        this.recordRecovery(victim);
    }

    private async runRestartOfAll(): Promise<void> {
        const victims = this.simulation.listRunning().filter(({ name }) => !this.busy.has(name));
        victims.forEach(victim => this.recordLoss(victim, "restarts with all others"));
        victims.forEach(({ name }) => this.simulation.kill(name));
        await Promise.all(victims.map(async victim => {
            await this.waitRandomly(MAX_FAULT_MS);
            this.restart(victim.name);
            this.recordRecovery(victim);
        }));
    }

    private async announceStop(victim: Controller): Promise<void> {
        if (this.simulation.random() < 0.5) {
            this.simulation.trace(`${victim.name} announces its stop`);
            void this.simulation.time.runIn(victim.process, () => victim.reconciler.runLeave());
            await this.waitRandomly(MAX_FAULT_MS);
        }
    }

    private removeForGood({ name }: Controller): void {
        this.simulation.kill(name);
        this.simulation.eraseJournal(name);
    }

    private restart(name: string): void {
        this.simulation.start(name, this.seeds.get(name)!);
    }

    private startSuccessor(): string {
        const seeds = this.listPresentNames();
        const name = this.createName();
        this.seeds.set(name, seeds);
        this.simulation.start(name, seeds);
        return name;
    }

    private createName(): string {
        const name = `c${this.names.length}:1`;
        this.names.push(name);
        return name;
    }

    /** Lists the controllers that were not removed for good, whether they run at the moment or not. */
    private listPresentNames(): string[] {
        return this.names.filter(name => !this.removed.has(name));
    }

    private tryChooseVictim(): Controller | undefined {
        const { random } = this.simulation;
        const leader = this.simulation.tryGetLeader();
        if (leader !== undefined && !this.busy.has(leader.name) && random() < LEADER_FRACTION) {
            return leader;
        }
        const idle = this.simulation.listRunning().filter(({ name }) => !this.busy.has(name));
        return idle[Math.floor(random() * idle.length)];
    }

    private countLost(): number {
        const now = this.simulation.time.getMonotonicMs();
        return [...this.lostUntil.values()].filter(until => until > now).length;
    }

    private recordLoss({ name, replica }: Controller, what: string): void {
        this.simulation.trace(`EVENT ${name}${replica.isLeader() ? " (leader)" : ""} ${what}`);
        this.busy.add(name);
        this.lostUntil.set(name, Infinity);
    }

    /** While more are lost than tolerated, none of them catches up. */
    private recordRecovery({ name }: Controller): void {
        this.simulation.trace(`EVENT ${name} ends`);
        const now = this.simulation.time.getMonotonicMs();
        const isExceeded = this.countLost() > this.options.toleratedLosses;
        this.lastEventAt = now;
        this.busy.delete(name);
        this.lostUntil.set(name, now + this.options.catchUpMs);
        if (isExceeded) {
            [...this.lostUntil].filter(([, until]) => until !== Infinity && until > now).forEach(([other]) =>
                this.lostUntil.set(other, now + this.options.catchUpMs)
            );
        }
    }

    private waitRandomly(maxMs: number): Promise<void> {
        return this.simulation.time.wait(this.simulation.random() * maxMs);
    }
}

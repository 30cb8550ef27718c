/** The faults of a soak: which come, where, for how long, as a seeded generator says. They overlap and repeat. */
import { SOUND } from "./preload.js";
import type { SoakBox } from "./soakBox.js";
import { MISBEHAVIOURS, SOAK_VERSIONS, type SoakEngine } from "./soakEngine.js";

/** Most controllers that are killed, frozen, cut off or without a disk by chance at the same time. */
const MOST_CONTROLLERS_AWAY = 1;
/** A controller that comes back counts as away for so long, in milliseconds. */
const CATCH_UP_MS = 6_000;
/** How long a fault lasts at least and by how much longer at most, in milliseconds. */
const MIN_FAULT_MS = 300;
const FAULT_SPREAD_MS = 3_000;
/** A router learns within a second that others have spare capacity, and relays most connections a second later. */
const MIN_BUSY_MS = 3_000;
/** Fractions of time in which a busy router does something else; routers relay above 0.6. */
const BUSY_FRACTIONS = [0.7, 0.85, 0.95] as const;

export interface SoakFaultTargets {
    readonly routers: readonly SoakBox[];
    readonly controllers: readonly SoakBox[];
    readonly engines: readonly SoakEngine[];
}

/** One fault: what it does, and what ends it. */
interface Fault {
    readonly name: string;
    readonly begin: () => void;
    readonly end?: () => void;
    /** How long it lasts at least, in milliseconds, unless `MIN_FAULT_MS`. */
    readonly minMs?: number;
}

export class SoakFaults {
    /** What was done and when, for the account of a run that failed. */
    readonly story: string[] = [];
    private readonly lastAwayAt = new Map<SoakBox, number>();
    private readonly ends = new Set<() => void>();
    private readonly startedAt = performance.now();

    constructor(private readonly targets: SoakFaultTargets, private readonly random: () => number) {}

    /** Brings about faults for `ms` milliseconds, then ends those that last. */
    async run(ms: number): Promise<void> {
        const until = performance.now() + ms;
        while (performance.now() < until) {
            this.beginOne();
            await new Promise(resolve => setTimeout(resolve, 100 + this.random() * 900));
        }
        [...this.ends].forEach(end => end());
        const { routers, controllers, engines } = this.targets;
        [...routers, ...controllers].forEach(box => {
            box.signal("SIGCONT");
            box.setFaults(SOUND);
            [box.entrance, ...box.links.values()].forEach(link => link.heal());
        });
        engines.forEach(engine => {
            engine.relay.heal();
            engine.restart();
        });
    }

    private beginOne(): void {
        const fault = this.chooseFault();
        if (fault === undefined) {
            return;
        }
        const { name, begin, end, minMs = MIN_FAULT_MS } = fault;
        this.story.push(`${Math.round(performance.now() - this.startedAt)} ms ${name}`);
        begin();
        if (end !== undefined) {
            const endOnce = (): void => {
                this.ends.delete(endOnce);
                end();
            };
            this.ends.add(endOnce);
            setTimeout(() => this.ends.has(endOnce) && endOnce(), minMs + this.random() * FAULT_SPREAD_MS);
        }
    }

    private chooseFault(): Fault | undefined {
        const kind = this.random();
        if (kind < 0.3) {
            return this.createEngineFault(this.pick(this.targets.engines));
        }
        if (kind < 0.55) {
            return this.createBoxFault(this.pick(this.targets.routers));
        }
        if (kind < 0.7) {
            return this.createBusyFault(this.pick(this.targets.routers));
        }
        if (kind < 0.74) {
            return this.createKillAll();
        }
        const controller = this.pick(this.targets.controllers);
        return this.mayGo(controller) ? this.createControllerFault(controller) : undefined;
    }

    private createEngineFault(engine: SoakEngine): Fault {
        const name = engine.getId();
        const { relay } = engine;
        return this.pick<Fault>([
            { name: `${name} crashes`, begin: () => engine.crash(), end: () => engine.restart() },
            { name: `${name} is reset`, begin: () => relay.reset() },
            { name: `${name} goes silent on open connections`, begin: () => relay.mute() },
            { name: `${name} is cut off`, begin: () => relay.cutSilently(), end: () => relay.heal() },
            { name: `${name} does not answer`, begin: () => relay.cutSilently("back"), end: () => relay.heal() },
            this.createRelease(engine),
            this.createMisbehaviour(engine),
            this.createMisbehaviour(engine),
            { name: `${name} is far away`, begin: () => relay.delay(60), end: () => relay.delay(0) },
        ]);
    }

    private createRelease(engine: SoakEngine): Fault {
        const version = this.pick(SOAK_VERSIONS);
        return { name: `${engine.getId()} is replaced by version ${version}`, begin: () => engine.release(version) };
    }

    private createMisbehaviour(engine: SoakEngine): Fault {
        const misbehaviour = this.pick(MISBEHAVIOURS);
        return {
            name: `${engine.getId()} misbehaves: ${misbehaviour}`,
            begin: () => engine.setMisbehaviour(misbehaviour),
            end: () => engine.setMisbehaviour(undefined),
        };
    }

    private createControllerFault(box: SoakBox): Fault {
        const { name } = box.options;
        this.lastAwayAt.set(box, performance.now());
        return this.pick<Fault>([
            { name: `${name} loses its disk`, begin: () => box.loseDisk() },
            {
                name: `${name}'s disk stalls`,
                begin: () => box.setFaults({ disk: "stall" }),
                end: () => this.returnBox(box, () => box.setFaults({ disk: "sound" })),
            },
            {
                name: `${name}'s disk is full`,
                begin: () => box.setFaults({ disk: "refuse" }),
                end: () => this.returnBox(box, () => box.setFaults({ disk: "sound" })),
            },
            this.createBoxFault(box),
            this.createBoxFault(box),
            this.createBoxFault(box),
        ]);
    }

    private createBoxFault(box: SoakBox): Fault {
        const { name } = box.options;
        const links = [...box.links.values()];
        const clockMs = Math.round((this.random() - 0.5) * 20_000);
        const heal = (): void => links.forEach(link => link.heal());
        return this.pick<Fault>([
            { name: `${name} is killed`, begin: () => box.signal("SIGKILL") },
            { name: `${name} is stopped`, begin: () => box.signal("SIGTERM") },
            {
                name: `${name} is frozen`,
                begin: () => box.signal("SIGSTOP"),
                end: () => this.returnBox(box, () => box.signal("SIGCONT")),
            },
            { name: `${name} is told of changed settings`, begin: () => box.signal("SIGHUP") },
            { name: `${name}'s clock steps by ${clockMs} ms`, begin: () => box.setFaults({ clockMs }) },
            {
                name: `${name} reaches nobody`,
                begin: () => links.forEach(link => link.cutSilently()),
                end: () => this.returnBox(box, heal),
            },
            {
                name: `${name} hears nobody`,
                begin: () => links.forEach(link => link.cutSilently("back")),
                end: () => this.returnBox(box, heal),
            },
            { name: `${name}'s links are reset`, begin: () => links.forEach(link => link.reset()) },
            { name: `${name}'s links go silent`, begin: () => links.forEach(link => link.mute()) },
            {
                name: `${name}'s links are slow`,
                begin: () => links.forEach(link => link.delay(80)),
                end: () => links.forEach(link => link.delay(0)),
            },
            { name: `${name}'s callers are reset`, begin: () => box.entrance.reset() },
        ]);
    }

    /** The router is short of CPU time. */
    private createBusyFault(box: SoakBox): Fault {
        const busyFraction = this.pick(BUSY_FRACTIONS);
        return {
            name: `${box.options.name} is busy for ${busyFraction} of the time`,
            begin: () => box.setFaults({ busyFraction }),
            end: () => box.setFaults({ busyFraction: 0 }),
            minMs: MIN_BUSY_MS,
        };
    }

    /** Every process at once; the disks stay. */
    private createKillAll(): Fault {
        const { routers, controllers } = this.targets;
        return {
            name: "everything is killed",
            begin: () => [...routers, ...controllers].forEach(box => box.signal("SIGKILL")),
        };
    }

    private returnBox(box: SoakBox, end: () => void): void {
        this.lastAwayAt.set(box, performance.now());
        end();
    }

    /** Whether a controller may go without more being away at once than the fleet bears. */
    private mayGo(controller: SoakBox): boolean {
        const now = performance.now();
        const isAway = (box: SoakBox): boolean =>
            !box.isRunning() || now - (this.lastAwayAt.get(box) ?? -Infinity) < CATCH_UP_MS;
        return this.targets.controllers.filter(box => box !== controller && isAway(box)).length < MOST_CONTROLLERS_AWAY;
    }

    private pick<T>(of: readonly T[]): T {
        return of[Math.floor(this.random() * of.length)]!;
    }
}

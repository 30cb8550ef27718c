/**
 * Runs processes of a simulation in one thread and in virtual time: the order of events depends on the seed alone, not on the load of
 * the machine. A process can be paused, as by SIGSTOP, and killed.
 */
import { AsyncLocalStorage } from "node:async_hooks";
import { Clock } from "../../src/ports/clock.js";

/** Fraction of a millisecond between two readings of the clock, so that no two are equal. */
const READING_STEP_MS = 1e-6;

interface VirtualTimer {
    readonly at: number;
    readonly run: () => void;
    readonly owner: VirtualProcess | undefined;
    isCancelled: boolean;
}

export class VirtualProcess {
    isKilled = false;
    private isPaused = false;
    private held: (() => void)[] = [];

    isRunning(): boolean {
        return !this.isKilled && !this.isPaused;
    }

    /** Runs `action` now, once the process goes on, or never if it is killed. */
    dispatch(action: () => void): void {
        if (this.isKilled) {
            return;
        }
        if (this.isPaused) {
            this.held.push(action);
            return;
        }
        action();
    }

    waitRunning(): Promise<void> {
        return new Promise(resolve => this.dispatch(resolve));
    }

    pause(): void {
        this.isPaused = true;
    }

    resume(): void {
        this.isPaused = false;
        const held = this.held;
        this.held = [];
        held.forEach(action => action());
    }

    kill(): void {
        this.isKilled = true;
        this.held = [];
    }
}

/** Replaces `setTimeout` and `clearTimeout` of this Node.js process between `enable` and `release`. */
export class VirtualTime extends Clock {
    private now = 1_000;
    private readings = 0;
    /** By time, and by order of creation at the same time. */
    private timers: VirtualTimer[] = [];
    private readonly owners = new AsyncLocalStorage<VirtualProcess | undefined>();
    private readonly realSetTimeout = globalThis.setTimeout;
    private readonly realClearTimeout = globalThis.clearTimeout;

    override getMonotonicMs(): number {
        this.readings += 1;
        return this.now + this.readings * READING_STEP_MS;
    }
    override getWallMs(): number {
        return 1e12 + Math.floor(this.now);
    }
    override wait(ms: number): Promise<void> {
        return new Promise(resolve => setTimeout(resolve, ms));
    }

    enable(): void {
        globalThis.setTimeout = ((run: () => void, ms = 0) => this.addTimer(run, ms)) as unknown as typeof setTimeout;
        globalThis.clearTimeout = ((timer: VirtualTimer | undefined) => {
            if (timer !== undefined && "isCancelled" in timer) {
                timer.isCancelled = true;
            }
            else {
                this.realClearTimeout(timer);
            }
        }) as typeof clearTimeout;
    }

    release(): void {
        globalThis.setTimeout = this.realSetTimeout;
        globalThis.clearTimeout = this.realClearTimeout;
        this.timers = [];
    }

    /** Runs `action` and all that follows from it as a part of `process`. */
    runIn<T>(process: VirtualProcess | undefined, action: () => T): T {
        return this.owners.run(process, action);
    }

    /** Lets time pass until `isDone`; `observe` is called after each moment at which something happened. */
    async run(isDone: () => boolean, observe: () => void): Promise<void> {
        await settleTurn();
        while (!isDone()) {
            const first = this.timers[0];
            if (first === undefined) {
                throw new Error("nothing is left that could happen");
            }
            this.now = first.at;
            this.readings = 0;
            while (this.timers[0] !== undefined && this.timers[0].at <= this.now) {
                this.runTimer(this.timers.shift()!);
            }
            await settleTurn();
            observe();
        }
    }

    private addTimer(run: () => void, ms: number): VirtualTimer {
        const at = this.now + Math.max(1, Math.ceil(ms));
        const timer = { at, run, owner: this.owners.getStore(), isCancelled: false };
        let position = this.timers.length;
        while (position > 0 && this.timers[position - 1]!.at > at) {
            position -= 1;
        }
        this.timers.splice(position, 0, timer);
        return timer;
    }

    private runTimer(timer: VirtualTimer): void {
        const run = (): void => {
            if (!timer.isCancelled) {
                this.runIn(timer.owner, timer.run);
            }
        };
        if (timer.owner === undefined) {
            run();
        }
        else {
            timer.owner.dispatch(run);
        }
    }
}

/** Lets everything run that waits for settled promises only. */
function settleTurn(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

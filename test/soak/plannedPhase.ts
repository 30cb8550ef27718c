/**
 * Planned work alone: routers are stopped in series and at once, told of changed settings and given new configurations, while some of
 * them relay connections. No answer may be lost, as the rule LOST has it.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { LossAudit } from "../tools/lossAudit.js";
import { wait, waitUntil } from "../tools/waiting.js";
import { type CallerHabits, isRouterReady, KeptCallers, ReadinessProbes } from "./keptCallers.js";
import { GRACE_MS, RELAY_PORT, type SoakBox } from "./soakBox.js";
import type { SoakCallers } from "./soakCallers.js";
import type { RunBook } from "./soakEngine.js";
import type { SoakOperator } from "./soakOperator.js";

const HABITS: CallerHabits = {
    count: 30,
    openingMs: 5_000,
    maxLongPauseMs: 7_000,
    maxSilenceMs: 3_000,
    areSlow: false,
};
/** Time from the last disruption until planned work is judged, and from when a router is busy until it relays connections. */
const CALM_MS = 3_500;
/** Time in which stops begin; the last one ends up to a grace period later. */
const STOPPING_MS = 8_000;
const BUSY_FRACTIONS = [0.7, 0.85, 0.95] as const;
const MIN_STOP_GAP_MS = 1_000;
const STOP_GAP_SPREAD_MS = 7_000;
const MAX_IDLE_BEFORE_STOP_MS = 1_000;
const TOGETHER_FRACTION = 0.3;
const SETTINGS_PERIOD_MS = 700;
const BUNDLE_PERIOD_MS = 2_000;
/** Bounds that the platform sets: `config_ms` and `loss_slack_ms`. */
const CONFIG_MS = 2_000;
const LOSS_SLACK_MS = 200;

export interface PlannedPhaseTargets {
    readonly routers: readonly SoakBox[];
    readonly operator: SoakOperator;
    readonly callers: SoakCallers;
    readonly book: RunBook;
}

/** Returns the answers that were lost and the stops that failed, one line each. Adds to `story` what was done. */
export async function playPlannedPhase(targets: PlannedPhaseTargets, seed: number, story: string[]): Promise<string[]> {
    const { routers, callers, book } = targets;
    const losses = new LossAudit({
        graceMs: GRACE_MS,
        settingsMs: CONFIG_MS,
        bundleMs: CONFIG_MS,
        lossSlackMs: LOSS_SLACK_MS,
    });
    book.losses = losses;
    const probes = new ReadinessProbes(routers);
    const keptCallers = new KeptCallers(HABITS, routers, probes, callers, losses, createRandom(seed));
    const work = new PlannedWork(targets, losses, createRandom(seed), story);
    try {
        await work.run();
    }
    finally {
        await keptCallers.stop();
        await probes.stop();
    }
    return [...work.faults, ...losses.listLosses()];
}

export function createRandom(seed: number): () => number {
    // Seeds near each other begin alike.
    const generator = xoroshiro128plus(seed * 0x9e3779b1);
    return () => (generator.next() >>> 0) / 2 ** 32;
}

class PlannedWork {
    readonly faults: string[] = [];
    /** Routers from the signal until they serve again. */
    private readonly away = new Set<SoakBox>();
    /** Processes that do not handle signals yet. */
    private readonly starting = new Set<SoakBox>();
    private readonly startedAt = performance.now();
    private busy: SoakBox | undefined;
    private running = true;

    constructor(
        private readonly targets: PlannedPhaseTargets,
        private readonly losses: LossAudit,
        private readonly random: () => number,
        private readonly story: string[],
    ) {}

    async run(): Promise<void> {
        const { routers } = this.targets;
        routers.forEach(router => router.setFaults({ directPort: RELAY_PORT }));
        this.keepOneBusy();
        await wait(CALM_MS);
        const others = [this.runSettingsChanges(), this.runBundles()];
        try {
            await this.runStops();
        }
        finally {
            this.running = false;
            await Promise.all(others);
        }
        routers.forEach(router => router.setFaults({ busyFraction: 0, directPort: undefined }));
    }

    private async runStops(): Promise<void> {
        const until = performance.now() + STOPPING_MS;
        const stops: Promise<void>[] = [];
        while (performance.now() < until) {
            const count = this.random() < TOGETHER_FRACTION ? 2 : 1;
            stops.push(...await this.beginStops(count));
            this.keepOneBusy();
            // Most stops overlap.
            await wait(MIN_STOP_GAP_MS + this.random() ** 2 * STOP_GAP_SPREAD_MS);
        }
        await Promise.all(stops);
    }

    /** Stops the busy router, which relays, first, or shortly after it was busy. One router stays. */
    private async beginStops(count: number): Promise<Promise<void>[]> {
        const { busy } = this;
        const isStillBusy = this.random() < 0.5;
        const idleMs = this.random() * MAX_IDLE_BEFORE_STOP_MS;
        if (busy !== undefined && !isStillBusy) {
            busy.setFaults({ busyFraction: 0 });
            await wait(idleMs);
        }
        const present = this.listPresent().sort((one, other) => Number(other === busy) - Number(one === busy));
        return present.slice(0, Math.min(count, present.length - 1)).map(router => this.stopRouter(router));
    }

    private async stopRouter(router: SoakBox): Promise<void> {
        const { name } = router.options;
        const codeCount = router.stopCodes.length;
        const toldAt = performance.now();
        this.away.add(router);
        this.losses.recordStop(name, toldAt);
        this.note(`${name} is stopped`);
        router.signal("SIGTERM");
        await waitUntil(`${name} to stop`, () => router.stopCodes.length > codeCount);
        const code = router.stopCodes.at(-1);
        const stopMs = Math.round(performance.now() - toldAt);
        if (code !== 0 || stopMs > GRACE_MS) {
            this.faults.push(`the planned stop of ${name} took ${stopMs} ms and ended with code ${code}`);
        }
        this.starting.add(router);
        router.setFaults({ busyFraction: 0 });
        await waitUntil(`${name} to be ready again`, () => isRouterReady(router));
        this.starting.delete(router);
        this.away.delete(router);
    }

    private keepOneBusy(): void {
        const present = this.listPresent();
        if (this.busy === undefined || !present.includes(this.busy)) {
            this.busy = this.pick(present);
            const busyFraction = this.pick(BUSY_FRACTIONS);
            this.note(`${this.busy.options.name} is busy for ${busyFraction} of the time`);
            this.busy.setFaults({ busyFraction });
        }
    }

    private async runSettingsChanges(): Promise<void> {
        while (this.running) {
            const router = this.pick(this.targets.routers.filter(router => !this.starting.has(router)));
            this.losses.recordSettingsChange(router.options.name, performance.now());
            router.signal("SIGHUP");
            await wait(SETTINGS_PERIOD_MS);
        }
    }

    private async runBundles(): Promise<void> {
        while (this.running) {
            const sentAt = performance.now();
            await this.targets.operator.putNext();
            this.losses.recordBundle(sentAt, performance.now());
            await wait(BUNDLE_PERIOD_MS);
        }
    }

    private listPresent(): SoakBox[] {
        return this.targets.routers.filter(router => !this.away.has(router));
    }

    private note(what: string): void {
        this.story.push(`planned ${Math.round(performance.now() - this.startedAt)} ms ${what}`);
    }

    private pick<T>(of: readonly T[]): T {
        return of[Math.floor(this.random() * of.length)]!;
    }
}

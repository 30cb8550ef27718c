/**
 * The loss of serving routers: one router is busy, so that it relays its callers' connections, and is left alone; the others are killed
 * and paused, in series and overlapping. What its callers get does not depend on the life of the others.
 */
import { wait, waitUntil } from "../tools/waiting.js";
import { type AnswerAudit, type CallerHabits, isRouterReady, KeptCallers } from "./keptCallers.js";
import { createRandom, type PlannedPhaseTargets } from "./plannedPhase.js";
import { RELAY_PORT, RESTART_MS, type SoakBox } from "./soakBox.js";
import type { RunBook } from "./soakEngine.js";

const HABITS: CallerHabits = {
    count: 24,
    openingMs: 1_000,
    maxLongPauseMs: 1_500,
    maxSilenceMs: 1_500,
    areSlow: true,
};
/** Relays connections, and closes new ones unread only while its event loop lags. */
const BUSY_FRACTION = 0.8;
/** Time from when a router is busy until it relays connections. */
const BUSY_MS = 2_000;
/** Time in which routers are killed and paused. Pauses end with it. */
const LOSING_MS = 4_500;
const MAX_GAP_MS = 1_000;
const KILLED_FRACTION = 0.5;
/** Of the routers that are killed, the part that is paused before. */
const PAUSED_FIRST_FRACTION = 0.4;
const MIN_PAUSE_MS = 500;
const PAUSE_SPREAD_MS = 3_500;
/** Silence after which a link between routers is closed. */
const LONG_PAUSE_MS = 2_000;
const SETTINGS_PERIOD_MS = 700;
const BUNDLE_PERIOD_MS = 1_500;
/** A connection that closes up to this time after the last byte was sent may have crossed the request (`loss_slack_ms`). */
const LOSS_SLACK_MS = 200;

/** Returns the answers that were lost, one line each. Adds to `story` what was done. */
export async function playLostRouters(targets: PlannedPhaseTargets, seed: number, story: string[]): Promise<string[]> {
    const { routers, operator, callers, book } = targets;
    const random = createRandom(-seed);
    const busy = routers[Math.floor(random() * routers.length)]!;
    const audit = new LostAnswerAudit();
    const startedAt = performance.now();
    const note = (what: string): void =>
        void story.push(`lost ${Math.round(performance.now() - startedAt)} ms ${what}`);
    const losses = routers.filter(router => router !== busy)
        .map(router => new RouterLosses(router, audit, createRandom(Math.floor(random() * 2 ** 32)), note));
    routers.forEach(router => router.setFaults({ directPort: RELAY_PORT }));
    note(`${busy.options.name} is busy for ${BUSY_FRACTION} of the time`);
    busy.setFaults({ busyFraction: BUSY_FRACTION });
    await wait(BUSY_MS);
    const keptCallers = new KeptCallers(HABITS, routers, { listReady: () => [busy] }, callers, audit, random);
    await wait(HABITS.openingMs);
    const until = performance.now() + LOSING_MS;
    try {
        await Promise.all([
            ...losses.flatMap(loss => [loss.run(until), loss.runSettingsChanges(until)]),
            runRepeatedly(until, BUNDLE_PERIOD_MS, () => operator.putNext()),
        ]);
    }
    finally {
        await keptCallers.stop();
    }
    routers.forEach(router => router.setFaults({ busyFraction: 0, directPort: undefined }));
    return audit.listBroken(book);
}

async function runRepeatedly(until: number, periodMs: number, run: () => unknown): Promise<void> {
    for (; performance.now() < until; await wait(periodMs)) {
        await run();
    }
}

/** Kills and pauses one router, again and again. */
class RouterLosses {
    /** Processes that start do not handle signals yet. */
    private isStarting = false;

    constructor(
        private readonly router: SoakBox,
        private readonly audit: LostAnswerAudit,
        private readonly random: () => number,
        private readonly note: (what: string) => void,
    ) {}

    async run(until: number): Promise<void> {
        const { random } = this;
        for (;;) {
            await wait(random() * MAX_GAP_MS);
            const isKilled = random() < KILLED_FRACTION;
            const isPaused = !isKilled || random() < PAUSED_FIRST_FRACTION;
            const pauseMs = isPaused ? MIN_PAUSE_MS + random() * PAUSE_SPREAD_MS : 0;
            const restMs = until - performance.now();
            if (restMs <= 0) {
                return;
            }
            await this.pause(Math.min(pauseMs, restMs), isKilled);
        }
    }

    runSettingsChanges(until: number): Promise<void> {
        return runRepeatedly(until, SETTINGS_PERIOD_MS, () => this.isStarting || this.router.signal("SIGHUP"));
    }

    private async pause(ms: number, isKilled: boolean): Promise<void> {
        const { router, audit } = this;
        const { name } = router.options;
        this.note(`${name} is paused for ${Math.round(ms)} ms${isKilled ? ", then killed" : ""}`);
        const from = performance.now();
        router.signal("SIGSTOP");
        await wait(ms);
        router.signal(isKilled ? "SIGKILL" : "SIGCONT");
        const to = performance.now();
        if (to - from >= LONG_PAUSE_MS) {
            audit.recordLoss(from, to);
        }
        if (isKilled) {
            audit.recordLoss(to, to);
            this.isStarting = true;
            await wait(RESTART_MS);
            await waitUntil(`${name} to be ready again`, () => isRouterReady(router));
            this.isStarting = false;
        }
    }
}

/** Judges the answers of a router that was not touched. Monotonic clock, milliseconds. */
class LostAnswerAudit implements AnswerAudit {
    private readonly sentAts = new Map<string, number>();
    private readonly cuts: {
        id: string;
        sentAt: number;
        endedAt: number;
        cause?: string | undefined;
        hasBegun: boolean;
    }[] = [];
    private readonly losses: { from: number; to: number; }[] = [];

    recordSent(id: string, _: string, at: number): void {
        this.sentAts.set(id, at);
    }

    /** Ignored for a request that was not sent whole. */
    recordAnswerEnd(id: string, endedAt: number, isWhole: boolean, cause: string | undefined, hasBegun: boolean): void {
        const sentAt = this.sentAts.get(id);
        if (sentAt !== undefined && !isWhole) {
            this.cuts.push({ id, sentAt, endedAt, cause, hasBegun });
        }
    }

    /** Records that a router was killed, or paused for long: answers that it had begun may break off. */
    recordLoss(from: number, to: number): void {
        this.losses.push({ from, to });
    }

    listBroken(book: RunBook): string[] {
        return this.cuts.flatMap(({ id, sentAt, endedAt, cause, hasBegun }) => {
            const tookMs = Math.round(endedAt - sentAt);
            const runs = book.countRuns(id);
            const isExcused = hasBegun
                ? this.losses.some(({ from, to }) => from <= endedAt && to >= sentAt)
                : tookMs <= LOSS_SLACK_MS && runs === 0;
            const what = hasBegun ? "was cut off beside no loss" : "got no answer";
            return isExcused ? [] : [`${id} of an untouched router ${what}: ${tookMs} ms, ${runs} runs, ${cause}`];
        });
    }
}

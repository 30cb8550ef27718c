/**
 * Upstreams of the plain service fail, shed, are slow, reset and hang, while routers restart one after the other and all at once. What
 * arrives at upstreams stays within the limits of all routers together.
 */
import { wait } from "../tools/waiting.js";
import type { SoakBox } from "./soakBox.js";
import type { SoakCallers } from "./soakCallers.js";
import type { Misbehaviour, RunBook, SoakEngine } from "./soakEngine.js";

const SERVICE = "plain";
const LOOKUP_PATH = "/l/limits";
const SERIES_PERIOD_MS = 400;
const TOGETHER_PERIOD_MS = 2_500;
/** Time in which late resends of a play reach their upstreams. */
const SETTLE_MS = 3_000;

/** Lookups that are sent to each router at once, and the pause after them. */
interface Burst {
    readonly count: number;
    readonly pauseMs: number;
}

interface LimitPlay {
    readonly misbehaviour: Misbehaviour;
    readonly restarts: "series" | "together" | "none";
    /** Sent in turn, again and again. */
    readonly bursts: readonly Burst[];
    readonly durationMs: number;
}

const STEADY: readonly Burst[] = [{ count: 1, pauseMs: 100 }];
/** The second one waits for the connections that the first one uses, and resends of the first one wait behind it. */
const OVERLAPPING: readonly Burst[] = [{ count: 14, pauseMs: 600 }, { count: 16, pauseMs: 1_800 }];

const PLAYS: readonly LimitPlay[] = [
    { misbehaviour: "fail", restarts: "series", bursts: [{ count: 1, pauseMs: 65 }], durationMs: 10_000 },
    { misbehaviour: "shed", restarts: "together", bursts: STEADY, durationMs: 5_000 },
    { misbehaviour: "slow", restarts: "none", bursts: OVERLAPPING, durationMs: 9_500 },
    { misbehaviour: "reset", restarts: "together", bursts: STEADY, durationMs: 4_000 },
    { misbehaviour: "hang", restarts: "none", bursts: STEADY, durationMs: 6_000 },
];

/** Answers the limits that were exceeded. `engines`: of the plain service. */
export async function checkSharedLimits(
    callers: SoakCallers,
    book: RunBook,
    routers: readonly SoakBox[],
    engines: readonly SoakEngine[],
): Promise<string[]> {
    const broken: string[] = [];
    for (const play of PLAYS) {
        const audit = book.startAudit();
        engines.forEach(engine => engine.setMisbehaviour(play.misbehaviour));
        const until = performance.now() + play.durationMs;
        await Promise.all([
            sendLookups(callers, routers.length, play, until),
            restartRouters(routers, play, until),
        ]);
        engines.forEach(engine => engine.setMisbehaviour(undefined));
        await wait(SETTLE_MS);
        broken.push(...audit.listBroken([SERVICE]).map(line => `${play.misbehaviour}, ${play.restarts}: ${line}`));
    }
    return broken;
}

async function sendLookups(
    callers: SoakCallers,
    routerCount: number,
    { misbehaviour, bursts }: LimitPlay,
    until: number,
): Promise<void> {
    const lookups: Promise<unknown>[] = [];
    for (let i = 0; performance.now() < until; i++) {
        const { count, pauseMs } = bursts[i % bursts.length]!;
        for (let sent = 0; sent < count * routerCount; sent++) {
            lookups.push(callers.sendLookup(`limit-${misbehaviour}-${i}-${sent}`, sent % routerCount, LOOKUP_PATH));
        }
        await wait(pauseMs);
    }
    await Promise.all(lookups);
}

/** A process that ends is started again by its box. */
async function restartRouters(routers: readonly SoakBox[], { restarts }: LimitPlay, until: number): Promise<void> {
    if (restarts === "none") {
        return;
    }
    const periodMs = restarts === "series" ? SERIES_PERIOD_MS : TOGETHER_PERIOD_MS;
    for (let i = 0; performance.now() + periodMs < until; i++) {
        await wait(periodMs);
        const ended = restarts === "series" ? [routers[i % routers.length]!] : routers;
        ended.forEach(router => router.signal("SIGKILL"));
    }
}

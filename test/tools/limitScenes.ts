/** Scenes in which upstreams of a plain service fail while routers, as separate processes, start and end. */
import { ConstantRateCallers, FailingEngine } from "./failingEngines.js";
import type { Behaviour, CallerAnswer, ChooseBehaviour } from "./failingEngines.js";
import { BusyProcesses, ProcessFleet } from "./processFleet.js";
import { UpstreamAudit } from "./upstreamAudit.js";
import { wait } from "./waiting.js";
import { createWireBundle } from "./wireBundle.js";

export const SCENE_LIMITS = { retryRatio: 0.2, retrySlack: 52, windowMs: 10_000 } as const;
const CONTROLLERS = 3;
const SERVICE = "plain";
const LOOKUP_PATH = "/l/x";
const DEADLY_PATH = "/c/deadly";
const ENGINE_RESTART_MS = 2_000;
/** Routers learn of upstreams through the controllers' answers to their polls. */
const SETTLE_MS = 3_000;

export interface LimitScene {
    readonly name: string;
    readonly routers: number;
    readonly engines: number;
    readonly perSecond: number;
    /** How long requests come before upstreams misbehave, and how long they do then. */
    readonly calmMs: number;
    readonly failingMs: number;
    readonly deadlineMs?: number;
    readonly behave: ChooseBehaviour;
    readonly resetsConnections?: boolean;
    /** Requests a second that end each upstream that runs them, all with the same content. */
    readonly deadlyPerSecond?: number;
    /** Runs while upstreams misbehave, until `isOver`. */
    readonly disturb?: (fleet: ProcessFleet, isOver: () => boolean) => Promise<void>;
    /** Processes beside the fleet that use all CPU time they get. */
    readonly busyProcesses?: number;
}

export interface SceneResult {
    readonly audit: UpstreamAudit;
    readonly service: string;
    /** Answers to requests that were sent while upstreams misbehaved. */
    readonly failingAnswers: readonly CallerAnswer[];
    readonly broken: readonly string[];
    readonly logFolder: string;
}

const FAIL_AT_ONCE: Behaviour = { type: "fail", afterMs: 2 };

/** Restarts one router after the other. */
export function restartInSeries(periodMs: number, signal: NodeJS.Signals = "SIGKILL") {
    return async (fleet: ProcessFleet, isOver: () => boolean): Promise<void> => {
        const routers = fleet.listRouters();
        const restarts: Promise<void>[] = [];
        for (let i = 0; !isOver(); i++) {
            restarts.push(fleet.restartBox(routers[i % routers.length]!, signal).catch(() => undefined));
            await wait(periodMs);
        }
        await Promise.all(restarts);
    };
}

/** Restarts all routers at the same time. */
export function restartTogether(periodMs: number) {
    return async (fleet: ProcessFleet, isOver: () => boolean): Promise<void> => {
        while (!isOver()) {
            await wait(periodMs);
            await Promise.all(fleet.listRouters().map(box => fleet.restartBox(box)));
        }
    };
}

const PLAIN: Omit<LimitScene, "name"> = {
    routers: 6,
    engines: 6,
    perSecond: 55,
    calmMs: 4_000,
    failingMs: 15_000,
    behave: () => FAIL_AT_ONCE,
};

const FEW_REQUESTS: Omit<LimitScene, "name"> = { ...PLAIN, routers: 30, perSecond: 15, calmMs: 12_000 };

export const LIMIT_SCENES: readonly LimitScene[] = [
    { ...PLAIN, name: "fail" },
    { ...PLAIN, name: "shed", behave: () => ({ type: "shed" }) },
    { ...PLAIN, name: "shed with a backoff", behave: () => ({ type: "shed", backoffMs: 2_000 }) },
    { ...PLAIN, name: "misdirect", behave: () => ({ type: "misdirect" }) },
    { ...PLAIN, name: "reset", behave: () => ({ type: "reset" }) },
    { ...PLAIN, name: "reset as connections are accepted", resetsConnections: true },
    { ...PLAIN, name: "hang", behave: () => ({ type: "hang" }) },
    {
        ...PLAIN,
        name: "one in ten serves",
        behave: (_, count) => count % 10 === 0 ? { type: "serve", afterMs: 5 } : FAIL_AT_ONCE,
    },
    {
        ...PLAIN,
        name: "one in ten fails",
        behave: (_, count) => count % 10 === 0 ? FAIL_AT_ONCE : { type: "serve", afterMs: 5 },
    },
    {
        ...FEW_REQUESTS,
        name: "one in ten fails, few requests at each router",
        behave: (_, count) => count % 10 === 0 ? FAIL_AT_ONCE : { type: "serve", afterMs: 5 },
    },
    {
        ...FEW_REQUESTS,
        name: "one in ten is reset, few requests at each router",
        behave: (_, count) => count % 10 === 0 ? { type: "reset" } : { type: "serve", afterMs: 5 },
    },
    {
        ...FEW_REQUESTS,
        name: "one in ten is shed, few requests at each router",
        behave: (_, count) => count % 10 === 0 ? { type: "shed" } : { type: "serve", afterMs: 5 },
    },
    {
        ...PLAIN,
        name: "upstreams end",
        behave: (_, count) => count % 80 === 0 ? { type: "end", isByRequest: false } : { type: "serve", afterMs: 50 },
    },
    {
        ...PLAIN,
        name: "a request ends upstreams",
        engines: 3,
        deadlyPerSecond: 4,
        behave: (_engine, _count, { url }) =>
            url === DEADLY_PATH ? { type: "end", isByRequest: true } : { type: "serve", afterMs: 10 },
    },
    { ...PLAIN, name: "fail, routers restart in series", routers: 4, disturb: restartInSeries(250) },
    { ...PLAIN, name: "fail, routers restart in slow series", disturb: restartInSeries(1_200) },
    {
        ...PLAIN,
        name: "fail, routers stop as planned in series",
        routers: 4,
        disturb: restartInSeries(1_000, "SIGTERM"),
    },
    { ...PLAIN, name: "fail, all routers restart", routers: 16, disturb: restartTogether(3_500) },
    { ...PLAIN, name: "fail, many routers", routers: 70, perSecond: 7, calmMs: 20_000 },
    {
        ...PLAIN,
        name: "slow",
        routers: 4,
        perSecond: 150,
        deadlineMs: 3_000,
        behave: (_, count) => count % 10 < 6 ? { type: "fail", afterMs: 700 } : { type: "serve", afterMs: 1_500 },
    },
];

export function getScene(name: string): LimitScene {
    const scene = LIMIT_SCENES.find(other => other.name === name);
    if (scene === undefined) {
        throw new Error(`no scene "${name}"`);
    }
    return scene;
}

export async function playLimitScene(scene: LimitScene, network: number, keepsLogs = false): Promise<SceneResult> {
    const fleet = new ProcessFleet({ ...SCENE_LIMITS, network, controllers: CONTROLLERS, routers: scene.routers });
    const audit = new UpstreamAudit(SCENE_LIMITS);
    const engines = Array.from(
        { length: scene.engines },
        (_, i) => new FailingEngine(fleet, i + 1, SERVICE, audit, ENGINE_RESTART_MS),
    );
    const callers = new ConstantRateCallers(fleet, audit, "q");
    const deadlyCallers = new ConstantRateCallers(fleet, audit, "d");
    let busy: BusyProcesses | undefined;
    try {
        await fleet.start(createWireBundle(1));
        await Promise.all(engines.map(engine => engine.start()));
        await wait(SETTLE_MS);
        busy = new BusyProcesses(scene.busyProcesses ?? 0);
        const load = {
            service: SERVICE,
            path: LOOKUP_PATH,
            perSecond: scene.perSecond,
            deadlineMs: scene.deadlineMs ?? 4_000,
            maxAttempts: 2,
        };
        await callers.run(load, scene.calmMs);
        engines.forEach(engine => {
            engine.behave = scene.behave;
            engine.resetsConnections = scene.resetsConnections ?? false;
        });
        const failingFrom = performance.now();
        const isOver = () => performance.now() > failingFrom + scene.failingMs;
        const deadly = {
            ...load,
            path: DEADLY_PATH,
            perSecond: scene.deadlyPerSecond ?? 0,
            maxAttempts: 1,
            body: "deadly",
        };
        await Promise.all([
            callers.run(load, scene.failingMs),
            scene.deadlyPerSecond === undefined ? undefined : deadlyCallers.run(deadly, scene.failingMs),
            scene.disturb?.(fleet, isOver),
        ]);
        return {
            audit,
            service: SERVICE,
            failingAnswers: callers.answers.filter(({ sentAt }) => sentAt >= failingFrom),
            broken: audit.listBroken([SERVICE]),
            logFolder: fleet.folder,
        };
    }
    finally {
        await busy?.stop();
        engines.forEach(engine => engine.stop());
        await Promise.all([callers.close(), deadlyCallers.close()]);
        await fleet.close(keepsLogs);
    }
}

/** Formats what a scene showed, in one line. */
export function formatSceneResult({ audit, service, failingAnswers, broken }: SceneResult): string {
    const { repeats, allowed } = audit.findRepeatPeak(service);
    const statuses: Record<string, number> = {};
    failingAnswers.forEach(({ status }) => statuses[status ?? "none"] = (statuses[status ?? "none"] ?? 0) + 1);
    return [
        `repeats ${repeats} of ${Math.floor(allowed)}, ${audit.countRepeats(service)} in all`,
        `deadlines ${JSON.stringify(audit.findDeadlineOverruns())}`,
        `too many upstreams ${audit.countAtTooManyUpstreams()}`,
        `in a backoff ${audit.findMostInBackoff()}`,
        `ends ${audit.countEnds()}`,
        `answers ${JSON.stringify(statuses)}`,
        broken.length === 0 ? "kept" : `BROKEN: ${broken.join("; ")}`,
    ].join(", ");
}

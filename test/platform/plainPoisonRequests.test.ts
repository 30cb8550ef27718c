/**
 * A request to a plain service that crashes its upstream before an answer begins. All routers together must stop sending it after
 * a few crashes and go on serving other requests, although an upstream is a third of the capacity.
 */
import t from "tap";
import { request } from "undici";
import { CrashingEngine, POISON_BODY } from "../tools/crashingEngine.js";
import { DirectFleet } from "../tools/directFleet.js";
import { wait, waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const NETWORK = 131;
const CONTROLLERS = ["c1", "c2", "c3"];
const ROUTERS = ["r1", "r2", "r3"];
const ENGINES = 3;
const RESTART_MS = 1_500;
/** Crashes after which a request counts as the cause. */
const CRASH_LIMIT = 3;
/** Runs that may follow until all routers have been notified. */
const MAX_LATER_RUNS = 3;
const POISON_PERIOD_MS = 300;
const SOUND_PERIOD_MS = 25;
const PLAY_MS = 9_000;
const UNSAFE_PATH = "/c/x";
const SAFE_PATH = "/l/x";

interface Scene {
    readonly name: string;
    readonly path: string;
    /** Pause between two crashes for other reasons. */
    readonly crashPeriodMs?: number;
    readonly meanwhile?: (fleet: DirectFleet) => Promise<void>;
}

const SCENES: readonly Scene[] = [
    { name: "not repeatable", path: UNSAFE_PATH },
    { name: "repeatable", path: SAFE_PATH },
    { name: "not repeatable, beside unrelated crashes", path: UNSAFE_PATH, crashPeriodMs: 1_400 },
    { name: "repeatable, then restarts of all controllers and of a router", path: SAFE_PATH, meanwhile: restartBoxes },
];

async function restartBoxes(fleet: DirectFleet): Promise<void> {
    await wait(PLAY_MS / 2);
    await Promise.all(CONTROLLERS.map(box => fleet.stopController(box)));
    await Promise.all(CONTROLLERS.map(box => fleet.startController(box, false)));
    await fleet.stopRouter("r3");
    await fleet.startRouter("r3");
    await waitUntil("the router is ready", () => fleet.routers.get("r3")!.role.daemon.isReady());
}

interface Answer {
    readonly isPoison: boolean;
    readonly text: string;
}

class PlainCaller {
    readonly answers: Answer[] = [];
    private lastId = 0;
    private readonly timers: NodeJS.Timeout[] = [];
    private readonly running = new Set<Promise<void>>();

    constructor(private readonly fleet: DirectFleet, private readonly path: string) {}

    /** Sends a request to each router in turn. `body`: undefined for sound requests, no two alike. */
    start(periodMs: number, body?: string): void {
        this.timers.push(setInterval(() => {
            const call = this.send(body).catch(() => undefined);
            this.running.add(call);
            void call.finally(() => this.running.delete(call));
        }, periodMs));
    }

    async stop(): Promise<void> {
        this.timers.forEach(clearInterval);
        await Promise.all(this.running);
    }

    private async send(body: string | undefined): Promise<void> {
        this.lastId += 1;
        const id = this.lastId;
        const router = ROUTERS[id % ROUTERS.length]!;
        const answer = await request(this.fleet.getCallerUrl(router, this.path), {
            method: "POST",
            headers: {
                "Host": "api.example",
                "Attempt-Id": `p${id}`,
                "Credential": "key-1",
                "Deadline-Ms": "3000",
            },
            body: body ?? `question ${id}`,
        });
        this.answers.push({ isPoison: body !== undefined, text: await answer.body.text() });
    }
}

async function playScene(scene: Scene, network: number) {
    const fleet = new DirectFleet(network);
    const engines = Array.from(
        { length: ENGINES },
        (_, i) => new CrashingEngine(fleet, `e${i}`, `r${11 + i}`, "plain", new Set(), RESTART_MS),
    );
    engines.forEach(engine => engine.isPlain = true);
    await fleet.open();
    try {
        await Promise.all(CONTROLLERS.map(box => fleet.startController(box, true)));
        await Promise.all(ROUTERS.map(box => fleet.startRouter(box)));
        await fleet.putBundle("c1", createWireBundle(1));
        await Promise.all(engines.map(engine => engine.start()));
        for (const router of ROUTERS) {
            const { registry } = fleet.routers.get(router)!.role.daemon;
            const now = () => performance.now();
            await waitUntil("upstreams", () => registry.getReady("plain", now(), Infinity).length === ENGINES);
        }
        const caller = new PlainCaller(fleet, scene.path);
        caller.start(SOUND_PERIOD_MS);
        caller.start(POISON_PERIOD_MS, POISON_BODY);
        const crashTimer = scene.crashPeriodMs === undefined
            ? undefined
            : setInterval(() => engines[Math.floor(Math.random() * ENGINES)]!.crash(), scene.crashPeriodMs);
        await Promise.all([wait(PLAY_MS), scene.meanwhile?.(fleet)]);
        clearInterval(crashTimer);
        await caller.stop();
        return { answers: caller.answers, runs: engines.reduce((sum, engine) => sum + engine.poisonRuns, 0) };
    }
    finally {
        engines.forEach(engine => engine.close());
        await fleet.close();
    }
}

for (const [i, scene] of SCENES.entries()) {
    void t.test(`a request that ends plain upstreams is not sent on after three ends: ${scene.name}`, async t => {
        const { answers, runs } = await playScene(scene, NETWORK + i);
        const isQuarantined = ({ text }: Answer) => text.includes("requestQuarantined");
        const sound = answers.filter(({ isPoison }) => !isPoison);
        const refused = sound.filter(isQuarantined).length;
        t.ok(runs <= CRASH_LIMIT + MAX_LATER_RUNS, `${runs} runs`);
        t.ok(answers.some(answer => answer.isPoison && isQuarantined(answer)), "refused as not run");
        t.equal(refused, 0, `${refused} of ${sound.length} sound requests refused`);
    });
}

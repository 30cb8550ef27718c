/**
 * A poison request, which crashes every upstream that runs it and is retried under new ids at any router. All routers together
 * must stop sending it after a few crashes and refuse it, without affecting other requests.
 */
import t from "tap";
import { request } from "undici";
import { CrashingEngine, POISON_BODY } from "../tools/crashingEngine.js";
import { DirectFleet } from "../tools/directFleet.js";
import { waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const NETWORK = 88;
const ROUTERS = ["r1", "r2", "r3"];
const ENGINES = 8;
/** Crashes after which a request counts as the cause. */
const CRASH_LIMIT = 3;
/** Runs that may follow until all routers have been notified. */
const MAX_LATER_RUNS = 3;
const TRIES = 12;
/** Delay before a caller that lost its connection retries. */
const RETRY_DELAY_MS = 150;
const fleet = new DirectFleet(NETWORK);
const engines = Array.from({ length: ENGINES }, (_, i) => new CrashingEngine(fleet, `e${i}`, `r${11 + i}`));
let lastId = 0;

interface Answer {
    readonly status: number;
    readonly text: string;
    readonly retryAfter: string | undefined;
}

/** Returns status 0 if the connection was lost. */
async function callRouter(router: string, body: string): Promise<Answer> {
    lastId += 1;
    try {
        const answer = await request(fleet.getCallerUrl(router, "/s/x"), {
            method: "POST",
            headers: {
                "Host": "api.example",
                "Attempt-Id": `a${lastId}`,
                "Credential": "key-1",
                "Deadline-Ms": "3000",
                "Token-Usage": "10,5",
            },
            body,
        });
        const retryAfter = answer.headers["retry-after"] as string | undefined;
        return { status: answer.statusCode, text: await answer.body.text(), retryAfter };
    }
    catch {
        return { status: 0, text: "", retryAfter: undefined };
    }
}

function countPoisonRuns(): number {
    return engines.reduce((sum, engine) => sum + engine.poisonRuns, 0);
}

async function waitForUpstreams(router: string): Promise<void> {
    const { registry } = fleet.routers.get(router)!.role.daemon;
    await waitUntil("upstreams known", () => registry.getReady("engines", performance.now(), Infinity).length >= 3);
}

void t.test("a request that crashes its upstreams, under any id", async t => {
    await fleet.open();
    t.teardown(async () => {
        engines.forEach(engine => engine.close());
        await fleet.close();
    });
    await Promise.all(["c1", "c2", "c3"].map(box => fleet.startController(box, true)));
    await Promise.all(ROUTERS.map(box => fleet.startRouter(box)));
    await fleet.putBundle("c1", createWireBundle(1));
    await Promise.all(engines.map(engine => engine.start()));
    await Promise.all(ROUTERS.map(waitForUpstreams));

    await t.test("is run only a few times more after three crashes, by all routers together", async t => {
        for (let i = 0; i < TRIES; i++) {
            await callRouter(ROUTERS[i % ROUTERS.length]!, POISON_BODY);
            await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
        }
        t.ok(countPoisonRuns() <= CRASH_LIMIT + MAX_LATER_RUNS, `${countPoisonRuns()} runs in ${TRIES} tries`);
    });

    await t.test("is refused as not run, without an attempt and with Retry-After", async t => {
        const runs = countPoisonRuns();
        const answers = await Promise.all(ROUTERS.map(router => callRouter(router, POISON_BODY)));
        answers.forEach(({ status, retryAfter }) => {
            t.equal(status, 503);
            t.ok(Number(retryAfter) > 1);
        });
        t.equal(countPoisonRuns(), runs);
    });

    await t.test("is refused after a restart of a router and of all controllers", async t => {
        const runs = countPoisonRuns();
        await fleet.stopRouter("r1");
        await fleet.startRouter("r1");
        await waitForUpstreams("r1");
        t.equal((await callRouter("r1", POISON_BODY)).status, 503);
        await Promise.all(["c1", "c2", "c3"].map(box => fleet.stopController(box)));
        await Promise.all(["c1", "c2", "c3"].map(box => fleet.startController(box, false)));
        await fleet.stopRouter("r2");
        await fleet.startRouter("r2");
        await waitUntil("the new router is ready", () => fleet.routers.get("r2")!.role.daemon.isReady());
        await waitForUpstreams("r2");
        t.equal((await callRouter("r2", POISON_BODY)).status, 503);
        t.equal(countPoisonRuns(), runs);
    });

    await t.test("does not cause other requests to be refused", async t => {
        const answers = await Promise.all(ROUTERS.map((router, i) => callRouter(router, `other ${i}`)));
        t.same(answers.map(({ status }) => status), [200, 200, 200]);
        answers.forEach(({ text }) => t.equal(text.match(/data: piece/g)?.length, 4));
    });
});

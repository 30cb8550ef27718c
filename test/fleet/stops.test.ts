/** Leaving upstreams and planned stops: nothing in flight is cut off, and nothing new reaches who leaves. */
import t from "tap";
import { request } from "undici";
import { StandInPlatform } from "../../src/daemons/standIn/standInPlatform.js";
import { askChat, type ChatResult, getExpectedAnswer, getRunCounts } from "../tools/caller.js";
import { Fleet } from "../tools/fleet.js";
import { wait, waitUntil } from "../tools/waiting.js";

const CONTENT = "a briefing, please out=30";
const platform = new StandInPlatform({ role: "stand-in-platform", listen: "127.0.0.1:0", lagMs: 300, boxes: [] });
const platformUrl = await platform.start();
const fleet = new Fleet({
    zones: ["wien", "linz", "graz"],
    routersPerZone: 1,
    services: [{ name: "wetterwort", type: "model", upstreamsPerZone: 1, standIn: { tokenMs: 5 } }],
    controller: { membershipUrl: `${platformUrl}/boxes` },
});
let key = "";
t.before(async () => {
    await fleet.start();
    key = await fleet.createAccount("member", 10_000_000);
});
t.teardown(async () => {
    await fleet.stop();
    await platform.stop();
});

/** Keeps asking routers in turn, those the balancer would choose, until told to stop. */
function startLoad(callers: number): { stop: () => Promise<ChatResult[]>; getCount: () => number; } {
    let stopped = false;
    const results: ChatResult[] = [];
    const isReady = async (router: { getUrl(): string; }): Promise<boolean> => {
        try {
            const response = await request(`${router.getUrl()}/readyz`);
            await response.body.dump();
            return response.statusCode === 200;
        }
        catch {
            return false;
        }
    };
    const tasks = Array.from({ length: callers }, async (_, i) => {
        for (let turn = i; !stopped; turn++) {
            const router = fleet.getRouters()[turn % fleet.getRouters().length]!;
            if (await isReady(router)) {
                results.push(await askChat(router, key, { content: CONTENT }));
            }
        }
    });
    return {
        stop: async () => {
            stopped = true;
            await Promise.all(tasks);
            return results;
        },
        getCount: () => results.length,
    };
}

/** Runs that the engine of a zone has begun so far. */
async function countRuns(zone: string): Promise<number> {
    const counts = await getRunCounts([fleet.get(`wetterwort-${zone}-1`)]);
    return [...counts.values()].reduce((sum, count) => sum + count, 0);
}

function getCut(results: readonly ChatResult[]): string[] {
    return results.filter(result => !result.isComplete || result.text !== getExpectedAnswer(CONTENT)).map(result =>
        `${result.status} ${result.error?.type ?? "lost"}`
    );
}

void t.test("an upstream on the platform's leaving list gets nothing new; nothing is cut off", async t => {
    const load = startLoad(6);
    await waitUntil("load", () => load.getCount() > 20);
    platform.setState("box-wetterwort-linz-1", "leaving");
    await wait(3_000);
    const afterThreeSeconds = await countRuns("linz");
    const before = load.getCount();
    await waitUntil("more load", () => load.getCount() > before + 100);
    t.equal(await countRuns("linz"), afterThreeSeconds, "no new run after 3 s");
    t.same(getCut(await load.stop()), []);
    platform.setState("box-wetterwort-linz-1", "live");
});

void t.test("an upstream in an evacuated zone gets nothing new until that is taken back; nothing is cut off", async t => {
    const load = startLoad(6);
    await waitUntil("load", () => load.getCount() > 0);
    await fleet.put("evacuation", "graz", { reason: "work on the power supply" });
    await fleet.waitInForce();
    const inForce = await countRuns("graz");
    const before = load.getCount();
    await waitUntil("more load", () => load.getCount() > before + 50);
    t.equal(await countRuns("graz"), inForce, "no new run once it is in force");
    await fleet.call(fleet.getControllers()[0]!, "DELETE", "/api/v1/objects/evacuation/graz");
    t.same(getCut(await load.stop()), []);
    // Prompts of their own: those of the load are kept by the engines that ran them meanwhile.
    let prompts = 0;
    await waitUntil("it runs again", async () => {
        prompts += 1;
        await askChat(fleet.getRouters()[0]!, key, { content: `${prompts}: ${CONTENT}` });
        return await countRuns("graz") > inForce;
    });
});

void t.test("a rolling restart of every process cuts nothing off, and each ends with 0", async t => {
    const load = startLoad(6);
    await waitUntil("load", () => load.getCount() > 20);
    const order = [...fleet.getRouters(), ...fleet.getSidecars(), ...fleet.getControllers()];
    for (const process of order) {
        t.equal(await process.stop(), 0, `${process.name} ends with 0`);
        await process.start();
        await waitUntil(`${process.name} to be back`, async () => {
            const status = await fleet.getStatus();
            return process.role === "controller"
                ? status.controllers.some(controller => controller.name === process.name && controller.connected)
                : status.daemons.some(daemon =>
                    daemon.name === process.name && daemon.revision === status.revision && daemon.silentMs < 1_000
                );
        });
    }
    const before = load.getCount();
    await waitUntil("load after the restarts", () => load.getCount() > before + 20);
    const results = await load.stop();
    t.same(getCut(results), [], `of ${results.length}`);
});

/** A poison request that one upstream answers with status 500 between two crashes must remain a suspect. */
import t from "tap";
import { request } from "undici";
import { CrashingEngine, POISON_BODY } from "../tools/crashingEngine.js";
import { DirectFleet } from "../tools/directFleet.js";
import { wait, waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const NETWORK = 91;
const ENGINES = 4;
/** Time until the controllers have received a report of a crash or of a response. */
const PROPAGATION_MS = 500;
const fleet = new DirectFleet(NETWORK);
const engines = Array.from({ length: ENGINES }, (_, i) => new CrashingEngine(fleet, `e${i}`, `r${11 + i}`, "plain"));
let lastId = 0;

/** Returns status 0 if the connection was lost. */
async function callRouter(): Promise<number> {
    lastId += 1;
    try {
        const answer = await request(fleet.getCallerUrl("r1", "/c/x"), {
            method: "POST",
            headers: { "Host": "api.example", "Attempt-Id": `a${lastId}`, "Credential": "key-1" },
            body: POISON_BODY,
        });
        await answer.body.dump();
        return answer.statusCode;
    }
    catch {
        return 0;
    }
}

void t.test("a status 500 between crashes does not clear a poison request", async t => {
    await fleet.open();
    t.teardown(async () => {
        engines.forEach(engine => engine.close());
        await fleet.close();
    });
    await Promise.all(["c1", "c2", "c3"].map(box => fleet.startController(box, true)));
    await fleet.startRouter("r1");
    await fleet.putBundle("c1", createWireBundle(1));
    await Promise.all(engines.map(engine => engine.start()));
    const { registry } = fleet.routers.get("r1")!.role.daemon;
    await waitUntil(
        "upstreams known",
        () => registry.getReady("plain", performance.now(), Infinity).length === ENGINES,
    );

    const countCrashes = () => engines.reduce((sum, engine) => sum + engine.crashes, 0);
    const crashOne = async (total: number): Promise<void> => {
        await callRouter();
        await waitUntil(`crash ${total}`, () => countCrashes() === total);
        await wait(PROPAGATION_MS);
    };
    await crashOne(1);
    await crashOne(2);
    engines.forEach(engine => engine.isFailing = true);
    t.equal(await callRouter(), 500);
    await wait(PROPAGATION_MS);
    engines.forEach(engine => engine.isFailing = false);
    await crashOne(3);
    t.equal(await callRouter(), 503);
    t.equal(countCrashes(), 3, "the request was not run again");
});

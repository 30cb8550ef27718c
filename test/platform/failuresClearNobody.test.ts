/**
 * A request under which upstreams end, and that one of them answers by a failure of its own in between: the failure does not
 * show that it can be run, so what is held against it stands.
 */
import t from "tap";
import { request } from "undici";
import { DirectFleet } from "../tools/directFleet.js";
import { DEADLY_BODY, MortalEngine } from "../tools/mortalEngine.js";
import { wait, waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const NETWORK = 91;
const ENGINES = 4;
/** Until the controllers have heard of an end, or of an answer. Milliseconds. */
const TOLD_MS = 500;
const fleet = new DirectFleet(NETWORK);
const engines = Array.from({ length: ENGINES }, (_, i) => new MortalEngine(fleet, `e${i}`, `r${11 + i}`, "plain"));
let lastId = 0;

/** Answers status 0 where the connection was lost. */
async function callRouter(): Promise<number> {
    lastId += 1;
    try {
        const answer = await request(fleet.getCallerUrl("r1", "/c/x"), {
            method: "POST",
            headers: { "Host": "api.example", "Attempt-Id": `a${lastId}`, "Credential": "key-1" },
            body: DEADLY_BODY,
        });
        await answer.body.dump();
        return answer.statusCode;
    }
    catch {
        return 0;
    }
}

void t.test("a failure between the ends of its upstreams clears no request", async t => {
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

    const countEnds = () => engines.reduce((sum, engine) => sum + engine.ends, 0);
    const endOne = async (ends: number): Promise<void> => {
        await callRouter();
        await waitUntil(`end ${ends}`, () => countEnds() === ends);
        await wait(TOLD_MS);
    };
    await endOne(1);
    await endOne(2);
    engines.forEach(engine => engine.isFailing = true);
    t.equal(await callRouter(), 500);
    await wait(TOLD_MS);
    engines.forEach(engine => engine.isFailing = false);
    await endOne(3);
    t.equal(await callRouter(), 503);
    t.equal(countEnds(), 3, "it was not run again");
});

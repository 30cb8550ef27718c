/** An engine that dies and starts again under its id, from its registration at controllers to the router that sends to it. */
import t from "tap";
import { request } from "undici";
import { DirectFleet } from "../tools/directFleet.js";
import { waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const NETWORK = 87;
const BORN = 1_700_000_000_000;
const BORN_AGAIN = BORN + 5_000;
const fleet = new DirectFleet(NETWORK);

async function callRouter(id: string): Promise<number> {
    const answer = await request(fleet.getCallerUrl("r1", "/s/x"), {
        method: "POST",
        headers: { "Host": "api.example", "Attempt-Id": id, "Credential": "key-1", "Token-Usage": "10,5" },
        body: "{}",
    });
    await answer.body.dump();
    return answer.statusCode;
}

void t.test("an engine that starts again under its id", async t => {
    await fleet.open();
    t.teardown(() => fleet.close());
    await Promise.all(["c1", "c2", "c3"].map(box => fleet.startController(box, true)));
    await fleet.startRouter("r1");
    const { daemon } = fleet.routers.get("r1")!.role;
    const callerPorts: number[] = [];
    const address = await fleet.startEngine("r11", (message, response) => {
        callerPorts.push(message.socket.remotePort!);
        const head = { "Attempt-Id": message.headers["attempt-id"], "Instance-Signature": "sig" };
        response.writeHead(200, { ...head, "Content-Type": "text/event-stream" }).end("id: 1\ndata: x\n\n");
    });
    await fleet.putBundle("c1", createWireBundle(1));
    await waitUntil("bundle in force", () => daemon.getBundleRevision() === 1);
    const register = async (box: string, born: number, seqno: number, state = "ready"): Promise<void> => {
        const body = { backend: "engines", address, zone: "z", slots: 4, state, seqno, born };
        const answer = await fleet.call("PUT", fleet.getOperatorUrl(box, "/loomwinch/instances/e1"), body);
        t.equal(answer.status, 200);
    };
    const getKnown = () => daemon.registry.tryGet("e1");

    await register("c1", BORN, 40);
    await waitUntil("the first life", () => getKnown()?.state === "ready");
    t.equal(await callRouter("a1"), 200);

    await t.test("is used again at once after its end, though it counts anew", async t => {
        await fleet.call("DELETE", fleet.getOperatorUrl("c1", "/loomwinch/instances/e1"));
        await waitUntil("its end", () => getKnown()?.state === "gone");
        t.equal(await callRouter("a2"), 503);
        await register("c2", BORN_AGAIN, 1);
        await waitUntil("the second life", () => getKnown()?.state === "ready" && getKnown()?.bornAt === BORN_AGAIN);
        t.equal(await callRouter("a3"), 200);
        t.not(callerPorts[1], callerPorts[0], "over a new connection");
    });

    await t.test("is reached over a new connection by a router whose box was suspended", async t => {
        t.equal(await callRouter("a5"), 200);
        const before = callerPorts.at(-1);
        // The watch's clock has gone on, the box's time of day by ten minutes more.
        const realNow = Date.now;
        Date.now = () => realNow() + 600_000;
        t.teardown(() => Date.now = realNow);
        daemon.loopMonitor.recordTick(performance.now());
        t.equal(await callRouter("a6"), 200);
        t.not(callerPorts.at(-1), before);
    });

    await t.test("is not taken out by what comes late of its first life", async t => {
        await register("c3", BORN, 41, "draining");
        const end = await fleet.call("DELETE", fleet.getOperatorUrl("c3", "/loomwinch/instances/e1"), { born: BORN });
        t.equal(end.status, 200);
        await register("c3", BORN_AGAIN, 2);
        await waitUntil("the newest report", () => getKnown()?.sequence === 2);
        t.match(getKnown(), { state: "ready", bornAt: BORN_AGAIN });
        t.equal(await callRouter("a4"), 200);
    });
});

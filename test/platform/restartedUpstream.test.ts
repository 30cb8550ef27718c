/** An engine that restarts under its id: delayed reports of the earlier incarnation must not affect the new one. */
import t from "tap";
import { request } from "undici";
import { DirectFleet } from "../tools/directFleet.js";
import { waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const NETWORK = 87;
const FIRST_BORN_AT = 1_700_000_000_000;
const SECOND_BORN_AT = FIRST_BORN_AT + 5_000;
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

void t.test("an engine that restarts under its id", async t => {
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
        const answer = await fleet.sendRequest("PUT", fleet.getOperatorUrl(box, "/loomwinch/instances/e1"), body);
        t.equal(answer.status, 200);
    };
    const getUpstream = () => daemon.registry.tryGet("e1");

    await register("c1", FIRST_BORN_AT, 40);
    await waitUntil("first incarnation", () => getUpstream()?.state === "ready");
    t.equal(await callRouter("a1"), 200);

    await t.test("is used immediately, although its sequence numbers start over", async t => {
        await fleet.sendRequest("DELETE", fleet.getOperatorUrl("c1", "/loomwinch/instances/e1"));
        await waitUntil("engine gone", () => getUpstream()?.state === "gone");
        t.equal(await callRouter("a2"), 503);
        await register("c2", SECOND_BORN_AT, 1);
        await waitUntil(
            "second incarnation",
            () => getUpstream()?.state === "ready" && getUpstream()?.bornAt === SECOND_BORN_AT,
        );
        t.equal(await callRouter("a3"), 200);
        t.not(callerPorts[1], callerPorts[0], "over a new connection");
    });

    await t.test("is reached over a new connection by a router whose box was suspended", async t => {
        t.equal(await callRouter("a5"), 200);
        const before = callerPorts.at(-1);
        // A suspension shows as wall-clock time advancing further than the monotonic clock.
        const realNow = Date.now;
        Date.now = () => realNow() + 600_000;
        t.teardown(() => Date.now = realNow);
        daemon.loopMonitor.recordTick(performance.now());
        t.equal(await callRouter("a6"), 200);
        t.not(callerPorts.at(-1), before);
    });

    await t.test("is not removed by delayed reports of its first incarnation", async t => {
        await register("c3", FIRST_BORN_AT, 41, "draining");
        const end = await fleet.sendRequest("DELETE", fleet.getOperatorUrl("c3", "/loomwinch/instances/e1"), {
            born: FIRST_BORN_AT,
        });
        t.equal(end.status, 200);
        await register("c3", SECOND_BORN_AT, 2);
        await waitUntil("newest report", () => getUpstream()?.sequence === 2);
        t.match(getUpstream(), { state: "ready", bornAt: SECOND_BORN_AT });
        t.equal(await callRouter("a4"), 200);
    });
});

/** Controllers, a router and engines of a direct fleet: routing, budgets, resumption, and replacement of controllers. */
import t from "tap";
import { request } from "undici";
import { DirectFleet, type EngineHandler } from "../tools/directFleet.js";
import { waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const NETWORK = 81;
const fleet = new DirectFleet(NETWORK);
let engineMode = "complete";

const answerStream: EngineHandler = (message, response) => {
    const head = { "Attempt-Id": message.headers["attempt-id"], "Instance-Signature": "sig" };
    if (message.headers["expect-instance"] === "e-full") {
        response.writeHead(503, { "Not-Executed": "1" }).end();
        return;
    }
    if (engineMode === "disconnects") {
        response.destroy();
        return;
    }
    const from = Number(message.headers["last-event-id"] ?? 0);
    response.writeHead(200, { ...head, "Content-Type": "text/event-stream" });
    for (let id = from + 1; id <= 4; id++) {
        response.write(`id: ${id}\ndata: piece ${id}\n\n`);
        if (engineMode === "truncates" && id === 2) {
            response.write("id: 3\nda");
            setTimeout(() => response.destroy(), 20);
            return;
        }
    }
    response.end();
};

function createRegistration(service: string, address: string, sequence: number, state = "ready") {
    return { backend: service, address, zone: "z", slots: 4, state, seqno: sequence, config_rev: "v1" };
}

function callRouter(path: string, id: string, headers: Record<string, string> = {}) {
    return request(fleet.getCallerUrl("r1", path), {
        method: "POST",
        headers: {
            "Host": "api.example",
            "Attempt-Id": id,
            "Credential": "key-1",
            "Deadline-Ms": "3000",
            "Token-Usage": "100,50",
            "Prefix-Hash": "aa:60,bb:40",
            ...headers,
        },
        body: "{}",
    });
}

void t.test("a direct fleet", async t => {
    await fleet.open();
    t.teardown(() => fleet.close());
    await Promise.all(["c1", "c2", "c3"].map(box => fleet.startController(box, true)));
    await fleet.startRouter("r1");
    const address = await fleet.startEngine("r11", answerStream);

    await t.test("a request before the first configuration is refused as not run", async t => {
        const answer = await callRouter("/s/x", "a0");
        t.equal(answer.statusCode, 503);
        t.ok(Number(answer.headers["retry-after"]) > 0);
    });

    await t.test("a configuration is accepted, read back byte for byte and applied by the router", async t => {
        await fleet.putBundle("c2", createWireBundle(3));
        const read = await fleet.sendRequest("GET", fleet.getOperatorUrl("c1", "/loomwinch/config"));
        t.equal(read.text, JSON.stringify(createWireBundle(3)));
        await waitUntil("bundle in force", () => fleet.routers.get("r1")!.role.daemon.getBundleRevision() === 3);
    });

    await t.test("an older revision is acknowledged and changes nothing; an invalid one is refused", async t => {
        const url = fleet.getOperatorUrl("c3", "/loomwinch/config");
        t.equal((await fleet.sendRequest("PUT", url, createWireBundle(2))).status, 200);
        t.equal((await fleet.sendRequest("PUT", url, "{\"config_rev\": 9, ")).status, 400);
        t.equal((await fleet.sendRequest("PUT", url, { ...createWireBundle(9), backends: [] })).status, 400);
        const read = await fleet.sendRequest("GET", url);
        t.match(JSON.parse(read.text), { config_rev: 3 });
    });

    await t.test("a registered engine receives the request's headers and its stream is relayed unchanged", async t => {
        const url = fleet.getOperatorUrl("c1", "/loomwinch/instances/e1");
        t.equal((await fleet.sendRequest("PUT", url, createRegistration("engines", address, 1))).status, 200);
        await waitUntil("engine known", () => fleet.routers.get("r1")!.role.daemon.registry.tryGet("e1") !== undefined);
        const answer = await callRouter("/s/x", "a1");
        t.equal(answer.statusCode, 200);
        t.equal(answer.headers["instance-signature"], "sig");
        t.match(await answer.body.text(), /^id: 1\ndata: piece 1\n\n.*id: 4\ndata: piece 4\n\n$/s);
        const sent = fleet.engineRequests.at(-1)!;
        t.match(sent.headers, { "tenant": "acme", "expect-instance": "e1", "attempt-id": "a1" });
        t.equal(sent.headers["credential"], undefined);
        t.ok(Number(sent.headers["deadline-ms"]) <= 3_000);
    });

    await t.test("a wrong key, an unknown route and an exceeded budget are refused with their statuses", async t => {
        t.equal((await callRouter("/s/x", "a2", { "Credential": "wrong" })).statusCode, 401);
        t.equal((await callRouter("/none/x", "a3")).statusCode, 404);
        t.equal((await callRouter("/s/x", "a4", { "Token-Usage": "99000,9000" })).statusCode, 402);
    });

    await t.test("an interrupted stream resumes at another engine without lost or duplicate events", async t => {
        const second = await fleet.startEngine("r12", answerStream);
        const url = fleet.getOperatorUrl("c2", "/loomwinch/instances/e2");
        await fleet.sendRequest("PUT", url, createRegistration("engines", second, 1));
        await waitUntil("engine known", () => fleet.routers.get("r1")!.role.daemon.registry.tryGet("e2") !== undefined);
        engineMode = "truncates";
        const answer = await callRouter("/s/x", "a5");
        const text = await answer.body.text();
        engineMode = "complete";
        t.same(text.match(/id: \d/g), ["id: 1", "id: 2", "id: 3", "id: 4"]);
        t.equal(text.match(/data: piece \d\n\n/g)?.length, 4);
    });

    await t.test("a draining engine receives no new requests, even after a delayed older report", async t => {
        const url = fleet.getOperatorUrl("c3", "/loomwinch/instances/e2");
        await fleet.sendRequest("PUT", url, createRegistration("engines", address, 5, "draining"));
        await fleet.sendRequest("PUT", url, createRegistration("engines", address, 4));
        const { registry } = fleet.routers.get("r1")!.role.daemon;
        await waitUntil("engine draining", () => registry.tryGet("e2")!.state === "leaving");
        t.same(registry.getReady("engines", performance.now(), Infinity).map(upstream => upstream.id), ["e1"]);
    });

    await t.test("a request that may have run is not refused as not run when no other engine is available", async t => {
        engineMode = "disconnects";
        const answer = await callRouter("/s/x", "a6");
        engineMode = "complete";
        t.equal(answer.statusCode, 502);
        await answer.body.dump();
    });

    await t.test("a malformed engine report is refused and changes nothing", async t => {
        const url = fleet.getOperatorUrl("c1", "/loomwinch/instances/e1");
        t.equal((await fleet.sendRequest("PUT", url, "{")).status, 400);
        t.equal((await fleet.sendRequest("PUT", url, { state: "ready" })).status, 400);
        t.equal(fleet.controllers.get("c1")!.role.daemon.registrations.registry.tryGet("e1")?.sequence, 1);
    });

    await t.test("a box that replaces a controller joins as a voter", async t => {
        const listVoters = (box: string): string[] => fleet.controllers.get(box)!.role.daemon.listReplicas();
        const before = listVoters("c1");
        await fleet.stopController("c2");
        await fleet.startController("c4", false);
        await waitUntil("the new box is a voting replica in place of the lost one", () => {
            const voters = listVoters("c4");
            return voters.length === 3 && voters.some(name => !before.includes(name));
        });
        await fleet.startController("c2", false);
        await fleet.putBundle("c4", createWireBundle(20));
        const read = await fleet.sendRequest("GET", fleet.getOperatorUrl("c4", "/loomwinch/config"));
        t.match(JSON.parse(read.text), { config_rev: 20 });
    });

    await t.test("a controller that restarts with an empty disk catches up", async t => {
        await fleet.stopController("c3");
        await fleet.putBundle("c1", createWireBundle(30));
        await fleet.startController("c3", false, "c3-empty");
        await waitUntil("newest configuration at the restarted controller", async () => {
            const read = await fleet.sendRequest("GET", fleet.getOperatorUrl("c3", "/loomwinch/config"));
            return read.status === 200 && JSON.parse(read.text).config_rev === 30;
        });
        t.pass();
    });

    await t.test("acknowledged configurations survive a restart of all controllers", async t => {
        await Promise.all([...fleet.controllers.keys()].map(box => fleet.stopController(box)));
        const disks = [["c1", "c1"], ["c2", "c2"], ["c3", "c3-empty"], ["c4", "c4"]] as const;
        await Promise.all(disks.map(([box, disk]) => fleet.startController(box, false, disk)));
        await fleet.putBundle("c2", createWireBundle(31));
        const answer = await callRouter("/s/x", "a9");
        t.equal(answer.statusCode, 200);
        await answer.body.dump();
    });
});

/** The evacuation of an availability zone, from the operator's order to the routers that obey, and through restarts. */
import t from "tap";
import { request } from "undici";
import { DirectFleet } from "../tools/directFleet.js";
import { waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const NETWORK = 89;
const CONTROLLERS = ["c1", "c2", "c3"];
const fleet = new DirectFleet(NETWORK);
/** How often an engine reports, in milliseconds. */
const REPORT_MS = 300;
const reports: NodeJS.Timeout[] = [];
let lastId = 0;

interface Answer {
    readonly status: number;
    readonly retryAfter: string | undefined;
    /** The engine that answered. */
    readonly engine: string | undefined;
}

async function callRouter(router: string): Promise<Answer> {
    lastId += 1;
    const answer = await request(fleet.getCallerUrl(router, "/s/x"), {
        method: "POST",
        headers: { "Host": "api.example", "Attempt-Id": `a${lastId}`, "Credential": "key-1", "Token-Usage": "10,5" },
        body: "{}",
    });
    await answer.body.dump();
    return {
        status: answer.statusCode,
        retryAfter: answer.headers["retry-after"] as string | undefined,
        engine: answer.headers["engine"] as string | undefined,
    };
}

async function order(controller: string, method: "POST" | "DELETE", zone: string): Promise<number> {
    const url = fleet.getOperatorUrl(controller, `/loomwinch/evacuations/${zone}`);
    return (await fleet.call(method, url)).status;
}

/** Orders again until it is acknowledged, as operators do. */
async function orderUntilDone(controller: string, method: "POST" | "DELETE", zone: string): Promise<void> {
    await waitUntil(`${method} ${zone}`, async () => await order(controller, method, zone) === 200);
}

async function startEngine(id: string, box: string, zone: string): Promise<void> {
    const address = await fleet.startEngine(box, (message, response) => {
        const head = { "Attempt-Id": message.headers["attempt-id"], "Instance-Signature": "sig", "Engine": id };
        response.writeHead(200, { ...head, "Content-Type": "text/event-stream" }).end("id: 1\ndata: x\n\n");
    });
    let sequence = 0;
    const report = async (): Promise<void> => {
        sequence += 1;
        const body = { backend: "engines", address, zone, slots: 4, state: "ready", seqno: sequence, cold_left_ms: 0 };
        const urls = CONTROLLERS.map(box => fleet.getOperatorUrl(box, `/loomwinch/instances/${id}`));
        await Promise.allSettled(urls.map(url => fleet.call("PUT", url, body)));
    };
    reports.push(setInterval(() => void report(), REPORT_MS));
    await report();
}

async function startRouter(box: string): Promise<void> {
    await fleet.startRouter(box);
    const { daemon } = fleet.routers.get(box)!.role;
    await waitUntil(`${box} is ready`, () => daemon.isReady());
    await waitUntil(
        `${box} knows the engines`,
        () => daemon.registry.getReady("engines", performance.now(), Infinity).length === 2,
    );
}

/** The engines that answer some requests, each once, and the statuses. */
async function listAnswers(router: string) {
    const answers: Answer[] = [];
    for (let i = 0; i < 12; i++) {
        answers.push(await callRouter(router));
    }
    const engines = [...new Set(answers.map(({ engine }) => engine))].sort();
    return { engines, statuses: [...new Set(answers.map(({ status }) => status))] };
}

async function waitInForce(router: string, engines: readonly (string | undefined)[]): Promise<void> {
    await waitUntil(
        `${router} sends to ${engines.join()}`,
        async () => (await listAnswers(router)).engines.join() === engines.join(),
    );
}

void t.test("the evacuation of a zone", async t => {
    await fleet.open();
    t.teardown(async () => {
        reports.forEach(clearInterval);
        await fleet.close();
    });
    await Promise.all(CONTROLLERS.map(box => fleet.startController(box, true)));
    await fleet.putBundle("c1", createWireBundle(1));
    await startEngine("e1", "r11", "here");
    await startEngine("e2", "r12", "there");
    await Promise.all(["r1", "r2"].map(startRouter));

    await t.test("is acknowledged by any controller, again and again, and obeyed by all routers", async t => {
        t.equal(await order("c2", "POST", "here"), 200);
        t.equal(await order("c3", "POST", "here"), 200);
        for (const router of ["r1", "r2"]) {
            await waitInForce(router, ["e2"]);
        }
    });

    await t.test("outlives all controllers, and is known to a router that starts anew", async t => {
        await Promise.all(CONTROLLERS.map(box => fleet.stopController(box)));
        await Promise.all(CONTROLLERS.map(box => fleet.startController(box, false)));
        await waitUntil("the fleet is back", () => fleet.routers.get("r2")!.role.daemon.isReady());
        await fleet.stopRouter("r1");
        await fleet.startRouter("r1");
        const { daemon } = fleet.routers.get("r1")!.role;
        await waitUntil("ready", () => daemon.isReady());
        t.notOk((await listAnswers("r1")).engines.includes("e1"));
        t.same((await listAnswers("r2")).engines, ["e2"]);
    });

    await t.test("of the last zone has requests refused at once as not run, with when to come back", async t => {
        await orderUntilDone("c1", "POST", "there");
        await waitInForce("r2", [undefined]);
        const { status, retryAfter } = await callRouter("r2");
        t.equal(status, 503);
        t.ok(Number(retryAfter) > 0);
    });

    await t.test("is withdrawn by any controller, again and again", async t => {
        await orderUntilDone("c3", "DELETE", "there");
        t.equal(await order("c2", "DELETE", "there"), 200);
        t.equal(await order("c1", "DELETE", "here"), 200);
        t.equal(await order("c1", "DELETE", "never-named"), 200);
        await waitUntil("both zones are back", async () => (await listAnswers("r2")).statuses.join() === "200");
        await orderUntilDone("c2", "POST", "there");
        await waitInForce("r2", ["e1"]);
        await orderUntilDone("c2", "DELETE", "there");
    });

    await t.test("of a zone whose name cannot be read is refused", async t => {
        t.equal(await order("c1", "POST", "%ZZ"), 400);
        t.equal(await order("c1", "POST", ""), 400);
    });
});

/** Tests the evacuation of availability zones, from the operator's request to routing, and its persistence over restarts. */
import t from "tap";
import { request } from "undici";
import { DirectFleet } from "../tools/directFleet.js";
import { waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const NETWORK = 89;
const CONTROLLERS = ["c1", "c2", "c3"];
const fleet = new DirectFleet(NETWORK);
const REPORT_PERIOD_MS = 300;
const reportTimers: NodeJS.Timeout[] = [];
let lastAttemptNumber = 0;

interface RouterAnswer {
    readonly status: number;
    readonly retryAfter: string | undefined;
    /** Id of the engine that answered; undefined if the request was refused. */
    readonly engine: string | undefined;
}

async function callRouter(router: string): Promise<RouterAnswer> {
    lastAttemptNumber += 1;
    const answer = await request(fleet.getCallerUrl(router, "/s/x"), {
        method: "POST",
        headers: {
            "Host": "api.example",
            "Attempt-Id": `a${lastAttemptNumber}`,
            "Credential": "key-1",
            "Token-Usage": "10,5",
        },
        body: "{}",
    });
    await answer.body.dump();
    return {
        status: answer.statusCode,
        retryAfter: answer.headers["retry-after"] as string | undefined,
        engine: answer.headers["engine"] as string | undefined,
    };
}

async function sendEvacuation(controller: string, method: "POST" | "DELETE", zone: string): Promise<number> {
    const url = fleet.getOperatorUrl(controller, `/loomwinch/evacuations/${zone}`);
    return (await fleet.sendRequest(method, url)).status;
}

/** Retries until the request is acknowledged, as operators do. */
async function sendEvacuationUntilAcknowledged(
    controller: string,
    method: "POST" | "DELETE",
    zone: string,
): Promise<void> {
    await waitUntil(`${method} ${zone}`, async () => await sendEvacuation(controller, method, zone) === 200);
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
        await Promise.allSettled(urls.map(url => fleet.sendRequest("PUT", url, body)));
    };
    reportTimers.push(setInterval(() => void report(), REPORT_PERIOD_MS));
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

/** Sends several requests and returns the distinct engines and statuses of the answers. */
async function sendRequests(router: string) {
    const answers: RouterAnswer[] = [];
    for (let i = 0; i < 12; i++) {
        answers.push(await callRouter(router));
    }
    const engines = [...new Set(answers.map(({ engine }) => engine))].sort();
    return { engines, statuses: [...new Set(answers.map(({ status }) => status))] };
}

async function waitUntilEnginesUsed(router: string, engines: readonly (string | undefined)[]): Promise<void> {
    await waitUntil(
        `${router} sends to ${engines.join()}`,
        async () => (await sendRequests(router)).engines.join() === engines.join(),
    );
}

void t.test("zone evacuation", async t => {
    await fleet.open();
    t.teardown(async () => {
        reportTimers.forEach(clearInterval);
        await fleet.close();
    });
    await Promise.all(CONTROLLERS.map(box => fleet.startController(box, true)));
    await fleet.putBundle("c1", createWireBundle(1));
    await startEngine("e1", "r11", "here");
    await startEngine("e2", "r12", "there");
    await Promise.all(["r1", "r2"].map(startRouter));

    await t.test("is idempotent on any controller and applied by all routers", async t => {
        t.equal(await sendEvacuation("c2", "POST", "here"), 200);
        t.equal(await sendEvacuation("c3", "POST", "here"), 200);
        for (const router of ["r1", "r2"]) {
            await waitUntilEnginesUsed(router, ["e2"]);
        }
    });

    await t.test("persists over a restart of all controllers and applies to a restarted router", async t => {
        await Promise.all(CONTROLLERS.map(box => fleet.stopController(box)));
        await Promise.all(CONTROLLERS.map(box => fleet.startController(box, false)));
        await waitUntil("r2 is ready", () => fleet.routers.get("r2")!.role.daemon.isReady());
        await fleet.stopRouter("r1");
        await fleet.startRouter("r1");
        const { daemon } = fleet.routers.get("r1")!.role;
        await waitUntil("r1 is ready", () => daemon.isReady());
        t.notOk((await sendRequests("r1")).engines.includes("e1"));
        t.same((await sendRequests("r2")).engines, ["e2"]);
    });

    await t.test("refuses requests with a Retry-After header if all zones are evacuated", async t => {
        await sendEvacuationUntilAcknowledged("c1", "POST", "there");
        await waitUntilEnginesUsed("r2", [undefined]);
        const { status, retryAfter } = await callRouter("r2");
        t.equal(status, 503);
        t.ok(Number(retryAfter) > 0);
    });

    await t.test("can be ended on any controller, repeatedly", async t => {
        await sendEvacuationUntilAcknowledged("c3", "DELETE", "there");
        t.equal(await sendEvacuation("c2", "DELETE", "there"), 200);
        t.equal(await sendEvacuation("c1", "DELETE", "here"), 200);
        t.equal(await sendEvacuation("c1", "DELETE", "never-named"), 200);
        await waitUntil("both zones are in service", async () => (await sendRequests("r2")).statuses.join() === "200");
        await sendEvacuationUntilAcknowledged("c2", "POST", "there");
        await waitUntilEnginesUsed("r2", ["e1"]);
        await sendEvacuationUntilAcknowledged("c2", "DELETE", "there");
    });

    await t.test("is refused for a malformed zone name", async t => {
        t.equal(await sendEvacuation("c1", "POST", "%ZZ"), 400);
        t.equal(await sendEvacuation("c1", "POST", ""), 400);
    });
});

/**
 * Engines that restart at the same addresses under new ids answer status 421 to requests for the old ids. Routers must share
 * this with each other, so that stale ids do not use up the attempts of callers' requests.
 */
import t from "tap";
import { request } from "undici";
import { DirectFleet } from "../tools/directFleet.js";
import { wait, waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const NETWORK = 90;
const ROUTERS = ["r1", "r2"];
/** Equal to the retry budget of a router. */
const REPLACED = 2;
const ENGINES = 5;
/** Sequence number above those of all earlier reports. */
const NEWER = 1_000_000;
const REPORT_MS = 400;
const fleet = new DirectFleet(NETWORK);
/** The current engine id at each box. */
const idsByBox = new Map<string, string>();
/** Number of responses with status 421, by expected engine id. */
const misdirectedCounts = new Map<string, number>();
let lastId = 0;

async function callRouter(router: string): Promise<number> {
    lastId += 1;
    const answer = await request(fleet.getCallerUrl(router, "/s/x"), {
        method: "POST",
        headers: { "Host": "api.example", "Attempt-Id": `a${lastId}`, "Credential": "key-1", "Token-Usage": "10,5" },
        body: "{}",
    });
    await answer.body.dump();
    return answer.statusCode;
}

async function startEngine(id: string, box: string): Promise<void> {
    idsByBox.set(box, id);
    const address = await fleet.startEngine(box, (message, response) => {
        const echo = { "Attempt-Id": message.headers["attempt-id"] };
        const expectedId = String(message.headers["expect-instance"]);
        if (expectedId !== idsByBox.get(box)) {
            misdirectedCounts.set(expectedId, 1 + (misdirectedCounts.get(expectedId) ?? 0));
            response.writeHead(421, { ...echo, "Content-Length": 0 }).end();
            return;
        }
        const head = { ...echo, "Instance-Signature": "sig", "Content-Type": "text/event-stream" };
        response.writeHead(200, head).end("id: 1\ndata: x\n\n");
    });
    const body = { backend: "engines", address, zone: "z", slots: 4, state: "ready", cold_left_ms: 0 };
    t.equal(await fleet.startReporting("c1", id, body), 200);
}

void t.test("engines that were replaced at their addresses", async t => {
    await fleet.open();
    t.teardown(() => fleet.close());
    await Promise.all(["c1", "c2", "c3"].map(box => fleet.startController(box, true)));
    await fleet.putBundle("c1", createWireBundle(1));
    await Promise.all(ROUTERS.map(box => fleet.startRouter(box)));
    for (let i = 0; i < ENGINES; i++) {
        await startEngine(`e${i}`, `r${11 + i}`);
    }
    for (const router of ROUTERS) {
        const { registry } = fleet.routers.get(router)!.role.daemon;
        await waitUntil(
            "engines known",
            () => registry.getReady("engines", performance.now(), Infinity).length === ENGINES,
        );
    }
    for (let i = 0; i < 40; i++) {
        await callRouter(ROUTERS[i % 2]!);
    }

    await t.test("cause no failed request and at most two 421 responses each from all routers together", async t => {
        for (let i = 0; i < REPLACED; i++) {
            await fleet.stopReporting(`e${i}`);
            idsByBox.set(`r${11 + i}`, `new${i}`);
        }
        const statuses: number[] = [];
        for (let i = 0; i < 40; i++) {
            statuses.push(await callRouter(ROUTERS[i % 2]!));
        }
        t.same(statuses.filter(status => status !== 200), []);
        const counts = [...misdirectedCounts.values()];
        t.ok(counts.length > 0, "some requests were misdirected");
        t.ok(counts.every(count => count <= ROUTERS.length), `misdirected: ${counts.join(" ")}`);
    });

    await t.test("are used again when they go on reporting", async t => {
        idsByBox.set("r11", "e0");
        const { registry } = fleet.routers.get("r2")!.role.daemon;
        const address = registry.tryGet("e0")!.address;
        const url = fleet.getOperatorUrl("c2", "/loomwinch/instances/e0");
        let seqno = NEWER;
        const report = async (): Promise<void> => {
            seqno += 1;
            const state = { backend: "engines", address, zone: "z", slots: 4, state: "ready", seqno, cold_left_ms: 0 };
            await fleet.sendRequest("PUT", url, state);
        };
        await report();
        const isReady = (): boolean =>
            registry.getReady("engines", performance.now(), Infinity).some(({ id }) => id === "e0");
        t.notOk(isReady(), "a single report may have been made before the replacement");
        await waitUntil("engine ready again", async () => {
            await wait(REPORT_MS);
            await report();
            return isReady();
        });
    });
});

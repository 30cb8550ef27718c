/** A controller that stops as planned answers every request that it has read, and ends with 0. */
import { Agent, type IncomingMessage, request } from "node:http";
import { connect } from "node:net";
import t from "tap";
import { ProcessFleet } from "../tools/processFleet.js";
import { wait, waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const CONFIG_PATH = "/loomwinch/config";
const controllers = ["c1", "c2", "c3"];
const fleet = new ProcessFleet({ network: 119, controllers: 3, routers: 0, retryRatio: 0.2, retrySlack: 20 });
let revision = 1;
t.before(() => fleet.start(createWireBundle(revision)));
t.teardown(() => fleet.close());
t.afterEach(async () => {
    controllers.forEach(box => fleet.signal(box, "SIGCONT"));
    fleet.startBox("c1");
    await waitUntil("c1", () => isAnswering("c1"));
});

interface Answer {
    readonly status: number;
    readonly connection: string | undefined;
}

/** Sends a request of which a part is held back until `release` is called. */
function sendRequest(box: string, method: string, path: string, body: string, agent?: Agent, heldBytes = 0) {
    const sent = request(`${fleet.getControlUrl(box)}${path}`, { method, ...(agent && { agent }) });
    sent.setHeader("Content-Length", Buffer.byteLength(body));
    const answer = new Promise<IncomingMessage>((resolve, reject) => sent.on("response", resolve).on("error", reject))
        .then(async (message): Promise<Answer> => {
            await message.resume().toArray();
            return { status: message.statusCode!, connection: message.headers.connection };
        })
        .catch((error: NodeJS.ErrnoException): Answer => ({ status: 0, connection: error.code }));
    sent.write(body.slice(0, body.length - heldBytes));
    const release = (): void => void sent.end(body.slice(body.length - heldBytes));
    if (heldBytes === 0) {
        release();
    }
    return { answer, release };
}

async function isAnswering(box: string): Promise<boolean> {
    return (await sendRequest(box, "GET", CONFIG_PATH, "").answer).status === 200;
}

async function readRevision(box: string): Promise<number> {
    const answer = await fetch(`${fleet.getControlUrl(box)}${CONFIG_PATH}`);
    return (await answer.json() as { config_rev: number; }).config_rev;
}

function formatBundle(fields: object = {}): string {
    revision += 1;
    return JSON.stringify({ ...createWireBundle(revision), ...fields });
}

/** Asks c1 to stop; resolves once it logs `event`. */
async function beginStop(event = /stop_begins/): Promise<void> {
    const count = fleet.listLogLines("c1", event).length;
    fleet.signal("c1", "SIGTERM");
    await waitUntil("the stop", () => fleet.listLogLines("c1", event).length > count);
}

void t.test("a configuration whose body is being read is taken and answered", async t => {
    const { answer, release } = sendRequest("c1", "PUT", CONFIG_PATH, formatBundle(), undefined, 20);
    await wait(100);
    await beginStop();
    await wait(300);
    release();
    t.same(await answer, { status: 200, connection: "close" });
    t.equal((await fleet.waitEnd("c1")).code, 0);
    await waitUntil("the configuration at c2", async () => await readRevision("c2") === revision);
});

void t.test("a configuration that waits for its majority is answered, and has been stored", async t => {
    ["c2", "c3"].forEach(box => fleet.signal(box, "SIGSTOP"));
    const { answer } = sendRequest("c1", "PUT", CONFIG_PATH, formatBundle());
    await wait(100);
    await beginStop();
    ["c2", "c3"].forEach(box => fleet.signal(box, "SIGCONT"));
    t.same(await answer, { status: 200, connection: "close" });
    t.equal((await fleet.waitEnd("c1")).code, 0);
    await waitUntil("the configuration at c2", async () => await readRevision("c2") === revision);
});

void t.test("upstreams that report over kept connections are answered and told of the close", async t => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const report = { backend: "engines", address: "127.119.3.1:8028", zone: "z", slots: 4, state: "ready" };
    const send = (seqno: number): Promise<Answer> =>
        sendRequest("c1", "PUT", "/loomwinch/instances/e1", JSON.stringify({ ...report, seqno }), agent).answer;
    await waitUntil("its version to be recorded", async () => (await send(1)).status === 200);
    await beginStop();
    await wait(200);
    t.same(await send(2), { status: 200, connection: "close" });
    t.equal((await fleet.waitEnd("c1")).code, 0);
    agent.destroy();
});

void t.test("a request that comes too late is refused at once, and told when to come back", async t => {
    const held = sendRequest("c1", "PUT", CONFIG_PATH, formatBundle(), undefined, 20);
    await wait(100);
    await beginStop(/event=stop_progress stage=closing/);
    const late = await fetch(`${fleet.getControlUrl("c1")}${CONFIG_PATH}`, { method: "PUT", body: "{}" });
    t.same([late.status, late.headers.get("connection"), late.headers.get("retry-after")], [503, "close", "1"]);
    held.release();
    t.equal((await held.answer).status, 200);
    t.equal((await fleet.waitEnd("c1")).code, 0);
});

void t.test("a client that reads a long answer slowly gets all of it", async t => {
    const padding = "x".repeat(3_000_000);
    t.equal((await sendRequest("c1", "PUT", CONFIG_PATH, formatBundle({ padding })).answer).status, 200);
    const answers = 5;
    const socket = connect(Number(new URL(fleet.getControlUrl("c1")).port), fleet.getIp("c1"));
    socket.write(`GET ${CONFIG_PATH} HTTP/1.1\r\nHost: c1\r\n\r\n`.repeat(answers));
    await wait(300);
    await beginStop();
    await wait(300);
    let bytes = 0;
    for await (const chunk of socket as AsyncIterable<Buffer>) {
        bytes += chunk.length;
    }
    t.ok(bytes > answers * padding.length, `${bytes} bytes`);
    t.equal((await fleet.waitEnd("c1")).code, 0);
});

/** What callers send wrong: heads and bodies over the limits, half requests, bytes that are no HTTP. Nothing runs of it. */
import { once } from "node:events";
import { connect } from "node:net";
import { Worker } from "node:worker_threads";
import t from "tap";
import { request } from "undici";
import { DirectFleet } from "../tools/directFleet.js";
import { waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const NETWORK = 83;
const CALLER_PORT = 8227;
const MAX_HEAD_BYTES = 2_000;
const MAX_BODY_BYTES = 1_000;
/** Larger than any limit of the parser itself. */
const HUGE_HEAD_BYTES = 80_000;
const HEADER_TIMEOUT_MS = 300;
const fleet = new DirectFleet(NETWORK);

/** Sends bytes over a connection of their own and answers all that comes back until it is closed. */
async function sendRaw(...parts: readonly string[]): Promise<string> {
    const socket = connect(CALLER_PORT, fleet.getIp("r1"));
    let received = "";
    socket.setEncoding("latin1").on("data", (text: string) => received += text);
    socket.on("error", () => undefined);
    await once(socket, "connect");
    parts.forEach(part => socket.write(part));
    await once(socket, "close");
    return received;
}

/** Sends bytes and closes the connection from another thread, while this one, and the router in it, stands still. */
function blockUntilSentAndLeft(bytes: string): void {
    const done = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
    const worker = new Worker(
        `const { workerData } = require("node:worker_threads");
        const socket = require("node:net").connect(workerData.port, workerData.ip, () => socket.end(workerData.bytes));
        socket.on("finish", () => {
            Atomics.store(workerData.done, 0, 1);
            Atomics.notify(workerData.done, 0);
            socket.destroy();
        });`,
        { eval: true, workerData: { port: CALLER_PORT, ip: fleet.getIp("r1"), bytes, done } },
    );
    worker.unref();
    Atomics.wait(done, 0, 0);
}

function createHead(extra: readonly string[] = []): string {
    return [
        "POST /s/x HTTP/1.1",
        "Host: api.example",
        "Attempt-Id: a1",
        "Credential: key-1",
        "Token-Usage: 10,5",
        ...extra,
        "",
        "",
    ].join("\r\n");
}

async function callRouter(headers: Record<string, string>, body: string): Promise<number> {
    const answer = await request(fleet.getCallerUrl("r1", "/s/x"), {
        method: "POST",
        headers: {
            "Host": "api.example",
            "Attempt-Id": "a2",
            "Credential": "key-1",
            "Token-Usage": "10,5",
            ...headers,
        },
        body,
    });
    await answer.body.dump();
    return answer.statusCode;
}

void t.test("callers that send what is not allowed", async t => {
    await fleet.open();
    t.teardown(() => fleet.close());
    await Promise.all(["c1", "c2", "c3"].map(box => fleet.startController(box, true)));
    await fleet.startRouter("r1");
    const address = await fleet.startEngine("r21", (message, response) => {
        const head = { "Attempt-Id": message.headers["attempt-id"], "Instance-Signature": "sig" };
        response.writeHead(200, { ...head, "Content-Type": "text/event-stream" }).end("id: 1\ndata: x\n\n");
    });
    const bundle = createWireBundle(1);
    await fleet.putBundle("c1", {
        ...bundle,
        limits: {
            ...bundle.limits,
            max_header_bytes: MAX_HEAD_BYTES,
            max_body_bytes: MAX_BODY_BYTES,
            header_timeout_ms: HEADER_TIMEOUT_MS,
        },
    });
    const registration = {
        backend: "engines",
        address,
        zone: "z",
        slots: 4,
        state: "ready",
        seqno: 1,
        config_rev: "v1",
    };
    await fleet.call("PUT", fleet.getOperatorUrl("c1", "/loomwinch/instances/e1"), registration);
    const { daemon } = fleet.routers.get("r1")!.role;
    await waitUntil("engine known", () => daemon.registry.tryGet("e1") !== undefined);
    await waitUntil("bundle in force", () => daemon.getBundleRevision() === 1);
    // The time limits are taken over with the first request after a bundle.
    t.equal(await callRouter({}, "{}"), 200);
    let ran = fleet.engineRequests.length;

    await t.test("a head over the configured limit", async t => {
        t.equal(await callRouter({ "X-Filler": "f".repeat(MAX_HEAD_BYTES) }, "{}"), 431);
    });

    await t.test("a head over the parser's own limit", async t => {
        t.match(await sendRaw(createHead([`X-Filler: ${"f".repeat(HUGE_HEAD_BYTES)}`])), /^HTTP\/1.1 431 /);
    });

    await t.test("a body over the limit, with a length and in chunks", async t => {
        t.equal(await callRouter({}, "b".repeat(MAX_BODY_BYTES + 1)), 413);
        const chunk = "b".repeat(MAX_BODY_BYTES);
        const chunks = `${chunk.length.toString(16)}\r\n${chunk}\r\n`.repeat(2);
        t.match(await sendRaw(createHead(["Transfer-Encoding: chunked"]), chunks), /^HTTP\/1.1 413 /);
    });

    await t.test("half a head: refused when its time is over", async t => {
        t.match(await sendRaw("POST /s/x HTTP/1.1\r\nHost: api.exa"), /^HTTP\/1.1 408 |^HTTP\/1.1 400 /);
    });

    await t.test("bytes that are no HTTP, and two lengths that disagree", async t => {
        t.match(await sendRaw("\x16\x03\x01 hello\r\n\r\n"), /^HTTP\/1.1 400 /);
        t.match(await sendRaw(createHead(["Content-Length: 2", "Content-Length: 3"]), "{}"), /^HTTP\/1.1 400 /);
        t.match(await sendRaw(createHead(["Content-Length: 2", "Transfer-Encoding: chunked"])), /^HTTP\/1.1 400 /);
    });

    await t.test("a body that the caller never ends is not passed on", async t => {
        const socket = connect(CALLER_PORT, fleet.getIp("r1"));
        await once(socket, "connect");
        await new Promise(resolve => socket.write(createHead(["Content-Length: 10"]) + "{", resolve));
        socket.destroy();
        await once(socket, "close");
        t.equal(await callRouter({}, "{}"), 200, "the router serves on");
    });

    await t.test("a caller that has left before a router that lags behind reads its request", async t => {
        blockUntilSentAndLeft(createHead(["Content-Length: 2"]) + "{}");
        t.equal(await callRouter({}, "{}"), 200, "the router serves on");
        ran += 1;
    });

    t.equal(fleet.engineRequests.length, ran + 1, "nothing but the last good request has reached the engine");
});

/** Oversized, incomplete and malformed requests from callers are rejected and not forwarded to engines. */
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
/** Exceeds the limit of the HTTP parser. */
const OVERSIZED_HEAD_BYTES = 80_000;
const HEADER_TIMEOUT_MS = 300;
const fleet = new DirectFleet(NETWORK);

/** Sends data on a new connection and returns everything received until the connection is closed. */
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

/** Blocks this thread, which runs the router, until another thread has sent a request and closed its connection. */
function blockUntilSentAndClosed(bytes: string): void {
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

async function sendRequest(headers: Record<string, string>, body: string): Promise<number> {
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

void t.test("invalid requests from callers", async t => {
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
        config_rev: "v1",
    };
    await fleet.startReporting("c1", "e1", registration);
    const { daemon } = fleet.routers.get("r1")!.role;
    await waitUntil("engine known", () => daemon.registry.tryGet("e1") !== undefined);
    await waitUntil("bundle in force", () => daemon.getBundleRevision() === 1);
    // The timeouts of a bundle are applied with the next request.
    t.equal(await sendRequest({}, "{}"), 200);
    let forwardedCount = fleet.engineRequests.length;

    await t.test("a head larger than the configured limit", async t => {
        t.equal(await sendRequest({ "X-Filler": "f".repeat(MAX_HEAD_BYTES) }, "{}"), 431);
    });

    await t.test("a head larger than the limit of the parser", async t => {
        t.match(await sendRaw(createHead([`X-Filler: ${"f".repeat(OVERSIZED_HEAD_BYTES)}`])), /^HTTP\/1.1 431 /);
    });

    await t.test("a body larger than the limit, with a content length and chunked", async t => {
        t.equal(await sendRequest({}, "b".repeat(MAX_BODY_BYTES + 1)), 413);
        const chunk = "b".repeat(MAX_BODY_BYTES);
        const chunks = `${chunk.length.toString(16)}\r\n${chunk}\r\n`.repeat(2);
        t.match(await sendRaw(createHead(["Transfer-Encoding: chunked"]), chunks), /^HTTP\/1.1 413 /);
    });

    await t.test("an incomplete head is rejected after the header timeout", async t => {
        t.match(await sendRaw("POST /s/x HTTP/1.1\r\nHost: api.exa"), /^HTTP\/1.1 408 |^HTTP\/1.1 400 /);
    });

    await t.test("data that is not HTTP, and conflicting content lengths", async t => {
        t.match(await sendRaw("\x16\x03\x01 hello\r\n\r\n"), /^HTTP\/1.1 400 /);
        t.match(await sendRaw(createHead(["Content-Length: 2", "Content-Length: 3"]), "{}"), /^HTTP\/1.1 400 /);
        t.match(await sendRaw(createHead(["Content-Length: 2", "Transfer-Encoding: chunked"])), /^HTTP\/1.1 400 /);
    });

    await t.test("an incomplete body is not forwarded", async t => {
        const socket = connect(CALLER_PORT, fleet.getIp("r1"));
        await once(socket, "connect");
        await new Promise(resolve => socket.write(createHead(["Content-Length: 10"]) + "{", resolve));
        socket.destroy();
        await once(socket, "close");
        t.equal(await sendRequest({}, "{}"), 200, "the router still serves requests");
    });

    await t.test("a request whose caller disconnects before a lagging router reads it is not forwarded", async t => {
        blockUntilSentAndClosed(createHead(["Content-Length: 2"]) + "{}");
        t.equal(await sendRequest({}, "{}"), 200, "the router still serves requests");
        forwardedCount += 1;
    });

    t.equal(fleet.engineRequests.length, forwardedCount + 1, "only the valid requests have reached the engine");
});

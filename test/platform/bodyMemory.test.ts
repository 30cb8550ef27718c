/**
 * Guards against routers that run out of memory, or refuse or delay everybody's requests, because of large bodies, upstreams
 * that do not read, and callers that do not read.
 */
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { connect, createServer, type Socket } from "node:net";
import t from "tap";
import { request } from "undici";
import { DirectFleet } from "../tools/directFleet.js";
import { wait, waitUntil } from "../tools/waiting.js";
import { createWireBundle } from "../tools/wireBundle.js";

const NETWORK = 96;
const CALLER_PORT = 8227;
const SILENT_ENGINE_PORT = 8028;
const BODY_BYTES = 200_000;
/** Five of the bodies. */
const MAX_BYTES = 1_000_000;
/** Two of the bodies. */
const MAX_UPSTREAM_BYTES = 400_000;
const CALLERS = 20;
/** A quarter of the routes' latency goal. */
const MAX_REFUSAL_MS = 200;
/** Longer than the inactivity after which a request is sent to another upstream: 2.5 x the latency goal. */
const SLOW_CALLER_MS = 2_500;
const ANSWER_BYTES = 30_000_000;
/** What the sockets between engine, router and caller hold, with their buffers in the kernel. */
const MAX_SOCKET_BYTES = 16_000_000;
const EVENT = `id: 1\ndata: ${"x".repeat(980)}\n\n`;

const fleet = new DirectFleet(NETWORK);
const waiting: (() => void)[] = [];
const silentSockets: Socket[] = [];
let isHolding = false;
let streamCount = 0;
/** Events of the long answer that the engine's socket has accepted. */
let writtenEvents = 0;
let lastId = 0;

interface Answer {
    readonly status: number;
    readonly ms: number;
    readonly retryAfter: number;
    readonly text: string;
}

async function call(router: string, path: string, bodyBytes: number): Promise<Answer> {
    lastId += 1;
    const startedAt = performance.now();
    const answer = await request(fleet.getCallerUrl(router, path), {
        method: "POST",
        headers: { "Host": "api.example", "Attempt-Id": `a${lastId}`, "Credential": "key-1", "Token-Usage": "10,5" },
        body: "b".repeat(bodyBytes),
    });
    const ms = performance.now() - startedAt;
    const text = await answer.body.text();
    return { status: answer.statusCode, ms, retryAfter: Number(answer.headers["retry-after"]), text };
}

function serve(url: string, id: string, response: ServerResponse): void {
    const head = { "Attempt-Id": id, "Instance-Signature": "sig", "Content-Type": "text/event-stream" };
    if (url === "/s/long") {
        streamCount += 1;
        response.writeHead(200, head);
        const count = ANSWER_BYTES / EVENT.length;
        const write = (): void => {
            while (writtenEvents < count) {
                writtenEvents += 1;
                if (!response.write(EVENT)) {
                    response.once("drain", write);
                    return;
                }
            }
            response.end();
        };
        write();
        return;
    }
    const answer = (): void => void response.writeHead(200, head).end("id: 1\ndata: x\n\n");
    if (isHolding && url === "/s/held") {
        waiting.push(answer);
    }
    else {
        answer();
    }
}

void t.test("memory of request bodies", async t => {
    await fleet.open();
    t.teardown(() => fleet.close());
    await Promise.all(["c1", "c2", "c3"].map(box => fleet.startController(box, true)));
    await fleet.startRouter("r1", { bodyMemory: { maxBytes: MAX_BYTES, maxUpstreamBytes: MAX_BYTES } });
    await fleet.startRouter("r2", { bodyMemory: { maxBytes: MAX_BYTES, maxUpstreamBytes: MAX_UPSTREAM_BYTES } });
    await fleet.startRouter("r3");
    const address = await fleet.startEngine("r21", (message, response) => {
        const answer = (): void => serve(message.url!, String(message.headers["attempt-id"]), response);
        message.once("end", answer);
    });
    const silentEngine = createServer(socket => {
        socket.pause().on("error", () => undefined);
        silentSockets.push(socket);
    });
    await new Promise<void>(resolve => silentEngine.listen(SILENT_ENGINE_PORT, fleet.getIp("r22"), resolve));
    t.teardown(() => {
        silentSockets.forEach(socket => socket.destroy());
        silentEngine.close();
    });
    const bundle = createWireBundle(1);
    bundle.limits.max_body_bytes = 2 * BODY_BYTES;
    bundle.backends.forEach(backend => backend.max_conns = 500);
    // The slow caller's request may not end with its deadline.
    bundle.routes[0]!.timeout_ms = 30_000;
    bundle.tenants[0]!.prepaid = 100_000_000;
    await fleet.putBundle("c1", bundle);
    const known = { zone: "z", slots: 64, state: "ready", cold_left_ms: 0 };
    await fleet.startReporting("c1", "reading", { ...known, backend: "engines", address });
    const silent = `${fleet.getIp("r22")}:${SILENT_ENGINE_PORT}`;
    await fleet.startReporting("c1", "silent", { ...known, backend: "plain", address: silent });
    for (const router of ["r1", "r2", "r3"]) {
        const { registry } = fleet.routers.get(router)!.role.daemon;
        await waitUntil("upstreams known", () => registry.list(0).length === 2);
        await waitUntil("requests served", async () => (await call(router, "/s/x", 2)).status === 200);
    }
    const getHeldBytes = (router: string): number =>
        fleet.routers.get(router)!.role.daemon.bodyMemory?.getHeldBytes() ?? -1;

    await t.test("many callers with large bodies: who fits is served, the others are refused at once", async t => {
        isHolding = true;
        const refused: Answer[] = [];
        const answers = Array.from({ length: CALLERS }, async () => {
            const answer = await call("r1", "/s/held", BODY_BYTES);
            if (answer.status !== 200) {
                refused.push(answer);
            }
            return answer;
        });
        await waitUntil("refusals", () => refused.length === CALLERS - MAX_BYTES / BODY_BYTES);
        t.equal(getHeldBytes("r1"), MAX_BYTES);
        t.ok(refused.every(({ status, text }) => status === 503 && text.includes("bodyMemoryFull")));
        t.ok(refused.every(({ retryAfter }) => retryAfter >= 0.3 && retryAfter <= 1.2), "told when to come back");
        const medianMs = refused.map(({ ms }) => ms).sort((a, b) => a - b)[Math.floor(refused.length / 2)]!;
        t.ok(medianMs < MAX_REFUSAL_MS, `refused after ${Math.round(medianMs)} ms`);
        t.equal((await call("r1", "/s/x", 0)).status, 200, "a request without a body is served");
        isHolding = false;
        waiting.splice(0).forEach(answer => answer());
        const statuses = (await Promise.all(answers)).map(({ status }) => status);
        t.equal(statuses.filter(status => status === 200).length, MAX_BYTES / BODY_BYTES);
        t.equal(getHeldBytes("r1"), 0);
        t.equal((await call("r1", "/s/x", BODY_BYTES)).status, 200);
    });

    await t.test("a caller that leaves in the middle of its body gives the memory back", async () => {
        const socket = connect(CALLER_PORT, fleet.getIp("r1"));
        await once(socket, "connect");
        const head = ["POST /s/x HTTP/1.1", "Host: api.example", "Attempt-Id: a", "Credential: key-1"];
        socket.write([...head, `Content-Length: ${BODY_BYTES}`, "", "b"].join("\r\n"));
        await waitUntil("the reservation", () => getHeldBytes("r1") === BODY_BYTES);
        socket.destroy();
        await waitUntil("the release", () => getHeldBytes("r1") === 0);
    });

    await t.test("an upstream that does not read holds up its own requests only", async t => {
        const refused: Answer[] = [];
        const answers = Array.from({ length: CALLERS }, async () => {
            const answer = await call("r2", "/c/x", BODY_BYTES);
            refused.push(answer);
        });
        await waitUntil("refusals", () => refused.length >= CALLERS - MAX_UPSTREAM_BYTES / BODY_BYTES);
        t.ok(refused.every(({ status, text }) => status === 503 && text.includes("bodyMemoryFull")));
        t.ok(refused.every(({ retryAfter }) => retryAfter >= 0.3 && retryAfter <= 1.2), "told when to come back");
        t.equal(getHeldBytes("r2"), MAX_UPSTREAM_BYTES);
        const others = await Promise.all([1, 2].map(() => call("r2", "/s/x", BODY_BYTES)));
        t.same(others.map(({ status }) => status), [200, 200], "requests to other upstreams are served");
        // The requests that it holds end with their deadline.
        await Promise.all(answers);
        t.equal(getHeldBytes("r2"), 0);
    });

    await t.test("a caller that does not read its answer holds up its own upstream request only", async t => {
        const socket = connect(CALLER_PORT, fleet.getIp("r1"));
        let received = 0;
        socket.on("data", (bytes: Buffer) => received += bytes.length);
        socket.pause();
        await once(socket, "connect");
        const head = ["POST /s/long HTTP/1.1", "Host: api.example", "Attempt-Id: slow", "Credential: key-1"];
        const tokens = Math.ceil(ANSWER_BYTES / EVENT.length) + 1;
        socket.write(
            [...head, `Token-Usage: 10,${tokens}`, "Connection: close", "Content-Length: 0", "", ""].join("\r\n"),
        );
        const startedAt = performance.now();
        while (performance.now() - startedAt < SLOW_CALLER_MS) {
            t.equal((await call("r1", "/s/x", 2)).status, 200);
            await wait(100);
        }
        t.ok(writtenEvents * EVENT.length < MAX_SOCKET_BYTES, `the engine could send ${writtenEvents} events`);
        socket.resume();
        await once(socket, "close");
        t.ok(received > ANSWER_BYTES, `${received} bytes: the whole answer`);
        t.equal(streamCount, 1, "and it ran once: a caller's pause is no silence of the upstream");
    });

    await t.test("without the setting nothing is refused", async t => {
        t.equal(fleet.routers.get("r3")!.role.daemon.bodyMemory, undefined);
        const answers = await Promise.all(Array.from({ length: CALLERS }, () => call("r3", "/s/x", BODY_BYTES)));
        t.same(answers.filter(({ status }) => status !== 200), []);
    });
});

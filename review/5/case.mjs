/** A router is killed while it passes on answers that have no length. Checks that no client takes a part of one for the whole. */
import { connect } from "node:net";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { call, Engine, Fleet, Recorder, wait, waitUntil } from "../stand-ins-2/fleet.mjs";

const HERE = dirname(fileURLToPath(import.meta.url));
const IS_TROUBLE = process.env.TROUBLE !== "0";
const HOST = "a.example";
const KILLED = "edge-1";
const DEADLINE_MS = 15_000;
const EVENTS = 40;
const EVENT_MS = 19;
const CLIENTS = 6;
/** Time from the first event of all answers to the kill. */
const KILL_AFTER_MS = 150;

const CONFIG = {
    config_rev: 1,
    routes: [{
        name: "tile-caption",
        host: HOST,
        path_prefix: "/s/",
        type: "stream",
        timeout_ms: DEADLINE_MS,
        goal_ms: 800,
        prio: 1,
        backend: "wetterwort",
        attempts: 1,
        public: true,
        sticky: true,
        resumable: false,
        itl_target_ms: 400,
    }],
    backends: [{
        name: "wetterwort",
        health_path: "/healthz",
        max_conns: 360,
        protocol: "h1",
        tls: false,
        engine: { slots: 64, kv_capacity: 562_615, stride: 5, models: [{ name: "m" }] },
    }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
};

const record = new Recorder(join(HERE, "record.txt"));
const fleet = new Fleet({ controllers: 3, routers: 2, limits: ["cpu_quota = 0.513", "cores = 1", "memory_mb = 350"] });

function createEvent(number) {
    return `id: ${number}\ndata: piece ${number} of ${EVENTS}\n\n`;
}

const WHOLE_STREAM = Array.from({ length: EVENTS }, (_, i) => createEvent(i + 1)).join("");

/** Sends a stream: in chunks where the path ends with `chunked`, else without a length, as an engine may. */
async function serve(message, response, _body, engine) {
    const id = message.headers["attempt-id"];
    if (!message.url.endsWith("chunked")) {
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
    }
    record.write(`engine ${engine.id} runs ${id}`);
    response.writeHead(200, {
        "Attempt-Id": id,
        "Instance-Signature": `sig-${engine.id}`,
        "Content-Type": "text/event-stream",
    });
    let sentCount = 0;
    while (sentCount < EVENTS && !response.destroyed) {
        sentCount += 1;
        response.write(createEvent(sentCount));
        await wait(EVENT_MS);
    }
    record.write(`engine ${engine.id} has sent ${sentCount} of ${EVENTS} events of ${id}`);
    response.end();
}

/** Sends a request and reads until the connection ends, or until the last chunk. */
function sendRequest(id, path) {
    const client = { id, text: "", error: undefined, hasBegun: false };
    const socket = connect({ host: fleet.getIp(KILLED), port: fleet.ports.http });
    socket.on("connect", () =>
        socket.write(
            `POST ${path} HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: ${id}\r\nDeadline-Ms: ${DEADLINE_MS}\r\n`
                + "Model: m\r\nToken-Usage: 826,200\r\nPrefix-Hash: 5c1e07a2:198,91bd3f06:628\r\nContent-Length: 2\r\n\r\n{}",
        ));
    socket.on("data", bytes => {
        client.text += bytes.toString("latin1");
        client.hasBegun ||= client.text.includes(createEvent(1));
        if (client.text.endsWith("0\r\n\r\n")) {
            socket.end();
        }
    });
    socket.on("error", failure => client.error = failure.code ?? failure.message);
    socket.setTimeout(DEADLINE_MS, () => socket.destroy(new Error("timeout")));
    client.ended = new Promise(resolve => socket.on("close", resolve));
    return client;
}

/** Returns whether a client takes a part of its answer for the whole. */
function isBroken({ id, text, error }) {
    const split = text.indexOf("\r\n\r\n");
    const head = text.slice(0, split);
    const isChunked = /^transfer-encoding: *chunked/im.test(head);
    const isComplete = error === undefined && (isChunked ? text.endsWith("0\r\n\r\n") : true);
    const eventCount = (text.match(/^data: /gm) ?? []).length;
    const isWhole = isChunked ? eventCount === EVENTS : text.slice(split + 4) === WHOLE_STREAM;
    record.write(
        `client: ${id} (${isChunked ? "in chunks" : "without a length"}) has ${eventCount} of ${EVENTS} events, ended `
            + `${error === undefined ? "by a regular close" : `by ${error}`}: ${
                isComplete ? "complete" : "not complete"
            }`,
    );
    const isMixed = head.startsWith("HTTP/1.1 200") && isComplete && !isWhole;
    if (isMixed) {
        record.write(`MIXED: ${id} looks complete and is not`);
    }
    return isMixed;
}

async function main() {
    await fleet.start(CONFIG);
    for (let number = 1; number <= 3; number++) {
        await fleet.startEngine(new Engine(number, "wetterwort", serve));
    }
    await waitUntil("the engines", async () => {
        const headers = { Host: HOST, "Attempt-Id": `first-${Math.random()}`, "Deadline-Ms": "3000" };
        const url = `http://${fleet.getIp(KILLED)}:${fleet.ports.http}/s/chunked`;
        return (await call(url, { method: "POST", headers, timeoutMs: 3_000 })).status === 200;
    });
    const clients = Array.from(
        { length: CLIENTS },
        (_, i) => sendRequest(`caption-${i + 1}`, i % 2 === 0 ? "/s/plain" : "/s/chunked"),
    );
    await waitUntil("the first events", () => clients.every(({ hasBegun }) => hasBegun), 5_000);
    await wait(KILL_AFTER_MS);
    if (IS_TROUBLE) {
        record.write(`SIGKILL to ${KILLED}`);
        fleet.signal(KILLED, "SIGKILL");
    }
    await Promise.all(clients.map(({ ended }) => ended));
    const broken = clients.filter(isBroken).length;
    record.write(`${broken} of ${CLIENTS} answers look complete and are not`);
    return broken > 0 ? 1 : 0;
}

let exitCode = 2;
try {
    exitCode = await main();
}
catch (error) {
    record.write(`could not run: ${error.stack}`);
}
finally {
    await fleet.close();
}
process.exit(exitCode);

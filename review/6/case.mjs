/**
 * A controller loses its disk right after it has acknowledged a configuration; a valid configuration with a very high limit is sent
 * before it is back. Checks that usual configurations are acknowledged afterwards.
 */
import { rmSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { call, Engine, Fleet, GrowingPause, Recorder, runCase, wait, waitUntil } from "../stand-ins-2/fleet.mjs";

const HERE = dirname(fileURLToPath(import.meta.url));
const IS_TROUBLE = process.env.TROUBLE !== "0";
const HOST = "a.example";
const KEY = "n2ctnfzs989anu6wsjnb";
/** Bound of the pages for an acknowledgement, and the 3 ms for each route. */
const ACK_MS = 4_000 + 3;
/** `after_ack_wipe` on srp-lima. */
const DOWN_MS = 3_000;
/** The other two elect a leader before the configuration with the high limit is sent. */
const ELECTION_MS = 1_200;
/** The core is stable three seconds after a start (`contact_ms`); a calm machine is in touch by then. */
const CALM_MS = 6_000;
const BETWEEN_MS = 1_000;
const USUAL_LIMIT = "2000000";
/** The highest 64-bit number, as operators write a limit that is not to be reached. */
const HIGH_LIMIT = "9223372036854775807";
const PROMPT_TOKENS = 400;
const MAX_OUTPUT_TOKENS = 100;

const record = new Recorder(join(HERE, "record.txt"));
const fleet = new Fleet({ controllers: 3, routers: 1 });

function formatConfig(revision, limit) {
    const config = {
        config_rev: revision,
        routes: [{
            name: "tile-caption",
            host: HOST,
            path_prefix: "/s/",
            type: "stream",
            timeout_ms: 15_000,
            goal_ms: 800,
            prio: 1,
            backend: "wetterwort",
            attempts: 1,
            public: false,
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
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: [{ name: "hule930", api_keys: [KEY], prio: 1, prepaid: 0 }],
    };
    return JSON.stringify(config).replace("\"prepaid\":0", `"prepaid":${limit}`);
}

/** Number of calls so far: each goes to the next controller. */
let callCount = 0;
/** URL of the controller that has acknowledged the last configuration. */
let acknowledgedBy;

/** Sends a configuration to one controller after the other, as the operator does. Returns whether it is acknowledged in time. */
async function putConfig(revision, limit) {
    const body = formatConfig(revision, limit);
    const startedAt = performance.now();
    const pause = new GrowingPause();
    let answer;
    while (performance.now() - startedAt < ACK_MS) {
        callCount += 1;
        const url = `${fleet.getControlUrl(fleet.controllers[callCount % fleet.controllers.length])}/loomwinch/config`;
        const headers = { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(body) };
        answer = await call(url, { method: "PUT", headers, body });
        if (answer.status === 200) {
            acknowledgedBy = url;
            break;
        }
        if (answer.status >= 400 && answer.status < 500) {
            break;
        }
        await pause.wait();
    }
    const tookMs = Math.round(performance.now() - startedAt);
    const outcome = answer.status === 200 ? "acknowledged" : "not acknowledged";
    record.write(
        `operator: revision ${revision}, prepaid ${limit}: ${outcome} after ${tookMs} ms (${answer.status} ${answer.text})`,
    );
    return answer.status === 200;
}

function serve(message, response, _body, engine) {
    response.writeHead(200, {
        "Attempt-Id": message.headers["attempt-id"],
        "Instance-Signature": `sig-${engine.id}`,
        "Content-Type": "text/event-stream",
    });
    response.end("id: 1\ndata: piece 1\n\n");
}

async function sendRequest(id) {
    const headers = {
        "Host": HOST,
        "Attempt-Id": id,
        "Credential": KEY,
        "Deadline-Ms": "3000",
        "Model": "m",
        "Token-Usage": `${PROMPT_TOKENS},${MAX_OUTPUT_TOKENS}`,
        "Prefix-Hash": "5c1e07a2:198,91bd3f06:202",
    };
    const url = `http://${fleet.getIp("edge-1")}:${fleet.ports.http}/s/x`;
    return (await call(url, { method: "POST", headers, timeoutMs: 3_000 })).status;
}

/** A controller that does not lead may refuse it, so it is sent twice: the second call begins at the next controller. */
async function sendHighLimit() {
    for (const revision of [3, 4]) {
        await putConfig(revision, IS_TROUBLE ? HIGH_LIMIT : "3000000");
    }
}

async function main() {
    await fleet.start(JSON.parse(formatConfig(1, USUAL_LIMIT)));
    await fleet.startEngine(new Engine(1, "wetterwort", serve));
    await waitUntil("a request", async () => await sendRequest(`first-${Math.random()}`) === 200);
    if (!await putConfig(2, USUAL_LIMIT)) {
        return undefined;
    }
    const lost = fleet.controllers.find(name => acknowledgedBy.startsWith(fleet.getControlUrl(name)));
    record.write(`${lost}, which has acknowledged it, is killed and loses its disk`);
    fleet.signal(lost, "SIGKILL");
    await waitUntil("the kill", () => !fleet.isRunning(lost));
    const killedAt = performance.now();
    rmSync(fleet.getDataFolder(lost), { recursive: true });
    await wait(ELECTION_MS);
    const sending = sendHighLimit();
    await wait(DOWN_MS - (performance.now() - killedAt));
    record.write(`${lost} starts again with an empty disk`);
    fleet.startProcess(lost);
    await sending;
    await wait(CALM_MS);
    const acknowledged = [];
    for (let revision = 5; revision <= 9; revision++) {
        acknowledged.push(await putConfig(revision, "4000000"));
        await wait(BETWEEN_MS);
    }
    for (let i = 1; i <= 3; i++) {
        record.write(`client: request ${i} of the tenant gets ${await sendRequest(`last-${i}`)}`);
    }
    const missing = acknowledged.filter(isAcknowledged => !isAcknowledged).length;
    record.write(`${missing} of ${acknowledged.length} usual configurations after it are not acknowledged`);
    return missing > 0;
}

await runCase(record, fleet, main);

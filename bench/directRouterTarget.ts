/**
 * Target of `npm run bench:relay`: CPU time that one request costs a direct router. The router is a real process with the
 * settings of a small box; controllers, HTTP engines and callers run in this process.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import type { IncomingMessage, ServerResponse } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Agent } from "undici";
import { DirectFleet } from "../test/tools/directFleet.js";
import { wait, waitUntil } from "../test/tools/waiting.js";

/** Second octet of the addresses; not used by any test. */
const NETWORK = 196;
const REQUESTS_PER_SECOND = 60;
const WARM_UP_SECONDS = 3;
const SECONDS = 10;
const ENGINES = 12;
const PLAIN_ENGINES = 2;
const ACCOUNTS = 24;
/** Time between the events of a stream: four tokens at about 6 ms. */
const EVENT_INTERVAL_MS = 24;
const EVENT_TEXT = "y".repeat(40);
const PLAIN_ANSWER = "x".repeat(800);
const PLAIN_ANSWER_DELAY_MS = 40;
/** Kinds of request: events of the answer (0: plain), prompt tokens, output tokens. One cycle has the shares of the load. */
const [LONG_PROMPT, SHORT_STREAM, LONG_STREAM, PLAIN] = [
    { events: 13, promptTokens: 9_190, outputTokens: 60 },
    { events: 6, promptTokens: 2_368, outputTokens: 30 },
    { events: 70, promptTokens: 715, outputTokens: 300 },
    { events: 0, promptTokens: 0, outputTokens: 0 },
] as const;
const CYCLE = [LONG_PROMPT, SHORT_STREAM, LONG_STREAM, PLAIN, SHORT_STREAM, LONG_STREAM, PLAIN, LONG_PROMPT, PLAIN];
/** CPU time counted by the kernel in units of 10 ms. */
const MS_PER_CLOCK_TICK = 10;

/** An engine that answers with as many events as the target of the request says. */
function serveRequest(message: IncomingMessage, response: ServerResponse): void {
    const head = { "Attempt-Id": message.headers["attempt-id"], "Instance-Signature": "sig.1.2.3" };
    const eventCount = Number(message.url!.split("=")[1]);
    if (eventCount === 0) {
        const write = (): void => {
            response.writeHead(200, { ...head, "Content-Length": PLAIN_ANSWER.length }).end(PLAIN_ANSWER);
        };
        setTimeout(write, PLAIN_ANSWER_DELAY_MS);
        return;
    }
    response.writeHead(200, { ...head, "Content-Type": "text/event-stream" });
    let count = 0;
    const timer = setInterval(() => {
        count += 1;
        response.write(`id: ${count}\ndata: ${EVENT_TEXT}\n\n`);
        if (count === eventCount) {
            clearInterval(timer);
            response.end();
        }
    }, EVENT_INTERVAL_MS);
    response.on("close", () => clearInterval(timer));
}

function createBundle(): object {
    const route = { host: "h", prio: 0, attempts: 2, public: false };
    const service = { health_path: "/h", max_conns: 600, protocol: "h1", tls: false };
    const stream = { ...route, type: "stream", timeout_ms: 15_000, goal_ms: 600, sticky: true, resumable: true };
    const plain = { ...route, type: "safe", timeout_ms: 1_500, goal_ms: 400, sticky: false, resumable: false };
    return {
        config_rev: 1,
        routes: [
            { ...stream, name: "stream", path_prefix: "/s/", backend: "model", itl_target_ms: 400 },
            { ...plain, name: "plain", path_prefix: "/p/", backend: "plain" },
        ],
        backends: [
            {
                ...service,
                name: "model",
                engine: {
                    slots: 96,
                    kv_capacity: 317_000,
                    kv_bytes: 262_144,
                    link_mbps: 1_100_000,
                    moves: true,
                    backups: true,
                    stride: 4,
                    most: 12,
                    pin_ms: 4_000,
                    hold_ms: 2_000,
                    ref_ttl_s: 5,
                    models: [{ name: "m" }],
                },
            },
            { ...service, name: "plain" },
        ],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: Array.from({ length: ACCOUNTS }, (_, i) => ({
            name: `t${i}`,
            api_keys: [`k${i}`],
            prio: 1,
            prepaid: 2_000_000_000,
        })),
    };
}

/** Starts controllers and engines and a router process; resolves when the router is ready. */
async function startRouterProcess(fleet: DirectFleet, folder: string): Promise<{ child: ChildProcess; url: string; }> {
    await Promise.all(["c1", "c2", "c3"].map(box => fleet.startController(box, true)));
    await fleet.putBundle("c1", createBundle());
    for (let i = 1; i <= ENGINES; i++) {
        const address = await fleet.startEngine(`u${i}`, serveRequest);
        const backend = i <= PLAIN_ENGINES ? "plain" : "model";
        const state = { zone: "z", slots: 96, state: "ready", cold_left_ms: 0 };
        await fleet.startReporting("c1", `u${i}`, { ...state, backend, address });
    }
    const ip = fleet.getIp("r1");
    const settingsPath = join(folder, "node.toml");
    await writeFile(
        settingsPath,
        `
            node_name = "r1"
            ip = "${ip}"
            zone = "z"
            port_range = [7340, 7345]
            seeds = ["${fleet.getIp("c1")}:8229"]
            [listen]
            http = "${ip}:8227"
            readiness = "${ip}:8220"
            [limits]
            cpu_quota = 0.2
        `,
    );
    const child = spawn(
        process.execPath,
        [fileURLToPath(new URL("../platform/main.js", import.meta.url)), "router"],
        { env: { ...process.env, LOOMWINCH_NODE_FILE: settingsPath }, stdio: ["ignore", "ignore", "inherit"] },
    );
    await waitUntil(
        "the router to be ready",
        async () => (await fleet.sendRequest("GET", `http://${ip}:8220/loomwinch/readyz`)).status === 200,
    );
    return { child, url: `http://${ip}:8227` };
}

/** CPU time that a process has used, in ms. */
function getCpuMs(pid: number): { user: number; system: number; } {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]!.split(" ");
    return { user: Number(fields[11]) * MS_PER_CLOCK_TICK, system: Number(fields[12]) * MS_PER_CLOCK_TICK };
}

/** Sends one request; returns the time to the first byte in ms, or the status or error code if it was not answered. */
async function send(agent: Agent, url: string, index: number): Promise<number | string> {
    const { events, promptTokens, outputTokens } = CYCLE[index % CYCLE.length]!;
    const third = Math.floor(promptTokens / 3);
    const parts = `p${index % 4}:${third},q${index % 300}:${third},u${index}:${promptTokens - 2 * third}`;
    const startedAt = performance.now();
    try {
        const { statusCode, body } = await agent.request({
            origin: url,
            path: `/${events === 0 ? "p" : "s"}/x?e=${events}`,
            method: "POST",
            headers: {
                "Host": "h",
                "Attempt-Id": `a${index}`,
                "Credential": `k${index % ACCOUNTS}`,
                "Deadline-Ms": "15000",
                ...(events === 0
                    ? {}
                    : { "Model": "m", "Token-Usage": `${promptTokens},${outputTokens}`, "Prefix-Hash": parts }),
            },
            body: "b".repeat(events === 0 ? 600 : promptTokens),
        });
        let firstMs = NaN;
        for await (const chunk of body) {
            void chunk;
            firstMs = Number.isNaN(firstMs) ? performance.now() - startedAt : firstMs;
        }
        return statusCode === 200 ? firstMs : String(statusCode);
    }
    catch (error) {
        return String((error as NodeJS.ErrnoException).code);
    }
}

/** Sends requests at a fixed rate; resolves when the last one has been sent. */
async function sendAtRate(seconds: number, sendNext: () => void): Promise<void> {
    const startedAt = performance.now();
    for (let count = 0; count < seconds * REQUESTS_PER_SECOND; count++) {
        await wait(startedAt + count * 1_000 / REQUESTS_PER_SECOND - performance.now());
        sendNext();
    }
}

/** Runs the target and prints one line. */
export async function runDirectRouterTarget(): Promise<void> {
    const folder = await mkdtemp(join(tmpdir(), "loomwinch-bench-"));
    const fleet = new DirectFleet(NETWORK);
    await fleet.open();
    const { child, url } = await startRouterProcess(fleet, folder);
    const agent = new Agent({ connections: 400 });
    const results: Promise<number | string>[] = [];
    const sendNext = (): void => void results.push(send(agent, url, results.length));
    await sendAtRate(WARM_UP_SECONDS, sendNext);
    const warmUpCount = results.length;
    const before = getCpuMs(child.pid!);
    await sendAtRate(SECONDS, sendNext);
    const after = getCpuMs(child.pid!);
    const measured = (await Promise.all(results)).slice(warmUpCount);
    const firstMs = measured.filter(result => typeof result === "number").sort((a, b) => a - b);
    const failures = [...new Set(measured.filter(result => typeof result === "string"))];
    const pick = (part: number): string => (firstMs[Math.floor(firstMs.length * part)] ?? NaN).toFixed(1);
    console.log(
        `target=direct-router requests=${measured.length} answered=${firstMs.length} failures=${
            failures.join(",") || "none"
        } user_ms_per_request=${((after.user - before.user) / measured.length).toFixed(3)} system_ms_per_request=${
            ((after.system - before.system) / measured.length).toFixed(3)
        } first_ms_p50=${pick(0.5)} first_ms_p99=${pick(0.99)}`,
    );
    await agent.close();
    const exited = once(child, "exit");
    child.kill("SIGTERM");
    await exited;
    await fleet.close();
    await rm(folder, { recursive: true });
}

/**
 * Runs a small deployment for the cases of this review: the project's own programs as separate processes, each machine at a
 * loopback address of its own, with an operator, engines and clients as stand-ins.
 */
import { spawn } from "node:child_process";
import { appendFileSync, mkdirSync, mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
import { Agent, createServer, request } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const HERE = dirname(fileURLToPath(import.meta.url));
const ROOT = join(HERE, "..", "..");
const PROGRAM = join(ROOT, "target", "main.mjs");
/** Must match `deploy/system.toml`. */
const METRICS_PORT = 9464;
const START_TIMEOUT_MS = 30_000;
const CALL_TIMEOUT_MS = 1_000;
const HEARTBEAT_MS = 1_200;
const CLOSE_GRACE_MS = 2_000;

export const wait = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Resolves once `check` answers true; rejects after `timeoutMs`. */
export async function waitUntil(name, check, timeoutMs = START_TIMEOUT_MS) {
    const deadline = performance.now() + timeoutMs;
    while (!await check()) {
        if (performance.now() > deadline) {
            throw new Error(`timed out: ${name}`);
        }
        await wait(50);
    }
}

/** Writes what was sent, answered and run, with the milliseconds since the start. */
export class Recorder {
    constructor(path) {
        this.path = path;
        this.startedAt = performance.now();
        writeFileSync(path, "");
    }

    write(text) {
        const line = `${(performance.now() - this.startedAt).toFixed(0).padStart(7)} ${text}`;
        appendFileSync(this.path, `${line}\n`);
        console.log(line);
    }
}

/** Sends one HTTP request and reads the whole answer. Resolves to `{ status, headers, text, isComplete }`; never rejects. */
export function call(url, { method = "GET", headers = {}, body, timeoutMs = CALL_TIMEOUT_MS, agent } = {}) {
    return new Promise(resolve => {
        const outgoing = request(url, { method, headers, agent, timeout: timeoutMs }, answer => {
            const chunks = [];
            const finish = isComplete =>
                resolve({
                    status: answer.statusCode,
                    headers: answer.headers,
                    text: Buffer.concat(chunks).toString(),
                    isComplete,
                });
            answer.on("data", chunk => chunks.push(chunk));
            answer.on("end", () => finish(answer.complete));
            answer.on("error", () => finish(false));
            answer.on("aborted", () => finish(false));
        });
        outgoing.on("timeout", () => outgoing.destroy(new Error("timeout")));
        outgoing.on("error", error => resolve({ status: 0, error: String(error), text: "", isComplete: false }));
        outgoing.end(body);
    });
}

/** Whether a TCP port can be bound. */
function isFree(host, port) {
    return new Promise(resolve => {
        const probe = createTcpServer();
        probe.on("error", () => resolve(false));
        probe.listen(port, host, () => probe.close(() => resolve(true)));
    });
}

export class Fleet {
    /** `limits`: lines of the section of that name in the settings of each router. `losses`: of machines, that are tolerated. */
    constructor({ controllers = 3, routers = 2, graceS = 8, limits = [], losses = 1 } = {}) {
        this.folder = mkdtempSync(join(tmpdir(), "loomwinch-review-"));
        this.controllers = Array.from({ length: controllers }, (_, i) => `core-${i + 1}`);
        this.routers = Array.from({ length: routers }, (_, i) => `edge-${i + 1}`);
        this.graceS = graceS;
        this.limits = limits;
        this.losses = losses;
        this.processes = new Map();
        this.exits = new Map();
        this.engines = [];
        this.isClosing = false;
        this.hasStarted = new Set();
    }

    /** Chooses a network and ports that are free. */
    async reserve() {
        for (let attempt = 0; attempt < 50; attempt++) {
            this.network = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
            this.ports = { peer: 7340, http: 8227, ready: 8220, admin: 8229 };
            const ports = [METRICS_PORT, ...Object.values(this.ports), this.ports.peer + 1];
            const hosts = [...this.controllers, ...this.routers].map(name => this.getIp(name));
            const free = await Promise.all(hosts.flatMap(host => ports.map(port => isFree(host, port))));
            if (free.every(Boolean)) {
                return;
            }
        }
        throw new Error("no free addresses");
    }

    getIp(name) {
        const [kind, number] = name.split("-");
        return `${this.network}.${{ core: 10, edge: 40, side: 70 }[kind] + Number(number)}`;
    }

    getControlUrl(name) {
        return `http://${this.getIp(name)}:${this.ports.admin}`;
    }

    getDataFolder(name) {
        return join(this.folder, `${name}-data`);
    }

    /** Starts all machines and puts the configuration; resolves when every router is ready. */
    async start(config) {
        await this.reserve();
        [...this.controllers, ...this.routers].forEach(name => this.startProcess(name));
        await waitUntil("the configuration", () => this.putConfig(config));
        await waitUntil("the routers", async () => {
            const ready = await Promise.all(this.routers.map(name => this.isReady(name)));
            return ready.every(Boolean);
        });
    }

    startProcess(name) {
        const isController = name.startsWith("core");
        const role = isController ? "controller" : "router";
        const settings = join(this.folder, `${name}.toml`);
        writeFileSync(settings, this.formatSettings(name, isController));
        this.hasStarted.add(name);
        const output = openSync(join(this.folder, `${name}.log`), "a");
        // The arguments of `run` in deploy/system.toml.
        const child = spawn(process.execPath, ["--max-old-space-size=160", PROGRAM, role], {
            cwd: ROOT,
            env: {
                PATH: process.env.PATH,
                LOOMWINCH_NODE_FILE: settings,
                LOOMWINCH_FLEET_SECRET: "set-your-own-per-deployment",
            },
            stdio: ["ignore", output, output],
        });
        this.processes.set(name, child);
        this.exits.set(name, undefined);
        child.on("exit", (code, signal) => {
            if (this.processes.get(name) === child) {
                this.exits.set(name, { code, signal, at: performance.now() });
            }
        });
    }

    formatSettings(name, isController) {
        const ip = this.getIp(name);
        const seeds = this.controllers.slice(0, 3).map(seed => `"${this.getIp(seed)}:${this.ports.admin}"`);
        const data = this.getDataFolder(name);
        if (isController) {
            mkdirSync(data, { recursive: true });
        }
        return [
            `node_name = "${name}"`,
            `ip = "${ip}"`,
            `zone = "halle-wien"`,
            `region = "ostalpen"`,
            `port_range = [${this.ports.peer},${this.ports.peer + 15}]`,
            `seeds = [${seeds.join(",")}]`,
            `bootstrap = ${!this.hasStarted.has(name)}`,
            `heartbeat_ms = ${HEARTBEAT_MS}`,
            ...(isController ? [`data_dir = "${data}"`] : []),
            "[listen]",
            ...(isController
                ? [`admin = "${ip}:${this.ports.admin}"`]
                : [`http = "${ip}:${this.ports.http}"`, `readiness = "${ip}:${this.ports.ready}"`]),
            "[limits]",
            ...(isController ? [] : this.limits),
            "[fault_budget]",
            `machines = ${this.losses}`,
            "[bounds]",
            `grace_s = ${this.graceS}`,
            "retry_ratio = 0.2",
            "retry_slack = 52",
            "retry_window_s = 10",
            "catch_up_s = 4",
            "",
        ].join("\n");
    }

    async isReady(name) {
        return (await call(`http://${this.getIp(name)}:${this.ports.ready}/loomwinch/readyz`)).status === 200;
    }

    /** Returns whether a controller has acknowledged the configuration. */
    async putConfig(config) {
        const body = JSON.stringify(config);
        for (const name of this.controllers) {
            const headers = { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(body) };
            const answer = await call(`${this.getControlUrl(name)}/loomwinch/config`, { method: "PUT", headers, body });
            if (answer.status === 200) {
                return true;
            }
        }
        return false;
    }

    signal(name, signal) {
        this.processes.get(name).kill(signal);
    }

    isRunning(name) {
        return this.exits.get(name) === undefined;
    }

    /** Starts an engine that registers with the controllers until the fleet is closed. */
    async startEngine(engine) {
        this.engines.push(engine);
        await engine.start(this);
        void this.runHeartbeats(engine);
    }

    async runHeartbeats(engine) {
        for (let seqno = 1; !this.isClosing && !engine.isStopped; seqno++) {
            const body = JSON.stringify({ ...engine.registration, seqno });
            for (const name of this.controllers) {
                const url = `${this.getControlUrl(name)}/loomwinch/instances/${engine.id}`;
                const headers = { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(body) };
                const answer = await call(url, { method: "PUT", headers, body });
                if (answer.status === 200) {
                    engine.isRegistered = true;
                    break;
                }
            }
            await wait(HEARTBEAT_MS);
        }
    }

    /** Ends all processes that were started, and waits for it. */
    close() {
        this.closing ??= this.endAll();
        return this.closing;
    }

    async endAll() {
        this.isClosing = true;
        const running = [...this.processes].filter(([name]) => this.isRunning(name));
        running.forEach(([, child]) => child.kill("SIGCONT"));
        running.forEach(([, child]) => child.kill("SIGTERM"));
        const areAllEnded = () => running.every(([name]) => !this.isRunning(name));
        await waitUntil("the stop", areAllEnded, CLOSE_GRACE_MS).catch(() => undefined);
        running.filter(([name]) => this.isRunning(name)).forEach(([, child]) => child.kill("SIGKILL"));
        await waitUntil("the end of all processes", areAllEnded, CLOSE_GRACE_MS);
        await Promise.all(this.engines.map(engine => engine.stop()));
        rmSync(this.folder, { recursive: true, force: true });
    }
}

function createRegistration(service, host, port, slots) {
    return {
        backend: service,
        address: `${host}:${port}`,
        zone: "halle-wien",
        config_rev: "v1",
        slots,
        state: "ready",
        cold_left_ms: 0,
    };
}

/** An engine that answers by `serve(message, response, body, engine)`. */
export class Engine {
    constructor(number, service, serve, slots = 64) {
        this.id = `i-${service}-${number}`;
        this.number = number;
        this.service = service;
        this.serve = serve;
        this.slots = slots;
        this.isRegistered = false;
        this.isStopped = false;
    }

    async start(fleet) {
        const host = fleet.getIp(`side-${this.number}`);
        this.server = createServer((message, response) => this.handle(message, response));
        this.server.keepAliveTimeout = 60_000;
        await new Promise(resolve => this.server.listen(0, host, resolve));
        this.registration = createRegistration(this.service, host, this.server.address().port, this.slots);
    }

    handle(message, response) {
        const chunks = [];
        message.on("data", chunk => chunks.push(chunk));
        message.on("end", () => {
            const id = message.headers["attempt-id"];
            if (message.headers["expect-instance"] !== this.id) {
                response.writeHead(421, { "Attempt-Id": id, "Not-Executed": "1", "Content-Length": 0 }).end();
                return;
            }
            this.serve(message, response, Buffer.concat(chunks), this);
        });
    }

    async stop() {
        this.isStopped = true;
        this.server.closeAllConnections();
        await new Promise(resolve => this.server.close(resolve));
    }
}

/** Exit codes of the scripts; `run.sh` turns `broken` into 1, so that a script that fails by itself isn't taken for it. */
const ExitCodes = { held: 0, couldNotRun: 2, broken: 10 };
/** A script may run for 120 s. */
const MAX_RUN_MS = 112_000;

/** Plays a case and exits. `play` resolves to whether the rule was broken; undefined if the case could not run. */
export async function runCase(record, fleet, play) {
    const exit = async (code, reason) => {
        if (reason !== undefined) {
            record.write(`could not run: ${reason}`);
        }
        await fleet.close().catch(error => record.write(`not ended: ${error}`));
        process.exit(code);
    };
    process.on("uncaughtException", error => void exit(ExitCodes.couldNotRun, error.stack));
    process.on("SIGTERM", () => void exit(ExitCodes.couldNotRun, "SIGTERM"));
    process.on("SIGINT", () => void exit(ExitCodes.couldNotRun, "SIGINT"));
    setTimeout(() => void exit(ExitCodes.couldNotRun, "out of time"), MAX_RUN_MS);
    try {
        const isBroken = await play();
        await exit(isBroken === undefined ? ExitCodes.couldNotRun : isBroken ? ExitCodes.broken : ExitCodes.held);
    }
    catch (error) {
        await exit(ExitCodes.couldNotRun, error.stack);
    }
}

const FIRST_PAUSE_MS = 50;
const PAUSE_FACTOR = 1.5;
const MAX_PAUSE_MS = 1_000;

/** The pauses of an operator's call after failures, which grow. */
export class GrowingPause {
    constructor() {
        this.pauseMs = FIRST_PAUSE_MS;
    }

    async wait() {
        await wait(this.pauseMs * (0.5 + Math.random() / 2));
        this.pauseMs = Math.min(MAX_PAUSE_MS, this.pauseMs * PAUSE_FACTOR);
    }
}

export { Agent };

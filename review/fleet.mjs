/**
 * Starts controllers and routers with the commands of the deploy file, as separate processes on loopback addresses and on the
 * real clock. The settings are those of the small site `srp-lima`; all machines are in its zone `lima-miraflores`,
 * which has two routers.
 */
import { spawn } from "node:child_process";
import { appendFileSync, existsSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { parse } from "smol-toml";
import { HEARTBEAT_MS, now, sendHttp, SetupError, wait } from "./standIns.mjs";

const repository = dirname(dirname(fileURLToPath(import.meta.url)));

export const CLIENT_PORT = 8227;
const READINESS_PORT = 8220;
const CONTROL_PORT = 8229;
const METRICS_PORT = 9464;
/** Bounds of the site, in milliseconds. */
export const CONTACT_MS = 3_000;
export const GRACE_MS = 8_000;
/** A case may run for 120 s. */
const CASE_TIMEOUT_MS = 115_000;
/** First host number of the machines of each class. */
const HOST_NUMBERS = { core: 0, edge: 100, side: 150 };

/** Writes what was sent, answered and run to record.txt, one JSON object a line. */
class Recorder {
    constructor(folder) {
        this.path = join(folder, "record.txt");
        this.startedAt = now();
        writeFileSync(this.path, "");
    }

    add(event, fields = {}) {
        const line = { ms: Math.round(now() - this.startedAt), event, ...fields };
        appendFileSync(this.path, `${JSON.stringify(line)}\n`);
    }
}

function canListen(host, port) {
    return new Promise(resolve => {
        const server = net.createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });
}

/** Finds a loopback network on which nothing listens at the ports in use. */
async function findFreeNetwork() {
    for (let i = 0; i < 50; i++) {
        const network = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
        if (await canListen(`${network}.1`, CONTROL_PORT) && await canListen(`${network}.101`, CLIENT_PORT)) {
            return network;
        }
    }
    throw new SetupError("no free loopback network");
}

export class Fleet {
    processes = new Map();
    isFirstStart = true;

    static async create(recorder, { controllers, routers }) {
        if (!existsSync(join(repository, "target/main.mjs"))) {
            throw new SetupError("target/main.mjs is missing: run node platform/build.mjs");
        }
        const fleet = new Fleet();
        fleet.recorder = recorder;
        fleet.network = await findFreeNetwork();
        fleet.folder = mkdtempSync(join(tmpdir(), "loomwinch-review-"));
        fleet.roles = parse(readFileSync(join(repository, "deploy/system.toml"), "utf8")).roles;
        fleet.controllers = Array.from({ length: controllers }, (_, i) => `core-${i + 1}`);
        fleet.routers = Array.from({ length: routers }, (_, i) => `edge-${i + 1}`);
        return fleet;
    }

    /** Returns the IP address of a machine such as `core-1`, `edge-1` or `side-1`. */
    getHost(name) {
        const [machineClass, number] = name.split("-");
        return `${this.network}.${HOST_NUMBERS[machineClass] + Number(number)}`;
    }

    getControllerHosts() {
        return this.controllers.map(name => this.getHost(name));
    }

    startAll() {
        [...this.controllers, ...this.routers].forEach(name => this.start(name));
    }

    start(name) {
        const isController = name.startsWith("core");
        const role = this.roles[isController ? "controller" : "router"];
        const [command, ...args] = role.run.split(" ");
        const settingsPath = join(this.folder, `${name}.toml`);
        writeFileSync(settingsPath, this.formatSettings(name, isController));
        const { PATH, HOME, LANG } = process.env;
        const child = spawn(command, args, {
            cwd: repository,
            env: { PATH, HOME, LANG, ...role.env, LOOMWINCH_NODE_FILE: settingsPath },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const entry = { child, hasEnded: false, ended: undefined };
        entry.ended = new Promise(resolve =>
            child.on("exit", (code, signal) => {
                entry.hasEnded = true;
                this.recorder.add("process_ended", { name, code, signal });
                resolve();
            })
        );
        for (const output of [child.stdout, child.stderr]) {
            output.on("data", text => appendFileSync(join(this.folder, `${name}.log`), text));
        }
        this.processes.set(name, entry);
        this.recorder.add("process_started", { name });
    }

    signal(name, signal) {
        this.recorder.add("signal", { name, signal });
        this.processes.get(name).child.kill(signal);
    }

    waitEnded(name) {
        return this.processes.get(name).ended;
    }

    /** Ends all processes that were started, and removes the temporary folder unless KEEP=1. */
    async close() {
        for (const { child, hasEnded } of this.processes.values()) {
            if (!hasEnded) {
                child.kill("SIGKILL");
            }
        }
        await Promise.all([...this.processes.values()].map(({ ended }) => ended));
        if (process.env.KEEP === "1") {
            console.log(`logs are kept in ${this.folder}`);
        }
        else {
            rmSync(this.folder, { recursive: true, force: true });
        }
    }

    async waitReady(names = this.routers) {
        const deadline = now() + 15_000;
        for (const name of names) {
            const probe = { host: this.getHost(name), port: READINESS_PORT, path: "/loomwinch/readyz" };
            while ((await sendHttp(probe)).status !== 200) {
                if (now() > deadline) {
                    throw new SetupError(`${name} does not become ready`);
                }
                await wait(50);
            }
        }
    }

    /** Sends a configuration as the operator does: to one controller after the other until one acknowledges it. */
    async putConfig(config) {
        const deadline = now() + 12_000;
        for (let i = 0; now() < deadline; i++) {
            const name = this.controllers[i % this.controllers.length];
            const { status } = await sendHttp({
                host: this.getHost(name),
                port: CONTROL_PORT,
                method: "PUT",
                path: "/loomwinch/config",
                headers: { "Content-Type": "application/json" },
                body: JSON.stringify(config),
                timeoutMs: 1_500,
            });
            if (status === 200) {
                this.recorder.add("config_acknowledged", { revision: config.config_rev, by: name });
                return;
            }
            await wait(100);
        }
        throw new SetupError(`configuration ${config.config_rev} was not acknowledged`);
    }

    /** Sends a request of a client to a router. Never rejects. */
    request(router, options) {
        return sendHttp({ host: this.getHost(router), port: CLIENT_PORT, ...options });
    }

    /** Reads one of the figures that a process serves. */
    async readMetric(name, metric) {
        const { body } = await sendHttp({ host: this.getHost(name), port: METRICS_PORT, path: "/metrics" });
        return Number(new RegExp(`^loomwinch_${metric} (\\S+)$`, "m").exec(body)?.[1]);
    }

    formatSettings(name, isController) {
        const host = this.getHost(name);
        const seeds = this.controllers.slice(0, 3).map(seed => `"${this.getHost(seed)}:${CONTROL_PORT}"`);
        const dataFolder = join(this.folder, "data", name);
        if (isController) {
            mkdirSync(dataFolder, { recursive: true });
        }
        return `node_name = "${name}"
role = "${isController ? "controller" : "router"}"
machine_class = "${isController ? "core" : "edge"}"
serves = ["${isController ? "control" : "edge"}"]
ip = "${host}"
zone = "lima-miraflores"
region = "lima"
port_range = [7340,7355]
seeds = [${seeds.join(",")}]
bootstrap = ${this.isFirstStart}
loss_counts = ${isController}
${isController ? `data_dir = "${dataFolder}"` : ""}
discovery = "register"
entry = "vip"
heartbeat_ms = ${HEARTBEAT_MS}
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants"]
config_mode = "highest"
[zones]
lima-miraflores = "lima"
lima-surco = "lima"
lima-callao = "lima"
lima-ate = "lima"
[listen]
${
            isController
                ? `admin = "${host}:${CONTROL_PORT}"`
                : `http = "${host}:${CLIENT_PORT}"\nreadiness = "${host}:${READINESS_PORT}"`
        }
[limits]
cpu_quota = ${isController ? 0.81 : 0.513}
cores = ${isController ? 2 : 1}
memory_mb = ${isController ? 346 : 350}
max_fds = ${isController ? 4096 : 4100}
link_mbps = 1000.0
disk_mb = ${isController ? 128 : 0}
[fault_budget]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = ${CONTACT_MS}
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = ${GRACE_MS / 1_000}
loss_slack_ms = 200
config_ms = 2000
rollback_slack_ms = 250
partition_max_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 56
recover_s = 12
iter_ms = 120
retry_after_s = 10
settle_ms = 1500
`;
    }
}

/**
 * Plays a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run. `play` resolves to a
 * verdict with `isBroken`; whatever is in `closeables` is closed after it. TROUBLE=0 leaves out the disruption.
 */
export async function runCase(folder, play) {
    const recorder = new Recorder(folder);
    const closeables = [];
    let fleet;
    const end = async exitCode => {
        closeables.forEach(closeable => closeable.close());
        await fleet?.close();
        process.exit(exitCode);
    };
    const endEarly = reason => {
        recorder.add("case_ended_early", { reason });
        void end(2);
    };
    const guard = setTimeout(() => endEarly("timeout"), CASE_TIMEOUT_MS);
    process.once("SIGTERM", endEarly);
    process.once("SIGINT", endEarly);
    process.once("uncaughtException", error => endEarly(String(error)));
    try {
        const createFleet = async size => {
            fleet = await Fleet.create(recorder, size);
            return fleet;
        };
        const hasTrouble = process.env.TROUBLE !== "0";
        const verdict = await play({ recorder, hasTrouble, closeables, createFleet });
        clearTimeout(guard);
        recorder.add("verdict", verdict);
        console.log(JSON.stringify(verdict));
        await end(verdict.isBroken ? 1 : 0);
    }
    catch (error) {
        clearTimeout(guard);
        recorder.add("case_could_not_run", { error: String(error) });
        console.error(error);
        await end(2);
    }
}

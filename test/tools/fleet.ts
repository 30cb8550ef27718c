/**
 * A fleet of real processes for tests and replays: writes settings, starts the command line once for each role, and can
 * kill, freeze, restart and cut them. Zones reach each other through relays that can be cut.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { callOperatorApi } from "../../src/cli/operatorClient.js";
import type { FleetStatus } from "../../src/daemons/controller/statusService.js";
import { createAccountKey, createKeyHash } from "../../src/domain/keys.js";
import { CutRelay } from "./cutRelay.js";
import { tryOpenLogFolder } from "./testLogs.js";
import { waitUntil } from "./waiting.js";

const cliPath = join(dirname(fileURLToPath(import.meta.url)), "..", "..", "src", "cli", "main.js");
/** Token of the fleet's operator. */
export const TEST_OPERATOR_TOKEN = "test-operator-token";
const FLEET_SECRET = "test-fleet-secret-0123456789";

/** A service of a fleet, with as many upstreams in each zone. */
export interface FleetService {
    readonly name: string;
    readonly type: "model" | "plain";
    readonly upstreamsPerZone?: number;
    /** In place of `upstreamsPerZone`: as many in all, dealt out zone by zone. */
    readonly upstreams?: number;
    readonly slots?: number;
    readonly spec?: Record<string, unknown>;
    readonly standIn?: Record<string, unknown>;
}

export interface FleetOptions {
    readonly zones: readonly string[];
    readonly routersPerZone?: number;
    readonly services: readonly FleetService[];
    /** Settings that differ from the fleet's own, by role. */
    readonly controller?: Record<string, unknown>;
    readonly router?: Record<string, unknown>;
    readonly sidecar?: Record<string, unknown>;
}

/** One process of a fleet. */
export class FleetProcess {
    private child: ChildProcess | undefined;
    /** Lines it has logged, newest last. */
    readonly logLines: string[] = [];

    constructor(
        readonly name: string,
        readonly role: string,
        readonly zone: string,
        /** Its own port; 0 for one without a peer listener. */
        readonly peerPort: number,
        readonly httpPort: number,
        private readonly settingsPath: string,
    ) {}

    getUrl(): string {
        return `http://127.0.0.1:${this.httpPort}`;
    }

    getPid(): number {
        return this.child!.pid!;
    }

    async start(): Promise<void> {
        const child = spawn(process.execPath, [cliPath, this.role, "--settings", this.settingsPath], {
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.child = child;
        child.stderr.on("data", (bytes: Buffer) => this.logLines.push(...bytes.toString().trimEnd().split("\n")));
        await new Promise<void>((resolve, reject) => {
            child.stdout.on("data", (bytes: Buffer) => {
                const lines = bytes.toString().trimEnd().split("\n");
                this.logLines.push(...lines);
                if (lines.some(line => line.startsWith("ready="))) {
                    resolve();
                }
            });
            child.once(
                "exit",
                code => reject(new Error(`${this.name} ended with ${code}: ${this.logLines.slice(-3).join(" | ")}`)),
            );
        });
    }

    /** Ends it without warning. */
    async kill(): Promise<void> {
        await this.signalAndWait("SIGKILL");
    }

    /** Stops it as planned; answers its exit code. */
    async stop(): Promise<number | undefined> {
        return this.signalAndWait("SIGTERM");
    }

    freeze(): void {
        this.child?.kill("SIGSTOP");
    }

    thaw(): void {
        this.child?.kill("SIGCONT");
    }

    isRunning(): boolean {
        return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
    }

    private async signalAndWait(signal: NodeJS.Signals): Promise<number | undefined> {
        const child = this.child;
        if (child === undefined || !this.isRunning()) {
            return child?.exitCode ?? undefined;
        }
        const ended = new Promise<number | undefined>(resolve =>
            child.once("exit", code => resolve(code ?? undefined))
        );
        child.kill(signal);
        return ended;
    }
}

interface Link {
    readonly fromZone: string;
    readonly toZone: string;
    readonly relay: CutRelay;
}

export class Fleet {
    readonly processes: FleetProcess[] = [];
    private readonly links: Link[] = [];
    folder = "";

    constructor(readonly options: FleetOptions) {}

    getControllers(): FleetProcess[] {
        return this.getByRole("controller");
    }

    getRouters(): FleetProcess[] {
        return this.getByRole("router");
    }

    getSidecars(): FleetProcess[] {
        return this.getByRole("sidecar");
    }

    /** The stand-ins of a service. */
    getStandIns(service: string): FleetProcess[] {
        return this.processes.filter(process =>
            process.role.startsWith("stand-in") && process.name.startsWith(`${service}-`)
        );
    }

    get(name: string): FleetProcess {
        const found = this.processes.find(process => process.name === name);
        if (found === undefined) {
            throw new Error(`no process ${name}`);
        }
        return found;
    }

    getOfZone(role: string, zone: string): FleetProcess {
        return this.getByRole(role).find(process => process.zone === zone)!;
    }

    /** Starts every process and declares services and upstreams. */
    async start(): Promise<void> {
        this.folder = await mkdtemp(join(tmpdir(), "loomwinch-"));
        await this.create();
        await Promise.all(this.processes.map(process => process.start()));
        await waitUntil("a leader", async () => (await this.getStatus()).leader !== undefined);
        await waitUntil("registered ledgers", async () => {
            const status = await this.getStatus();
            return status.controllers.length === this.options.zones.length
                && status.controllers.every(controller => controller.leader !== undefined);
        });
        await this.declareServices();
    }

    async stop(): Promise<void> {
        this.processes.forEach(process => process.thaw());
        await Promise.all(this.processes.map(process => process.kill()));
        this.links.forEach(link => link.relay.stop());
        await this.saveLogs();
        await rm(this.folder, { recursive: true, force: true });
    }

    /** Writes what the processes have logged to the folder of the test file's logs, if logs are kept. */
    private async saveLogs(): Promise<void> {
        const folder = tryOpenLogFolder();
        if (folder !== undefined) {
            await Promise.all(
                this.processes.map(one => writeFile(join(folder, `${one.name}.log`), one.logLines.join("\n"))),
            );
        }
    }

    /** Cuts some zones off from all others, silently and both ways. */
    cutOff(zones: readonly string[]): void {
        this.forEachLinkAcross(zones, relay => relay.cutSilently());
    }

    heal(zones: readonly string[]): void {
        this.forEachLinkAcross(zones, relay => relay.heal());
    }

    private forEachLinkAcross(zones: readonly string[], visit: (relay: CutRelay) => void): void {
        for (const link of this.links) {
            if (zones.includes(link.fromZone) !== zones.includes(link.toZone)) {
                visit(link.relay);
            }
        }
    }

    /** Calls the resource API of one controller. */
    call(
        controller: FleetProcess,
        method: "GET" | "PUT" | "POST" | "DELETE",
        path: string,
        body?: unknown,
    ): Promise<unknown> {
        return callOperatorApi({ server: controller.getUrl(), token: TEST_OPERATOR_TOKEN }, method, path, body);
    }

    async getStatus(controller: FleetProcess = this.getControllers()[0]!): Promise<FleetStatus> {
        return await this.call(controller, "GET", "/api/v1/status") as FleetStatus;
    }

    async put(
        kind: string,
        name: string,
        spec: unknown,
        extra: object = {},
        controller = this.getControllers()[0]!,
    ): Promise<{ revision: number; }> {
        return await this.call(controller, "PUT", `/api/v1/objects/${kind}/${name}`, { spec, ...extra }) as {
            revision: number;
        };
    }

    /** Puts an object until it is taken: what has no clear answer is asked again with its operation id, as an operator does. */
    private async declare(kind: string, name: string, spec: unknown): Promise<void> {
        await waitUntil(`${kind} ${name} is declared`, async () => {
            await this.put(kind, name, spec, { operationId: `declare-${kind}-${name}` });
            return true;
        });
    }

    /** Declares an account with one budget and tops it up; answers the account's key. */
    async createAccount(name: string, tokens: number, budgetSpec: object = {}): Promise<string> {
        const key = createAccountKey(name);
        await this.declare("clientAccount", name, { keyHashes: [createKeyHash(key)] });
        await this.declare("budget", `${name}-budget`, { account: name, ...budgetSpec });
        await waitUntil("the first top-up", async () => {
            await this.topUp(`${name}-budget`, tokens, { operationId: `first-${name}` });
            return true;
        });
        await this.waitInForce();
        return key;
    }

    async topUp(
        budget: string,
        tokens: number,
        extra: object = {},
        controller = this.getControllers()[0]!,
    ): Promise<unknown> {
        return this.call(controller, "POST", "/api/v1/top-ups", { budget, tokens, ...extra });
    }

    /** Waits until every daemon that is running has the newest revision in force. */
    async waitInForce(): Promise<void> {
        const expected = this.processes.filter(process => process.role === "router" || process.role === "sidecar");
        await waitUntil("the configuration to be in force", async () => {
            const status = await this.getStatus();
            const current = status.daemons.filter(daemon => daemon.revision === status.revision).map(daemon =>
                daemon.name
            );
            return expected.filter(process => process.isRunning()).every(process => current.includes(process.name));
        });
    }

    private getByRole(role: string): FleetProcess[] {
        return this.processes.filter(process => process.role === role);
    }

    private async create(): Promise<void> {
        const { zones, routersPerZone = 1, services } = this.options;
        const controllers: { name: string; zone: string; address: string; }[] = [];
        for (const zone of zones) {
            controllers.push({ name: `controller-${zone}`, zone, address: `127.0.0.1:${await getFreePort()}` });
        }
        const plans: { name: string; zone: string; port: number; service: FleetService; engineUrl: string; }[] = [];
        for (const zone of zones) {
            for (const service of services) {
                for (let i = 1; i <= getUpstreamCount(service, zones, zone); i++) {
                    const name = `${service.name}-${zone}-${i}`;
                    const engine = await this.createStandIn(service, name, zone);
                    plans.push({ name, zone, port: await getFreePort(), service, engineUrl: engine.getUrl() });
                }
            }
        }
        const targets = [
            ...controllers.map(controller => ({ zone: controller.zone, address: controller.address })),
            ...plans.map(plan => ({ zone: plan.zone, address: `127.0.0.1:${plan.port}` })),
        ];
        const maps = new Map<string, Record<string, string>>();
        for (const zone of zones) {
            maps.set(zone, await this.createLinks(zone, targets));
        }
        const common = (name: string, zone: string): object => ({
            name,
            zone,
            controllers,
            fleetSecret: FLEET_SECRET,
            addressMap: maps.get(zone),
        });
        for (const controller of controllers) {
            const settings = {
                ...common(controller.name, controller.zone),
                role: "controller",
                listen: controller.address,
                dataFolder: join(this.folder, controller.name),
                operators: [{ name: "tester", tokenHash: createKeyHash(TEST_OPERATOR_TOKEN) }],
                electionTimeoutMs: 400,
                heartbeatMs: 60,
                proposeTimeoutMs: 2_000,
                grantLifeMs: 3_000,
                driftMarginMs: 200,
                sharePeriodMs: 250,
                closePeriodMs: 250,
                billSettleMs: 3_000,
                ...this.options.controller,
            };
            await this.addProcess(
                "controller",
                controller.name,
                controller.zone,
                Number(controller.address.split(":")[1]),
                "operatorListen",
                settings,
            );
        }
        for (const zone of zones) {
            for (let i = 1; i <= routersPerZone; i++) {
                const port = await getFreePort();
                const name = `router-${zone}-${i}`;
                const settings = {
                    ...common(name, zone),
                    role: "router",
                    listen: `127.0.0.1:${port}`,
                    lameDuckMs: 200,
                    ...this.options.router,
                };
                await this.addProcess("router", name, zone, port, "callerListen", settings);
            }
        }
        for (const plan of plans) {
            const name = `sidecar-${plan.name}`;
            const settings = {
                ...common(name, plan.zone),
                role: "sidecar",
                listen: `127.0.0.1:${plan.port}`,
                box: `box-${plan.name}`,
                ...this.options.sidecar,
            };
            await this.addProcess("sidecar", name, plan.zone, plan.port, undefined, settings);
            this.upstreams.push({
                name: plan.name,
                service: plan.service,
                zone: plan.zone,
                port: plan.port,
                url: plan.engineUrl,
            });
        }
    }

    private readonly upstreams: { name: string; service: FleetService; zone: string; port: number; url: string; }[] =
        [];

    private async createStandIn(service: FleetService, name: string, zone: string): Promise<FleetProcess> {
        const role = service.type === "model" ? "stand-in-engine" : "stand-in-service";
        const port = await getFreePort();
        const settings = { role, name, listen: `127.0.0.1:${port}`, ...service.standIn };
        return this.addProcess(role, name, zone, 0, undefined, settings, port);
    }

    /** One relay for each target outside of `zone`; answers the addresses under which the zone reaches them. */
    private async createLinks(
        zone: string,
        targets: readonly { zone: string; address: string; }[],
    ): Promise<Record<string, string>> {
        const map: Record<string, string> = {};
        for (const target of targets) {
            if (target.zone !== zone) {
                const relay = new CutRelay(Number(target.address.split(":")[1]));
                map[target.address] = `127.0.0.1:${await relay.start()}`;
                this.links.push({ fromZone: zone, toZone: target.zone, relay });
            }
        }
        return map;
    }

    private async addProcess(
        role: string,
        name: string,
        zone: string,
        peerPort: number,
        httpSetting: string | undefined,
        settings: object,
        standInPort?: number,
    ): Promise<FleetProcess> {
        const httpPort = standInPort ?? (httpSetting === undefined ? 0 : await getFreePort());
        const path = join(this.folder, `${name}.jsonc`);
        const http = httpSetting === undefined ? {} : { [httpSetting]: `127.0.0.1:${httpPort}` };
        await writeFile(path, JSON.stringify({ ...settings, ...http }, undefined, 4));
        const added = new FleetProcess(name, role, zone, peerPort, httpPort, path);
        this.processes.push(added);
        return added;
    }

    private async declareServices(): Promise<void> {
        for (const service of this.options.services) {
            await this.declare("service", service.name, { type: service.type, ...service.spec });
        }
        for (const upstream of this.upstreams) {
            await this.declare("upstream", upstream.name, this.getUpstreamSpec(upstream.name));
        }
    }

    /** The spec an upstream was declared with. */
    getUpstreamSpec(name: string): Record<string, unknown> {
        const upstream = this.upstreams.find(candidate => candidate.name === name)!;
        return {
            service: upstream.service.name,
            box: `box-${upstream.name}`,
            zone: upstream.zone,
            sidecar: `127.0.0.1:${upstream.port}`,
            url: upstream.url,
            ...(upstream.service.slots === undefined ? {} : { slots: upstream.service.slots }),
        };
    }
}

function getUpstreamCount(service: FleetService, zones: readonly string[], zone: string): number {
    if (service.upstreams === undefined) {
        return service.upstreamsPerZone ?? 1;
    }
    const rest = service.upstreams % zones.length;
    return Math.floor(service.upstreams / zones.length) + (zones.indexOf(zone) < rest ? 1 : 0);
}

/** Below the range from which the system takes the ports of outgoing connections. */
const FIRST_PORT = 10_000;
/** Test files that run at once have ranges of their own, by the number the runner gives each. */
const PORT_COUNT = 5_000;
const RANGES = 4;
const firstOfRange = FIRST_PORT + (Number(process.env["TAP_JOB_ID"] ?? process.pid) % RANGES) * PORT_COUNT;
let nextPort = firstOfRange + (process.pid * 137) % PORT_COUNT;

/** A port that nobody listens at, and that this process has not handed out lately. */
async function getFreePort(): Promise<number> {
    for (;;) {
        nextPort = firstOfRange + (nextPort + 1 - firstOfRange) % PORT_COUNT;
        const port = nextPort;
        const isFree = await new Promise<boolean>(resolve => {
            const server = createServer();
            server.once("error", () => resolve(false));
            server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
        });
        if (isFree) {
            return port;
        }
    }
}

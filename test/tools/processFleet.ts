/** Controllers and routers as separate processes of the real programs, each box at a loopback address of its own. */
import type { ChildProcess } from "node:child_process";
import { existsSync, readFileSync, renameSync, writeFileSync } from "node:fs";
import { mkdir, mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { type BoxFaults, SoakVariables, SOUND } from "../soak/preload.js";
import {
    ADMIN_PORT,
    CALLER_PORT,
    formatBoxLimits,
    formatBoxSettings,
    METRICS_PORT,
    PEER_PORT,
    READINESS_PORT,
    SMALL_BOX_CORES,
} from "./boxSettingsText.js";
import { endProcess, isRunning, programPath, spawnNode } from "./childProcesses.js";
import type { CpuLimiter } from "./cpuLimiter.js";
import { type CutDirection, CutRelay } from "./cutRelay.js";
import { tryOpenLogFolder } from "./testLogs.js";
import { waitUntil } from "./waiting.js";

const CALL_TIMEOUT_MS = 2_000;
/** Longer than a controller waits for a new leader. */
const CONFIG_TIMEOUT_MS = 8_000;
const START_TIMEOUT_MS = 90_000;
const MAX_SEEDS = 3;
export const ENGINE_REPORT_MS = 400;
const testFolder = join(dirname(fileURLToPath(import.meta.url)), "..");

export interface ProcessFleetOptions {
    /** Second part of the addresses; unique for each test file. */
    readonly network: number;
    readonly controllers: number;
    readonly routers: number;
    readonly retryRatio: number;
    readonly retrySlack: number;
    /** Whether routers run on small boxes, which relay connections while their event loops are kept busy. */
    readonly hasSmallRouters?: boolean;
    /** The longest that a planned stop takes, in seconds; the platform's default if undefined. */
    readonly graceS?: number;
    /** Whether the links from each box to the controllers can be cut. */
    readonly hasCuttableLinks?: boolean;
    /** CPU time that boxes get; that of routers is in their settings as well. Unlimited if undefined. */
    readonly cpu?: { readonly limiter: CpuLimiter; readonly routerCores: number; readonly controllerCores: number; };
    /** Program of every box; the unbundled one if undefined. */
    readonly program?: string;
    /** Arguments of Node.js for every box. */
    readonly nodeArgs?: readonly string[];
    /** Memory of each box in its settings, in MB; the default of a test if undefined. */
    readonly memoryMb?: number;
    /** Disks that may be lost at once; the platform's default for tests if undefined. */
    readonly toleratedLosses?: number;
}

/** How a controller has answered an operator. */
export interface ConfigAnswer {
    /** Undefined if it did not answer in time. */
    readonly status: number | undefined;
    readonly text: string;
}

/** How a process ended. */
export interface ProcessEnd {
    /** Undefined if a signal ended it. */
    readonly code: number | undefined;
    /** Monotonic clock, milliseconds. */
    readonly at: number;
}

/** Processes that use all CPU time they get. */
export class BusyProcesses {
    private readonly processes: readonly ChildProcess[];

    constructor(count: number) {
        this.processes = Array.from({ length: count }, () => spawnNode(["-e", "for (;;);"], {}));
    }

    async stop(): Promise<void> {
        await Promise.all(this.processes.map(child => endProcess(child)));
    }
}

export class ProcessFleet {
    folder = "";
    private readonly logFolder = tryOpenLogFolder();
    private readonly processes = new Map<string, ChildProcess>();
    private readonly startedBoxes = new Set<string>();
    private readonly controllers: string[];
    private lastController: number;
    private readonly routers: string[];
    private lastRouter: number;
    /** Seeds in settings that are written from now on; the first controllers that there are if undefined. */
    private seeds: readonly string[] | undefined;
    private readonly faults = new Map<string, BoxFaults>();
    /** Relays on the links from a box to the controllers, by the controller's peer address. */
    private readonly links = new Map<string, ReadonlyMap<string, CutRelay>>();
    /** Ports of these relays, by box and the controller's peer address. */
    private readonly linkPorts = new Map<string, Readonly<Record<string, number>>>();

    constructor(readonly options: ProcessFleetOptions) {
        this.lastController = options.controllers;
        this.lastRouter = options.routers;
        this.routers = Array.from({ length: options.routers }, (_, i) => `r${i + 1}`);
        this.controllers = Array.from({ length: options.controllers }, (_, i) => `c${i + 1}`);
    }

    /** Creates the folder of the boxes, which are then started one by one. */
    async open(): Promise<void> {
        this.folder = await mkdtemp(join(tmpdir(), "loomwinch-processes-"));
        if (this.options.hasCuttableLinks === true) {
            await Promise.all([...this.listControllers(), ...this.listRouters()].map(box => this.openLinks(box)));
        }
    }

    /** Starts all boxes and puts the bundle; resolves when every router is ready. */
    async start(bundle: object): Promise<void> {
        await this.open();
        await Promise.all(this.listControllers().map(box => mkdir(join(this.folder, box))));
        this.listControllers().forEach(box => this.startBox(box));
        await waitUntil("the bundle", () => this.putBundle(bundle), START_TIMEOUT_MS);
        this.listRouters().forEach(box => this.startBox(box));
        await waitUntil(
            "the routers",
            async () => (await Promise.all(this.listRouters().map(box => this.isReady(box)))).every(Boolean),
            START_TIMEOUT_MS,
        );
    }

    async close(keepsLogs = false): Promise<void> {
        await Promise.all([...this.processes.values()].map(child => endProcess(child)));
        this.forEachLink(link => link.stop());
        if (!keepsLogs) {
            await rm(this.folder, { recursive: true });
        }
    }

    /** `nodeArgs`: further arguments of Node.js. */
    startBox(box: string, nodeArgs: readonly string[] = []): void {
        const role = box.startsWith("c") ? "controller" : "router";
        const settingsPath = join(this.folder, `${box}.toml`);
        writeFileSync(settingsPath, this.formatSettings(box));
        this.startedBoxes.add(box);
        const env = {
            PATH: process.env["PATH"],
            LOOMWINCH_NODE_FILE: settingsPath,
            LOOMWINCH_FLEET_SECRET: "process-fleet-secret",
        };
        const main = [this.options.program ?? programPath, role];
        const preload = ["--import", join(testFolder, "soak", "preload.js")];
        const args = [...(this.options.nodeArgs ?? []), ...nodeArgs, ...(this.hasPreload(box) ? preload : []), ...main];
        const child = spawnNode(args, { ...env, ...this.createPreloadEnv(box) }, this.getLogPath(box));
        this.processes.set(box, child);
        const { cpu } = this.options;
        cpu?.limiter.limit(child, role === "router" ? cpu.routerCores : cpu.controllerCores);
    }

    /** Kills all processes at the same moment. `lostDisks`: boxes whose disks are empty afterwards. */
    async killAll(lostDisks: readonly string[] = []): Promise<void> {
        await this.killBoxes([...this.processes.keys()], lostDisks);
    }

    startAll(): void {
        [...this.listControllers(), ...this.listRouters()].forEach(box => this.startBox(box));
    }

    /** Keeps the event loop of a router on a small box busy. `fraction`: of its time, from 0 to 1 (exclusive). */
    setBusyFraction(box: string, fraction: number): void {
        this.faults.set(box, { ...SOUND, busyFraction: fraction });
        this.writeFaults(box);
        this.signal(box, "SIGUSR2");
    }

    /** Cuts a box off from the controllers, without telling either. `forward` is the way from the box. */
    cutFromControllers(box: string, direction: CutDirection = "both"): void {
        this.links.get(box)!.forEach(link => link.cutSilently(direction));
        const opposite = direction === "both" ? "both" : direction === "forward" ? "back" : "forward";
        for (const controller of this.listControllers()) {
            this.links.get(controller)!.get(`${this.getIp(box)}:${PEER_PORT}`)?.cutSilently(opposite);
        }
    }

    healLinks(): void {
        this.forEachLink(link => link.heal());
    }

    getPid(box: string): number {
        return this.processes.get(box)!.pid!;
    }

    /** Whether the process of a box has not ended. */
    isBoxRunning(box: string): boolean {
        return isRunning(this.processes.get(box)!);
    }

    signal(box: string, signal: NodeJS.Signals): void {
        this.processes.get(box)!.kill(signal);
    }

    /** Resolves when the process of a box has ended. */
    waitEnd(box: string): Promise<ProcessEnd> {
        const child = this.processes.get(box)!;
        return new Promise(resolve => {
            const finish = (): void => resolve({ code: child.exitCode ?? undefined, at: performance.now() });
            return isRunning(child) ? child.once("exit", finish) : finish();
        });
    }

    /** Returns the value of a metric of a router; undefined if it does not answer. */
    async readMetric(box: string, name: string): Promise<number | undefined> {
        try {
            const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
            const answer = await request(`http://${this.getIp(box)}:${METRICS_PORT}/metrics`, { signal });
            const value = new RegExp(`^loomwinch_${name} (.*)$`, "m").exec(await answer.body.text())?.[1];
            return value === undefined ? 0 : Number(value);
        }
        catch {
            return undefined;
        }
    }

    async restartBox(box: string, signal?: NodeJS.Signals): Promise<void> {
        await endProcess(this.processes.get(box)!, signal);
        this.startBox(box);
    }

    /** Returns the lines that a box has logged and that match. */
    listLogLines(box: string, pattern: RegExp): string[] {
        const path = this.getLogPath(box);
        const lines = existsSync(path) ? readFileSync(path, "utf8").split("\n") : [];
        return lines.filter(line => pattern.test(line));
    }

    async isReady(box: string): Promise<boolean> {
        try {
            const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
            const answer = await request(`http://${this.getIp(box)}:${READINESS_PORT}/loomwinch/readyz`, { signal });
            await answer.body.dump();
            return answer.statusCode === 200;
        }
        catch {
            return false;
        }
    }

    /** Returns whether a controller has acknowledged the bundle. */
    async putBundle(bundle: object): Promise<boolean> {
        for (const box of this.listControllers()) {
            const answer = await request(`${this.getControlUrl(box)}/loomwinch/config`, {
                method: "PUT",
                body: JSON.stringify(bundle),
                signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
            }).catch(() => undefined);
            await answer?.body.dump();
            if (answer?.statusCode === 200) {
                return true;
            }
        }
        return false;
    }

    /** Sends a configuration to one controller, as it is. */
    putText(box: string, text: string): Promise<ConfigAnswer> {
        return this.sendConfig(box, { method: "PUT", body: text });
    }

    /** Reads the configuration from one controller. */
    readConfig(box: string): Promise<ConfigAnswer> {
        return this.sendConfig(box, { method: "GET" });
    }

    /** Starts a controller with an empty disk at another address. Returns its box once its process listens. */
    async addController(): Promise<string> {
        this.lastController += 1;
        const box = `c${this.lastController}`;
        this.controllers.push(box);
        await mkdir(join(this.folder, box));
        this.startedBoxes.add(box);
        // Other fleets of a test file write to the same logs.
        const countStarts = (): number => this.listLogLines(box, /event=controller_started/).length;
        const startsBefore = countStarts();
        this.startBox(box);
        await waitUntil(`${box} to start`, () => countStarts() > startsBefore);
        return box;
    }

    /** Ends a controller for good; resolves when its process has ended. */
    async removeController(box: string, signal: NodeJS.Signals): Promise<void> {
        this.controllers.splice(this.controllers.indexOf(box), 1);
        await endProcess(this.processes.get(box)!, signal);
        this.processes.delete(box);
    }

    /** Removes a controller for good in such a way that its address accepts connections and nobody answers. */
    silenceController(box: string): void {
        this.controllers.splice(this.controllers.indexOf(box), 1);
        this.signal(box, "SIGSTOP");
    }

    /** Names the seeds in the settings of processes that are started from now on, whether or not they run. */
    setSeeds(boxes: readonly string[]): void {
        this.seeds = boxes;
    }

    /** Starts a router at another address. Returns its box. */
    addRouter(): string {
        this.lastRouter += 1;
        const box = `r${this.lastRouter}`;
        this.routers.push(box);
        this.startBox(box);
        return box;
    }

    /** Ends a router for good; resolves when its process has ended. */
    async removeRouter(box: string, signal: NodeJS.Signals): Promise<void> {
        this.routers.splice(this.routers.indexOf(box), 1);
        await endProcess(this.processes.get(box)!, signal);
        this.processes.delete(box);
    }

    /** Kills some boxes at the same moment. `lostDisks`: those whose disks are empty afterwards. */
    async killBoxes(boxes: readonly string[], lostDisks: readonly string[] = []): Promise<void> {
        await Promise.all(boxes.map(box => endProcess(this.processes.get(box)!)));
        for (const box of lostDisks) {
            await rm(join(this.folder, box), { recursive: true });
            await mkdir(join(this.folder, box));
        }
    }

    /** Returns the controller that was elected last, by the logs of those that have not been removed. */
    findLeader(): string {
        const elections = this.controllers.flatMap(box =>
            this.listLogLines(box, /event=leader_elected/).map(line => ({ box, time: line.split(" ")[0]! }))
        );
        return elections.sort((a, b) => a.time.localeCompare(b.time)).at(-1)!.box;
    }

    /** The controllers that have not been removed. */
    listControllers(): string[] {
        return [...this.controllers];
    }

    /** The routers that have not been removed. */
    listRouters(): string[] {
        return [...this.routers];
    }

    getControlUrl(box: string): string {
        return `http://${this.getIp(box)}:${ADMIN_PORT}`;
    }

    getCallerUrl(box: string): string {
        return `http://${this.getIp(box)}:${CALLER_PORT}`;
    }

    /** `box`: its kind (`c`, `r` or `e` for an engine) and number. */
    getIp(box: string): string {
        const group = { c: 1, r: 2, e: 3 }[box[0]!];
        return `127.${this.options.network}.${group}.${box.slice(1)}`;
    }

    private async sendConfig(box: string, options: { method: "GET" | "PUT"; body?: string; }): Promise<ConfigAnswer> {
        try {
            const signal = AbortSignal.timeout(CONFIG_TIMEOUT_MS);
            const answer = await request(`${this.getControlUrl(box)}/loomwinch/config`, { ...options, signal });
            return { status: answer.statusCode, text: await answer.body.text() };
        }
        catch (error) {
            return { status: undefined, text: String(error) };
        }
    }

    private async openLinks(box: string): Promise<void> {
        const links = new Map<string, CutRelay>();
        for (const controller of this.listControllers().filter(other => other !== box)) {
            links.set(`${this.getIp(controller)}:${PEER_PORT}`, new CutRelay(PEER_PORT, this.getIp(controller)));
        }
        this.links.set(box, links);
        const ports = await Promise.all([...links].map(async ([address, link]) => [address, await link.start()]));
        this.linkPorts.set(box, Object.fromEntries(ports) as Record<string, number>);
    }

    private forEachLink(act: (link: CutRelay) => void): void {
        this.links.forEach(links => links.forEach(act));
    }

    private isSmall(box: string): boolean {
        return this.options.hasSmallRouters === true && box.startsWith("r");
    }

    private hasPreload(box: string): boolean {
        return this.isSmall(box) || this.links.has(box);
    }

    private createPreloadEnv(box: string): NodeJS.ProcessEnv {
        if (!this.hasPreload(box)) {
            return {};
        }
        this.faults.set(box, SOUND);
        this.writeFaults(box);
        return {
            [SoakVariables.links]: JSON.stringify(this.linkPorts.get(box) ?? {}),
            [SoakVariables.faults]: this.getFaultsPath(box),
        };
    }

    /** The box may be reading the file because of a change before. */
    private writeFaults(box: string): void {
        const path = this.getFaultsPath(box);
        writeFileSync(`${path}.new`, JSON.stringify(this.faults.get(box)));
        renameSync(`${path}.new`, path);
    }

    private getFaultsPath(box: string): string {
        return join(this.folder, `${box}.faults.json`);
    }

    private getLogPath(box: string): string {
        return join(this.logFolder ?? this.folder, `${box}.log`);
    }

    private formatSettings(box: string): string {
        const { retryRatio, retrySlack, graceS, toleratedLosses } = this.options;
        return formatBoxSettings({
            name: box,
            ip: this.getIp(box),
            seeds: (this.seeds ?? this.listControllers().slice(0, MAX_SEEDS)).map(seed =>
                `${this.getIp(seed)}:${ADMIN_PORT}`
            ),
            isFirstStart: !this.startedBoxes.has(box),
            dataFolder: join(this.folder, box),
            ...(toleratedLosses === undefined ? {} : { toleratedLosses }),
            heartbeatMs: ENGINE_REPORT_MS,
            sections: `
                [bounds]
                retry_ratio = ${retryRatio}
                retry_slack = ${retrySlack}
                ${graceS === undefined ? "" : `grace_s = ${graceS}`}
                ${this.formatLimits(box)}
            `,
        });
    }

    private formatLimits(box: string): string {
        const { cpu, memoryMb } = this.options;
        if (cpu !== undefined && box.startsWith("r")) {
            return formatBoxLimits(cpu.routerCores, memoryMb);
        }
        if (this.isSmall(box)) {
            return formatBoxLimits(SMALL_BOX_CORES, memoryMb);
        }
        return memoryMb === undefined ? "" : formatBoxLimits(undefined, memoryMb);
    }
}

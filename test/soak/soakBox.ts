/** One box of the soak: a real program in a process of its own, with relays on its links to the other boxes. */
import type { ChildProcess } from "node:child_process";
import { renameSync, writeFileSync } from "node:fs";
import { mkdir, rm } from "node:fs/promises";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { CALLER_PORT, formatBoxSettings, PEER_PORT, SMALL_BOX_LIMITS } from "../tools/boxSettingsText.js";
import { endProcess, isRunning, programPath, spawnNode } from "../tools/childProcesses.js";
import { CutRelay } from "../tools/cutRelay.js";
import { type BoxFaults, SoakVariables, SOUND } from "./preload.js";
import { SOAK_LIMITS } from "./soakEngine.js";

/** Where a router accepts connections that other routers relay to it. */
export const RELAY_PORT = PEER_PORT + 1;
/** Pause before a process that has ended is started again. */
export const RESTART_MS = 250;
/** The longest that a planned stop takes. */
export const GRACE_MS = 8_000;
const HEARTBEAT_MS = 400;
/** As deployed. */
const HEAP_ARGUMENT = "--max-old-space-size=160";
const root = join(fileURLToPath(import.meta.url), "..", "..", "..");

export type BoxRole = "router" | "controller";

export interface SoakBoxOptions {
    readonly name: string;
    readonly role: BoxRole;
    readonly ip: string;
    /** Addresses of the other boxes' interfaces to each other, including those for relayed connections. */
    readonly others: readonly string[];
    /** Addresses of the operators' interface on the controllers to begin with. */
    readonly seeds: readonly string[];
    readonly folder: string;
    /** Disks that may be lost at once. */
    readonly toleratedLosses: number;
    /** Whether it joins a fleet that has been started before. */
    readonly joinsFleet?: boolean;
}

export class SoakBox {
    /** Relays on the way from this box to each other one, by its address. */
    readonly links = new Map<string, CutRelay>();
    /** Relay in front of the interface that callers use. */
    readonly entrance: CutRelay;
    /** Exit codes of planned stops. */
    readonly stopCodes: number[] = [];
    private readonly ports: Record<string, number> = {};
    private child: ChildProcess | undefined;
    private faults = SOUND;
    private isFirstStart: boolean;
    private isWanted = true;
    private isWiping = false;

    constructor(readonly options: SoakBoxOptions) {
        this.entrance = new CutRelay(CALLER_PORT, options.ip);
        this.isFirstStart = options.joinsFleet !== true;
    }

    /** Opens the relays and starts the process. Answers the port at which callers reach it. */
    async start(): Promise<number> {
        for (const address of this.options.others) {
            const [host, port] = address.split(":") as [string, string];
            const link = new CutRelay(Number(port), host);
            this.links.set(address, link);
            this.ports[address] = await link.start();
        }
        await mkdir(this.getDataFolder(), { recursive: true });
        this.writeFaults();
        this.spawnProcess();
        return this.entrance.start();
    }

    isRunning(): boolean {
        return this.child !== undefined && isRunning(this.child);
    }

    /** Returns the process, which is another one after each start; undefined while there is none. */
    getPid(): number | undefined {
        return this.isRunning() ? this.child!.pid : undefined;
    }

    /** Sends a signal to the process, if it runs. A process that ends is started again. */
    signal(signal: NodeJS.Signals): void {
        this.child?.kill(signal);
    }

    setFaults(faults: Partial<BoxFaults>): void {
        this.faults = { ...this.faults, ...faults };
        this.writeFaults();
        this.signal("SIGUSR2");
    }

    /** The process is killed and comes back with an empty disk. */
    loseDisk(): void {
        this.isWiping = true;
        this.signal("SIGKILL");
    }

    getLogPath(): string {
        return join(this.options.folder, `${this.options.name}.log`);
    }

    /** Ends the process for good. */
    async stop(signal?: NodeJS.Signals): Promise<void> {
        this.isWanted = false;
        if (this.child !== undefined) {
            await endProcess(this.child, signal);
        }
        this.links.forEach(link => link.stop());
        this.entrance.stop();
    }

    private getDataFolder(): string {
        return join(this.options.folder, this.options.name);
    }

    private getFaultsPath(): string {
        return join(this.options.folder, `${this.options.name}.faults.json`);
    }

    private writeFaults(): void {
        // The process may be reading the file because of a change before.
        const path = this.getFaultsPath();
        writeFileSync(`${path}.new`, JSON.stringify(this.faults));
        renameSync(`${path}.new`, path);
    }

    private spawnProcess(): void {
        const { name, role, folder } = this.options;
        const settingsPath = join(folder, `${name}.toml`);
        writeFileSync(settingsPath, this.formatSettings());
        const preload = join(root, "test", "soak", "preload.js");
        const env = {
            PATH: process.env["PATH"],
            LOOMWINCH_NODE_FILE: settingsPath,
            LOOMWINCH_FLEET_SECRET: "soak-fleet-secret",
            [SoakVariables.links]: JSON.stringify(this.ports),
            [SoakVariables.faults]: this.getFaultsPath(),
        };
        const args = [HEAP_ARGUMENT, "--import", preload, programPath, role];
        const child = spawnNode(args, env, this.getLogPath());
        child.once("exit", code => void this.handleExit(code ?? undefined));
        this.child = child;
        this.isFirstStart = false;
    }

    private async handleExit(code: number | undefined): Promise<void> {
        if (code !== undefined) {
            this.stopCodes.push(code);
        }
        if (this.isWiping) {
            this.isWiping = false;
            await rm(this.getDataFolder(), { recursive: true });
            await mkdir(this.getDataFolder());
        }
        setTimeout(() => {
            if (this.isWanted) {
                this.spawnProcess();
            }
        }, RESTART_MS);
    }

    private formatSettings(): string {
        const { name, role, ip, seeds, toleratedLosses } = this.options;
        return formatBoxSettings({
            name,
            ip,
            seeds,
            isFirstStart: this.isFirstStart,
            dataFolder: this.getDataFolder(),
            toleratedLosses,
            heartbeatMs: HEARTBEAT_MS,
            sections: `
                [bounds]
                grace_s = ${GRACE_MS / 1_000}
                retry_ratio = ${SOAK_LIMITS.retryRatio}
                retry_slack = ${SOAK_LIMITS.retrySlack}
                ${role === "router" ? SMALL_BOX_LIMITS : ""}
            `,
        });
    }
}

/**
 * Loaded into each process of the soak before its program, which stays as it is: leads its connections to other processes
 * through relays, lets its time of day and its disk misbehave and keeps its event loop busy as a file says, which is read
 * anew at SIGUSR2.
 */
import { readFileSync } from "node:fs";
import { type FileHandle, open } from "node:fs/promises";
import { syncBuiltinESMExports } from "node:module";
import net, { type NetConnectOpts } from "node:net";

/** What is wrong with one process's box. */
export interface BoxFaults {
    /** Added to the time of day, in milliseconds. */
    readonly clockMs: number;
    /** `stall`: writes and syncs wait; `refuse`: they fail. */
    readonly disk: "sound" | "stall" | "refuse";
    /** Fraction of time in which the event loop is kept busy, from 0 to 1 (exclusive). */
    readonly busyFraction: number;
    /**
     * Connections to this port of other boxes pass by the relays, which accept them also where nobody listens. Undefined: all
     * connections pass through relays.
     */
    readonly directPort: number | undefined;
}

/** Names of the variables that the soak sets for each process. */
export const SoakVariables = { links: "SOAK_LINKS", faults: "SOAK_FAULTS" } as const;

const STALL_TURN_MS = 20;
/** Duration of one turn of the event loop that is kept busy. About the CPU time of seven requests. */
const BUSY_SLICE_MS = 20;
export const SOUND: BoxFaults = { clockMs: 0, disk: "sound", busyFraction: 0, directPort: undefined };

let faults = SOUND;
let isKeptBusy = false;

function readFaults(): void {
    faults = JSON.parse(readFileSync(process.env[SoakVariables.faults]!, "utf8")) as BoxFaults;
}

/** Leads connections to addresses of other boxes to the relays of this box. */
function relayConnections(portsByAddress: Readonly<Record<string, number>>): void {
    const connect = net.connect.bind(net);
    net.connect = ((options: NetConnectOpts, ...rest: []) => {
        const { host, port } = options as { host?: string; port?: number; };
        const relayPort = port === faults.directPort ? undefined : portsByAddress[`${host}:${port}`];
        return relayPort === undefined
            ? connect(options, ...rest)
            : connect({ ...options, host: "127.0.0.1", port: relayPort } as NetConnectOpts, ...rest);
    }) as typeof net.connect;
    syncBuiltinESMExports();
}

function stepTimeOfDay(): void {
    const now = Date.now.bind(Date);
    Date.now = () => now() + faults.clockMs;
}

async function spoilDisk(): Promise<void> {
    const handle = await open("/dev/null", "r");
    const prototype = Object.getPrototypeOf(handle) as FileHandle;
    await handle.close();
    for (const name of ["appendFile", "writeFile", "datasync", "sync"] as const) {
        const original = prototype[name] as (...args: unknown[]) => Promise<void>;
        Object.assign(prototype, {
            [name]: async function(this: FileHandle, ...args: unknown[]): Promise<void> {
                while (faults.disk === "stall") {
                    await new Promise(resolve => setTimeout(resolve, STALL_TURN_MS));
                }
                if (faults.disk === "refuse") {
                    throw Object.assign(new Error("ENOSPC: no space left on device"), { code: "ENOSPC" });
                }
                await original.apply(this, args);
            },
        });
    }
}

/** Spends the given fraction of time in a busy loop, in slices. */
function keepBusy(): void {
    const { busyFraction } = faults;
    if (busyFraction === 0) {
        isKeptBusy = false;
        return;
    }
    isKeptBusy = true;
    const until = performance.now() + BUSY_SLICE_MS;
    while (performance.now() < until) {
        // The process does nothing else.
    }
    // Does not keep a process running that stops.
    setTimeout(keepBusy, BUSY_SLICE_MS * (1 / busyFraction - 1)).unref();
}

if (process.env[SoakVariables.faults] !== undefined) {
    readFaults();
    keepBusy();
    process.on("SIGUSR2", () => {
        readFaults();
        if (!isKeptBusy) {
            keepBusy();
        }
    });
    relayConnections(JSON.parse(process.env[SoakVariables.links]!) as Record<string, number>);
    stepTimeOfDay();
    await spoilDisk();
}

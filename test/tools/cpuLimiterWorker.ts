/** Worker of `CpuLimiter`, which pauses processes that have used up their CPU time of a period. */
import { readFileSync } from "node:fs";
import { parentPort } from "node:worker_threads";
import type { CpuLimit } from "./cpuLimiter.js";

/** Period of the quota of a control group by default. */
const PERIOD_MS = 100;
/** Resolution of the CPU time that the system shows. */
const TICK_MS = 10;

interface LimitedProcess {
    readonly quotaMs: number;
    /** CPU time at which the process is paused until the period ends. */
    allowedMs: number;
    isPaused: boolean;
}

const processes = new Map<number, LimitedProcess>();
let ticks = 0;

/** Returns the CPU time of all threads of a process; undefined if it has ended. */
function tryReadCpuMs(pid: number): number | undefined {
    try {
        const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
        // The name of the program, in brackets, may contain spaces.
        const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
        return (Number(fields[11]) + Number(fields[12])) * TICK_MS;
    }
    catch {
        return undefined;
    }
}

function sendSignal(pid: number, signal: NodeJS.Signals): void {
    try {
        process.kill(pid, signal);
    }
    catch {
        // It has ended, and the message that says so is on its way.
    }
}

function updateProcess(pid: number, limited: LimitedProcess, isPeriodBegin: boolean): void {
    const usedMs = tryReadCpuMs(pid);
    if (usedMs === undefined) {
        return;
    }
    if (isPeriodBegin) {
        // What is left of a period is not kept; what was used beyond it is owed.
        limited.allowedMs = Math.min(limited.allowedMs, usedMs) + limited.quotaMs;
    }
    const shouldPause = usedMs >= limited.allowedMs;
    if (shouldPause !== limited.isPaused) {
        limited.isPaused = shouldPause;
        sendSignal(pid, shouldPause ? "SIGSTOP" : "SIGCONT");
    }
}

parentPort!.on("message", ({ pid, cores }: CpuLimit) => {
    if (cores === undefined) {
        processes.delete(pid);
        return;
    }
    const quotaMs = cores * PERIOD_MS;
    processes.set(pid, { quotaMs, allowedMs: quotaMs, isPaused: false });
});

setInterval(() => {
    const isPeriodBegin = ticks % (PERIOD_MS / TICK_MS) === 0;
    ticks += 1;
    processes.forEach((limited, pid) => updateProcess(pid, limited, isPeriodBegin));
}, TICK_MS);

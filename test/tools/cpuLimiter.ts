/**
 * Limits the CPU time of processes as the quota of a small box does, also while they start: a worker pauses each process (SIGSTOP)
 * for the rest of a period in which it has used up its part, however busy the event loop of the test is.
 */
import type { ChildProcess } from "node:child_process";
import { Worker } from "node:worker_threads";

/** `cores`: CPU time in parts of a core; undefined when the process has ended. */
export interface CpuLimit {
    readonly pid: number;
    readonly cores: number | undefined;
}

export class CpuLimiter {
    private readonly worker = new Worker(new URL("cpuLimiterWorker.js", import.meta.url));

    limit(child: ChildProcess, cores: number): void {
        const pid = child.pid!;
        this.worker.postMessage({ pid, cores } satisfies CpuLimit);
        child.once("exit", () => this.worker.postMessage({ pid, cores: undefined } satisfies CpuLimit));
    }

    /** To be called when the processes have ended: one that is paused stays so. */
    async stop(): Promise<void> {
        await this.worker.terminate();
    }
}

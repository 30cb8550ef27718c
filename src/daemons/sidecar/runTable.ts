/** Indexes the runs of a sidecar by run id and request id, and evicts ended runs by age and size. */
import type { Run } from "./run.js";

/** Limit on the answers of all ended runs together, in bytes. */
export const MAX_RETAINED_BYTES = 64 * 1024 * 1024;

/** Retention, in milliseconds, of answers that callers cannot reattach to: lets a router reconnect. */
const REATTACH_RETENTION_MS = 3_000;

export class RunTable {
    private readonly byRun = new Map<string, Run>();
    private readonly byRequest = new Map<string, Run>();

    /** `retentionMs`: how long an answer is retained for callers that reconnect. */
    constructor(private readonly retentionMs: number) {}

    add(run: Run): void {
        this.byRun.set(run.params.runId, run);
        this.byRequest.set(run.params.requestId, run);
    }

    tryGetRun(runId: string): Run | undefined {
        return this.byRun.get(runId);
    }

    /** Returns the latest run of a request. */
    tryGetLatestRun(requestId: string): Run | undefined {
        return this.byRequest.get(requestId);
    }

    getSize(): number {
        return this.byRun.size;
    }

    /** Returns the runs that have not ended. */
    getActive(): Run[] {
        return [...this.byRun.values()].filter(run => !run.isEnded());
    }

    remove(run: Run): void {
        this.byRun.delete(run.params.runId);
        if (this.byRequest.get(run.params.requestId) === run) {
            this.byRequest.delete(run.params.requestId);
        }
    }

    /** Evicts ended runs past their retention, then the oldest ones beyond MAX_RETAINED_BYTES. */
    evictEnded(now: number): void {
        let bytes = 0;
        const ended = [...this.byRun.values()].filter(run => run.isEnded()).reverse();
        for (const run of ended) {
            bytes += run.getRetainedBytes();
            const retentionMs = run.params.keep ? this.retentionMs : Math.min(this.retentionMs, REATTACH_RETENTION_MS);
            if (now - run.endedAt! > retentionMs || bytes > MAX_RETAINED_BYTES) {
                this.remove(run);
            }
        }
    }
}

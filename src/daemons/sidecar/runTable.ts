/** The runs of one sidecar by run id and by request id, and for how long ended ones are kept. */
import type { Run } from "./run.js";

/** What ended runs may hold in all, in bytes. */
export const MAX_KEPT_BYTES = 64 * 1024 * 1024;

/** How long an answer nobody can come back for is kept, for a router that lost its connection. Milliseconds. */
const REATTACH_MS = 3_000;

export class RunTable {
    private readonly byRun = new Map<string, Run>();
    private readonly byRequest = new Map<string, Run>();

    /** `keepMs`: how long an answer is kept for callers that come back. */
    constructor(private readonly keepMs: number) {}

    add(run: Run): void {
        this.byRun.set(run.params.runId, run);
        this.byRequest.set(run.params.requestId, run);
    }

    tryGetRun(runId: string): Run | undefined {
        return this.byRun.get(runId);
    }

    /** The newest run of a request. */
    tryGetRequest(requestId: string): Run | undefined {
        return this.byRequest.get(requestId);
    }

    getSize(): number {
        return this.byRun.size;
    }

    /** Runs that have not ended. */
    getActive(): Run[] {
        return [...this.byRun.values()].filter(run => !run.isEnded());
    }

    remove(run: Run): void {
        this.byRun.delete(run.params.runId);
        if (this.byRequest.get(run.params.requestId) === run) {
            this.byRequest.delete(run.params.requestId);
        }
    }

    /** Drops ended runs that are too old, and the oldest of the rest while they hold too much. */
    removeOld(now: number): void {
        let bytes = 0;
        const ended = [...this.byRun.values()].filter(run => run.isEnded()).reverse();
        for (const run of ended) {
            bytes += run.getKeptBytes();
            const keepMs = run.params.keep ? this.keepMs : Math.min(this.keepMs, REATTACH_MS);
            if (now - run.endedAt! > keepMs || bytes > MAX_KEPT_BYTES) {
                this.remove(run);
            }
        }
    }
}

/** Counts the connections that the routers of a soak relayed to each other, so that a run shows whether the relay was played. */
import { readFile } from "node:fs/promises";
import { request } from "undici";
import { METRICS_PORT } from "../tools/boxSettingsText.js";
import type { SoakBox } from "./soakBox.js";

/** Counters start over with each process; what a process counts after the last read before it ends is missing. */
const READ_PERIOD_MS = 250;
const READ_TIMEOUT_MS = 1_000;
/** Reasons in `relay_failed` for which an open connection was reset; for others the connection was served locally. */
const RESET_REASONS = new Set(["neighbourLost", "neighbourUnreachable", "stopping"]);

export interface RelayCounts {
    /** Connections relayed to another router. At least so many. */
    readonly relayed: number;
    /**
     * Relayed connections that were reset because the other router was lost or this one stopped, including attempts to
     * connect that were given up for one of these reasons.
     */
    readonly reset: number;
    /** Relayed connections whose callers were served on, as the other router was lost. */
    readonly failedOver: number;
    /** Connections served locally because the other router could not be reached. */
    readonly keptLocal: number;
}

export function formatRelayCounts({ relayed, reset, failedOver, keptLocal }: RelayCounts): string {
    const keptText = `${keptLocal} served locally after a failed attempt`;
    return `connections: at least ${relayed} relayed, ${reset} reset, ${failedOver} failed over, ${keptText}`;
}

export class RelayCounter {
    /** Counts of processes that have ended. */
    private relayedBefore = 0;
    /** Counts of the processes that run. */
    private readonly latest = new Map<SoakBox, number>();
    private running = false;
    private tasks: Promise<void>[] = [];

    constructor(private readonly routers: readonly SoakBox[]) {}

    start(): void {
        this.running = true;
        this.tasks = this.routers.map(router => this.runReading(router));
    }

    /** Reads the logs; the counts include everything since the routers were started. */
    async stop(): Promise<RelayCounts> {
        this.running = false;
        await Promise.all(this.tasks);
        const logs = await Promise.all(this.routers.map(readLog));
        const reasons = logs.flatMap(listFailureReasons);
        const failedOver = logs.join("").split(" event=relay_failed_over ").length - 1;
        const reset = reasons.filter(reason => RESET_REASONS.has(reason)).length;
        const relayed = [...this.latest.values()].reduce((sum, count) => sum + count, this.relayedBefore);
        return { relayed, reset, failedOver, keptLocal: reasons.length - reset };
    }

    private async runReading(router: SoakBox): Promise<void> {
        while (this.running) {
            const count = await tryReadRelayed(router);
            if (count !== undefined) {
                const last = this.latest.get(router) ?? 0;
                this.relayedBefore += count < last ? last : 0;
                this.latest.set(router, count);
            }
            await new Promise(resolve => setTimeout(resolve, READ_PERIOD_MS));
        }
    }
}

/** Returns undefined if the router does not answer. */
async function tryReadRelayed({ options }: SoakBox): Promise<number | undefined> {
    try {
        const url = `http://${options.ip}:${METRICS_PORT}/metrics`;
        // A connection that is kept would be one more that a stopping process has to close.
        const { body } = await request(url, { signal: AbortSignal.timeout(READ_TIMEOUT_MS), reset: true });
        return Number(/^loomwinch_connections_relayed (\d+)$/mu.exec(await body.text())?.[1] ?? 0);
    }
    catch {
        return undefined;
    }
}

async function readLog(router: SoakBox): Promise<string> {
    // A router that was never started has no log.
    return readFile(router.getLogPath(), "utf8").catch(() => "");
}

function listFailureReasons(log: string): string[] {
    return [...log.matchAll(/ event=relay_failed .*reason=(\S+)/gu)].map(([, reason]) => reason!);
}

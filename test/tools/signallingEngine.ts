/** An engine that says of itself what a test wants: a limit, that it leaves, a rest. It counts what reaches it, and from whom. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { DirectFleet } from "./directFleet.js";

/** Pause between two reports, in milliseconds. */
const REPORT_MS = 400;

/** A request that reached the engine. */
export interface Arrival {
    /** The router that sent it: callers begin the ids of their attempts with it. */
    readonly router: string;
    /** Monotonic clock, milliseconds. */
    readonly at: number;
    readonly isTurnedAway: boolean;
}

export class SignallingEngine {
    readonly arrivals: Arrival[] = [];
    /** Added to every answer. */
    headers: Record<string, string> = {};
    /** How long it takes over a request, so that what comes meanwhile is spread over the engines. Milliseconds. */
    workMs = 20;
    /** Headers with which it turns requests away; undefined where it runs them. */
    turnsAwayWith: Record<string, string> | undefined;
    private sequence = 0;
    private reports: NodeJS.Timeout | undefined;

    constructor(
        private readonly fleet: DirectFleet,
        public id: string,
        private readonly box: string,
        private readonly service = "plain",
    ) {}

    /** Listens and goes on reporting itself to a controller until `close`. */
    async start(controller: string): Promise<void> {
        const address = await this.fleet.startEngine(this.box, (message, response) => this.serve(message, response));
        await this.report(controller, address);
        this.reports = setInterval(() => void this.report(controller, address), REPORT_MS);
    }

    close(): void {
        clearInterval(this.reports);
    }

    private async report(controller: string, address: string): Promise<void> {
        this.sequence += 1;
        const known = { backend: this.service, address, zone: "z", slots: 8, state: "ready", cold_left_ms: 0 };
        const url = this.fleet.getOperatorUrl(controller, `/loomwinch/instances/${this.id}`);
        // A report that is lost is made good by the next one.
        await this.fleet.call("PUT", url, { ...known, seqno: this.sequence }).catch(() => undefined);
    }

    /** The most arrivals within any `spanMs` from `from` on. */
    countBusiest(from: number, spanMs: number): number {
        const times = this.arrivals.map(({ at }) => at).filter(at => at >= from);
        return Math.max(0, ...times.map(start => times.filter(at => at >= start && at < start + spanMs).length));
    }

    private serve(message: IncomingMessage, response: ServerResponse): void {
        const attempt = String(message.headers["attempt-id"]);
        const isTurnedAway = this.turnsAwayWith !== undefined;
        this.arrivals.push({ router: attempt.split("-")[0]!, at: performance.now(), isTurnedAway });
        const head = { ...this.headers, "Attempt-Id": attempt };
        const awayHead = { ...head, ...this.turnsAwayWith, "Not-Executed": "1", "Content-Length": 0 };
        const runHead = { ...head, "Instance-Signature": "sig", "Content-Type": "text/event-stream" };
        setTimeout(() => {
            if (isTurnedAway) {
                response.writeHead(503, awayHead).end();
            }
            else {
                response.writeHead(200, runHead).end("id: 1\ndata: x\n\n");
            }
        }, this.workMs);
    }
}

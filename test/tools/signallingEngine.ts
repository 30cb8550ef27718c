/**
 * An engine whose response headers a test sets: a rate limit, a shutdown notice, Retry-After. It records the requests it
 * receives and the routers that sent them.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { DirectFleet } from "./directFleet.js";

const REPORT_MS = 400;

/** A request received by the engine. */
export interface Arrival {
    /** The router that sent it; taken from the prefix of the attempt id. */
    readonly router: string;
    /** Monotonic clock, in milliseconds. */
    readonly at: number;
    readonly isRejected: boolean;
}

export class SignallingEngine {
    readonly arrivals: Arrival[] = [];
    /** Added to every response. */
    headers: Record<string, string> = {};
    /** Delay before a response, in milliseconds. Above 0, so that concurrent requests are spread over the engines. */
    responseDelayMs = 20;
    /** Headers of the 503 responses; undefined while requests are accepted. */
    rejectionHeaders: Record<string, string> | undefined;
    private sequence = 0;
    private reportTimer: NodeJS.Timeout | undefined;

    constructor(
        private readonly fleet: DirectFleet,
        public id: string,
        private readonly box: string,
        private readonly service = "plain",
    ) {}

    /** Starts listening and reports to a controller periodically until `close`. */
    async start(controller: string): Promise<void> {
        const address = await this.fleet.startEngine(this.box, (message, response) => this.serve(message, response));
        await this.report(controller, address);
        this.reportTimer = setInterval(() => void this.report(controller, address), REPORT_MS);
    }

    close(): void {
        clearInterval(this.reportTimer);
    }

    private async report(controller: string, address: string): Promise<void> {
        this.sequence += 1;
        const known = { backend: this.service, address, zone: "z", slots: 8, state: "ready", cold_left_ms: 0 };
        const url = this.fleet.getOperatorUrl(controller, `/loomwinch/instances/${this.id}`);
        // The next report makes up for a lost one.
        await this.fleet.sendRequest("PUT", url, { ...known, seqno: this.sequence }).catch(() => undefined);
    }

    /** Returns the highest number of arrivals within any `spanMs` after `from`. */
    countPeakArrivals(from: number, spanMs: number): number {
        const times = this.arrivals.map(({ at }) => at).filter(at => at >= from);
        return Math.max(0, ...times.map(start => times.filter(at => at >= start && at < start + spanMs).length));
    }

    private serve(message: IncomingMessage, response: ServerResponse): void {
        const attempt = String(message.headers["attempt-id"]);
        const isRejected = this.rejectionHeaders !== undefined;
        this.arrivals.push({ router: attempt.split("-")[0]!, at: performance.now(), isRejected });
        const head = { ...this.headers, "Attempt-Id": attempt };
        const rejectionHead = { ...head, ...this.rejectionHeaders, "Not-Executed": "1", "Content-Length": 0 };
        const successHead = { ...head, "Instance-Signature": "sig", "Content-Type": "text/event-stream" };
        setTimeout(() => {
            if (isRejected) {
                response.writeHead(503, rejectionHead).end();
            }
            else {
                response.writeHead(200, successHead).end("id: 1\ndata: x\n\n");
            }
        }, this.responseDelayMs);
    }
}

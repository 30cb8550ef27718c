/**
 * Bounds the requests that callers send ahead of answers. An HTTP server parses all requests of one read before the first of them is answered,
 * and holds a request and a response for each until the caller has taken the answer.
 */
import type { RequestListener } from "node:http";
import type { Socket } from "node:net";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import { EventSummary } from "../eventSummary.js";
import { stopParsing } from "./stopParsing.js";

export interface PipelineLimits {
    /** Requests of one connection whose answers have not been handed to the operating system. */
    readonly maxPerConnection: number;
    /** Of these, the ones of all connections that came while another one of the same connection was open. */
    readonly maxAhead: number;
}

/** Callers send one request at a time; HTTP lets them send a few ahead. */
export const CALLER_PIPELINE_LIMITS: PipelineLimits = { maxPerConnection: 32, maxAhead: 1_024 };
/** Probes and scrapes come one by one, and operators and upstreams wait for each answer. */
export const SERVICE_PIPELINE_LIMITS: PipelineLimits = { maxPerConnection: 8, maxAhead: 128 };

export class PipelineLimit {
    private readonly openCounts = new Map<Socket, number>();
    private aheadCount = 0;
    private readonly closed: EventSummary;

    /** `listener`: what the server is for, for logs. */
    constructor(
        listener: string,
        private readonly limits: PipelineLimits,
        log: Log,
        private readonly metrics: Metrics,
    ) {
        this.closed = new EventSummary(count => log.warn("connections_closed_pipelined", { listener, count }));
    }

    /**
     * Returns a handler that passes requests on to `handle`, and closes the connections with too many. What was parsed together with the request
     * that exceeds a limit is dropped: its caller sees a connection that was closed without an answer.
     */
    wrap(handle: RequestListener): RequestListener {
        return (request, response) => {
            const { socket } = request;
            if (socket.destroyed) {
                return;
            }
            if (!this.tryAdd(socket)) {
                this.metrics.addCount("connections_closed_pipelined");
                this.closed.record();
                stopParsing(socket);
                socket.destroy();
                return;
            }
            response.once("close", () => this.remove(socket));
            handle(request, response);
        };
    }

    /** Returns the number of requests that came while another one of the same connection was open. */
    getAheadCount(): number {
        return this.aheadCount;
    }

    private tryAdd(socket: Socket): boolean {
        const openCount = this.openCounts.get(socket);
        if (openCount === undefined) {
            this.openCounts.set(socket, 1);
            socket.once("close", () => this.removeAll(socket));
            return true;
        }
        const isAhead = openCount > 0;
        if (openCount >= this.limits.maxPerConnection || (isAhead && this.aheadCount >= this.limits.maxAhead)) {
            return false;
        }
        this.openCounts.set(socket, openCount + 1);
        this.aheadCount += isAhead ? 1 : 0;
        return true;
    }

    private remove(socket: Socket): void {
        const openCount = this.openCounts.get(socket);
        if (openCount !== undefined) {
            this.openCounts.set(socket, openCount - 1);
            this.aheadCount -= openCount > 1 ? 1 : 0;
        }
    }

    private removeAll(socket: Socket): void {
        this.aheadCount -= Math.max(0, this.openCounts.get(socket)! - 1);
        this.openCounts.delete(socket);
    }
}

/** The connections of an HTTP server, which are closed at a planned stop once nothing is owed on them. */
import { createServer, type RequestListener, type Server, type ServerResponse } from "node:http";
import { Server as NetServer } from "node:net";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import { waitForNextPoll } from "../nextPoll.js";
import { stopListening } from "../stopListening.js";
import { CallerConnections } from "./callerConnections.js";
import { CALLER_PIPELINE_LIMITS, PipelineLimit } from "./pipelineLimit.js";

/** Limit on the total size of a request's headers. */
export const MAX_HEADER_BYTES = 16 * 1024;
/** Limits on the time a client takes to send its headers, and its whole request. */
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;
/** Time after which an idle connection is closed. */
const KEEP_ALIVE_TIMEOUT_MS = 72_000;
const DRAIN_PERIOD_MS = 50;

export class AppConnections {
    private readonly callers: CallerConnections;
    /** Responses that are not finished. */
    private readonly responses = new Set<ServerResponse>();
    private isAnnouncing = false;
    private isClosing = false;

    constructor(private readonly log: Log, private readonly metrics: Metrics) {
        this.callers = new CallerConnections(log, metrics, () => this.isClosing);
    }

    createServer(handle: RequestListener): Server {
        const options = {
            maxHeaderSize: MAX_HEADER_BYTES,
            headersTimeout: HEADERS_TIMEOUT_MS,
            requestTimeout: REQUEST_TIMEOUT_MS,
            keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
            // Requests that the server refuses by itself would not be limited.
            requireHostHeader: false,
        };
        const limit = new PipelineLimit("callers", CALLER_PIPELINE_LIMITS, this.log, this.metrics);
        const server = createServer(
            options,
            limit.wrap((request, response) => {
                if (request.headers.host === undefined && request.httpVersion === "1.1") {
                    response.writeHead(400, { "Connection": "close", "Content-Length": 0 }).end();
                    return;
                }
                const name = `${request.method} ${request.url}`;
                if (this.callers.isEnded(request.socket)) {
                    this.log.info("request_crossed_close", { request: name });
                    request.resume();
                    return;
                }
                this.callers.beginExchange(request, response, name);
                this.responses.add(response);
                response.once("close", () => this.responses.delete(response));
                response.shouldKeepAlive &&= !this.isAnnouncing;
                handle(request, response);
            }),
        );
        return server.on("connection", socket => this.callers.add(socket));
    }

    /** Serves on; each answer from here on tells its caller that the connection closes. */
    startAnnouncing(): void {
        this.isAnnouncing = true;
        this.responses.forEach(response => this.announceClose(response));
    }

    /** Stops listening; resolves when no connection has a request, or after `limitMs`, when those that have one are reset. */
    async drain(server: Server, limitMs: number): Promise<void> {
        const startedAt = performance.now();
        this.startAnnouncing();
        this.isClosing = true;
        // The method of the HTTP server would also destroy connections whose last answer is complete and not sent.
        await stopListening(server, () => NetServer.prototype.close.call(server));
        this.logProgress("closing", startedAt);
        while (this.callers.countOpen() > 0 && performance.now() - startedAt < limitMs) {
            await waitForNextPoll();
            this.callers.endIdle();
            await new Promise(resolve => setTimeout(resolve, DRAIN_PERIOD_MS));
        }
        this.logProgress(this.callers.countOpen() === 0 ? "drained" : "over", startedAt);
        this.callers.close();
    }

    /** Closing the connection before the whole request was read would reset it, and with it the answer. */
    private announceClose(response: ServerResponse): void {
        if (response.req.complete) {
            response.shouldKeepAlive = false;
        }
    }

    private logProgress(stage: "closing" | "drained" | "over", startedAt: number): void {
        const afterMs = Math.round(performance.now() - startedAt);
        this.log.info("stop_progress", { stage, ...this.callers.count(), after_ms: afterMs });
    }
}

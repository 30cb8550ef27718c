/** HTTP servers for probes and scrapes, whose answers are short and whose clients are few. */
import { createServer, type RequestListener, type Server } from "node:http";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import { PipelineLimit, SERVICE_PIPELINE_LIMITS } from "./pipelineLimit.js";

const MAX_CONNECTIONS = 256;
const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 5_000;
const REQUEST_TIMEOUT_MS = 10_000;
/** Time without a byte in either direction after which a connection is closed, such as one whose answers are not read. */
const SILENCE_TIMEOUT_MS = 15_000;
const CONNECTION_CHECK_PERIOD_MS = 1_000;

/** `listener`: what the server is for, for logs. */
export function createServiceServer(listener: string, log: Log, metrics: Metrics, handle: RequestListener): Server {
    const options = {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        connectionsCheckingInterval: CONNECTION_CHECK_PERIOD_MS,
        // Requests that the server refuses by itself would not be limited.
        requireHostHeader: false,
    };
    const limit = new PipelineLimit(listener, SERVICE_PIPELINE_LIMITS, log, metrics);
    const server = createServer(options, limit.wrap(handle));
    server.maxConnections = MAX_CONNECTIONS;
    server.timeout = SILENCE_TIMEOUT_MS;
    return server;
}

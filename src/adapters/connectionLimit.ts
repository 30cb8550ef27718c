/** Bounds the connections of a listener, so that descriptors are left for connections to other processes and for files. */
import type { Server } from "node:net";
import type { Log } from "../ports/log.js";
import type { Metrics } from "../ports/metrics.js";
import { EventSummary } from "./eventSummary.js";

/** Part of a process's descriptors that the connections of one listener may use. A relayed connection needs two. */
const LISTENER_FRACTION = 0.4;

/**
 * Closes connections that come beyond the limit. `maxDescriptors`: of the process; not limited if undefined. `listener`: what the server is for,
 * for logs.
 */
export function limitConnections(
    server: Server,
    maxDescriptors: number | undefined,
    listener: string,
    log: Log,
    metrics: Metrics,
): void {
    if (maxDescriptors === undefined) {
        return;
    }
    server.maxConnections = Math.floor(maxDescriptors * LISTENER_FRACTION);
    const dropped = new EventSummary(count => log.warn("connections_dropped", { listener, count }));
    server.on("drop", () => {
        metrics.addCount("connections_dropped");
        dropped.record();
    });
}

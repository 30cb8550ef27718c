/** The connections that a router does not serve for lack of CPU time. Their requests are refused by the framing alone. */
import type { Socket } from "node:net";
import { RequestFraming } from "../../domain/messageFraming.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import { type ArrivedInput, tryReadArrived } from "../arrivedInput.js";

/** Interval between two lines while connections are not served, in milliseconds. */
const LOG_PERIOD_MS = 1_000;
/** Maximum number of refused connections that are read on because their requests have not arrived whole; further ones are reset. */
const MAX_LINGERING_CONNECTIONS = 512;

const NO_COUNTS = { refused: 0, closed: 0, reset: 0 } as const;

/** What is known of a connection that is not served. */
export interface UnservedArrival {
    /** How long it has waited to be accepted, in milliseconds. */
    readonly waitMs: number;
    /** Whether the system may have dropped what its caller has sent, because the listen queue was full. */
    readonly mayLackRequest: boolean;
}

export class UnservedConnections {
    private readonly lingering = new Set<Socket>();
    private counts: Record<keyof typeof NO_COUNTS, number> = { ...NO_COUNTS };
    private longestWaitMs = 0;
    private timer: NodeJS.Timeout | undefined;

    /**
     * `refuse`: answers the request on a connection, and ends the connection behind the answer; `reads` the rest of the request meanwhile if it
     * is still to come.
     */
    constructor(
        private readonly refuse: (socket: Socket, reads: boolean) => void,
        private readonly log: Log,
        private readonly metrics: Metrics,
    ) {}

    /**
     * Refuses the request on a new connection, from which nothing has been read: its caller may have waited for long, and a reset would not tell
     * whether the request has run. A connection without a request is closed.
     */
    reject(socket: Socket, { waitMs, mayLackRequest }: UnservedArrival): void {
        this.longestWaitMs = Math.max(this.longestWaitMs, waitMs);
        this.timer ??= setTimeout(() => this.flush(), LOG_PERIOD_MS).unref();
        socket.on("error", () => undefined);
        const arrived = tryReadArrived(socket);
        if (arrived !== undefined && arrived.bytes.length === 0 && (arrived.hasEnded || !mayLackRequest)) {
            this.record("closed");
            socket.destroy();
            return;
        }
        const reads = arrived === undefined || hasPartialRequest(arrived);
        if (reads && this.lingering.size >= MAX_LINGERING_CONNECTIONS) {
            this.record("reset");
            socket.resetAndDestroy();
            return;
        }
        if (reads) {
            this.lingering.add(socket);
            socket.once("close", () => this.lingering.delete(socket));
        }
        this.record("refused");
        this.refuse(socket, reads);
    }

    /** Logs what has not been logged yet. */
    flush(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        if (Object.values(this.counts).some(count => count > 0)) {
            const longestWaitMs = Math.round(this.longestWaitMs);
            this.log.info("connections_unserved", { ...this.counts, longest_wait_ms: longestWaitMs });
        }
        this.counts = { ...NO_COUNTS };
        this.longestWaitMs = 0;
    }

    private record(outcome: keyof typeof NO_COUNTS): void {
        this.counts[outcome] += 1;
        this.metrics.addCount(outcome === "refused" ? "connections_refused_unread" : "connections_closed_unread");
    }
}

function hasPartialRequest({ bytes }: ArrivedInput): boolean {
    const framing = new RequestFraming(() => undefined);
    bytes.forEach(chunk => framing.read(chunk));
    const hasHead = bytes.length === 0 || framing.tryGetHead() !== undefined;
    return !hasHead || !framing.isKnown() || framing.isInMessage();
}

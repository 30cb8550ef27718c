/**
 * A connection over which a router serves a caller. The router owns a request from its first byte until the operating system has the
 * last byte of its answer. The connection may be closed regularly only while the router owns no request of it.
 */

/**
 * What a request waits for: the rest of its body, the head of its answer, the rest of its answer, or a caller that reads the answer,
 * which is complete.
 */
export type ExchangeStage = "body" | "running" | "answering" | "unsent";

/** A request and its answer. */
export class CallerExchange {
    private stage: ExchangeStage = "body";
    private isWhole = false;
    private readonly closeHandlers: (() => void)[] = [];

    /** `id`: of the request, for logs. `startedAt`: monotonic clock, milliseconds. */
    constructor(readonly id: string, readonly startedAt: number) {}

    getStage(): ExchangeStage {
        return this.stage;
    }

    /** Records that the answer has begun. It may begin before the body of the request was read. */
    recordAnswerStart(): void {
        this.stage = "answering";
    }

    /** Records that the request was read whole. */
    recordBodyEnd(): void {
        this.isWhole = true;
        if (this.stage === "body") {
            this.stage = "running";
        }
    }

    /** Calls `handler` as soon as the caller's close is read, before the connection is closed. */
    onCallerClose(handler: () => void): void {
        this.closeHandlers.push(handler);
    }

    /** Records that the caller has closed the connection. */
    endByCaller(): void {
        this.closeHandlers.forEach(handler => handler());
    }

    /** Whether the request was read whole. */
    wasReadWhole(): boolean {
        return this.isWhole;
    }

    /** Records that the answer is complete and waits until the operating system takes it. */
    recordAnswerEnd(): void {
        this.stage = "unsent";
    }
}

/** Numbers of connections by what they wait for. `heads`: those with a part of the head of a request. */
export interface ConnectionCounts {
    readonly connections: number;
    readonly idle: number;
    readonly heads: number;
    readonly bodies: number;
    readonly running: number;
    readonly answering: number;
    readonly unsent: number;
}

export class CallerConnection {
    private readonly exchanges = new Set<CallerExchange>();
    private isEndAnnounced = false;
    private closedAt: number | undefined;
    private isReadAhead = false;
    /** Bytes that were read and that the number of read bytes leaves out. */
    private readAheadBytes = 0;

    /**
     * `relay`: the router that relays the connection; undefined for a caller's own one. `accountedBytes`: bytes that were read from the
     * connection and belong to no request.
     */
    constructor(readonly relay: string | undefined, private accountedBytes = 0) {}

    /** Records a request whose head was read. */
    beginExchange(id: string, now: number): CallerExchange {
        const exchange = new CallerExchange(id, now);
        this.exchanges.add(exchange);
        return exchange;
    }

    /** Records that a request was read whole. `readBytes`: all bytes that were read from the connection so far. */
    recordBodyEnd(exchange: CallerExchange, readBytes: number): void {
        exchange.recordBodyEnd();
        this.accountedBytes = readBytes + this.readAheadBytes;
    }

    /** Records that an answer was handed to the operating system, or that its connection has failed. */
    endExchange(exchange: CallerExchange): void {
        this.exchanges.delete(exchange);
    }

    /** Whether the router owns no request of this connection. `readBytes`: all bytes that were read from the connection so far. */
    isIdle(readBytes: number): boolean {
        return this.exchanges.size === 0 && readBytes + this.readAheadBytes === this.accountedBytes;
    }

    /**
     * Records that an answer tells the caller that the connection ends. Returns false, and does nothing, if a further request was read
     * already, which would not be answered then.
     */
    tryAnnounceEnd(exchange: CallerExchange): boolean {
        const isNewest = [...this.exchanges].at(-1) === exchange;
        this.isEndAnnounced ||= isNewest;
        return isNewest;
    }

    /** Whether an answer has told the caller that the connection ends, so that no further request is served. */
    hasAnnouncedEnd(): boolean {
        return this.isEndAnnounced;
    }

    /** Records that the caller has closed or reset the connection, at the earliest at `closedAt`. Monotonic clock, milliseconds. */
    recordClosed(closedAt: number): void {
        this.closedAt ??= closedAt;
    }

    hasClosed(): boolean {
        return this.closedAt !== undefined;
    }

    /** Records that bytes are read past the event loop from now on; returns whether they were not before. */
    beginReadingAhead(): boolean {
        const isFirst = !this.isReadAhead;
        this.isReadAhead = true;
        return isFirst;
    }

    recordReadAhead(bytes: number): void {
        this.readAheadBytes += bytes;
    }

    /** Returns the longest time since the close arrived, in milliseconds; undefined while the connection is open. */
    tryGetCloseAgeMs(now: number): number | undefined {
        return this.closedAt === undefined ? undefined : now - this.closedAt;
    }

    /** Returns the requests that the router owns. */
    listExchanges(): CallerExchange[] {
        return [...this.exchanges];
    }
}

/** `connections`: each with the number of bytes that were read from it. */
export function countConnections(
    connections: Iterable<{ readonly connection: CallerConnection; readonly readBytes: number; }>,
): ConnectionCounts {
    const counts = { connections: 0, idle: 0, heads: 0, bodies: 0, running: 0, answering: 0, unsent: 0 };
    for (const { connection, readBytes } of connections) {
        counts.connections += 1;
        const stage = connection.listExchanges()[0]?.getStage();
        if (stage === undefined) {
            counts[connection.isIdle(readBytes) ? "idle" : "heads"] += 1;
        }
        else {
            counts[stage === "body" ? "bodies" : stage] += 1;
        }
    }
    return counts;
}

/**
 * Relays callers' connections to another router as byte streams, without parsing them. The router that relays is short of CPU
 * time, so that each chunk is passed on by plain event handlers, and timeouts share one timer.
 */
import type { Socket } from "node:net";
import type { RequestRetention, RequestTerms } from "../../domain/relayedExchange.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import { DeadlineQueue } from "../deadlineQueue.js";
import type { ReadPacer } from "../readPacer.js";
import { RelayedConnection, type RelayTarget } from "./relayedConnection.js";
import type { FailoverCause, RelayCloseCause, RelayProgress } from "./relayEvents.js";

/** Size of the buffer into which all connections to other routers are read. */
const READ_BUFFER_BYTES = 65_536;
/** Closes that may have been read later than this are logged, in milliseconds. */
const MIN_LOGGED_CLOSE_AGE_MS = 100;

/** Time that a caller may take to close its connection after the neighbour has closed its own, in milliseconds. */
const HALF_CLOSED_TIMEOUT_MS = 5_000;

/** A request whose serving router was lost before it answered. */
export interface LostRequest {
    /** All of its bytes that have come; undefined if they were not retained. */
    readonly bytes: Buffer | undefined;
    /** Whether the lost router may have sent it to an upstream. */
    readonly mayHaveRun: boolean;
    /** When its first bytes were passed on. Monotonic clock, milliseconds. */
    readonly startedAt: number;
}

/** Serves the callers of relayed connections here when the router that they were relayed to is lost. */
export interface RelayFailover {
    readonly retention: RequestRetention;
    /** Returns the terms of a request by its head; undefined if there is no route. */
    readonly tryGetTerms: (head: string) => RequestTerms | undefined;
    /** Serves a caller's connection from now on, and answers its request. Nothing is read from the connection until then. */
    readonly serve: (caller: Socket, lost: LostRequest) => void;
    /** Refuses the request, and ends the connection behind the refusal. */
    readonly refuse: (caller: Socket, lost: LostRequest) => void;
}

export interface ConnectionRelayOptions {
    /** Without it, the connections of callers are reset with those of a lost router. */
    readonly failover?: RelayFailover;
    /** Whether the process of a router is known to run, by its peer address. */
    readonly isReachable: (address: string) => boolean;
    /** Whether there is a link to a router, by its peer address. */
    readonly isConnected: (address: string) => boolean;
    /** Whether a router has announced that its process is about to end, by its peer address. */
    readonly isStopping: (address: string) => boolean;
    /** Whether a router is known to serve an older configuration than this one, by its peer address. */
    readonly isOutdated: (address: string) => boolean;
    /** Identifies this process to the routers that it relays to. */
    readonly instance: string;
    /** Time after which a connection attempt to another router is given up, in milliseconds. */
    readonly connectTimeoutMs: number;
    /** Maximum number of concurrent relayed connections. */
    readonly maxConnections: number;
    /** Returns the longest time for which what is read now may have been there, in milliseconds. */
    readonly getMaxReadDelayMs: () => number;
}

export class ConnectionRelay {
    private readonly connections = new Set<RelayedConnection>();
    private readonly connecting: DeadlineQueue<RelayedConnection>;
    private readonly halfClosed = new DeadlineQueue<RelayedConnection>(
        HALF_CLOSED_TIMEOUT_MS,
        connection => connection.isOpen(),
        connection => connection.endOverdue(),
    );
    /** Shared by all connections: each read is copied before the next one. */
    private readonly readBuffer = Buffer.allocUnsafeSlow(READ_BUFFER_BYTES);

    readonly failover: RelayFailover | undefined;

    constructor(
        readonly pacer: ReadPacer,
        private readonly log: Log,
        private readonly metrics: Metrics,
        private readonly options: ConnectionRelayOptions,
    ) {
        this.failover = options.failover;
        this.connecting = new DeadlineQueue(
            options.connectTimeoutMs,
            connection => connection.isConnecting(),
            connection => connection.failConnecting("no connection in time"),
        );
    }

    /**
     * Relays a connection that was accepted with `pauseOnConnect`. If the other router cannot be reached, `serveLocally` is
     * called with the socket untouched. Returns false, and does nothing, if there are too many relayed connections.
     * `arrivedAt`: estimated arrival of the connection. Monotonic clock, milliseconds.
     */
    tryRelay(
        caller: Socket,
        target: RelayTarget,
        arrivedAt: number,
        serveLocally: (error: string) => void,
    ): boolean {
        if (this.connections.size >= this.options.maxConnections) {
            return false;
        }
        const connection = new RelayedConnection(this, caller, target, arrivedAt, this.readBuffer, error => {
            this.logFailure(target, error, undefined);
            serveLocally(error);
        });
        this.connections.add(connection);
        this.connecting.add(connection);
        return true;
    }

    /** Handles the connections to routers to which the link was lost, and to those to which there is one again. */
    handleLinkChange(): void {
        for (const connection of this.connections) {
            const { address } = connection.target;
            if (this.options.isConnected(address)) {
                connection.handleRestoredLink();
            }
            else if (!connection.hasNeighbourEnded && !this.options.isReachable(address)) {
                // An answer that has arrived whole is still delivered to a slow caller.
                this.handleLostLink(connection);
            }
        }
    }

    /** Without failover, a router that has announced its stop ends its connections itself, and callers may still read what it has sent. */
    private handleLostLink(connection: RelayedConnection): void {
        if (this.failover !== undefined || this.isLost(connection.target.address)) {
            void connection.handleLostLink();
        }
    }

    /** Returns what is known of a request by its head; undefined without a whole one, or without a route. */
    tryGetTerms(head: string | undefined): RequestTerms | undefined {
        return head === undefined ? undefined : this.failover?.tryGetTerms(head);
    }

    isStopping(address: string): boolean {
        return this.options.isStopping(address);
    }

    /** Closes the connections over which callers have sent nothing: the routers that they are relayed to do not know whose they are. */
    closeUnused(): void {
        for (const connection of this.connections) {
            if (connection.isUnused() && !connection.forwardArrived()) {
                connection.close("stopping");
            }
        }
    }

    /** Returns the peer addresses of the routers that connections are relayed to. */
    listTargets(): string[] {
        return [...new Set([...this.connections].map(({ target }) => target.address))];
    }

    /** Returns the number of connections whose last byte is not handed to the operating system. */
    countUndelivered(): number {
        return [...this.connections].filter(connection => !connection.isDelivered()).length;
    }

    /** Whether a router can have ended its connections only because its process is gone. */
    isLost(address: string): boolean {
        return !this.options.isReachable(address) && !this.options.isStopping(address);
    }

    /** Whether a router is known to serve an older configuration than this one. */
    isOutdated(address: string): boolean {
        return this.options.isOutdated(address);
    }

    getInstance(): string {
        return this.options.instance;
    }

    countOpen(): number {
        return this.connections.size;
    }

    /** Ends all connections, those that are not delivered by a reset. */
    close(): void {
        for (const connection of this.connections) {
            if (connection.isDelivered()) {
                connection.close("stopping");
            }
            else if (!connection.tryRefuse()) {
                connection.reset("stopping");
            }
        }
    }

    /** Called by a connection once it is established. */
    recordConnected(): void {
        this.metrics.addCount("connections_relayed");
    }

    /** Called by a connection whose neighbour has sent everything. */
    addHalfClosed(connection: RelayedConnection): void {
        this.halfClosed.add(connection);
    }

    /** Called by a connection that has ended or failed. */
    remove(connection: RelayedConnection): void {
        this.connections.delete(connection);
    }

    /** Called by a connection that is closed regularly by this router. */
    logClosed(target: RelayTarget, reason: RelayCloseCause, progress: RelayProgress): void {
        this.metrics.addCount("connections_relay_closed");
        this.log.info("relay_closed", { router: target.address, reason, ...progress });
    }

    /** Called by a connection whose caller has ended or reset it. */
    recordCallerClose(connection: RelayedConnection): void {
        const closeAgeMs = this.options.getMaxReadDelayMs();
        this.metrics.recordTiming("relay_close_read_ms", closeAgeMs);
        if (closeAgeMs >= MIN_LOGGED_CLOSE_AGE_MS || connection.isUnanswered()) {
            this.log.info("relay_caller_closed", {
                router: connection.target.address,
                close_age_ms: Math.round(closeAgeMs),
                ...connection.getProgress(),
            });
        }
    }

    /** Called by a connection whose caller is served here from now on. */
    logFailover(
        target: RelayTarget,
        reason: FailoverCause,
        { mayHaveRun, isRetained }: { readonly mayHaveRun: boolean; readonly isRetained: boolean; },
        progress: RelayProgress,
    ): void {
        this.metrics.addCount("connections_relay_failed_over");
        this.log.info("relay_failed_over", {
            router: target.address,
            reason,
            may_have_run: mayHaveRun,
            retained: isRetained,
            ...progress,
        });
    }

    /** Called by a connection that is reset. */
    logFailure(target: RelayTarget, reason: string, progress: RelayProgress | undefined): void {
        this.metrics.addCount("connections_relay_failed");
        this.log.info("relay_failed", { router: target.address, reason, ...progress });
    }
}

/**
 * Shares an upstream's request rate among all routers without coordination between them. The rate is bounded while the
 * upstream is cold, after a start or after its availability zone was evacuated, or while the upstream names a limit.
 *
 * The load that this guards against: all routers have requests waiting for the upstream at the same moment, so that a
 * limit applied by each router separately would be exceeded by a factor of the number of routers.
 *
 * At most as many routers send to an upstream as it accepts requests per second. They are chosen by rendezvous hash of
 * the upstream's incarnation, and each sends at a constant interval; if all routers sent, their first requests would
 * arrive as one burst. For a limit that ends only when the upstream stops naming it, the other routers send occasional
 * probes: otherwise the upstream would stay unused if the chosen routers have no traffic.
 */
import { chooseByRendezvous } from "./identifiers.js";
import { getIncarnationKey, type UpstreamRegistration } from "./upstreamRegistry.js";

/** Fraction of a limit that is reserved for probes by routers that were not chosen to send to the upstream. */
export const LIMIT_PROBE_FRACTION = 0.1;

/** Schedule on which one router sends to one upstream. Monotonic clock, milliseconds. */
interface RateShare {
    /** Requests per second that the upstream accepts from all routers. */
    readonly perSecond: number;
    /** Minimum time between two requests of this router; Infinity if it must not send. */
    readonly intervalMs: number;
    /** Earliest time of this router's first request. */
    readonly firstSendAt: number;
    /** Time of this router's last request; kept when the set of routers changes. */
    lastSentAt: number;
}

/** Multiplier of the interval if some routers are unknown: the senders' requests are then no longer evenly spaced. */
const UNKNOWN_ROUTER_FACTOR = 1.5;

/** Incarnations whose shares are kept; the oldest are evicted and recomputed on demand. */
const MAX_SHARES = 4_096;

/** Minimum rate that is shared, so that the end of a lower limit is detected within about a minute. */
const MIN_REQUESTS_PER_SECOND = 0.1;

export class DistributedRateLimiter {
    /** Keyed by incarnation. */
    private readonly shares = new Map<string, RateShare>();
    /** Time of the last request to each upstream before the routers changed, keyed by incarnation. */
    private previousSentAt: ReadonlyMap<string, number> = new Map();
    private peers: readonly string[] = [];
    private routerCount = 1;
    /** Whether the routers have changed since the shares were computed. */
    private haveRoutersChanged = false;
    /** Whether this router has known its peers for long enough that few are missing. */
    private isEnabled = false;

    /**
     * `self`: this router's address. `random`: returns a number in [0, 1). `probeFraction`: fraction of the rate that
     * is reserved for routers that were not chosen to send.
     */
    constructor(
        private readonly self: string,
        private readonly random: () => number,
        private readonly probeFraction: number,
    ) {}

    /**
     * Sets the other routers' addresses. `routerCount`: number of routers including this one, which is higher than the
     * number of known addresses if only the count was received.
     */
    setPeers(peers: readonly string[], routerCount: number): void {
        this.peers = peers;
        this.routerCount = routerCount;
        this.haveRoutersChanged = true;
    }

    /**
     * Allows sending to rate-limited upstreams. A router that has just started knows too few peers to share rates with
     * them.
     */
    enable(): void {
        this.isEnabled = true;
    }

    /**
     * Returns when this router may next send to an upstream; Infinity if it must not. `perSecond`: rate that the
     * upstream accepts.
     */
    getNextSendAt(upstream: UpstreamRegistration, perSecond: number, now: number): number {
        if (!this.isEnabled) {
            return Infinity;
        }
        const { firstSendAt, lastSentAt, intervalMs } = this.getShare(
            upstream,
            perSecond,
            now,
        );
        return Math.max(firstSendAt, lastSentAt + intervalMs);
    }

    recordSend(upstream: UpstreamRegistration, perSecond: number, now: number): void {
        this.getShare(upstream, perSecond, now).lastSentAt = now;
    }

    private getShare(upstream: UpstreamRegistration, perSecond: number, now: number): RateShare {
        this.discardStaleShares();
        const key = getIncarnationKey(upstream);
        const existing = this.shares.get(key);
        if (existing?.perSecond === perSecond) {
            return existing;
        }
        const intervalMs = this.computeIntervalMs(key, Math.max(perSecond, MIN_REQUESTS_PER_SECOND));
        // Routers discover an upstream at the same time, so each starts at a random offset.
        const firstSendAt = intervalMs === Infinity ? Infinity : now + this.random() * intervalMs;
        const share = {
            perSecond,
            intervalMs,
            firstSendAt,
            lastSentAt: existing?.lastSentAt ?? this.previousSentAt.get(key) ?? -Infinity,
        };
        this.shares.set(key, share);
        this.evictOldest();
        return share;
    }

    /** Discards the shares if the routers have changed, keeping the time of the last request to each upstream. */
    private discardStaleShares(): void {
        if (this.haveRoutersChanged) {
            this.haveRoutersChanged = false;
            this.previousSentAt = new Map([...this.shares].map(([key, { lastSentAt }]) => [key, lastSentAt]));
            this.shares.clear();
        }
    }

    private computeIntervalMs(incarnationKey: string, perSecond: number): number {
        const knownRouters = [this.self, ...this.peers];
        const senderCount = Math.max(1, Math.min(knownRouters.length, Math.floor(perSecond)));
        if (chooseByRendezvous(incarnationKey, knownRouters, senderCount).includes(this.self)) {
            return 1_000 * senderCount * this.computeUnknownRouterFactor(knownRouters.length)
                / (perSecond * (1 - this.probeFraction));
        }
        const proberCount = Math.max(knownRouters.length, this.routerCount) - senderCount;
        return this.probeFraction === 0 ? Infinity : 1_000 * proberCount / (perSecond * this.probeFraction);
    }

    /** Unknown routers may choose different senders, so that more than `senderCount` may send. */
    private computeUnknownRouterFactor(knownCount: number): number {
        return this.routerCount > knownCount ? UNKNOWN_ROUTER_FACTOR * this.routerCount / knownCount : 1;
    }

    private evictOldest(): void {
        if (this.shares.size > MAX_SHARES) {
            this.shares.delete(this.shares.keys().next().value!);
        }
    }
}

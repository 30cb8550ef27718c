/**
 * Lists the upstreams that a request may be sent to: those that accept new work, are outside of evacuated availability
 * zones and have not asked this router to back off. Cold upstreams and those that name a limit are included when this
 * router's share of the rate allows it.
 */
import type { BundleService } from "./bundle.js";
import type { DistributedRateLimiter } from "./distributedRateLimiter.js";
import type { EvacuatedZones } from "./evacuatedZones.js";
import type { UpstreamBackoffs } from "./upstreamBackoffs.js";
import type { UpstreamRegistration, UpstreamRegistry } from "./upstreamRegistry.js";

/** Why an upstream that accepts new work is unavailable to this router. */
export type UnavailableReason = "cold" | "limited" | "resting" | "otherVersion";

/** The upstreams available at one time. */
export interface CandidateList {
    readonly upstreams: readonly UpstreamRegistration[];
    /**
     * Milliseconds until an upstream may become available; undefined if one is available, or if the time is unknown.
     */
    readonly waitMs: number | undefined;
    /** If none is available: the reason for each upstream that accepts new work, with repetitions. */
    readonly unavailableReasons: readonly UnavailableReason[];
}

/** Why and until when an upstream is unavailable to this router. Monotonic clock, milliseconds. */
interface Unavailability {
    readonly reason: UnavailableReason;
    /** When the first router may send to it again; Infinity if unknown. */
    readonly availableAt: number;
}

const OTHER_VERSION: Unavailability = { reason: "otherVersion", availableAt: Infinity };

/** Differences below this are rounding errors of the clock's floating-point values and must not add a millisecond. */
const CLOCK_RESOLUTION_MS = 0.001;

export class UpstreamCandidates {
    /** `cold`, `limits`: rate sharing for cold upstreams and for upstreams that name a limit. */
    constructor(
        private readonly registry: UpstreamRegistry,
        private readonly zones: EvacuatedZones,
        private readonly rests: UpstreamBackoffs,
        private readonly cold: DistributedRateLimiter,
        private readonly limits: DistributedRateLimiter,
    ) {}

    /**
     * `maxAgeMs`: time after the last report at which an upstream counts as lost. `version`: the only software version that
     * may be used; undefined for any.
     */
    list(service: BundleService, now: number, maxAgeMs: number, version?: string): CandidateList {
        const ready = this.registry.getReady(service.name, now, maxAgeMs);
        const upstreams: UpstreamRegistration[] = [];
        const unavailabilities: Unavailability[] = [];
        for (const upstream of ready) {
            if (this.zones.isEvacuated(upstream.zone)) {
                continue;
            }
            const isOtherVersion = version !== undefined && (upstream.version ?? "") !== version;
            const unavailability = isOtherVersion ? OTHER_VERSION : this.tryGetUnavailability(upstream, service, now);
            if (unavailability === undefined) {
                upstreams.push(upstream);
            }
            else {
                unavailabilities.push(unavailability);
            }
        }
        if (upstreams.length > 0) {
            return { upstreams, waitMs: undefined, unavailableReasons: [] };
        }
        const earliest = Math.min(...unavailabilities.map(({ availableAt }) => availableAt));
        const waitMs = earliest === Infinity ? undefined : Math.ceil(earliest - now - CLOCK_RESOLUTION_MS);
        return { upstreams, waitMs, unavailableReasons: unavailabilities.map(({ reason }) => reason) };
    }

    /** Records a request that is being sent. Returns whether it counts towards a limit that the upstream names. */
    recordSend(upstream: UpstreamRegistration, service: BundleService, now: number): boolean {
        if (this.getColdUntil(upstream, service) > now) {
            this.cold.recordSend(upstream, service.coldPerSecond!, now);
        }
        const limit = this.registry.tryGetLimit(upstream);
        if (limit !== undefined) {
            this.limits.recordSend(upstream, limit, now);
        }
        return limit !== undefined;
    }

    /**
     * Returns whether a request that waited for a connection may still be sent. Meanwhile, the upstream may have asked
     * for a backoff, begun to leave, or named a limit. `isCounted`: whether the request already counts towards a limit.
     */
    canSend(upstream: UpstreamRegistration, isCounted: boolean, now: number): boolean {
        const isLeaving = this.registry.getLatest(upstream).state !== "ready";
        if (isLeaving || this.tryGetBackoff(upstream, now) !== undefined) {
            return false;
        }
        const limit = this.registry.tryGetLimit(upstream);
        if (limit === undefined || isCounted) {
            return true;
        }
        if (this.limits.getNextSendAt(upstream, limit, now) > now) {
            return false;
        }
        this.limits.recordSend(upstream, limit, now);
        return true;
    }

    /** Returns the reason that makes an upstream unavailable for longest; undefined if it is available. */
    private tryGetUnavailability(
        upstream: UpstreamRegistration,
        service: BundleService,
        now: number,
    ): Unavailability | undefined {
        const rateLimit = selectLater(
            this.tryGetColdLimit(upstream, service, now),
            this.tryGetNamedLimit(upstream, now),
        );
        return selectLater(rateLimit, this.tryGetBackoff(upstream, now));
    }

    private tryGetColdLimit(
        upstream: UpstreamRegistration,
        service: BundleService,
        now: number,
    ): Unavailability | undefined {
        const coldUntil = this.getColdUntil(upstream, service);
        if (coldUntil <= now) {
            return undefined;
        }
        const nextSendAt = Math.min(coldUntil, this.cold.getNextSendAt(upstream, service.coldPerSecond!, now));
        return nextSendAt <= now ? undefined : { reason: "cold", availableAt: nextSendAt };
    }

    private tryGetBackoff(upstream: UpstreamRegistration, now: number): Unavailability | undefined {
        const availableAt = this.rests.getUntil(upstream);
        return availableAt <= now ? undefined : { reason: "resting", availableAt };
    }

    private tryGetNamedLimit(upstream: UpstreamRegistration, now: number): Unavailability | undefined {
        const limit = this.registry.tryGetLimit(upstream);
        if (limit === undefined) {
            return undefined;
        }
        const nextSendAt = this.limits.getNextSendAt(upstream, limit, now);
        // Another router may be able to send earlier, and the caller's retry may reach that one.
        return nextSendAt <= now
            ? undefined
            : { reason: "limited", availableAt: Math.min(nextSendAt, now + 1_000 / limit) };
    }

    /** Returns until when an upstream counts as cold; -Infinity if its service sets no cold limit. */
    private getColdUntil(upstream: UpstreamRegistration, { coldPerSecond, coldStartMs }: BundleService): number {
        if (coldPerSecond === undefined || coldPerSecond <= 0) {
            return -Infinity;
        }
        // Upstreams of an evacuated zone may have become cold shortly before the zone was restored, which their next
        // report will show.
        const zoneColdUntil = this.zones.getRestoredAt(upstream.zone) + coldStartMs;
        return Math.max(this.registry.getColdUntil(upstream, coldStartMs), zoneColdUntil);
    }
}

function selectLater(a: Unavailability | undefined, b: Unavailability | undefined): Unavailability | undefined {
    return a === undefined || (b !== undefined && b.availableAt > a.availableAt) ? b : a;
}

/**
 * Which upstreams a request may be sent to just now: those that take new work, outside of evacuated availability zones, and
 * have not asked this router for rest; of the cold ones and those that name a limit the ones that this router may send to at
 * this moment.
 */
import type { BundleService } from "./bundle.js";
import type { EvacuatedZones } from "./evacuatedZones.js";
import type { RateSharing } from "./rateSharing.js";
import type { UpstreamRegistration, UpstreamRegistry } from "./upstreamRegistry.js";
import type { UpstreamRests } from "./upstreamRests.js";

/** Why an upstream that takes new work gets none from this router at the moment. */
export type ClosedCause = "cold" | "limited" | "resting";

/** The choice at one moment. */
export interface CandidateList {
    readonly upstreams: readonly UpstreamRegistration[];
    /** How long until there may be one, in milliseconds; undefined where there is one, or nobody can say. */
    readonly waitMs: number | undefined;
    /** Where there is none: why, once for each upstream that takes new work. */
    readonly closed: readonly ClosedCause[];
}

/** What keeps an upstream closed to this router. Monotonic clock, milliseconds. */
interface Closure {
    readonly cause: ClosedCause;
    /** When some router may send to it; Infinity where that is not known. */
    readonly servedAt: number;
}

export class UpstreamCandidates {
    /** `cold`, `limits`: how the routers share what upstreams bear that are cold, or that name a limit. */
    constructor(
        private readonly registry: UpstreamRegistry,
        private readonly zones: EvacuatedZones,
        private readonly rests: UpstreamRests,
        private readonly cold: RateSharing,
        private readonly limits: RateSharing,
    ) {}

    /** `maxAgeMs`: age beyond which an upstream that has not been heard counts as lost. */
    list(service: BundleService, now: number, maxAgeMs: number): CandidateList {
        const ready = this.registry.getReady(service.name, now, maxAgeMs);
        const upstreams: UpstreamRegistration[] = [];
        const closures: Closure[] = [];
        for (const upstream of ready) {
            if (this.zones.isEvacuated(upstream.zone)) {
                continue;
            }
            const closure = this.tryGetClosure(upstream, service, now);
            if (closure === undefined) {
                upstreams.push(upstream);
            }
            else {
                closures.push(closure);
            }
        }
        if (upstreams.length > 0) {
            return { upstreams, waitMs: undefined, closed: [] };
        }
        const earliest = Math.min(...closures.map(({ servedAt }) => servedAt));
        const waitMs = earliest === Infinity ? undefined : Math.ceil(earliest - now);
        return { upstreams, waitMs, closed: closures.map(({ cause }) => cause) };
    }

    /** Notes a request that is being sent. Answers whether the upstream names a limit that it counts towards. */
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
     * Whether a request that waited for a connection may still be sent. The upstream may have asked for rest meanwhile, may be
     * leaving, or may name a limit since; `isCounted`: the request counts towards that already.
     */
    mayStart(upstream: UpstreamRegistration, isCounted: boolean, now: number): boolean {
        const isLeaving = this.registry.getNewest(upstream).state !== "ready";
        if (isLeaving || this.tryGetResting(upstream, now) !== undefined) {
            return false;
        }
        const limit = this.registry.tryGetLimit(upstream);
        if (limit === undefined || isCounted) {
            return true;
        }
        if (this.limits.getOpenAt(upstream, limit, now) > now) {
            return false;
        }
        this.limits.recordSend(upstream, limit, now);
        return true;
    }

    /** What keeps an upstream closed for longest; undefined where it is open. */
    private tryGetClosure(upstream: UpstreamRegistration, service: BundleService, now: number): Closure | undefined {
        const bounded = selectLonger(this.tryGetCold(upstream, service, now), this.tryGetLimited(upstream, now));
        return selectLonger(bounded, this.tryGetResting(upstream, now));
    }

    private tryGetCold(upstream: UpstreamRegistration, service: BundleService, now: number): Closure | undefined {
        const coldUntil = this.getColdUntil(upstream, service);
        if (coldUntil <= now) {
            return undefined;
        }
        const openAt = Math.min(coldUntil, this.cold.getOpenAt(upstream, service.coldPerSecond!, now));
        return openAt <= now ? undefined : { cause: "cold", servedAt: openAt };
    }

    private tryGetResting(upstream: UpstreamRegistration, now: number): Closure | undefined {
        const servedAt = this.rests.getUntil(upstream);
        return servedAt <= now ? undefined : { cause: "resting", servedAt };
    }

    private tryGetLimited(upstream: UpstreamRegistration, now: number): Closure | undefined {
        const limit = this.registry.tryGetLimit(upstream);
        if (limit === undefined) {
            return undefined;
        }
        const openAt = this.limits.getOpenAt(upstream, limit, now);
        // Where this router may not send yet, another may: a caller who comes back may well meet that one.
        return openAt <= now ? undefined : { cause: "limited", servedAt: Math.min(openAt, now + 1_000 / limit) };
    }

    /** Until when an upstream counts as cold; -Infinity where its service has no bound. */
    private getColdUntil(upstream: UpstreamRegistration, { coldPerSecond, coldStartMs }: BundleService): number {
        if (coldPerSecond === undefined || coldPerSecond <= 0) {
            return -Infinity;
        }
        // Upstreams of a zone that was evacuated may have become cold just before it came back, and tell so a report later.
        const returnedColdUntil = this.zones.getReturnedAt(upstream.zone) + coldStartMs;
        return Math.max(this.registry.getColdUntil(upstream, coldStartMs), returnedColdUntil);
    }
}

function selectLonger(a: Closure | undefined, b: Closure | undefined): Closure | undefined {
    return a === undefined || (b !== undefined && b.servedAt > a.servedAt) ? b : a;
}

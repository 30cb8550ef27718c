/**
 * Which upstreams a request may be sent to just now: those that take new work, outside of evacuated availability zones, and
 * of the cold ones those that this router may send to at this moment.
 */
import type { BundleService } from "./bundle.js";
import type { ColdSharing } from "./coldSharing.js";
import type { EvacuatedZones } from "./evacuatedZones.js";
import type { UpstreamRegistration, UpstreamRegistry } from "./upstreamRegistry.js";

/** The choice at one moment. */
export interface CandidateList {
    readonly upstreams: readonly UpstreamRegistration[];
    /** How long until there may be one, in milliseconds; undefined where there is one, or nobody can say. */
    readonly waitMs: number | undefined;
}

export class UpstreamCandidates {
    constructor(
        private readonly registry: UpstreamRegistry,
        private readonly zones: EvacuatedZones,
        private readonly sharing: ColdSharing,
    ) {}

    /** `maxAgeMs`: age beyond which an upstream that has not been heard counts as lost. */
    list(service: BundleService, now: number, maxAgeMs: number): CandidateList {
        const ready = this.registry.getReady(service.name, now, maxAgeMs);
        const inService = ready.filter(({ zone }) => !this.zones.isEvacuated(zone));
        const openTimes = inService.map(upstream => this.getOpenAt(upstream, service, now));
        const upstreams = inService.filter((_, i) => openTimes[i]! <= now);
        const earliest = Math.min(...openTimes);
        const waitMs = upstreams.length > 0 || earliest === Infinity ? undefined : earliest - now;
        return { upstreams, waitMs };
    }

    /** Notes a request that is being sent. */
    recordSend(upstream: UpstreamRegistration, service: BundleService, now: number): void {
        if (this.getColdUntil(upstream, service) > now) {
            this.sharing.recordSend(upstream, service.coldPerSecond!, now);
        }
    }

    private getOpenAt(upstream: UpstreamRegistration, service: BundleService, now: number): number {
        const coldUntil = this.getColdUntil(upstream, service);
        return coldUntil <= now
            ? now
            : Math.min(coldUntil, this.sharing.getOpenAt(upstream, service.coldPerSecond!, now));
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

/**
 * Decides when a router that is out of CPU time asks the load balancer for no new connections. The balancer sends all
 * connections of a caller to one router, so that a large caller may open more than its router can accept and relay: they wait
 * in the listen queue, or are not made at all, while the neighbours have spare capacity.
 */

/** Utilization from which a router is overloaded, provided that it cannot relay more. */
const OVERLOADED_UTILIZATION = 0.9;
/** Time of uninterrupted overload before the router is not ready. Bursts that are shorter are over before the balancer reacts. */
const MIN_OVERLOAD_MS = 1_000;
/**
 * Time for which the router is not ready at first. The balancer probes once a second and reacts to the second failure; a
 * caller's connections move with the ones it opens during the rest of the time.
 */
const MIN_HOLD_MS = 4_000;
/** Overload that returns within this time doubles the next hold: the same caller has come back. */
const RECURRENCE_MS = 10_000;
const MAX_HOLD_MS = 16_000;
/** Part of the known neighbours that must have spare capacity to take over the callers. */
const MIN_SPARE_FRACTION = 0.5;

/** The state of a router and its neighbours at one time. */
export interface ReadinessSample {
    /** Smoothed utilization of the event loop, from 0 to 1. */
    readonly utilization: number;
    /** Whether the router relays as many connections as it may. */
    readonly isRelayExhausted: boolean;
    /** Neighbours whose load is known, and those among them with spare capacity. */
    readonly knownNeighbours: number;
    readonly spareNeighbours: number;
}

/** All times are monotonic, in milliseconds. */
export class OverloadReadiness {
    private overloadedSince: number | undefined;
    private notReadyUntil = -Infinity;
    private holdMs = MIN_HOLD_MS;
    private isHolding = false;

    recordSample(sample: ReadinessSample, now: number): void {
        if (this.isHolding) {
            this.isHolding = now < this.notReadyUntil && hasSpareNeighbours(sample);
            return;
        }
        const isOverloaded = sample.utilization >= OVERLOADED_UTILIZATION && sample.isRelayExhausted;
        this.overloadedSince = isOverloaded ? this.overloadedSince ?? now : undefined;
        const isLasting = this.overloadedSince !== undefined && now - this.overloadedSince >= MIN_OVERLOAD_MS;
        if (isLasting && hasSpareNeighbours(sample)) {
            this.startHold(now);
        }
    }

    /** Whether the router should get new connections. */
    isReady(): boolean {
        return !this.isHolding;
    }

    private startHold(now: number): void {
        const isRecurring = now - this.notReadyUntil < RECURRENCE_MS;
        this.holdMs = isRecurring ? Math.min(MAX_HOLD_MS, this.holdMs * 2) : MIN_HOLD_MS;
        this.notReadyUntil = now + this.holdMs;
        this.isHolding = true;
        this.overloadedSince = undefined;
    }
}

function hasSpareNeighbours({ knownNeighbours, spareNeighbours }: ReadinessSample): boolean {
    return spareNeighbours > 0 && spareNeighbours >= knownNeighbours * MIN_SPARE_FRACTION;
}

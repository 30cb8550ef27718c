/**
 * Shortage of the upstreams of one service, and the order of ranks under it: where a more urgent request was refused a moment ago,
 * less urgent ones are refused too, except for a small part of each rank so that it does not starve. Engines process urgent prompts
 * first, so this part is sent as urgent as the most urgent requests; otherwise it would wait until its deadline.
 */

const RANK_COUNT = 10;
/** Half-life of the smoothed shortage, in milliseconds: about the time of some requests at each router. */
const SHORTAGE_HALF_LIFE_MS = 300;
/** Weight of one request at most, so that a single one neither begins nor ends a shortage. */
const MAX_SAMPLE_WEIGHT = 0.25;
/** Smoothed parts of requests at which a shortage begins and ends; the distance prevents flapping. */
const BEGIN_FRACTION = 0.6;
const END_FRACTION = 0.3;
/**
 * A shortage ends if no request has confirmed it for this long, in milliseconds. As soon as it ends, the excess returns with its
 * former urgency; a shorter time makes the wait swing beyond the goals.
 */
const SHORTAGE_HOLD_MS = 2_000;

/** All `now` parameters are milliseconds on the monotonic clock. */
export class ShortageState {
    private shortFraction = 0;
    private overdueFraction = 0;
    private recordedAt = -Infinity;
    /** When the smoothed part was last high enough for a shortage. */
    private confirmedAt = -Infinity;

    /**
     * Records whether upstreams were short for one request. `overdueFraction`: its wait, from 0 where a shortage
     * begins to 1 where it misses its goal; undefined for requests that wait longer because they are deferred.
     */
    record(isShort: boolean, overdueFraction: number | undefined, now: number): void {
        // Requests of the same millisecond count as one apart.
        const elapsedMs = Math.max(1, now - this.recordedAt);
        const weight = Math.min(MAX_SAMPLE_WEIGHT, 1 - 2 ** (-elapsedMs / SHORTAGE_HALF_LIFE_MS));
        this.shortFraction += ((isShort ? 1 : 0) - this.shortFraction) * weight;
        if (overdueFraction !== undefined) {
            const bounded = Math.max(0, Math.min(1, overdueFraction));
            this.overdueFraction += (bounded - this.overdueFraction) * weight;
        }
        this.recordedAt = now;
        if (this.shortFraction > (this.isShort(now) ? END_FRACTION : BEGIN_FRACTION)) {
            this.confirmedAt = now;
        }
    }

    isShort(now: number): boolean {
        return now - this.confirmedAt <= SHORTAGE_HOLD_MS;
    }

    /**
     * Returns the part of what upstreams serve that requests may use, so that the backlog falls. It is 0 before requests miss
     * their goals.
     */
    getCapacityFactor(now: number): number {
        return this.isShort(now) ? 1 - this.overdueFraction : 1;
    }
}

/** Ranks from 0, the most urgent, to 9, the least. */
export class RankOrder {
    private readonly refusedAt = Array.from({ length: RANK_COUNT }, () => -Infinity);
    /** When each rank last had a request. */
    private readonly requestedAt = Array.from({ length: RANK_COUNT }, () => -Infinity);
    /** Refused requests of each rank since the last admitted one. */
    private readonly refusedInRow = Array.from({ length: RANK_COUNT }, () => 0);

    /** `floorFraction`: part of each rank's requests that is admitted in any case. */
    constructor(private readonly floorFraction: number, private readonly refusalMemoryMs: number) {}

    /** Records that upstreams could not serve a request of this rank in time. */
    recordRefusal(rank: number, now: number): void {
        this.refusedAt[rank] = now;
        this.refusedInRow[rank]! += 1;
    }

    /** Records a request. */
    recordRequest(rank: number, now: number): void {
        this.requestedAt[rank] = now;
    }

    /** Returns the urgency of the next request of this rank: that of the most urgent ones if it is admitted in any case. */
    getUrgency(rank: number, now: number): number {
        return this.isFloor(rank) ? this.requestedAt.findIndex(at => now - at <= this.refusalMemoryMs) : rank;
    }

    /** Whether a request of this or a more urgent rank was refused a moment ago. */
    isRefusing(rank: number, now: number): boolean {
        return this.refusedAt.slice(0, rank + 1).some(at => now - at <= this.refusalMemoryMs);
    }

    /** Whether to admit a request of this rank; counts towards the part that is admitted in any case. */
    tryAdmit(rank: number, now: number): boolean {
        const isBlocked = rank > 0 && this.isRefusing(rank - 1, now);
        const isAdmitted = !isBlocked || this.isFloor(rank);
        this.refusedInRow[rank] = isAdmitted ? 0 : this.refusedInRow[rank]! + 1;
        return isAdmitted;
    }

    /** Whether the next request of this rank belongs to the part that is admitted in any case. */
    private isFloor(rank: number): boolean {
        return (this.refusedInRow[rank]! + 1) * this.floorFraction >= 1;
    }
}

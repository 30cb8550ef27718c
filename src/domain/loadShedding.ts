/**
 * Decides which requests a router refuses because it is out of CPU time and cannot relay more: a fraction of them, the least
 * urgent first. The fraction is raised while the event loop lags by more than callers tolerate, and lowered otherwise.
 */

/** Nominal interval between calls of `recordSample`, in milliseconds. */
const SAMPLE_PERIOD_MS = 100;
/** A sample that is late because the process had no CPU time counts as at most this many samples. */
const MAX_STEPS_PER_SAMPLE = 5;
/** Below this utilization, lag has another cause, such as a single long turn, and refusing requests would not shorten it. */
const MIN_UTILIZATION = 0.9;
/** Factor of the highest lag where no other router has spare capacity: then nothing else will shorten the lag. */
const SHORT_OF_SPARE_FACTOR = 0.5;
/** Smoothing factor of the lag. A single long turn is no overload. */
const LAG_SMOOTHING_FACTOR = 0.4;
/** Lag that is below the smoothed one by this factor falls by 5 % per sample or more, and is worked off within about 2 s. */
const FALLING_LAG_FACTOR = 0.93;
/** Relative change of the admitted fraction per sample and unit of relative error: by half in 0.7 s at the highest error. */
const GAIN_PER_SAMPLE = 0.05;
const MAX_RELATIVE_ERROR = 2;
/** Additional relative error per unit of unused utilization, so that a router that is not busy soon refuses nothing. */
const RECOVERY_GAIN = 4;
/** Every rank keeps a tenth of its requests, so that none starves. */
const MAX_REFUSED_FRACTION = 0.9;
/** Half-life of the counts of requests by rank, in samples: about 1 s. */
const COUNT_DECAY_PER_SAMPLE = 0.93;
/** Ranks with lower counts have had no request for seconds; a rounding error could refuse their next one. */
const MIN_COUNT = 0.01;
/** Range of the time after which callers may retry. Spread, so that retries do not arrive together. */
const MIN_RETRY_AFTER_MS = 300;
const MAX_RETRY_AFTER_MS = 1_200;

/** The state of the router at a sample. */
export interface OverloadSample {
    /** Smoothed utilization of the event loop, from 0 to 1. */
    readonly utilization: number;
    readonly lagMs: number;
    /** Lag above which requests are refused; undefined if no route has a latency goal. */
    readonly maxLagMs: number | undefined;
    /** Whether the router relays as many connections as it may. */
    readonly isRelayExhausted: boolean;
    /** Whether other routers cannot take all that this one should relay. */
    readonly isShortOfSpare: boolean;
    /** Part of the new connections that is relayed, from 0 to 1. */
    readonly relayedFraction: number;
}

export class LoadShedding {
    private admittedFraction = 1;
    private relayedFraction = 0;
    private smoothedLagMs = 0;
    private isLagFalling = false;
    private lastSampleAt: number | undefined;
    /** Decaying counts of requests by rank. */
    private readonly counts = new Map<number, number>();
    /** Probability of a refusal by rank, from the last sample. */
    private refusedFractions = new Map<number, number>();

    /** `now`: monotonic clock, milliseconds. */
    recordSample(sample: OverloadSample, now: number): void {
        const elapsedMs = this.lastSampleAt === undefined ? SAMPLE_PERIOD_MS : now - this.lastSampleAt;
        const steps = Math.min(MAX_STEPS_PER_SAMPLE, Math.max(0, elapsedMs / SAMPLE_PERIOD_MS));
        this.lastSampleAt = now;
        this.isLagFalling = sample.lagMs < this.smoothedLagMs * FALLING_LAG_FACTOR;
        this.smoothedLagMs += (sample.lagMs - this.smoothedLagMs) * LAG_SMOOTHING_FACTOR;
        this.relayedFraction = sample.relayedFraction;
        const next = this.admittedFraction * Math.exp(-GAIN_PER_SAMPLE * steps * this.computeError(sample));
        this.admittedFraction = Math.min(1, Math.max(1 - MAX_REFUSED_FRACTION, next));
        for (const [rank, count] of this.counts) {
            const decayed = count * COUNT_DECAY_PER_SAMPLE ** steps;
            if (decayed < MIN_COUNT) {
                this.counts.delete(rank);
            }
            else {
                this.counts.set(rank, decayed);
            }
        }
        this.refusedFractions = this.computeRefusedFractions();
    }

    /** Returns the fraction of all requests, relayed ones included, that is not refused. */
    getAdmittedFraction(): number {
        return this.admittedFraction;
    }

    /**
     * Decides on a request, and returns the time after which its caller may retry, in milliseconds, if it is refused. `rank`: 0
     * is the most urgent. `random`: returns numbers in [0, 1).
     */
    tryRefuse(rank: number, random: () => number): number | undefined {
        this.counts.set(rank, (this.counts.get(rank) ?? 0) + 1);
        const refusedFraction = this.refusedFractions.get(rank) ?? 0;
        if (refusedFraction === 0 || random() >= refusedFraction) {
            return undefined;
        }
        return Math.round(MIN_RETRY_AFTER_MS + random() * (MAX_RETRY_AFTER_MS - MIN_RETRY_AFTER_MS));
    }

    /** Computes how far the router is beyond what it can serve, relative to its bounds; negative if it is not. */
    private computeError({ utilization, maxLagMs, isRelayExhausted, isShortOfSpare }: OverloadSample): number {
        if (utilization < MIN_UTILIZATION || !isRelayExhausted) {
            return -1 - RECOVERY_GAIN * Math.max(0, MIN_UTILIZATION - utilization);
        }
        // A backlog from before the router began to relay or refuse takes some time to be worked off.
        const boundMs = (maxLagMs ?? Infinity) * (isShortOfSpare ? SHORT_OF_SPARE_FACTOR : 1);
        const error = this.smoothedLagMs / boundMs - 1;
        return this.isLagFalling ? Math.min(0, error) : Math.min(MAX_RELATIVE_ERROR, error);
    }

    /** Distributes the refusals over the requests that are not relayed, from the least urgent rank to the most urgent one. */
    private computeRefusedFractions(): Map<number, number> {
        const refusedFractions = new Map<number, number>();
        const total = [...this.counts.values()].reduce((sum, count) => sum + count, 0);
        const localFraction = 1 - this.relayedFraction;
        if (this.admittedFraction >= 1 || total === 0 || localFraction <= 0) {
            return refusedFractions;
        }
        let remaining = Math.min(1, (1 - this.admittedFraction) / localFraction) * total;
        for (const [rank, count] of [...this.counts].sort(([a], [b]) => b - a)) {
            const refusedFraction = Math.min(MAX_REFUSED_FRACTION, remaining / count);
            refusedFractions.set(rank, refusedFraction);
            remaining -= refusedFraction * count;
        }
        return refusedFractions;
    }
}

/**
 * Limits the rate at which a router that is out of CPU time accepts connections. Requests on the others are refused without being
 * parsed, which costs little and lets callers try another router at once.
 */

/** Nominal interval between calls of `recordSample`, in milliseconds. */
const SAMPLE_PERIOD_MS = 100;
/** A sample that is late because the process had no CPU time counts as at most this many samples. */
const MAX_STEPS_PER_SAMPLE = 5;
/** Below this utilization, lag has another cause, such as a single long turn. */
const MIN_SATURATED_UTILIZATION = 0.9;
/** Utilization below which the limit is raised. */
const TARGET_UTILIZATION = 0.8;
/** Part of the highest lag from which connections are limited, before requests are refused for it. */
const LAG_FRACTION = 0.25;
/** Highest lag where no route has a latency goal, in milliseconds. */
const DEFAULT_MAX_LAG_MS = 200;
const LAG_SMOOTHING_FACTOR = 0.4;
/** Relative changes of the limit per sample: by half in 0.3 s, and twofold in 1.4 s. */
const DECREASE_PER_SAMPLE = 0.2;
const INCREASE_PER_SAMPLE = 0.05;
/** CPU time of setting up and closing a connection, in milliseconds; bounds what a router accepts at all. */
const CONNECTION_CPU_MS = 1.4;
/** A router that is busy with other work still accepts some connections, which show when it no longer is. */
const MIN_PER_SECOND = 2;
/** Connections of this time are accepted at once, such as those of callers that a restart has disconnected. */
const BURST_MS = 500;
const RATE_SMOOTHING_FACTOR = 0.2;
const MS_PER_SECOND = 1_000;

/** The state of the router at a sample. */
export interface ConnectionLoadSample {
    /** Smoothed utilization of the event loop, from 0 to 1. */
    readonly utilization: number;
    readonly lagMs: number;
    /** Lag above which requests are refused; undefined if no route has a latency goal. */
    readonly maxLagMs: number | undefined;
    /** Whether other routers have spare capacity, so that callers are served there. Otherwise requests are refused by rank. */
    readonly hasSpareElsewhere: boolean;
    /** Whether the router relays as many connections as it may. */
    readonly isRelayExhausted: boolean;
}

/** All times are monotonic, in milliseconds. */
export class ConnectionShedding {
    /** Connections per second. */
    private limitPerSecond: number;
    private readonly maxPerSecond: number;
    /** Connections that may be accepted until the next refill. */
    private tokens = 0;
    private refilledAt = 0;
    private smoothedLagMs = 0;
    private lastSampleAt: number | undefined;
    private acceptedCount = 0;
    private acceptedPerSecond = 0;

    /** `cores`: CPU time available to the router. */
    constructor(cores: number) {
        this.maxPerSecond = cores * MS_PER_SECOND / CONNECTION_CPU_MS;
        this.limitPerSecond = this.maxPerSecond;
    }

    recordSample(sample: ConnectionLoadSample, now: number): void {
        const { utilization, lagMs, maxLagMs } = sample;
        const elapsedMs = this.lastSampleAt === undefined ? SAMPLE_PERIOD_MS : now - this.lastSampleAt;
        if (elapsedMs <= 0) {
            return;
        }
        const steps = Math.min(MAX_STEPS_PER_SAMPLE, elapsedMs / SAMPLE_PERIOD_MS);
        this.lastSampleAt = now;
        this.updateRates(elapsedMs);
        const isLagFalling = lagMs < this.smoothedLagMs;
        this.smoothedLagMs += (lagMs - this.smoothedLagMs) * LAG_SMOOTHING_FACTOR;
        const boundMs = (maxLagMs ?? DEFAULT_MAX_LAG_MS) * LAG_FRACTION;
        const isBehind = utilization >= MIN_SATURATED_UTILIZATION && this.smoothedLagMs > boundMs;
        if (!sample.hasSpareElsewhere) {
            this.limitPerSecond = Infinity;
        }
        else if (sample.isRelayExhausted && isBehind && !isLagFalling) {
            const limit = Math.min(this.limitPerSecond, this.acceptedPerSecond);
            this.limitPerSecond = Math.max(MIN_PER_SECOND, limit * Math.exp(-DECREASE_PER_SAMPLE * steps));
        }
        else if (utilization < TARGET_UTILIZATION) {
            const limit = this.limitPerSecond * Math.exp(INCREASE_PER_SAMPLE * steps);
            this.limitPerSecond = Math.min(this.maxPerSecond, limit);
        }
    }

    /** Decides on a new connection: returns whether to accept it. */
    tryAccept(now: number): boolean {
        const isAccepted = this.tryTakeToken(this.limitPerSecond, now);
        this.acceptedCount += isAccepted ? 1 : 0;
        return isAccepted;
    }

    /** Connections per second that are accepted at most. */
    getLimitPerSecond(): number {
        return this.limitPerSecond;
    }

    /** Whether connections are closed although the router could set them up. */
    isLimiting(): boolean {
        return this.limitPerSecond < this.maxPerSecond;
    }

    private tryTakeToken(limitPerSecond: number, now: number): boolean {
        if (limitPerSecond === Infinity) {
            return true;
        }
        const earned = (now - this.refilledAt) * limitPerSecond / MS_PER_SECOND;
        this.tokens = Math.min(1 + limitPerSecond * BURST_MS / MS_PER_SECOND, this.tokens + earned);
        this.refilledAt = now;
        if (this.tokens < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }

    private updateRates(elapsedMs: number): void {
        const perSecond = MS_PER_SECOND / elapsedMs;
        this.acceptedPerSecond += (this.acceptedCount * perSecond - this.acceptedPerSecond) * RATE_SMOOTHING_FACTOR;
        this.acceptedCount = 0;
    }
}

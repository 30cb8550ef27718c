/**
 * Permits for repeats beyond a router's own allowance. The leader of the controllers grants them from a number that all
 * routers share. A permit that is not used soon is void, so that nothing is returned, and routers that end hold nothing.
 *
 * The load that this guards against: a service with few requests at each of many routers, of which some have to be sent again.
 * Equal shares of the number would be less than one repeat each, and shares of at least one would add up past it.
 */
import type { PermitReservation } from "./repeatPermitStore.js";

/** Settings of a leader that grants permits. Times in milliseconds. */
export interface PermitBookOptions {
    /** Permits for each service that may be used in any window. */
    readonly maxPermits: number;
    /** Period over which the platform bounds repeats. */
    readonly windowMs: number;
    /** Time in which a permit may be used, from when its router asked for it. */
    readonly lifetimeMs: number;
}

/** Most permits in one answer, so that one router does not take all of them. */
export const MAX_PERMITS_PER_CLAIM = 4;

/** A request that is refused after this part of its latency goal can still succeed elsewhere within it. */
const PERMIT_WAIT_GOAL_FRACTION = 1 / 4;

/**
 * Computes how long a request whose router has asked for permits waits for one. `minMs`: how long any request may wait. `goalMs`: latency
 * goal of the request. Milliseconds.
 */
export function computePermitWaitMs(minMs: number, goalMs: number): number {
    return Math.max(minMs, goalMs * PERMIT_WAIT_GOAL_FRACTION);
}

export interface PermitAnswer {
    readonly permits: number;
    /** See `PermitBookOptions`. */
    readonly lifetimeMs: number;
    /** Without permits: when the next one may be granted at the earliest, in milliseconds. */
    readonly retryAfterMs: number;
}

/** Permits that count towards the maximum. */
export interface ReservedPermits {
    readonly service: string;
    readonly permits: number;
    /** Before the permits were recorded, and after they were asked for. Monotonic clock, milliseconds, as all times here. */
    readonly at: number;
    /** Undefined while they are not known to be recorded. */
    index: number | undefined;
}

/**
 * What a leader has reserved. Permits are used from when they are reserved until `lifetimeMs` later, so those used in one window
 * were reserved within `windowMs` + `lifetimeMs`.
 */
export class PermitBook {
    /** Ascending by time. */
    private reserved: readonly ReservedPermits[];
    private readonly retentionMs: number;

    /** `recorded`: all permits of earlier leaders, ascending, with a time by which they had certainly been reserved. */
    constructor(
        private readonly options: PermitBookOptions,
        recorded: readonly (PermitReservation & ReservedPermits)[],
    ) {
        this.retentionMs = options.windowMs + options.lifetimeMs;
        this.reserved = recorded;
    }

    /** Reserves up to `count` permits, which may be granted once they are recorded; undefined if there are none. */
    tryReserve(service: string, count: number, now: number): ReservedPermits | undefined {
        const sum = this.listCurrent(service, now).reduce((total, { permits }) => total + permits, 0);
        const permits = Math.min(count, Math.floor(this.options.maxPermits - sum));
        if (permits < 1) {
            return undefined;
        }
        const reserved = { service, permits, at: now, index: undefined };
        this.reserved = [...this.reserved, reserved];
        return reserved;
    }

    /** Returns when permits of a service may be had at the earliest, as the time from now. */
    getRetryAfterMs(service: string, now: number): number {
        const oldestAt = this.listCurrent(service, now)[0]?.at ?? now;
        return oldestAt + this.retentionMs - now;
    }

    /** Forgets permits that count no longer; returns the last log index at which they are recorded, if there is one. */
    evictExpired(now: number): number | undefined {
        const isCurrent = ({ at }: ReservedPermits): boolean => at > now - this.retentionMs;
        const expired = this.reserved.filter(permits => !isCurrent(permits));
        this.reserved = this.reserved.filter(isCurrent);
        return expired.reduce<number | undefined>(
            (last, { index }) => index === undefined ? last : Math.max(index, last ?? 0),
            undefined,
        );
    }

    private listCurrent(service: string, now: number): ReservedPermits[] {
        return this.reserved.filter(other => other.service === service && other.at > now - this.retentionMs);
    }
}

/** The permits that a router holds for one service. Times are of the monotonic clock, in milliseconds. */
export class HeldPermits {
    /** When each permit becomes void; ascending. */
    private expiries: number[] = [];
    private nextClaimAt = -Infinity;
    /** Number of times that all permits were voided. */
    private epoch = 0;

    getEpoch(): number {
        return this.epoch;
    }

    /** Returns whether the leader may have permits. */
    mayAsk(now: number): boolean {
        return now >= this.nextClaimAt;
    }

    /** `askedAt`: when the claim was sent. */
    receive({ permits, lifetimeMs }: PermitAnswer, askedAt: number): void {
        this.expiries.push(...new Array<number>(permits).fill(askedAt + lifetimeMs));
        this.expiries.sort((a, b) => a - b);
    }

    /** Nothing is asked for until `at`. */
    setNextClaimAt(at: number): void {
        this.nextClaimAt = at;
    }

    /** Takes the permit that becomes void first, and returns when that is; undefined if there is none. */
    tryDraw(now: number): number | undefined {
        this.expiries = this.expiries.filter(expiry => expiry > now);
        return this.expiries.shift();
    }

    /** Adds a permit that was taken and not used. */
    restore(expiry: number): void {
        this.expiries.unshift(expiry);
    }

    /** Voids all permits, also those that were taken. */
    clear(): void {
        this.expiries = [];
        this.epoch += 1;
    }
}

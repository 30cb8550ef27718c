/**
 * Max-min fair shares of what the upstreams serve. Each account may use an equal share; what small accounts leave goes to the
 * others. All work is in tokens (prompt and expected output).
 *
 * The controllers' answers contain the work of each account that all routers together have admitted. What they refused is only
 * known where it was refused, so an account's demand is that of this router, scaled by the part of the account's admitted work
 * that this router admitted.
 */
import * as z from "zod";
import { DecayingRate } from "./decayingRate.js";

/** The settings section `fairShares`. */
export const fairSharesSchema = z.object({
    /** Half-life of the measured demand, in milliseconds. */
    demandHalfLifeMs: z.number().min(200).max(30_000),
    /** Sums of the controllers are used up to this age, in milliseconds. */
    dataExpiryMs: z.number().min(1_000).max(60_000),
    /** Part of the requests of each rank that is admitted although more urgent ones are refused. */
    rankFloorFraction: z.number().min(0).max(0.5),
    /** How long a refusal of a more urgent request blocks less urgent ones, in milliseconds. */
    refusalMemoryMs: z.number().min(100).max(10_000),
});
export type FairSharesOptions = z.infer<typeof fairSharesSchema>;

/** Work of an account that all routers admitted, from the controllers' answers. */
export interface FleetDemand {
    readonly account: string;
    readonly tokensPerSecond: number;
    /** Monotonic clock, milliseconds. */
    readonly answeredAt: number;
}

/**
 * An account with up to this multiple of its share is not beyond it. The measured demand of an account with 10 requests per second
 * varies at random by a seventh, and the sum over all routers adds to that.
 */
const FLEET_TOLERANCE_FACTOR = 1.5;
/** The same without recent sums over all routers: the part of an account's demand at this router may have changed since. */
const OWN_TOLERANCE_FACTOR = 2;
/** Weight of one measurement of the sharing factor; it follows within some seconds, as the measured demand does. */
const SHARING_SMOOTHING_FACTOR = 0.1;
/** Shares are computed at most this often, in milliseconds: as often as routers report. */
const COMPUTE_PERIOD_MS = 200;
/** Accounts without demand for this long are forgotten, in milliseconds. */
const ACCOUNT_RETENTION_MS = 60_000;
/** Accounts beyond this number are not tracked, and have no excess. */
const MAX_ACCOUNT_COUNT = 1_000;

interface AccountDemand {
    /** Requested and admitted at this router. */
    readonly requested: DecayingRate;
    readonly admitted: DecayingRate;
    requestedAt: number;
    /** Admitted work of all routers as a multiple of this router's, when it was last known. */
    sharingFactor: number;
}

/**
 * Returns how much each account with a larger demand may use. `served`: what upstreams serve for all accounts. `capacityFactor`:
 * the part of it that does not make their backlog grow. No account has to use less than an equal share of what is served,
 * because a backlog is worked off at the cost of those who use more.
 */
export function computeShareLevel(demands: readonly number[], served: number, capacityFactor: number): number {
    const sorted = [...demands].sort((a, b) => a - b);
    let left = served * capacityFactor;
    for (const [i, demand] of sorted.entries()) {
        const equalShare = left / (sorted.length - i);
        if (demand > equalShare) {
            return Math.max(equalShare, served / sorted.length);
        }
        left -= demand;
    }
    return Infinity;
}

/** All `now` parameters are milliseconds on the monotonic clock. */
export class FairShares {
    private readonly accounts = new Map<string, AccountDemand>();
    private excessFractions: ReadonlyMap<string, number> = new Map();
    private isFleetView = false;
    private computedAt = -Infinity;

    /**
     * `getRouterCount`: number of routers, an upper bound of those that share an account. `getCapacityFactor`: part of the
     * admitted work that does not make the backlog of upstreams grow, from 0 to 1.
     */
    constructor(
        private readonly options: FairSharesOptions,
        private readonly listFleetDemand: () => readonly FleetDemand[],
        private readonly getRouterCount: () => number,
        private readonly getCapacityFactor: (now: number) => number,
    ) {}

    /** Records a request of an account, whether it is admitted or not. */
    recordRequested(account: string, tokens: number, now: number): void {
        let entry = this.accounts.get(account);
        if (entry === undefined) {
            if (this.accounts.size >= MAX_ACCOUNT_COUNT) {
                return;
            }
            const { demandHalfLifeMs } = this.options;
            entry = {
                requested: new DecayingRate(demandHalfLifeMs),
                admitted: new DecayingRate(demandHalfLifeMs),
                requestedAt: now,
                sharingFactor: 1,
            };
            this.accounts.set(account, entry);
        }
        entry.requested.add(tokens, now);
        entry.requestedAt = now;
    }

    /** Records that a request was sent to an upstream. */
    recordAdmitted(account: string, tokens: number, now: number): void {
        this.accounts.get(account)?.admitted.add(tokens, now);
    }

    /** Returns the part of the account's demand that is beyond its share, from 0 to 1. */
    getExcessFraction(account: string, now: number): number {
        this.updateShares(now);
        return this.excessFractions.get(account) ?? 0;
    }

    /** Returns the accounts beyond their shares. */
    listOverShare(now: number): string[] {
        this.updateShares(now);
        return [...this.excessFractions.keys()].sort();
    }

    /** Whether the shares are based on recent sums over all routers. Otherwise they are based on this router's own view. */
    hasFleetView(now: number): boolean {
        this.updateShares(now);
        return this.isFleetView;
    }

    private updateShares(now: number): void {
        if (now - this.computedAt < COMPUTE_PERIOD_MS) {
            return;
        }
        this.computedAt = now;
        const answers = this.listFleetDemand();
        const admittedRates = new Map(
            answers
                .filter(({ answeredAt }) => now - answeredAt <= this.options.dataExpiryMs)
                .map(({ account, tokensPerSecond }) => [account, tokensPerSecond]),
        );
        this.isFleetView = admittedRates.size > 0;
        const demands = new Map(admittedRates);
        for (const [account, entry] of this.accounts) {
            if (now - entry.requestedAt > ACCOUNT_RETENTION_MS) {
                this.accounts.delete(account);
                continue;
            }
            const fleetRate = admittedRates.get(account);
            const requested = entry.requested.getUnbiasedRate(now);
            const admitted = entry.admitted.getUnbiasedRate(now);
            if (fleetRate !== undefined && admitted > 0) {
                const factor = Math.max(1, Math.min(this.getRouterCount(), fleetRate / admitted));
                entry.sharingFactor += (factor - entry.sharingFactor) * SHARING_SMOOTHING_FACTOR;
            }
            admittedRates.set(account, Math.max(fleetRate ?? 0, admitted * entry.sharingFactor));
            demands.set(account, Math.max(fleetRate ?? 0, requested * entry.sharingFactor));
        }
        const served = [...admittedRates.values()].reduce((sum, rate) => sum + rate, 0);
        const positive = [...demands].filter(([, demand]) => demand > 0);
        const level = computeShareLevel(positive.map(([, demand]) => demand), served, this.getCapacityFactor(now));
        const tolerance = this.isFleetView ? FLEET_TOLERANCE_FACTOR : OWN_TOLERANCE_FACTOR;
        this.excessFractions = new Map(
            positive
                .filter(([, demand]) => demand > level * tolerance)
                .map(([account, demand]) => [account, 1 - level / demand]),
        );
    }
}

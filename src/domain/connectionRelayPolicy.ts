/**
 * Decides which new connections a router that is short of CPU time relays, and to which router of its zone. A fraction of the
 * connections is relayed, which follows the utilization of the event loop; the router to relay to is chosen at random by
 * spare capacity.
 *
 * The utilization that a router reports includes the connections that this one has relayed to it. If only its remaining spare
 * capacity counted, a router would get all connections until it reports that it has none left, then none until the last ones
 * have ended, and load would move back and forth. Each router's allowance is therefore the rate at which connections are
 * relayed to it already, raised or lowered by its spare capacity.
 */

/** Nominal interval between calls of `recordUtilization`, in milliseconds. */
export const POLICY_PERIOD_MS = 100;
/** A sample that is late because the process had no CPU time counts as at most this many samples. */
const MAX_STEPS_PER_SAMPLE = 5;
/**
 * Relative change of the fraction that is served locally, per sample and unit of relative error. Utilization follows a change
 * within about 0.5 s, the smoothing of the samples and the duration of the requests; a higher gain would oscillate.
 */
const GAIN_PER_SAMPLE = 0.15;
/** Utilization cannot show by how much a saturated router is overloaded, so that the fraction rises faster. */
const SATURATED_UTILIZATION = 0.9;
const SATURATED_GAIN_PER_SAMPLE = 0.6;
/** Fractions below this are not worth closing the callers' connections. */
const MIN_FRACTION = 0.02;
/** CPU time that a router spends on one request, in core milliseconds. A measured average; an error changes the gain. */
const REQUEST_CPU_MS = 3;
/**
 * Part of a router's spare capacity by which its allowance is raised or lowered at once. Several routers may relay to it, and
 * its utilization follows after about 0.5 s.
 */
const ALLOWANCE_GAIN = 0.5;
/** Time constant of the measured rates of connections. Longer than the time in which a reported utilization follows. */
const RATE_SMOOTHING_MS = 1_000;
const MS_PER_SECOND = 1_000;
/** Number of routers whose load is stored. A zone has 6 to 10 routers, of which at most 16 send notices. */
export const MAX_KNOWN_LOADS = 32;

/** Times in milliseconds. */
export interface ConnectionRelayPolicyOptions {
    /** Utilization above which connections are relayed, and up to which a router accepts relayed ones. */
    readonly targetUtilization: number;
    /** Maximum fraction of new connections to relay. */
    readonly maxFraction: number;
    /** Age at which the reported load of a router is not used any more. */
    readonly loadExpiryMs: number;
    /** Time for which a router is not used after a connection to it has failed. */
    readonly backoffMs: number;
}

/** The load of a router as reported by itself. */
export interface RouterLoad {
    /** Peer address. */
    readonly address: string;
    /** HOST:PORT at which it accepts relayed connections. */
    readonly relayAddress: string;
    /** Revision of its configuration. */
    readonly revision: number;
    /** Smoothed utilization of its event loop, from 0 to 1. */
    readonly utilization: number;
    /** CPU time available to it, in cores. */
    readonly cores: number;
    /** Whether it accepts relayed connections; false once it is stopping. */
    readonly isAccepting: boolean;
    /** Version of the protocol of relayed connections; omitted by routers of earlier versions. */
    readonly relayVersion?: number | undefined;
}

interface KnownLoad {
    load: RouterLoad;
    receivedAt: number;
    /** Connections relayed to the router. */
    readonly relayed: RateMeter;
}

/** Measures events per second, smoothed. */
class RateMeter {
    private count = 0;
    private perSecond = 0;

    record(): void {
        this.count += 1;
    }

    /** Includes the events since the last update. */
    update(elapsedMs: number): void {
        const current = this.count / elapsedMs * MS_PER_SECOND;
        this.perSecond += (current - this.perSecond) * (1 - Math.exp(-elapsedMs / RATE_SMOOTHING_MS));
        this.count = 0;
    }

    get(): number {
        return this.perSecond;
    }
}

interface Allowance {
    readonly known: KnownLoad;
    /** Connections per second that may be relayed to the router. */
    readonly perSecond: number;
}

/** All times are monotonic, in milliseconds. */
export class ConnectionRelayPolicy {
    /** Fraction of new connections that are served locally. */
    private localFraction = 1;
    private utilization = 0;
    private lastSampleAt: number | undefined;
    private readonly arrivals = new RateMeter();
    private readonly loads = new Map<string, KnownLoad>();
    /** Until when routers are not used, by address. */
    private readonly backoffs = new Map<string, number>();

    /** `isReachable`: whether the process of a router is known to run, by its address. */
    constructor(
        private readonly options: ConnectionRelayPolicyOptions,
        private readonly isReachable: (address: string) => boolean,
    ) {}

    /** Records the smoothed utilization of the event loop. Called every `POLICY_PERIOD_MS`. */
    recordUtilization(utilization: number, now: number): void {
        const { targetUtilization, maxFraction } = this.options;
        const elapsedMs = this.lastSampleAt === undefined ? POLICY_PERIOD_MS : now - this.lastSampleAt;
        const steps = Math.min(MAX_STEPS_PER_SAMPLE, Math.max(0, elapsedMs / POLICY_PERIOD_MS));
        this.lastSampleAt = now;
        this.utilization = utilization;
        if (elapsedMs > 0) {
            this.arrivals.update(elapsedMs);
            this.loads.forEach(({ relayed }) => relayed.update(elapsedMs));
        }
        const gain = utilization >= SATURATED_UTILIZATION ? SATURATED_GAIN_PER_SAMPLE : GAIN_PER_SAMPLE;
        const relativeError = (utilization - targetUtilization) / targetUtilization;
        const next = this.localFraction * Math.exp(-gain * relativeError * steps);
        this.localFraction = Math.min(1, Math.max(1 - maxFraction, next));
        this.removeExpired(now);
    }

    /** Records the reported load of another router. Ignored while `MAX_KNOWN_LOADS` others are known. */
    recordLoad(load: RouterLoad, now: number): void {
        const known = this.loads.get(load.address);
        if (known !== undefined) {
            known.load = load;
            known.receivedAt = now;
        }
        else if (this.loads.size < MAX_KNOWN_LOADS) {
            this.loads.set(load.address, { load, receivedAt: now, relayed: new RateMeter() });
        }
    }

    /** Records that no connection to a router could be opened. */
    recordFailure(address: string, now: number): void {
        if (this.loads.has(address)) {
            this.backoffs.set(address, now + this.options.backoffMs);
        }
    }

    /** Returns the fraction of new connections to relay, if routers with spare capacity are known. */
    getFraction(): number {
        const fraction = 1 - this.localFraction;
        return fraction < MIN_FRACTION ? 0 : fraction;
    }

    /** Whether the fraction has reached its maximum. */
    isAtMaxFraction(): boolean {
        return this.getFraction() >= this.options.maxFraction - MIN_FRACTION;
    }

    /** Returns the load that a router reported, if it has not expired. */
    tryGetLoad(address: string, now: number): RouterLoad | undefined {
        const known = this.loads.get(address);
        return known === undefined || this.isExpired(known, now) ? undefined : known.load;
    }

    /** Returns the number of routers to which connections may be relayed. */
    countSpare(revision: number | undefined, now: number): number {
        return this.listAllowances(revision, now).length;
    }

    /** Returns the part of the new connections that was relayed recently, from 0 to 1. */
    getRelayedFraction(): number {
        const relayedPerSecond = [...this.loads.values()].reduce((sum, { relayed }) => sum + relayed.get(), 0);
        const arrivedPerSecond = this.arrivals.get();
        return arrivedPerSecond > 0 ? Math.min(1, relayedPerSecond / arrivedPerSecond) : 0;
    }

    /** Whether fewer connections can be relayed than the utilization of this router requires. */
    isShortOfSpare(revision: number | undefined, now: number): boolean {
        return sumAllowances(this.listAllowances(revision, now)) < this.getFraction() * this.arrivals.get();
    }

    /**
     * Records a new connection, and chooses the router to relay it to; undefined if it is to be served locally. `random`:
     * returns numbers in [0, 1). `admittedFraction`: part of the requests that are not refused. The others have to be read
     * here, because they are refused by rank.
     */
    tryChooseRouter(
        revision: number | undefined,
        now: number,
        random: () => number,
        admittedFraction = 1,
    ): RouterLoad | undefined {
        this.arrivals.record();
        const fraction = this.getFraction() * admittedFraction;
        if (fraction === 0) {
            return undefined;
        }
        const allowances = this.listAllowances(revision, now);
        const total = sumAllowances(allowances);
        // The sum is above the rate of arrivals unless the other routers cannot take all that this one should relay.
        let remaining = random() * Math.max(total, fraction * this.arrivals.get()) / fraction;
        for (const { known, perSecond } of allowances) {
            remaining -= perSecond;
            if (remaining < 0) {
                known.relayed.record();
                return known.load;
            }
        }
        return undefined;
    }

    /** Lists the routers with an allowance that serve the same revision of the configuration. */
    private listAllowances(revision: number | undefined, now: number): Allowance[] {
        const allowances: Allowance[] = [];
        for (const known of this.loads.values()) {
            const { load } = known;
            const isUsable = load.isAccepting && load.revision === revision && !this.isExpired(known, now)
                && (this.backoffs.get(load.address) ?? -Infinity) <= now && this.isReachable(load.address);
            const perSecond = isUsable ? this.computeAllowance(known) : 0;
            if (perSecond > 0) {
                allowances.push({ known, perSecond });
            }
        }
        return allowances;
    }

    private computeAllowance({ load: { utilization, cores }, relayed }: KnownLoad): number {
        const spareCores = (this.options.targetUtilization - utilization) * cores;
        return relayed.get() + ALLOWANCE_GAIN * spareCores * MS_PER_SECOND / REQUEST_CPU_MS;
    }

    private isExpired({ receivedAt }: KnownLoad, now: number): boolean {
        return now - receivedAt > this.options.loadExpiryMs;
    }

    private removeExpired(now: number): void {
        for (const [address, known] of this.loads) {
            if (this.isExpired(known, now)) {
                this.loads.delete(address);
            }
        }
        for (const [address, until] of this.backoffs) {
            if (until <= now) {
                this.backoffs.delete(address);
            }
        }
    }
}

function sumAllowances(allowances: readonly Allowance[]): number {
    return allowances.reduce((sum, { perSecond }) => sum + perSecond, 0);
}

/**
 * Decides which new connections a router that is short of CPU time relays, and to which router of its zone. A fraction of the
 * connections is relayed, which follows the utilization of the event loop; the router to relay to is chosen at random by
 * spare capacity. The random choice and the slow changes of the fraction prevent routers from shifting load back and forth.
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
const SATURATED_GAIN_PER_SAMPLE = 0.35;
/** Fractions below this are not worth closing the callers' connections. */
const MIN_FRACTION = 0.02;
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
}

interface KnownLoad {
    readonly load: RouterLoad;
    readonly receivedAt: number;
}

/** All times are monotonic, in milliseconds. */
export class ConnectionRelayPolicy {
    /** Fraction of new connections that are served locally. */
    private localFraction = 1;
    private utilization = 0;
    private lastSampleAt: number | undefined;
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
        const gain = utilization >= SATURATED_UTILIZATION ? SATURATED_GAIN_PER_SAMPLE : GAIN_PER_SAMPLE;
        const relativeError = (utilization - targetUtilization) / targetUtilization;
        const next = this.localFraction * Math.exp(-gain * relativeError * steps);
        this.localFraction = Math.min(1, Math.max(1 - maxFraction, next));
        this.removeExpired(now);
    }

    /** Records the reported load of another router. Ignored while `MAX_KNOWN_LOADS` others are known. */
    recordLoad(load: RouterLoad, now: number): void {
        if (this.loads.size < MAX_KNOWN_LOADS || this.loads.has(load.address)) {
            this.loads.set(load.address, { load, receivedAt: now });
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

    /** Returns the utilization that was recorded last. */
    getUtilization(): number {
        return this.utilization;
    }

    /** Returns the load that a router reported, if it has not expired. */
    tryGetLoad(address: string, now: number): RouterLoad | undefined {
        const known = this.loads.get(address);
        return known === undefined || this.isExpired(known, now) ? undefined : known.load;
    }

    /** Returns the routers with spare capacity that serve the same revision of the configuration. */
    listSpare(revision: number | undefined, now: number): RouterLoad[] {
        return [...this.loads.values()]
            .filter(known => !this.isExpired(known, now))
            .map(({ load }) => load)
            .filter(load =>
                load.isAccepting && load.revision === revision && this.computeSpareCores(load) > 0
                && (this.backoffs.get(load.address) ?? -Infinity) <= now && this.isReachable(load.address)
            );
    }

    /**
     * Chooses the router to relay a new connection to, or undefined if the connection is to be served locally. `fraction`: of
     * the new connections to relay. `random`: returns numbers in [0, 1).
     */
    tryChooseRouter(
        revision: number | undefined,
        fraction: number,
        now: number,
        random: () => number,
    ): RouterLoad | undefined {
        if (fraction <= 0 || random() >= fraction) {
            return undefined;
        }
        const candidates = this.listSpare(revision, now);
        const total = candidates.reduce((sum, load) => sum + this.computeSpareCores(load), 0);
        let remaining = random() * total;
        for (const load of candidates) {
            remaining -= this.computeSpareCores(load);
            if (remaining < 0) {
                return load;
            }
        }
        return candidates.at(-1);
    }

    private computeSpareCores({ utilization, cores }: RouterLoad): number {
        return Math.max(0, this.options.targetUtilization - utilization) * cores;
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

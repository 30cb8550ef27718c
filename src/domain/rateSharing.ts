/**
 * How all routers together keep to the few requests a second that an upstream bears, without asking each other: one that is
 * cold for some seconds after a start or after its availability zone was evacuated, or one in need that names a limit. Each
 * router has demand for all upstreams at the same moment, so that a bound that each keeps for itself would be passed by as
 * many times as there are routers.
 *
 * Only so many routers use an upstream as it bears requests a second, by rendezvous hash of its life, each at an even pace.
 * Every router using every upstream at its part of the pace would begin with one request of each at once. The others may
 * try it now and then, where a bound ends only by the upstream's own word: without it an upstream that is used by a router
 * without callers would be left out for good.
 */
import { chooseByRendezvous } from "./identifiers.js";
import { getLifeKey, type UpstreamRegistration } from "./upstreamRegistry.js";

/** Part of a limit by which the routers that do not use an upstream find out whether it still names it. */
export const LIMIT_TRIAL_PART = 0.1;

/** What one router may send to one upstream. Monotonic clock, milliseconds. */
interface RateShare {
    /** What the upstream bears from all routers, in requests a second. */
    readonly perSecond: number;
    /** Least time between two requests of this router; Infinity where it sends none. */
    readonly spacingMs: number;
    /** When this router may send the first one. */
    readonly firstAt: number;
    /** When it sent the newest one; kept where routers come and go, so that the pace holds. */
    sentAt: number;
}

/**
 * How much slower the pace is where routers know only some of each other. What they send then comes at random and no longer
 * in turn.
 */
const UNKNOWN_MARGIN = 1.5;

/** Most lives that shares are remembered of; the oldest give way, and are begun anew where they are still bounded. */
const MOST_SHARES = 4_096;

/** Least rate that is shared out, in requests a second: below it nobody would notice within a minute that a bound has ended. */
const LEAST_PER_SECOND = 0.1;

export class RateSharing {
    /** By the key of a life. */
    private readonly shares = new Map<string, RateShare>();
    /** When an upstream was sent to last under the shares before, by the key of its life. */
    private sentAt: ReadonlyMap<string, number> = new Map();
    private others: readonly string[] = [];
    private count = 1;
    /** The shares were made for other routers. */
    private isNewSharing = false;
    /** Whether the others have been told for long enough that few are missing. */
    private isSettled = false;

    /**
     * `self`: this router's address. `random`: in [0, 1). `trialPart`: part of what an upstream bears that is left to the
     * routers that do not use it.
     */
    constructor(
        private readonly self: string,
        private readonly random: () => number,
        private readonly trialPart: number,
    ) {}

    /**
     * Takes the other routers' addresses. `count`: how many routers there are, this one among them; more than are known by
     * address where only their number was told.
     */
    setOthers(others: readonly string[], count: number): void {
        this.others = others;
        this.count = count;
        this.isNewSharing = true;
    }

    /** From here on this router uses bounded upstreams. Right after a start it knows too few of the others to share with them. */
    settle(): void {
        this.isSettled = true;
    }

    /** When this router may next send to an upstream; Infinity where it may not. `perSecond`: what the upstream bears. */
    getOpenAt(upstream: UpstreamRegistration, perSecond: number, now: number): number {
        if (!this.isSettled) {
            return Infinity;
        }
        const { firstAt, sentAt, spacingMs } = this.getShare(upstream, perSecond, now);
        return Math.max(firstAt, sentAt + spacingMs);
    }

    /** Notes a request that is being sent. */
    recordSend(upstream: UpstreamRegistration, perSecond: number, now: number): void {
        this.getShare(upstream, perSecond, now).sentAt = now;
    }

    private getShare(upstream: UpstreamRegistration, perSecond: number, now: number): RateShare {
        this.dropShares();
        const key = getLifeKey(upstream);
        const known = this.shares.get(key);
        if (known?.perSecond === perSecond) {
            return known;
        }
        const spacingMs = this.computeSpacingMs(key, Math.max(perSecond, LEAST_PER_SECOND));
        // Routers learn of an upstream at the same moment: they begin at moments of their own.
        const firstAt = spacingMs === Infinity ? Infinity : now + this.random() * spacingMs;
        const share = { perSecond, spacingMs, firstAt, sentAt: known?.sentAt ?? this.sentAt.get(key) ?? -Infinity };
        this.shares.set(key, share);
        this.forgetOldest();
        return share;
    }

    /** Makes shares anew for other routers, but for when each upstream was sent to. */
    private dropShares(): void {
        if (this.isNewSharing) {
            this.isNewSharing = false;
            this.sentAt = new Map([...this.shares].map(([key, { sentAt }]) => [key, sentAt]));
            this.shares.clear();
        }
    }

    private computeSpacingMs(lifeKey: string, perSecond: number): number {
        const known = [this.self, ...this.others];
        const users = Math.max(1, Math.min(known.length, Math.floor(perSecond)));
        if (chooseByRendezvous(lifeKey, known, users).includes(this.self)) {
            return 1_000 * users * this.computeUnknownFactor(known.length) / (perSecond * (1 - this.trialPart));
        }
        const triers = Math.max(known.length, this.count) - users;
        return this.trialPart === 0 ? Infinity : 1_000 * triers / (perSecond * this.trialPart);
    }

    /** Routers that are not known by address choose among those that they know, so that more than `users` may be chosen. */
    private computeUnknownFactor(known: number): number {
        return this.count > known ? UNKNOWN_MARGIN * this.count / known : 1;
    }

    private forgetOldest(): void {
        if (this.shares.size > MOST_SHARES) {
            this.shares.delete(this.shares.keys().next().value!);
        }
    }
}

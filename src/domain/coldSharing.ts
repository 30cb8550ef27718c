/**
 * How all routers together keep to the few requests a second that a cold upstream bears, without asking each other. An
 * upstream is cold for some seconds after a start or after its availability zone was evacuated, and falls over well above
 * its bound; where a whole zone returns, each router has demand for all of its upstreams at the same moment.
 *
 * Only so many routers use a cold upstream as it bears requests a second, by rendezvous hash of its life, each at an even
 * pace. With 30 routers, 13 upstreams of 10 requests a second that return at once, and 6 requests waiting at each router,
 * the busiest second at one of them has 68 requests without a bound, 19 where every router uses every upstream at its part
 * of the pace, and 10 so; 112, 22 and 11 with 300 routers; 14 and 15 so where each router knows only 7 in 10 of the others
 * (simulated, 20 seeds, 3 for 300; see coldSharing.test.ts).
 */
import { chooseByRendezvous } from "./identifiers.js";
import { getLifeKey, type UpstreamRegistration } from "./upstreamRegistry.js";

/** What one router may send to one cold upstream. Monotonic clock, milliseconds. */
interface ColdShare {
    /** Least time between two requests of this router; Infinity where other routers use the upstream. */
    readonly spacingMs: number;
    /** When this router may send the first one. */
    readonly firstAt: number;
    /** When it sent the newest one; kept where routers come and go, so that the pace holds. */
    sentAt: number;
}

/**
 * How much slower the pace is where routers know only some of each other. What they send then comes at random and no longer
 * in turn: with 30 routers that know 3 in 10 of the others 22 requests came in the busiest second without it, 20 being
 * allowed, and 17 with it (coldSharing.test.ts, 20 seeds).
 */
const UNKNOWN_MARGIN = 1.5;

/** Most lives that shares are remembered of; the oldest give way, and are begun anew where they are still cold. */
const MOST_SHARES = 4_096;

export class ColdSharing {
    /** By the key of a life. */
    private readonly shares = new Map<string, ColdShare>();
    /** When an upstream was sent to last under the shares before, by the key of its life. */
    private sentAt: ReadonlyMap<string, number> = new Map();
    private others: readonly string[] = [];
    private count = 1;
    /** The shares were made for other routers. */
    private isNewSharing = false;
    /** Whether the others have been told for long enough that few are missing. */
    private isSettled = false;

    /** `self`: this router's address. `random`: in [0, 1). */
    constructor(private readonly self: string, private readonly random: () => number) {}

    /**
     * Takes the other routers' addresses. `count`: how many routers there are, this one among them; more than are known by
     * address where only their number was told.
     */
    setOthers(others: readonly string[], count: number): void {
        this.others = others;
        this.count = count;
        this.isNewSharing = true;
    }

    /** From here on this router uses cold upstreams. Right after a start it knows too few of the others to share with them. */
    settle(): void {
        this.isSettled = true;
    }

    /** When this router may next send to a cold upstream; Infinity where it may not. `perSecond`: what the upstream bears. */
    getOpenAt(upstream: UpstreamRegistration, perSecond: number, now: number): number {
        if (!this.isSettled) {
            return Infinity;
        }
        const { firstAt, sentAt, spacingMs } = this.getShare(upstream, perSecond, now);
        return Math.max(firstAt, sentAt + spacingMs);
    }

    /** Notes a request that is being sent to a cold upstream. */
    recordSend(upstream: UpstreamRegistration, perSecond: number, now: number): void {
        this.getShare(upstream, perSecond, now).sentAt = now;
    }

    private getShare(upstream: UpstreamRegistration, perSecond: number, now: number): ColdShare {
        this.dropShares();
        const key = getLifeKey(upstream);
        const known = this.shares.get(key);
        if (known !== undefined) {
            return known;
        }
        const spacingMs = this.computeSpacingMs(key, perSecond);
        // Routers learn of an upstream at the same moment: they begin at moments of their own.
        const firstAt = spacingMs === Infinity ? Infinity : now + this.random() * spacingMs;
        const share = { spacingMs, firstAt, sentAt: this.sentAt.get(key) ?? -Infinity };
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
        if (!chooseByRendezvous(lifeKey, known, users).includes(this.self)) {
            return Infinity;
        }
        return 1_000 * users * this.computeUnknownFactor(known.length) / perSecond;
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

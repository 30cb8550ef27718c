/** Tracks the other routers and propagates membership changes to the components that depend on them. */
import type { DistributedRateLimiter } from "../../domain/distributedRateLimiter.js";
import type { LocalTokenBudget } from "../../domain/localTokenBudget.js";
import type { RouterContact } from "../../domain/routerGroups.js";
import type { TokenHolders } from "../../domain/tokenHolders.js";
import { KnownRouters } from "./knownRouters.js";
import type { PlacementSharer } from "./placementSharer.js";

/**
 * Two poll intervals: time in contact with controllers after which their lists of routers are nearly complete.
 * If a whole zone restarts, its routers appear within two polls.
 */
const MEMBERSHIP_SETTLE_MS = 2_000;

export class OtherRouters {
    private readonly knownRouters: KnownRouters;
    /** The sorted addresses from which token holders and groups were last computed. */
    private appliedAddresses = "";
    private membershipHandler: (others: readonly RouterContact[]) => void = () => undefined;

    /** `address`: this router's address. `count`: initial number of routers, including this one, until one is known. */
    constructor(
        address: string,
        private count: number,
        private readonly tokenBudget: LocalTokenBudget,
        private readonly holders: TokenHolders,
        private readonly sharer: PlacementSharer,
        private readonly rateSharings: readonly DistributedRateLimiter[],
    ) {
        this.knownRouters = new KnownRouters(address);
    }

    /** Sets the handler that is called with the other routers when they have changed. */
    onMembershipChange(handler: (others: readonly RouterContact[]) => void): void {
        this.membershipHandler = handler;
    }

    /** Returns the number of routers, including this one. */
    getCount(): number {
        return this.count;
    }

    /**
     * Records the routers that a controller lists. `inContactSince`: start of uninterrupted contact with controllers.
     * `reportingCount`: number of routers that report prepaid tokens.
     */
    recordListed(
        listed: readonly RouterContact[],
        inContactSince: number,
        reportingCount: number,
        now: number,
    ): void {
        this.knownRouters.record(listed, inContactSince, now);
        const others = this.knownRouters.list();
        const newCount = Math.max(1 + others.length, reportingCount);
        if (now - inContactSince > MEMBERSHIP_SETTLE_MS) {
            this.rateSharings.forEach(sharing => sharing.enable());
        }
        const hasCountChanged = newCount !== this.count;
        this.count = newCount;
        const sortedAddresses = others.map(({ address }) => address).sort().join(" ");
        const hasMembershipChanged = sortedAddresses !== this.appliedAddresses;
        if (hasMembershipChanged) {
            this.appliedAddresses = sortedAddresses;
            this.holders.setOthers(others);
            this.sharer.setOthers(others);
            this.membershipHandler(others);
        }
        if (hasMembershipChanged || hasCountChanged) {
            const otherAddresses = others.map(({ address }) => address);
            this.rateSharings.forEach(sharing => sharing.setPeers(otherAddresses, newCount));
            this.updateHoldings();
        }
        this.sharer.reconcileLinks();
    }

    /** If every router is a holder, routers that report but are not listed count as holders too. */
    private updateHoldings(): void {
        const holders = this.holders.hasOnlySingleRouterGroups() ? this.count : this.holders.getHolderCount();
        this.tokenBudget.setHoldings(account => ({ isHolder: this.holders.isHolder(account), holders }));
    }
}

/** The other routers: who and how many they are, and which parts of this router have to know when that changes. */
import type { DistributedRateLimiter } from "../../domain/distributedRateLimiter.js";
import type { LocalTokenBudget } from "../../domain/localTokenBudget.js";
import type { RouterContact } from "../../domain/routerGroups.js";
import type { TokenHolders } from "../../domain/tokenHolders.js";
import { KnownRouters } from "./knownRouters.js";
import type { PlacementSharer } from "./placementSharer.js";

/**
 * How long controllers have to be heard until few routers are missing among those that they name, in milliseconds: where a
 * whole zone starts again, routers follow within two of their questions.
 */
const SETTLE_MS = 2_000;

export class OtherRouters {
    private readonly known: KnownRouters;
    /** The addresses that holders and groups were made of. */
    private addresses = "";

    /**
     * `address`: this router's own. `count`: routers to reckon with, this one among them, before the controllers have said
     * how many there are.
     */
    constructor(
        address: string,
        private count: number,
        private readonly purse: LocalTokenBudget,
        private readonly holders: TokenHolders,
        private readonly sharer: PlacementSharer,
        private readonly sharings: readonly DistributedRateLimiter[],
    ) {
        this.known = new KnownRouters(address);
    }

    /** How many routers there are, this one among them. */
    getCount(): number {
        return this.count;
    }

    /**
     * Takes the routers that a controller names. `heardSince`: since when controllers have been heard without a gap.
     * `reporting`: how many routers report prepaid tokens. Answers whether there are more or fewer than before.
     */
    record(named: readonly RouterContact[], heardSince: number, reporting: number, now: number): boolean {
        this.known.record(named, heardSince, now);
        const others = this.known.list();
        const count = Math.max(1 + others.length, reporting);
        if (now - heardSince > SETTLE_MS) {
            this.sharings.forEach(sharing => sharing.enable());
        }
        const hasNewCount = count !== this.count;
        this.count = count;
        const addresses = others.map(({ address }) => address).sort().join(" ");
        const hasNewOthers = addresses !== this.addresses;
        if (hasNewOthers) {
            this.addresses = addresses;
            this.holders.setOthers(others);
            this.sharer.setOthers(others);
        }
        if (hasNewOthers || hasNewCount) {
            const known = others.map(({ address }) => address);
            this.sharings.forEach(sharing => sharing.setPeers(known, count));
            this.updateHoldings();
        }
        this.sharer.keepLinks();
        return hasNewCount;
    }

    /** Where each router holds for itself, those count too that report and that no controller has named. */
    private updateHoldings(): void {
        const holders = this.holders.hasOnlySingleRouterGroups() ? this.count : this.holders.getHolderCount();
        this.purse.setHoldings(account => ({ isHolder: this.holders.isHolder(account), holders }));
    }
}

/**
 * Selects the router in each group that holds the prepaid tokens of an account, by rendezvous hashing. The other
 * routers of the group borrow from it for each request and return unused tokens, so that an account's tokens are not
 * split into shares smaller than a request. If 68 routers that are partitioned from all controllers each hold tokens by
 * their own demand for 40 accounts, an account's share at most routers covers half a request.
 *
 * Routers may disagree about the holder without overspending, because each spends and lends only its own grant.
 */
import { chooseByRendezvous } from "./identifiers.js";
import { createRouterGroups, type RouterContact } from "./routerGroups.js";

export class TokenHolders {
    private groups: readonly (readonly string[])[];
    private ownGroup: readonly string[];
    /** Routers of this router's group by account, the holder first. */
    private readonly holderOrders = new Map<string, readonly string[]>();

    /** `self`: this router's own contact, which forms a group of one until other routers are known. */
    constructor(private readonly self: RouterContact) {
        this.ownGroup = [self.address];
        this.groups = [this.ownGroup];
    }

    setOthers(others: readonly RouterContact[]): void {
        this.groups = createRouterGroups([this.self, ...others]);
        this.ownGroup = this.groups.find(group => group.includes(this.self.address))!;
        this.holderOrders.clear();
    }

    /** Returns the number of routers that hold tokens of an account. */
    getHolderCount(): number {
        return this.groups.length;
    }

    /** Whether every group consists of a single router. */
    hasOnlySingleRouterGroups(): boolean {
        return this.groups.every(group => group.length === 1);
    }

    /** Whether this router holds the account for its group. */
    isHolder(account: string): boolean {
        return this.getHolderOrder(account)[0] === this.self.address;
    }

    /** Returns the first reachable router in the group's holder order, or undefined if it is this router. */
    tryGetReachableHolder(account: string, isReachable: (address: string) => boolean): string | undefined {
        const order = this.getHolderOrder(account);
        const holder = order.find(address => address === this.self.address || isReachable(address));
        return holder === this.self.address ? undefined : holder;
    }

    /** Returns the holders of the account in the other groups, in an order that depends on this router. */
    listHoldersOfOtherGroups(account: string, isReachable: (address: string) => boolean): string[] {
        const others = this.groups.filter(group => group !== this.ownGroup);
        const holders = others.flatMap(group => {
            const holder = sortByRendezvous(account, group).find(isReachable);
            return holder === undefined ? [] : [holder];
        });
        return chooseByRendezvous(this.self.address, holders, holders.length);
    }

    private getHolderOrder(account: string): readonly string[] {
        let order = this.holderOrders.get(account);
        if (order === undefined) {
            order = sortByRendezvous(account, this.ownGroup);
            this.holderOrders.set(account, order);
        }
        return order;
    }
}

function sortByRendezvous(account: string, group: readonly string[]): string[] {
    return chooseByRendezvous(account, group, group.length);
}

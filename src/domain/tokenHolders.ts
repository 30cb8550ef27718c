/**
 * Which routers hold the prepaid tokens of an account: one in each group of routers, by rendezvous hashing. The others
 * of the group borrow from it for each request and give back what is left, so that tokens do not lie about in parts too
 * small for any request.
 *
 * The load that this answers: 68 routers and 40 accounts that are cut off from all controllers for 8 s. Held by each
 * router by its own demand, an account's tokens come to half a request at most routers.
 * Safe whatever two routers think of who holds an account: each spends and lends only what it was granted itself.
 */
import { chooseByRendezvous } from "./identifiers.js";
import { createRouterGroups, type RouterContact } from "./routerGroups.js";

export class TokenHolders {
    private groups: readonly (readonly string[])[];
    private ownGroup: readonly string[];
    /** The routers of the own group for each account, the holder first. */
    private readonly ownOrders = new Map<string, readonly string[]>();

    /** `self`: this router's own contact, which is its only group until others are known. */
    constructor(private readonly self: RouterContact) {
        this.ownGroup = [self.address];
        this.groups = [this.ownGroup];
    }

    /** Takes the other routers. */
    setOthers(others: readonly RouterContact[]): void {
        this.groups = createRouterGroups([this.self, ...others]);
        this.ownGroup = this.groups.find(group => group.includes(this.self.address))!;
        this.ownOrders.clear();
    }

    /** How many routers hold tokens of one account. */
    getHolderCount(): number {
        return this.groups.length;
    }

    /** Whether each router holds for itself alone. */
    hasOnlyHolders(): boolean {
        return this.groups.every(group => group.length === 1);
    }

    /** Whether this router holds an account for its group. */
    isHolder(account: string): boolean {
        return this.getOwnOrder(account)[0] === this.self.address;
    }

    /** The router to borrow from first: the first of the group that can be reached. Undefined where it is this one. */
    tryFindNearest(account: string, isReachable: (address: string) => boolean): string | undefined {
        const order = this.getOwnOrder(account);
        const holder = order.find(address => address === this.self.address || isReachable(address));
        return holder === this.self.address ? undefined : holder;
    }

    /** The routers that hold an account for the other groups, each asker's in an order of its own. */
    listOthers(account: string, isReachable: (address: string) => boolean): string[] {
        const others = this.groups.filter(group => group !== this.ownGroup);
        const holders = others.flatMap(group => {
            const holder = sortForAccount(account, group).find(isReachable);
            return holder === undefined ? [] : [holder];
        });
        return chooseByRendezvous(this.self.address, holders, holders.length);
    }

    private getOwnOrder(account: string): readonly string[] {
        let order = this.ownOrders.get(account);
        if (order === undefined) {
            order = sortForAccount(account, this.ownGroup);
            this.ownOrders.set(account, order);
        }
        return order;
    }
}

function sortForAccount(account: string, group: readonly string[]): string[] {
    return chooseByRendezvous(account, group, group.length);
}

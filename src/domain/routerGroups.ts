/**
 * Groups routers for broadcasts: a router sends a message to the relay of its group, which forwards it to the group and to the
 * relays of the other groups. The number of messages then grows linearly rather than quadratically with the routers: one
 * message from each of 68 routers takes 280 notifications instead of 4,556.
 *
 * Each router computes the groups from the routers it knows. While these views differ, a message may be delivered twice or
 * not at all, so it must tolerate both.
 */

export interface RouterContact {
    readonly address: string;
    readonly zone: string;
}

/** The routers that a router sends broadcasts to. */
export interface GroupLinks {
    /** Undefined if this router is the relay of its group. */
    readonly relay: string | undefined;
    /** The other routers of this router's group. */
    readonly members: readonly string[];
    /** Relays of the other groups that have a reachable router. */
    readonly otherRelays: readonly string[];
}

/**
 * Up to this number, each router is its own group and sends directly to all others. Relays would save less than half of the
 * messages and add latency.
 */
export const MAX_DIRECT_ROUTERS = 12;
/**
 * Near the square root of the number of routers (some 250), which minimizes the links of a relay: group members plus other
 * groups.
 */
export const MAX_GROUP_SIZE = 16;

/** Groups routers by availability zone to limit traffic between zones. */
export function createRouterGroups(routers: readonly RouterContact[]): string[][] {
    if (routers.length <= MAX_DIRECT_ROUTERS) {
        return routers.map(({ address }) => [address]);
    }
    const zones = new Map<string, string[]>();
    for (const { address, zone } of routers) {
        zones.set(zone, [...zones.get(zone) ?? [], address]);
    }
    return [...zones.values()].flatMap(addresses => splitEvenly(addresses.sort()));
}

/** Finds the links of the router `self`. A group's relay is its first reachable router. */
export function findGroupLinks(
    self: string,
    groups: readonly (readonly string[])[],
    isReachable: (address: string) => boolean,
): GroupLinks {
    const findRelay = (group: readonly string[]): string | undefined =>
        group.find(address => address === self || isReachable(address));
    const ownGroup = groups.find(group => group.includes(self)) ?? [self];
    const relay = findRelay(ownGroup);
    return {
        relay: relay === self ? undefined : relay,
        members: ownGroup.filter(address => address !== self),
        otherRelays: groups.filter(group => group !== ownGroup).map(findRelay).filter(address => address !== undefined),
    };
}

/** Splits into groups of similar size, each at most `MAX_GROUP_SIZE`. */
function splitEvenly(addresses: readonly string[]): string[][] {
    const count = Math.ceil(addresses.length / MAX_GROUP_SIZE);
    return Array.from({ length: count }, (_, i) => {
        const from = Math.floor(i * addresses.length / count);
        return addresses.slice(from, Math.floor((i + 1) * addresses.length / count));
    });
}

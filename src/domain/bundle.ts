/** A bundle: everything an operator declares for routers that reach their upstreams themselves, taken whole or not. */
import { createRefusal, RefusalError } from "./resultCodes.js";

/**
 * How often the requests of a route may run. A `stream` that may be resumed counts as repeatable, any other as
 * `atMostOnce`.
 */
export type RouteKind = "stream" | "repeatable" | "atMostOnce";

/** Where part of a route's requests go. */
export interface RouteTarget {
    readonly service: string;
    readonly weight: number;
}

/** One route: requests of a host whose path begins with a prefix. Times in milliseconds. */
export interface BundleRoute {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** Longest that a request may be held. */
    readonly timeoutMs: number;
    /** An answer that begins within this time is in time. */
    readonly goalMs: number;
    /** 0 is the most urgent. */
    readonly rank: number;
    readonly targets: readonly RouteTarget[];
    /** Most upstreams that one request may be sent to. */
    readonly maxAttempts: number;
    /** No key is needed. */
    readonly isPublic: boolean;
    /** An interrupted stream may go on at another upstream. */
    readonly isResumable: boolean;
    /** Longest pause within a stream with which its answer is in time. */
    readonly pauseLimitMs?: number | undefined;
}

/** One service and what is known of its upstreams. */
export interface BundleService {
    readonly name: string;
    /** Connections that one upstream takes from all callers together. */
    readonly maxConnections: number;
    /** Requests a second that an upstream bears from all routers while it is cold; undefined where it bears any. */
    readonly coldPerSecond?: number | undefined;
    /** How long an upstream stays cold after a start, in milliseconds. */
    readonly coldStartMs: number;
    /** Set for model engines. */
    readonly engine?: {
        /** Requests that it works on at once. */
        readonly slots: number;
        /** Most tokens that one event of a stream holds. */
        readonly tokensPerEvent: number;
    } | undefined;
}

/** One client account. */
export interface BundleAccount {
    readonly name: string;
    readonly keys: readonly string[];
    /** Goes before the route's rank. */
    readonly rank: number;
    /** Most tokens that the account may consume; without a limit where left out. */
    readonly prepaidTokens?: number | undefined;
}

/** What a caller may send, and for how long it may take or rest. Bytes, milliseconds. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** What is in force of an operator's word at one revision. */
export interface Bundle {
    /** The operator's own; the highest one wins. */
    readonly revision: number;
    readonly routes: readonly BundleRoute[];
    readonly services: readonly BundleService[];
    readonly accounts: readonly BundleAccount[];
    readonly limits: CallerLimits;
}

/** Throws objectInvalid where the parts of a bundle do not fit together. */
export function checkBundle(bundle: Bundle): void {
    const services = new Set(bundle.services.map(service => service.name));
    const places = new Set<string>();
    for (const route of bundle.routes) {
        checkRoute(route, services);
        const place = `${route.host} ${route.pathPrefix}`;
        if (places.has(place)) {
            throw createInvalid(`two routes share ${place}`);
        }
        places.add(place);
    }
    checkKeys(bundle.accounts);
}

function checkRoute(route: BundleRoute, services: ReadonlySet<string>): void {
    const unknown = route.targets.find(target => !services.has(target.service));
    if (unknown !== undefined) {
        throw createInvalid(`route ${route.name} names the unknown service ${unknown.service}`);
    }
    if (route.targets.reduce((sum, target) => sum + target.weight, 0) <= 0) {
        throw createInvalid(`the weights of route ${route.name} sum to 0`);
    }
    if (route.timeoutMs <= 0) {
        throw createInvalid(`route ${route.name} has a timeout of 0`);
    }
}

function checkKeys(accounts: readonly BundleAccount[]): void {
    const holders = new Map<string, string>();
    for (const account of accounts) {
        for (const key of account.keys) {
            const holder = holders.get(key);
            if (holder !== undefined && holder !== account.name) {
                throw createInvalid(`accounts ${holder} and ${account.name} share a key`);
            }
            holders.set(key, account.name);
        }
    }
}

function createInvalid(detail: string): RefusalError {
    return new RefusalError(createRefusal("objectInvalid", detail));
}

/** A bundle made ready for looking up. */
export class BundleIndex {
    private readonly routes = new Map<string, BundleRoute[]>();
    private readonly services = new Map<string, BundleService>();
    private readonly accountsByKey = new Map<string, BundleAccount>();
    private readonly longestWaits = new Map<string, number>();

    constructor(readonly bundle: Bundle) {
        for (const route of bundle.routes) {
            this.addRoute(route);
        }
        this.routes.forEach(routes => routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
        bundle.services.forEach(service => this.services.set(service.name, service));
        bundle.routes.forEach(route => this.addWaits(route));
        bundle.accounts.forEach(account => account.keys.forEach(key => this.accountsByKey.set(key, account)));
    }

    /** Longest wait with which every answer of a service is in time. Milliseconds. */
    getLongestWaitMs(service: string): number {
        return this.longestWaits.get(service) ?? Infinity;
    }

    private addRoute(route: BundleRoute): void {
        const host = route.host.toLowerCase();
        const routes = this.routes.get(host);
        if (routes === undefined) {
            this.routes.set(host, [route]);
        }
        else {
            routes.push(route);
        }
    }

    private addWaits(route: BundleRoute): void {
        const waitMs = Math.min(route.goalMs > 0 ? route.goalMs : Infinity, route.pauseLimitMs ?? Infinity);
        for (const { service } of route.targets) {
            this.longestWaits.set(service, Math.min(waitMs, this.getLongestWaitMs(service)));
        }
    }

    /** The route of the host with the longest prefix of the path. `host` may carry a port. */
    tryGetRoute(host: string, path: string): BundleRoute | undefined {
        const name = host.toLowerCase();
        const routes = this.routes.get(name) ?? this.routes.get(name.replace(/:\d+$/, ""));
        return routes?.find(route => path.startsWith(route.pathPrefix));
    }

    tryGetService(name: string): BundleService | undefined {
        return this.services.get(name);
    }

    tryGetAccount(key: string): BundleAccount | undefined {
        return this.accountsByKey.get(key);
    }

    hasAccounts(): boolean {
        return this.bundle.accounts.length > 0;
    }
}

/** Picks a target of a route by weight. `draw` in [0, 1). */
export function pickTarget(route: BundleRoute, draw: number): RouteTarget {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let left = draw * total;
    for (const target of route.targets) {
        left -= target.weight;
        if (left < 0) {
            return target;
        }
    }
    return route.targets.find(target => target.weight > 0)!;
}

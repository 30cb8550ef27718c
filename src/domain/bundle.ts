/** A bundle: the complete configuration that an operator declares for routers that connect to upstreams directly. */
import * as z from "zod";
import { createRefusal, RefusalError } from "./resultCodes.js";

/** Longest name of a service, an account or a route, in characters. Messages and commands that name one take as many. */
export const MAX_NAME_LENGTH = 256;
export const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);

/**
 * Whether requests of a route may be repeated. A resumable `stream` is treated as repeatable, any other as
 * `atMostOnce`.
 */
export type RouteKind = "stream" | "repeatable" | "atMostOnce";

/** A weighted destination of a route's requests. */
export interface RouteTarget {
    readonly service: string;
    readonly weight: number;
}

/** A route matches requests by host and path prefix. Times are in milliseconds. */
export interface BundleRoute {
    readonly name: string;
    readonly host: string;
    /** Starts and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** Maximum time that a request may be held. */
    readonly timeoutMs: number;
    /** An answer is on time if it starts within this time. */
    readonly goalMs: number;
    /** 0 is the most urgent. */
    readonly rank: number;
    readonly targets: readonly RouteTarget[];
    /** Maximum number of upstreams that one request may be sent to. */
    readonly maxAttempts: number;
    /** Whether requests need no key. */
    readonly isPublic: boolean;
    /** Whether an interrupted stream may continue at another upstream. */
    readonly isResumable: boolean;
    /** An answer is on time only if no pause within its stream is longer. */
    readonly pauseLimitMs?: number | undefined;
}

/** A service and the properties of its upstreams. */
export interface BundleService {
    readonly name: string;
    /** Maximum number of connections to one upstream from all callers together. */
    readonly maxConnections: number;
    /** Maximum requests per second to a cold upstream from all routers together; unlimited if undefined. */
    readonly coldPerSecond?: number | undefined;
    /** Time after a start during which an upstream is cold, in milliseconds. */
    readonly coldStartMs: number;
    /** Only present for model engines. */
    readonly engine?: {
        /** Number of requests processed concurrently. */
        readonly slots: number;
        /** Maximum number of tokens in one stream event. */
        readonly tokensPerEvent: number;
        /** Prompt and output tokens of running requests that fit into its memory; undefined if unknown. */
        readonly cacheTokens?: number | undefined;
    } | undefined;
}

export interface BundleAccount {
    readonly name: string;
    readonly keys: readonly string[];
    /** Takes precedence over the rank of the route. */
    readonly rank: number;
    /** Maximum token consumption of the account; unlimited if undefined. */
    readonly prepaidTokens?: number | undefined;
}

/** Size and time limits for callers' requests, in bytes and milliseconds. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** The configuration declared under one revision. */
export interface Bundle {
    /** Assigned by the operator; the highest revision takes effect. */
    readonly revision: number;
    readonly routes: readonly BundleRoute[];
    readonly services: readonly BundleService[];
    readonly accounts: readonly BundleAccount[];
    readonly limits: CallerLimits;
}

/** Throws objectInvalid if the bundle is inconsistent. */
export function checkBundle(bundle: Bundle): void {
    const services = new Set(bundle.services.map(service => service.name));
    const routeKeys = new Set<string>();
    for (const route of bundle.routes) {
        checkRoute(route, services);
        const routeKey = `${route.host} ${route.pathPrefix}`;
        if (routeKeys.has(routeKey)) {
            throw createInvalidBundleError(`two routes have the same host and path prefix: ${routeKey}`);
        }
        routeKeys.add(routeKey);
    }
    checkKeys(bundle.accounts);
}

function checkRoute(route: BundleRoute, services: ReadonlySet<string>): void {
    const unknownTarget = route.targets.find(target => !services.has(target.service));
    if (unknownTarget !== undefined) {
        throw createInvalidBundleError(`route ${route.name} refers to the unknown service ${unknownTarget.service}`);
    }
    if (route.targets.reduce((sum, target) => sum + target.weight, 0) <= 0) {
        throw createInvalidBundleError(`the target weights of route ${route.name} sum to 0`);
    }
    if (route.timeoutMs <= 0) {
        throw createInvalidBundleError(`route ${route.name} has a timeout that is not positive`);
    }
}

function checkKeys(accounts: readonly BundleAccount[]): void {
    const ownersByKey = new Map<string, string>();
    for (const account of accounts) {
        for (const key of account.keys) {
            const owner = ownersByKey.get(key);
            if (owner !== undefined && owner !== account.name) {
                throw createInvalidBundleError(`accounts ${owner} and ${account.name} share a key`);
            }
            ownersByKey.set(key, account.name);
        }
    }
}

function createInvalidBundleError(detail: string): RefusalError {
    return new RefusalError(createRefusal("objectInvalid", detail));
}

/** Lists the accounts whose token consumption is limited. */
export function listPrepaidLimits({ accounts }: Bundle): { account: string; tokens: number; }[] {
    return accounts.flatMap(({ name, prepaidTokens }) =>
        prepaidTokens === undefined ? [] : [{ account: name, tokens: prepaidTokens }]
    );
}

/** Lookup tables for a bundle. */
export class BundleIndex {
    private readonly routes = new Map<string, BundleRoute[]>();
    private readonly services = new Map<string, BundleService>();
    private readonly accountsByKey = new Map<string, BundleAccount>();
    private readonly longestWaitsMs = new Map<string, number>();

    constructor(readonly bundle: Bundle) {
        for (const route of bundle.routes) {
            this.addRoute(route);
        }
        this.routes.forEach(routes => routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
        bundle.services.forEach(service => this.services.set(service.name, service));
        bundle.routes.forEach(route => this.addLongestWaits(route));
        bundle.accounts.forEach(account => account.keys.forEach(key => this.accountsByKey.set(key, account)));
    }

    /** Returns the maximum wait, in milliseconds, with which the answers of all routes to a service are on time. */
    getLongestWaitMs(service: string): number {
        return this.longestWaitsMs.get(service) ?? Infinity;
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

    private addLongestWaits(route: BundleRoute): void {
        const waitMs = Math.min(route.goalMs > 0 ? route.goalMs : Infinity, route.pauseLimitMs ?? Infinity);
        for (const { service } of route.targets) {
            this.longestWaitsMs.set(service, Math.min(waitMs, this.getLongestWaitMs(service)));
        }
    }

    /** Returns the route of the host with the longest matching path prefix. `host` may include a port. */
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

/** Whether requests on a route are streams that may go on at another upstream. */
export function isResumable({ kind, isResumable }: BundleRoute): boolean {
    return kind === "stream" && isResumable;
}

/** Whether requests on a route may run more than once. */
export function isRepeatable(route: BundleRoute): boolean {
    return route.kind === "repeatable" || isResumable(route);
}

/** Selects a target of a route by weight. `randomValue` is in [0, 1). */
export function selectTarget(route: BundleRoute, randomValue: number): RouteTarget {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let remaining = randomValue * total;
    for (const target of route.targets) {
        remaining -= target.weight;
        if (remaining < 0) {
            return target;
        }
    }
    return route.targets.find(target => target.weight > 0)!;
}

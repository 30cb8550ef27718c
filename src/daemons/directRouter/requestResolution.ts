/** Finds the route, service and client account of a request. */
import { type BundleIndex, selectTarget } from "../../domain/bundle.js";
import { createRefusal, type Refusal } from "../../domain/resultCodes.js";
import type { RelayRequest, ResolvedRequest } from "./relayRequest.js";

/** `startRetryAfterMs`: Retry-After while there is no bundle yet. */
export function resolveRequest(
    request: RelayRequest,
    bundleIndex: BundleIndex | undefined,
    startRetryAfterMs: number,
): ResolvedRequest | Refusal {
    if (bundleIndex === undefined) {
        return createRefusal("notReady", "no bundle yet", "no", startRetryAfterMs);
    }
    const route = bundleIndex.tryGetRoute(request.host, request.forwarded.target);
    if (route === undefined) {
        return createRefusal("routeUnknown");
    }
    const account = request.apiKey === undefined ? undefined : bundleIndex.tryGetAccount(request.apiKey);
    if (!route.isPublic && account === undefined && bundleIndex.hasAccounts()) {
        return createRefusal(request.apiKey === undefined ? "keyMissing" : "keyWrong");
    }
    const service = bundleIndex.tryGetService(selectTarget(route, Math.random()).service)!;
    return { request, route, service, account: route.isPublic ? undefined : account };
}

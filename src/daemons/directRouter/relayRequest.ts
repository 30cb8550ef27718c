/** Types for a caller's request while a router processes it. */
import type { BundleAccount, BundleRoute, BundleService } from "../../domain/bundle.js";
import { listAttributes, listSharedAttributes } from "../../domain/requestAttributes.js";
import { computeFingerprint } from "../../domain/requestFingerprint.js";
import type { PromptPart } from "../../domain/upstreamLoad.js";
import type { ReportedEstimates, UpstreamModel } from "../../domain/upstreamModel.js";
import type { ForwardedRequest } from "../../ports/directUpstream.js";

/** When a request was received. Monotonic clock, milliseconds. */
export interface RequestTimes {
    /** Estimated arrival at this box; the deadline is relative to it. */
    readonly arrivedAt: number;
    /** When the router read it. */
    readonly readAt: number;
    /** Estimated arrival of its connection at this box; set only for the first request on a connection. */
    readonly connectedAt: number | undefined;
}

export interface RelayRequest extends RequestTimes {
    /** Whether a router that served it before and was lost may have sent it to an upstream. */
    readonly mayHaveRun?: boolean;
    readonly forwarded: ForwardedRequest;
    readonly host: string;
    readonly apiKey: string | undefined;
    /** Timeout set by the caller, in milliseconds; undefined if there is none. */
    readonly timeoutMs: number | undefined;
    readonly promptTokens: number;
    /** Maximum number of output tokens. */
    readonly maxOutputTokens: number;
    readonly parts: readonly PromptPart[];
    /** Model that the caller names; undefined if there is none. */
    readonly model?: string | undefined;
    /** Id of the event after which the caller resumes a stream. */
    readonly resumeAfter: string | undefined;
    /** Id of the caller's attempt that brought the first event of the stream that it resumes. */
    readonly resumedAttempt: string | undefined;
}

/** A request with its route, service and client account. */
export interface ResolvedRequest {
    readonly request: RelayRequest;
    readonly route: BundleRoute;
    readonly service: BundleService;
    readonly account: BundleAccount | undefined;
}

/** Priority of the least urgent requests. */
export const LOWEST_PRIORITY = 9;
/** Number of route ranks within each account rank; the account rank takes precedence. */
const ROUTE_RANK_COUNT = 3;

/** Computes the urgency of a request among all: 0 is the most urgent, 9 the least. */
export function computePriority({ route, account }: ResolvedRequest): number {
    return Math.min(LOWEST_PRIORITY, (account?.rank ?? 0) * ROUTE_RANK_COUNT + route.rank);
}

/** Estimates what an upstream has still to generate for a request. `eventCount`: of events that its caller has. */
export function computeEstimates(
    model: UpstreamModel,
    { request, route, service }: ResolvedRequest,
    priority: number,
    eventCount: number,
): ReportedEstimates {
    if (service.engine === undefined || route.kind !== "stream") {
        return { outputTokens: 0, priority };
    }
    const expectedTokens = model.getExpectedTokens(route.name, request.maxOutputTokens);
    const sentTokens = eventCount * service.engine.tokensPerEvent;
    return { outputTokens: Math.max(0, expectedTokens - sentTokens), priority };
}

/** Events of a stream that may hold no token, such as its end. */
const MAX_EMPTY_EVENTS = 4;

/**
 * Computes the most events that a stream may have, one for each token; undefined if the request does not tell. An event may hold fewer
 * tokens than the service declares, which is their maximum.
 */
export function tryComputeMaxEvents(
    { request: { maxOutputTokens }, service: { engine } }: ResolvedRequest,
): number | undefined {
    return engine === undefined || maxOutputTokens === 0 ? undefined : maxOutputTokens + MAX_EMPTY_EVENTS;
}

/** Computes a hash of the account and the content of a request that does not depend on the request id. */
export function computeRequestFingerprint({ request, account }: ResolvedRequest): string {
    const { method, target, body } = request.forwarded;
    const parts = request.parts.map(({ id }) => id);
    return computeFingerprint({ account: account?.name, method, host: request.host, target, parts, body });
}

/** Lists the attributes that the request may have in common with others, its content included. */
export function listRequestAttributes(resolved: ResolvedRequest): string[] {
    return listAttributes({ fingerprint: computeRequestFingerprint(resolved), ...selectSharedFields(resolved) });
}

/** Like `listRequestAttributes` without the content, which spares hashing the body. */
export function listSharedRequestAttributes(resolved: ResolvedRequest): string[] {
    return listSharedAttributes(selectSharedFields(resolved));
}

function selectSharedFields({ request, route, account }: ResolvedRequest) {
    return {
        account: account?.name,
        route: route.name,
        model: request.model,
        parts: request.parts.map(({ id }) => id),
    };
}

/** A caller's request on its way through a router. */
import type { BundleAccount, BundleRoute, BundleService } from "../../domain/bundle.js";
import { computeFingerprint } from "../../domain/requestFingerprint.js";
import type { PromptPart } from "../../domain/upstreamLoad.js";
import type { PassedRequest } from "../../ports/directUpstream.js";

/** When a request came. Monotonic clock, milliseconds. */
export interface RequestTimes {
    /** When it probably reached this box; its deadline counts from then. */
    readonly arrivedAt: number;
    /** When it was read. */
    readonly readAt: number;
    /** When its connection probably reached this box, where it is the first request on it. */
    readonly connectedAt: number | undefined;
}

/** A caller's request as it was read. */
export interface RelayRequest extends RequestTimes {
    readonly passed: PassedRequest;
    readonly host: string;
    readonly key: string | undefined;
    /** How long the caller waits, in milliseconds; undefined where it does not say. */
    readonly waitMs: number | undefined;
    readonly promptTokens: number;
    /** Most tokens that the answer may have. */
    readonly outputLimit: number;
    readonly parts: readonly PromptPart[];
    /** The caller itself asks for a stream to go on after this event. */
    readonly resumeAfter: string | undefined;
}

/** Where a request goes and for whom. */
export interface ResolvedRequest {
    readonly request: RelayRequest;
    readonly route: BundleRoute;
    readonly service: BundleService;
    readonly account: BundleAccount | undefined;
}

/** What a request asks and for whom, whatever its id. */
export function getFingerprint({ request, account }: ResolvedRequest): string {
    const { method, target, body } = request.passed;
    return computeFingerprint({ account: account?.name, method, host: request.host, target, body });
}

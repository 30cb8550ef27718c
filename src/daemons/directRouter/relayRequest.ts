/** A caller's request on its way through a router. */
import type { BundleAccount, BundleRoute, BundleService } from "../../domain/bundle.js";
import type { PromptPart } from "../../domain/upstreamLoad.js";
import type { PassedRequest } from "../../ports/directUpstream.js";

/** A caller's request as it was read. Times on the monotonic clock, milliseconds. */
export interface RelayRequest {
    readonly passed: PassedRequest;
    readonly host: string;
    readonly key: string | undefined;
    readonly arrivedAt: number;
    /** How long the caller waits; undefined where it does not say. */
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

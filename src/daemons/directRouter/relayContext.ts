/** State and operations of a router that its requests share. */
import type { AdmissionPolicy } from "../../domain/admissionPolicy.js";
import type { BodyMemory } from "../../domain/bodyMemory.js";
import type { BundleService } from "../../domain/bundle.js";
import type { LocalTokenBudget } from "../../domain/localTokenBudget.js";
import type { Refusal } from "../../domain/resultCodes.js";
import type { UpstreamCandidates } from "../../domain/upstreamCandidates.js";
import type { Placement, UpstreamLoad } from "../../domain/upstreamLoad.js";
import type { ReportedEstimates } from "../../domain/upstreamModel.js";
import type { UpstreamRegistration, UpstreamRegistry } from "../../domain/upstreamRegistry.js";
import type { UpstreamSignals } from "../../domain/upstreamSignals.js";
import type { DirectUpstreams } from "../../ports/directUpstream.js";
import type { Log } from "../../ports/log.js";
import type { StoppedRun } from "./attempt.js";
import type { FairShareControl } from "./fairShareControl.js";
import { PendingSettlements } from "./pendingSettlements.js";
import type { RelayRequest, ResolvedRequest } from "./relayRequest.js";
import type { RequestQuarantine } from "./requestQuarantine.js";
import type { RequestRecorder } from "./requestRecorder.js";
import type { AbortCause } from "./runAbort.js";
import type { ServiceRepeats } from "./serviceRepeats.js";
import type { StreamOriginReporter } from "./streamOriginReporter.js";

/** Request timeouts and Retry-After values, in milliseconds. */
export interface RelayOptions {
    /** Retry-After when no upstream is available. */
    readonly retryAfterMs: number;
    /** Retry-After while the router has no configuration bundle yet. */
    readonly startRetryAfterMs: number;
    /** Retry-After when the router cannot obtain prepaid tokens, for example during a network partition. */
    readonly grantRetryAfterMs: number;
    /** How long a request waits for prepaid tokens. */
    readonly grantWaitMs: number;
    /** Minimum inactivity after which a repeatable request is sent to another upstream. */
    readonly minInactivityTimeoutMs: number;
    /** The same as a multiple of the route's latency goal. */
    readonly inactivityTimeoutGoalFactor: number;
}

/** Details of a completed response, for logs. Ages are relative to the arrival of the request, in milliseconds. */
export interface ResponseDetails {
    /** HTTP status returned by the upstream. */
    readonly status: number;
    /** When prepaid tokens were reserved for the last attempt. */
    readonly reservedAgeMs: number;
    /** When the body began; undefined if there is none. */
    readonly firstByteAgeMs: number | undefined;
    /** Longest interval between two chunks of the body. */
    readonly longestPauseMs: number;
    readonly sendCount: number;
    /** Id of the last upstream that the request was sent to. */
    readonly upstream: string;
    /** Software version of this upstream; undefined if it reports none. */
    readonly version: string | undefined;
    /** Prompt tokens that this upstream probably had to read. */
    readonly newTokens: number;
    /** Estimated time that this upstream needed to read prompts queued earlier. */
    readonly aheadMs: number;
}

/** Details of a refused request, for logs. */
export interface RefusalDetails {
    /** Why the router aborted the request. */
    readonly abortCause: AbortCause | undefined;
    /** Time since the deadline, in milliseconds; undefined if it has not passed. */
    readonly overdueMs: number | undefined;
}

export const REFUSED_BEFORE_RUN: RefusalDetails = { abortCause: undefined, overdueMs: undefined };

/** What is known of the run of an attempt that was stopped, for logs. Counts are tokens unless stated otherwise. */
export interface StoppedDetails extends StoppedRun {
    /** Id of the upstream. */
    readonly upstream: string;
    /** Number of events that were received. */
    readonly eventCount: number;
    readonly reserved: number;
    readonly charged: number;
    /** Longest time from the arrival of the caller's close until the attempt was stopped, in milliseconds; undefined if it has not left. */
    readonly closeAgeMs: number | undefined;
    /** Time until it was known, in milliseconds. */
    readonly tookMs: number;
}

/** The interface of a router to its requests. */
export abstract class RelayContext {
    abstract readonly options: RelayOptions;
    abstract readonly log: Log;
    abstract readonly recorder: RequestRecorder;
    abstract readonly registry: UpstreamRegistry;
    abstract readonly candidates: UpstreamCandidates;
    abstract readonly load: UpstreamLoad;
    abstract readonly tokenBudget: LocalTokenBudget;
    abstract readonly upstreams: DirectUpstreams;
    abstract readonly quarantine: RequestQuarantine;
    abstract readonly streamOrigins: StreamOriginReporter;
    abstract readonly repeats: ServiceRepeats;
    /** Undefined if the memory of request bodies is not bounded. */
    abstract readonly bodyMemory: BodyMemory | undefined;
    /** Undefined if requests are sent whatever their remaining time. */
    abstract readonly admission: AdmissionPolicy | undefined;
    readonly settlements = new PendingSettlements();
    /** Undefined if accounts may use any part of the upstreams. Set before the first request. */
    fairShares: FairShareControl | undefined;

    /** Longest wait with which every response of a service meets its latency goal, in milliseconds. */
    abstract getLongestWaitMs(service: string): number;
    /** Reports a placement to the other routers. `estimates`: undefined without a model of the upstreams. */
    abstract sharePlacement(
        placement: Placement,
        request: RelayRequest,
        estimates: ReportedEstimates | undefined,
    ): void;
    /** Number of known routers, including this one. */
    abstract getRouterCount(): number;
    /** Maximum age of an upstream's last report before it counts as lost, in milliseconds. */
    abstract getMaxUpstreamAgeMs(): number;
    /** Records that a different upstream was found at an upstream's address, and notifies the controllers. */
    abstract recordReplaced(upstream: UpstreamRegistration): void;
    /** Records the signals in the response to a request that was sent at `sentAt`. */
    abstract recordSignals(upstream: UpstreamRegistration, signals: UpstreamSignals, sentAt: number): void;
    /** Maximum number of connections of this router to one upstream of a service. */
    abstract getMaxConnections(service: BundleService): number;
    /** Records that a request wants to reserve tokens of an account, so that they are borrowed in advance. */
    abstract recordTokenDemand(account: string, tokens: number, rank: number): void;
    /** Whether a controller has responded recently. */
    abstract isInControllerContact(): boolean;
    /** Requests tokens of an account; resolves when more may be available, or after `timeoutMs`. */
    abstract waitForGrant(account: string, tokens: number, rank: number, timeoutMs: number): Promise<void>;
    /** Current lag of the event loop, in milliseconds. */
    abstract getEventLoopLagMs(): number;
    abstract recordRefused(resolved: ResolvedRequest, refusal: Refusal, ending: RefusalDetails): void;
}

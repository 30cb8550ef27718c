/** What the requests of one router share. */
import type { BundleService } from "../../domain/bundle.js";
import type { PrepaidPurse } from "../../domain/prepaidPurse.js";
import type { Refusal } from "../../domain/resultCodes.js";
import type { RetryBudget } from "../../domain/retryBudget.js";
import type { UpstreamCandidates } from "../../domain/upstreamCandidates.js";
import type { Placement, UpstreamLoad } from "../../domain/upstreamLoad.js";
import type { UpstreamRegistration, UpstreamRegistry } from "../../domain/upstreamRegistry.js";
import type { UpstreamSignals } from "../../domain/upstreamSignals.js";
import type { DirectUpstreams } from "../../ports/directUpstream.js";
import type { Log } from "../../ports/log.js";
import type { RelayRequest, ResolvedRequest } from "./relayRequest.js";
import type { RequestQuarantine } from "./requestQuarantine.js";

/** How long requests wait, and how long callers are told to. Times in milliseconds. */
export interface RelayOptions {
    /** When a caller that was refused for want of an upstream should come back. */
    readonly retryAfterMs: number;
    /** The same where the router has just started: when it will have heard what is in force. */
    readonly startRetryAfterMs: number;
    /** The same where it was refused for want of a grant: when a router that is cut off may be back. */
    readonly grantRetryAfterMs: number;
    /** How long a request waits for a grant. */
    readonly grantWaitMs: number;
    /** Least silence of an upstream after which a request that may be repeated goes elsewhere. */
    readonly leastSilenceMs: number;
    /** The same in multiples of the route's goal. */
    readonly silenceGoals: number;
}

/** How a request came to its answer, for logs. Ages count from its arrival, in milliseconds. */
export interface AnswerStory {
    /** The upstream's status. */
    readonly status: number;
    /** When prepaid tokens were set aside for the last sending. */
    readonly reservedAgeMs: number;
    /** When the body began; undefined where there is none. */
    readonly firstBytesAgeMs: number | undefined;
    /** Longest pause within the body. */
    readonly longestPauseMs: number;
    readonly sendings: number;
    /** Where it was sent last, what that upstream had to read of it, and how long it had to read before. */
    readonly upstream: string;
    readonly newTokens: number;
    readonly aheadMs: number;
}

/** How a request came to be refused, for logs. */
export interface RefusalEnding {
    /** Why the router broke off, where it did. */
    readonly endedEarly: "gone" | "late" | undefined;
    /** Time since its deadline, in milliseconds; undefined before it. */
    readonly overMs: number | undefined;
}

/** What a request asks of its router. */
export abstract class RelayContext {
    abstract readonly options: RelayOptions;
    abstract readonly log: Log;
    abstract readonly registry: UpstreamRegistry;
    abstract readonly candidates: UpstreamCandidates;
    abstract readonly load: UpstreamLoad;
    abstract readonly purse: PrepaidPurse;
    abstract readonly upstreams: DirectUpstreams;
    abstract readonly quarantine: RequestQuarantine;

    /** Longest wait with which every answer of a service is in time, in milliseconds. */
    abstract getLongestWaitMs(service: string): number;
    /** Tells the other routers of a sending. */
    abstract sharePlacement(placement: Placement, request: RelayRequest): void;
    /** How many routers there are, as far as is known; at least 1. */
    abstract getRouterCount(): number;
    /** Age beyond which an upstream that has not been heard counts as lost, in milliseconds. */
    abstract getMaxUpstreamAgeMs(): number;
    /** Notes that another upstream was met at the address of one, and tells the controllers. */
    abstract recordReplaced(upstream: UpstreamRegistration): void;
    /** Takes what an upstream says of itself beside the answer to a request that was sent to it at `sentAt`. */
    abstract recordSignals(upstream: UpstreamRegistration, signals: UpstreamSignals, sentAt: number): void;
    /** Notes a sending to an upstream that names a limit. */
    abstract recordLimitedSending(): void;
    /** Connections that this router may hold to one upstream of a service. */
    abstract getMaxConnections(service: BundleService): number;
    /** The budget of retries that the requests to a service share. */
    abstract getRetryBudget(service: string): RetryBudget;
    /** Asks for tokens of an account; resolves when there may be more of them, or after `timeoutMs`. */
    abstract waitGrant(account: string, tokens: number, rank: number, timeoutMs: number): Promise<void>;
    /** How late this router's event loop is just now, in milliseconds; 0 where it is in time. */
    abstract getLoopLateMs(): number;
    /** Notes that the caller has the whole answer. */
    abstract recordAnswered(resolved: ResolvedRequest, story: AnswerStory): void;
    /** Notes a refusal. */
    abstract recordRefused(resolved: ResolvedRequest, refusal: Refusal, ending: RefusalEnding): void;
}

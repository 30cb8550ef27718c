/** Writes a log line and updates metrics for each finished request. */
import { formatRefusal, type Refusal } from "../../domain/resultCodes.js";
import type { InterruptedRequest } from "../../domain/upstreamEndCommands.js";
import type { UpstreamRegistration } from "../../domain/upstreamRegistry.js";
import type { Log, LogFields } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import type { RefusalDetails, ResponseDetails, StoppedDetails } from "./relayContext.js";
import { formatInterruption } from "./relayOutcomes.js";
import type { RelayRequest, ResolvedRequest } from "./relayRequest.js";

export interface RefusalLogDetails extends RefusalDetails {
    /** Name of the route; empty if none matched. */
    readonly route: string;
    readonly account: string | undefined;
    /** Revision of the active bundle. */
    readonly revision: number | undefined;
}

/** `attempt`: its number among the attempts of the request. */
export interface UnsuccessfulAttempt {
    readonly upstream: UpstreamRegistration;
    readonly attempt: number;
    readonly outcome: string;
    readonly reason: string;
}

export class RequestRecorder {
    constructor(private readonly log: Log, private readonly metrics: Metrics) {}

    /** Records a complete response. */
    recordAnswered({ request, route }: ResolvedRequest, details: ResponseDetails): void {
        const ageMs = performance.now() - request.arrivedAt;
        this.metrics.addCount("requests_answered");
        this.metrics.recordTiming("request_ms", ageMs);
        this.log.info("request_answered", {
            request: request.forwarded.id,
            route: route.name,
            status: details.status,
            goal_ms: route.goalMs,
            reserved_ms: Math.round(details.reservedAgeMs),
            first_ms: details.firstByteAgeMs === undefined ? undefined : Math.round(details.firstByteAgeMs),
            pause_ms: Math.round(details.longestPauseMs),
            sendings: details.sendCount,
            upstream: details.upstream,
            version: details.version,
            resumes: request.resumedAttempt,
            resume_after: request.resumeAfter,
            read_tokens: details.newTokens,
            ahead_ms: Math.round(details.aheadMs),
            ...formatReadDelays(request),
            age_ms: Math.round(ageMs),
        });
    }

    /** Records an attempt that did not end in a whole response. `broken`: what is known of a request that broke off. */
    recordUnsuccessfulAttempt(
        { request, route }: ResolvedRequest,
        { upstream, attempt, outcome, reason }: UnsuccessfulAttempt,
        broken?: InterruptedRequest,
    ): void {
        this.log.info("attempt_ended", {
            request: request.forwarded.id,
            route: route.name,
            upstream: upstream.id,
            version: upstream.version,
            attempt,
            outcome,
            reason,
            ...(broken && formatInterruption(broken)),
            age_ms: Math.round(performance.now() - request.arrivedAt),
        });
    }

    /** Records what an attempt is charged that was stopped because its caller has left or its time is over. */
    recordStopped({ request, account }: ResolvedRequest, details: StoppedDetails): void {
        const { closeAgeMs } = details;
        if (details.reserved > 0) {
            this.metrics.addCount(`attempts_stopped_${details.end}`);
        }
        if (details.reserved > 0 && details.end === "unknown") {
            this.metrics.addCount("tokens_charged_unconfirmed", details.charged);
        }
        if (closeAgeMs !== undefined) {
            this.metrics.recordTiming("close_to_stop_ms", closeAgeMs);
            this.metrics.recordTiming("close_to_run_end_ms", closeAgeMs + details.tookMs);
        }
        this.log.info("attempt_stopped", {
            request: request.forwarded.id,
            account: account?.name,
            upstream: details.upstream,
            run: details.end,
            reason: details.reason,
            events: details.eventCount,
            reserved_tokens: details.reserved,
            charged_tokens: details.reserved > 0 ? details.charged : 0,
            close_age_ms: closeAgeMs === undefined ? undefined : Math.round(closeAgeMs),
            took_ms: Math.round(details.tookMs),
        });
    }

    /** Counts a request sent to an upstream that announces a rate limit. */
    recordRateLimitedSend(): void {
        this.metrics.addCount("limited_sendings");
    }

    /** `bytes`: undefined if the memory of request bodies is not bounded. */
    setBodyBytes(bytes: number | undefined): void {
        if (bytes !== undefined) {
            this.metrics.setGauge("body_bytes", bytes);
        }
    }

    /** Counts a request that is sent to another upstream because it found another one in place of its own. */
    recordSentPastReplaced(): void {
        this.metrics.addCount("requests_repeated");
    }

    /** Records that a request is being sent to a service again. */
    recordRepeatSent(service: string, details: LogFields): void {
        this.metrics.addCount("repeats_sent");
        this.log.info("request_repeated", { service, ...details });
    }

    /** Records that a request is not sent to a service again because that is not allowed now. */
    recordRepeatRefused(service: string, details: LogFields): void {
        this.metrics.addCount("repeats_refused");
        this.log.info("repeat_refused", { service, ...details });
    }

    /** Records a refusal or an incomplete response. */
    recordRefused(request: RelayRequest, refusal: Refusal, details: RefusalLogDetails): void {
        this.metrics.addCount("requests_refused");
        this.metrics.addCount(`requests_refused_${refusal.code}`);
        this.log.warn("request_refused", {
            request: request.forwarded.id,
            route: details.route,
            refusal: formatRefusal(refusal),
            account: details.account,
            resumes: request.resumedAttempt,
            resume_after: request.resumeAfter,
            ran: refusal.ran,
            ended_early: details.abortCause,
            over_ms: details.overdueMs === undefined ? undefined : Math.round(details.overdueMs),
            ...formatReadDelays(request),
            age_ms: Math.round(performance.now() - request.arrivedAt),
            revision: details.revision,
        });
    }
}

/** Formats the delays before a request and its connection were read; zero delays are omitted. */
function formatReadDelays({ arrivedAt, readAt, connectedAt = readAt }: RelayRequest): LogFields {
    return {
        unread_ms: Math.round(readAt - arrivedAt) || undefined,
        connected_ms: Math.round(readAt - connectedAt) || undefined,
    };
}

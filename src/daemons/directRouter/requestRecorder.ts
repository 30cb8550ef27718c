/** Tells logs and metrics how each request of a router ended: one line a request. */
import { formatRefusal, type Refusal } from "../../domain/resultCodes.js";
import type { Log, LogFields } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import type { AnswerStory, RefusalEnding } from "./relayContext.js";
import type { RelayRequest, ResolvedRequest } from "./relayRequest.js";

/** What was known of a request that was refused. */
export interface RefusalStory extends RefusalEnding {
    /** Empty where none was found. */
    readonly route: string;
    readonly account: string | undefined;
    /** Revision of the bundle in force. */
    readonly revision: number | undefined;
}

export class RequestRecorder {
    constructor(private readonly log: Log, private readonly metrics: Metrics) {}

    /** Notes that the caller has the whole answer. */
    recordAnswered({ request, route }: ResolvedRequest, story: AnswerStory): void {
        const age = performance.now() - request.arrivedAt;
        this.metrics.addCount("requests_answered");
        this.metrics.recordTiming("request_ms", age);
        this.log.info("request_answered", {
            request: request.passed.id,
            route: route.name,
            status: story.status,
            goal_ms: route.goalMs,
            reserved_ms: Math.round(story.reservedAgeMs),
            first_ms: story.firstBytesAgeMs === undefined ? undefined : Math.round(story.firstBytesAgeMs),
            pause_ms: Math.round(story.longestPauseMs),
            sendings: story.sendings,
            upstream: story.upstream,
            read_tokens: story.newTokens,
            ahead_ms: Math.round(story.aheadMs),
            ...formatTimes(request),
            age_ms: Math.round(age),
        });
    }

    /** Notes a sending to an upstream that names a limit. */
    recordLimitedSending(): void {
        this.metrics.addCount("limited_sendings");
    }

    /** Notes a refusal, or an answer that was broken off. */
    recordRefused(request: RelayRequest, refusal: Refusal, story: RefusalStory): void {
        this.metrics.addCount("requests_refused");
        this.metrics.addCount(`requests_refused_${refusal.code}`);
        this.log.warn("request_refused", {
            request: request.passed.id,
            route: story.route,
            refusal: formatRefusal(refusal),
            account: story.account,
            ran: refusal.ran,
            ended_early: story.endedEarly,
            over_ms: story.overMs === undefined ? undefined : Math.round(story.overMs),
            ...formatTimes(request),
            age_ms: Math.round(performance.now() - request.arrivedAt),
            revision: story.revision,
        });
    }
}

/** How long a request waited before it was read, and for its connection to be read from; left out where it did not wait. */
function formatTimes({ arrivedAt, readAt, connectedAt = readAt }: RelayRequest): LogFields {
    return {
        unread_ms: Math.round(readAt - arrivedAt) || undefined,
        connected_ms: Math.round(readAt - connectedAt) || undefined,
    };
}

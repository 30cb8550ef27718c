/** Converts what became of a request for load tracking and messages. */
import { createRefusal, type Refusal } from "../../domain/resultCodes.js";
import type { UnavailableReason } from "../../domain/upstreamCandidates.js";
import type { InterruptedRequest } from "../../domain/upstreamEndCommands.js";
import type { LoadOutcome, Placement } from "../../domain/upstreamLoad.js";
import type { ServiceOutlook } from "../../domain/upstreamSelection.js";
import type { AttemptOutcome, ResponseProgress } from "./attempt.js";
import type { Quarantine } from "./knownSuspects.js";
import type { ResponseDetails } from "./relayContext.js";
import { computeRequestFingerprint, listSharedRequestAttributes, type ResolvedRequest } from "./relayRequest.js";

/** `answerMs`: how long the answer had run, in milliseconds; undefined if it had not begun. */
export function createInterruption(resolved: ResolvedRequest, answerMs: number | undefined): InterruptedRequest {
    return {
        fingerprint: computeRequestFingerprint(resolved),
        hasBegun: answerMs !== undefined,
        ...(answerMs === undefined ? {} : { answerMs: Math.round(answerMs) }),
        shared: listSharedRequestAttributes(resolved),
    };
}

/** Returns the fields of a log line. */
export function formatInterruption({ fingerprint, hasBegun, answerMs, shared }: InterruptedRequest) {
    return { begun: hasBegun, fingerprint, answer_ms: answerMs, shared: shared?.join(",") };
}

export function createQuarantineRefusal({ attributes, remainingMs }: Quarantine): Refusal {
    return createRefusal("requestQuarantined", attributes.join(","), "no", remainingMs);
}

/** For a request that no upstream can serve by its deadline. Times in milliseconds. */
export function createNoTimeRefusal(
    { firstTokenMs, endMs }: ServiceOutlook,
    remainingMs: number,
    retryAfterMs: number,
): Refusal {
    const detail = `first token expected in ${Math.round(firstTokenMs)} ms, the end in ${Math.round(endMs)} ms, `
        + `${Math.round(remainingMs)} ms are left`;
    return createRefusal("noTimeLeft", detail, "no", retryAfterMs);
}

/** `version`: of the software that began the stream; undefined if any will do. `waitMs`: until an upstream may be available. */
export function createNoUpstreamRefusal(version: string | undefined, reason: string, waitMs: number): Refusal {
    return version === undefined
        ? createRefusal("noUpstream", reason, "no", waitMs)
        : createRefusal("versionUnavailable", `version ${version}: ${reason}`, "no", waitMs);
}

/** For a request whose deadline passed before it could run. */
export function createUnsentRefusal(retryAfterMs: number): Refusal {
    return createRefusal("noUpstream", "deadline passed before the request could run", "no", retryAfterMs);
}

/** Why a request is sent again, or refused, that another router served. */
export const ROUTER_LOST_REASON = "the router that served the request was lost";

/** For a request that may have run at a router that was lost, and that may not be sent again. */
export function createLostRouterRefusal(isLate: boolean): Refusal {
    return isLate
        ? createInterruptedRefusal(true, ROUTER_LOST_REASON)
        : createRefusal("routerLost", undefined, "unknown");
}

/** For a request that may have run and whose answer is not complete. */
export function createInterruptedRefusal(isLate: boolean, reason: string): Refusal {
    return createRefusal(isLate ? "deadlinePassed" : "upstreamFailed", reason, "unknown");
}

/** Formats each cause with the number of upstreams that it affects. */
export function formatCauses(causes: readonly UnavailableReason[]): string {
    const counts = new Map<string, number>();
    causes.forEach(cause => counts.set(cause, 1 + (counts.get(cause) ?? 0)));
    return [...counts].map(([cause, count]) => `${cause} (${count})`).join(", ");
}

/** Converts an attempt's outcome for load tracking; undefined if it tells nothing about the upstream's health. */
export function tryGetLoadOutcome(outcome: AttemptOutcome): LoadOutcome | undefined {
    switch (outcome.type) {
        case "answered":
            return outcome.status >= 500 ? "failed" : "good";
        case "failed":
        case "interrupted":
            return "failed";
        case "notRun":
            return outcome.cause === "replaced" || outcome.cause === "withheld" ? undefined : outcome.cause;
        case "stopped":
            return undefined;
    }
}

/** Creates the details of a complete response. Times are of the monotonic clock, in milliseconds. */
export function createResponseDetails(
    status: number,
    { request: { arrivedAt } }: ResolvedRequest,
    { firstByteAt, longestPauseMs }: ResponseProgress,
    last: { readonly placement: Placement; readonly reservedAt: number; readonly sendCount: number; },
): ResponseDetails {
    const { upstream, uncachedTokens, queuedPrefillMs } = last.placement;
    return {
        status,
        reservedAgeMs: last.reservedAt - arrivedAt,
        firstByteAgeMs: firstByteAt === undefined ? undefined : firstByteAt - arrivedAt,
        longestPauseMs,
        sendCount: last.sendCount,
        upstream: upstream.id,
        version: upstream.version,
        newTokens: uncachedTokens,
        aheadMs: queuedPrefillMs,
    };
}

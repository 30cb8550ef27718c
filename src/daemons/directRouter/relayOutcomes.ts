/** Converts what became of a request for load tracking and messages. */
import type { UnavailableReason } from "../../domain/upstreamCandidates.js";
import type { LoadOutcome } from "../../domain/upstreamLoad.js";
import type { AttemptOutcome } from "./attempt.js";

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

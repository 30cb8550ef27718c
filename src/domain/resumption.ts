/**
 * Decides where a stream that its caller resumes may go on: only at upstreams of the service and the software version that
 * began it. If that is not certain, it is refused at once: another version's events do not fit those that the caller has.
 */
import { isSameOrigin, type KnownOrigin, type StreamOrigin } from "./streamOrigins.js";

/** Why a stream cannot be resumed. */
export type ResumptionRefusalCause =
    /** No process knows the stream: it was forgotten, or every process that knew it has ended. */
    | "originUnknown"
    /** Nobody who answered knows the stream, and some did not answer. */
    | "originUnreachable"
    /** More than one software version may have begun it. */
    | "originAmbiguous"
    /** The route no longer leads to the service that began it. */
    | "serviceRemoved";

export type ResumptionDecision =
    | { readonly type: "resume"; readonly origin: StreamOrigin; }
    | { readonly type: "refuse"; readonly cause: ResumptionRefusalCause; };

/** What is known of a stream when its caller resumes it. */
export interface ResumptionEvidence {
    /** Services that the route leads to. */
    readonly services: readonly string[];
    /** The origins that this process or others know of. */
    readonly origins: readonly KnownOrigin[];
    /**
     * All software versions that the route's only service can have had when the stream began; undefined if unknown, or if
     * the route leads to several services.
     */
    readonly versions: readonly string[] | undefined;
    /** Whether every process that was asked has answered. */
    readonly isComplete: boolean;
}

export function resolveResumption({ services, origins, versions, isComplete }: ResumptionEvidence): ResumptionDecision {
    const [origin, ...others] = origins;
    if (origin !== undefined) {
        if (origin === "ambiguous" || others.some(other => !isSameOrigin(origin, other))) {
            return { type: "refuse", cause: "originAmbiguous" };
        }
        return services.includes(origin.service)
            ? { type: "resume", origin }
            : { type: "refuse", cause: "serviceRemoved" };
    }
    const [onlyService] = services;
    if (versions !== undefined && versions.length <= 1 && services.length === 1) {
        return { type: "resume", origin: { service: onlyService!, version: versions[0] ?? "" } };
    }
    return { type: "refuse", cause: isComplete ? "originUnknown" : "originUnreachable" };
}

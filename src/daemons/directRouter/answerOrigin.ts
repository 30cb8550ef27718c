/** The software that one answer comes from. Once an upstream has begun a resumable stream, only the same version may continue it. */
import { isRepeatable, isResumable } from "../../domain/bundle.js";
import type { StreamOrigin } from "../../domain/streamOrigins.js";
import type { UpstreamRegistration, UpstreamRegistry } from "../../domain/upstreamRegistry.js";
import type { ResolvedRequest } from "./relayRequest.js";
import { createOrigin, type StreamOriginReporter } from "./streamOriginReporter.js";

export class AnswerOrigin {
    /** The upstream that began the answer, as registered then. */
    private firstUpstream: UpstreamRegistration | undefined;

    /** `origin`: the software that began the stream at an earlier attempt of the caller; undefined for a new one. */
    constructor(
        private readonly resolved: ResolvedRequest,
        private readonly registry: UpstreamRegistry,
        private readonly streamOrigins: StreamOriginReporter,
        private origin: StreamOrigin | undefined,
    ) {}

    /** Whether the request is a stream that may go on at another upstream. */
    isResumable(): boolean {
        return isResumable(this.resolved.route);
    }

    /** Whether the request may run more than once. */
    isRepeatable(): boolean {
        return isRepeatable(this.resolved.route);
    }

    /** Returns the only software version that may send the answer; undefined if any may. */
    tryGetVersion(): string | undefined {
        return this.origin?.version;
    }

    /** Whether an upstream that was chosen earlier still has the version that it was chosen for. */
    canSend(upstream: UpstreamRegistration): boolean {
        return !this.isResumable() || this.registry.isCurrentVersion(upstream);
    }

    /** Records the upstream that begins a successful answer. */
    recordBegun(upstream: UpstreamRegistration): void {
        if (!this.isResumable()) {
            return;
        }
        this.firstUpstream = upstream;
        this.origin ??= createOrigin(upstream);
        const origin = this.registry.isCurrentVersion(upstream) ? this.origin : "ambiguous";
        this.streamOrigins.recordBegun(this.resolved, origin, upstream);
    }

    /**
     * Whether the version that began the answer is certain: an upstream that has registered with another one since may have
     * had it already.
     */
    isCertain(): boolean {
        return this.firstUpstream !== undefined && this.registry.isCurrentVersion(this.firstUpstream);
    }
}

/**
 * Blocks requests that crash the upstreams which run them. The controllers decide which requests to block (see
 * poisonRequests.ts), based on the crashes and complete responses that routers report.
 */
import type { InterruptedRequest } from "../../domain/upstreamEndCommands.js";
import type { UpstreamRegistration } from "../../domain/upstreamRegistry.js";
import type { Clock } from "../../ports/clock.js";
import type { PeerHandlers } from "../../ports/peer.js";
import { type SuspectList, suspectNoticeMethod } from "../../protocol/fleetMethods.js";
import { KnownSuspects } from "./knownSuspects.js";
import { computeRequestFingerprint, type ResolvedRequest } from "./relayRequest.js";
import type { UpstreamEndReporter } from "./upstreamEndReporter.js";
import type { UpstreamEndWatch } from "./upstreamEndWatch.js";

export class RequestQuarantine {
    private readonly suspects = new KnownSuspects();

    /** `watch` must pass the upstream crashes that it detects to `reporter`. */
    constructor(
        private readonly endWatch: UpstreamEndWatch,
        private readonly endReporter: UpstreamEndReporter,
        private readonly clock: Clock,
    ) {}

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(suspectNoticeMethod, list => this.receiveSuspects(list));
    }

    start(): void {
        void this.endReporter.run();
    }

    stop(): void {
        this.endReporter.stop();
    }

    receiveSuspects(list: SuspectList): void {
        this.suspects.update(list, this.clock.getMonotonicMs());
    }

    /** Remaining quarantine of a request, in milliseconds; undefined if it may run. */
    tryGetRemainingMs(resolved: ResolvedRequest): number | undefined {
        return this.suspects.isEmpty()
            ? undefined
            : this.suspects.tryGetRemainingMs(computeRequestFingerprint(resolved), this.clock.getMonotonicMs());
    }

    /** Records a complete response. A request that got one is no longer suspect. */
    recordCompleteResponse(resolved: ResolvedRequest): void {
        if (this.suspects.isEmpty()) {
            return;
        }
        const fingerprint = computeRequestFingerprint(resolved);
        if (this.suspects.isSuspect(fingerprint)) {
            this.endReporter.addClearedRequest(fingerprint);
        }
    }

    /** Records a request that was interrupted by the loss of its connection. `upstream`: its newest known registration. */
    recordInterrupted(upstream: UpstreamRegistration, request: InterruptedRequest): void {
        this.endWatch.recordInterrupted(upstream, request);
    }
}

/**
 * Keeps requests from being run that end the upstreams which run them: goes by what the controllers hold against whom, and tells
 * them what happens at this router (see endSuspects.ts for how they judge).
 */
import type { BrokenRequest } from "../../domain/upstreamEndCommands.js";
import type { UpstreamRegistration } from "../../domain/upstreamRegistry.js";
import type { Clock } from "../../ports/clock.js";
import type { PeerHandlers } from "../../ports/peer.js";
import { type SuspectList, suspectNoticeMethod } from "../../protocol/fleetMethods.js";
import { KnownSuspects } from "./knownSuspects.js";
import { getFingerprint, type ResolvedRequest } from "./relayRequest.js";
import type { UpstreamEndReporter } from "./upstreamEndReporter.js";
import type { UpstreamEndWatch } from "./upstreamEndWatch.js";

export class RequestQuarantine {
    private readonly suspects = new KnownSuspects();

    /** `watch` tells `reporter` of the ends that it finds. */
    constructor(
        private readonly watch: UpstreamEndWatch,
        private readonly reporter: UpstreamEndReporter,
        private readonly clock: Clock,
    ) {}

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(suspectNoticeMethod, list => this.receive(list));
    }

    start(): void {
        void this.reporter.run();
    }

    stop(): void {
        this.reporter.stop();
    }

    /** Takes what a controller holds against requests. */
    receive(list: SuspectList): void {
        this.suspects.receive(list, this.clock.getMonotonicMs());
    }

    /** How much longer a request is not run, in milliseconds; undefined where it may run. */
    tryGetLeftMs(resolved: ResolvedRequest): number | undefined {
        return this.suspects.isEmpty()
            ? undefined
            : this.suspects.tryGetLeftMs(getFingerprint(resolved), this.clock.getMonotonicMs());
    }

    /** Notes that a request was answered whole: a suspect is none any more. */
    noteWhole(resolved: ResolvedRequest): void {
        if (this.suspects.isEmpty()) {
            return;
        }
        const fingerprint = getFingerprint(resolved);
        if (this.suspects.isSuspect(fingerprint)) {
            this.reporter.addCleared(fingerprint);
        }
    }

    /** Notes a request that broke off with its connection. `upstream`: as it was last heard of. */
    noteBroken(upstream: UpstreamRegistration, request: BrokenRequest): void {
        this.watch.noteBroken(upstream, request);
    }
}

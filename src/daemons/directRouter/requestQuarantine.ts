/**
 * Blocks requests that crash the upstreams which run them. The controllers decide which requests to block (see
 * crashSuspects.ts), based on the crashes and the survivors that routers report.
 */
import { SURVIVAL_MS } from "../../domain/crashEvidence.js";
import type { InterruptedRequest } from "../../domain/upstreamEndCommands.js";
import type { UpstreamRegistration } from "../../domain/upstreamRegistry.js";
import type { Clock } from "../../ports/clock.js";
import type { PeerHandlers } from "../../ports/peer.js";
import { type SuspectList, suspectNoticeMethod } from "../../protocol/fleetMethods.js";
import { KnownSuspects, type Quarantine } from "./knownSuspects.js";
import { listRequestAttributes, listSharedRequestAttributes, type ResolvedRequest } from "./relayRequest.js";
import type { Survivors } from "./survivors.js";
import type { UpstreamEndReporter } from "./upstreamEndReporter.js";
import type { UpstreamEndWatch } from "./upstreamEndWatch.js";

/** An answer that has begun and not ended. */
export interface RunningAnswer {
    readonly resolved: ResolvedRequest;
    /** Monotonic clock, milliseconds. */
    readonly begunAt: number;
}

export class RequestQuarantine {
    private readonly suspects = new KnownSuspects(Math.random());
    private readonly runningAnswers = new Set<RunningAnswer>();

    /** `watch` must pass the upstream crashes that it detects to `reporter`. */
    constructor(
        private readonly endWatch: UpstreamEndWatch,
        private readonly endReporter: UpstreamEndReporter,
        private readonly survivors: Survivors,
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
        const now = this.clock.getMonotonicMs();
        this.suspects.update(list, now);
        if (!this.suspects.isEmpty()) {
            this.clearOldAnswers(now);
            list.suspects.flatMap(suspect => this.survivors.listCleared(suspect, now))
                .forEach(cleared => this.endReporter.addClearedAttribute(cleared));
        }
    }

    /** Returns the quarantine that blocks a request; undefined if it may run. */
    tryGetQuarantine(resolved: ResolvedRequest): Quarantine | undefined {
        return this.suspects.isEmpty()
            ? undefined
            : this.suspects.tryGetQuarantine(this.listRelevantAttributes(resolved), this.clock.getMonotonicMs());
    }

    /** Records that the answer to a request has begun. Returns a function to be called when the attempt ends. */
    recordBegun(resolved: ResolvedRequest): () => void {
        const answer: RunningAnswer = { resolved, begunAt: this.clock.getMonotonicMs() };
        this.runningAnswers.add(answer);
        return () => this.runningAnswers.delete(answer);
    }

    /** Records a complete response. Attributes of a request that got one are no longer suspect. */
    recordCompleteResponse(resolved: ResolvedRequest): void {
        this.survivors.record(
            listSharedRequestAttributes(resolved),
            resolved.request.forwarded.id,
            this.clock.getMonotonicMs(),
        );
        if (!this.suspects.isEmpty()) {
            this.clearSuspect(resolved);
        }
    }

    /** Records a request that was interrupted by the loss of its connection. `upstream`: its newest known registration. */
    recordInterrupted(upstream: UpstreamRegistration, request: InterruptedRequest): void {
        this.endWatch.recordInterrupted(upstream, request);
    }

    /** Requests that have been running for long did not end their upstreams. */
    private clearOldAnswers(now: number): void {
        for (const { resolved, begunAt } of this.runningAnswers) {
            if (now - begunAt >= SURVIVAL_MS) {
                this.clearSuspect(resolved);
            }
        }
    }

    private clearSuspect(resolved: ResolvedRequest): void {
        const upTo = this.suspects.getIndex();
        const request = resolved.request.forwarded.id;
        this.suspects.filterSuspect(this.listRelevantAttributes(resolved)).forEach(attribute =>
            this.endReporter.addClearedAttribute({ attribute, upTo, request })
        );
    }

    private listRelevantAttributes(resolved: ResolvedRequest): string[] {
        return this.suspects.hasContentAttributes()
            ? listRequestAttributes(resolved)
            : listSharedRequestAttributes(resolved);
    }
}

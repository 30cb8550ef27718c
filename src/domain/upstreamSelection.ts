/**
 * One choice among the upstreams of a service by expected end. It prefers upstreams that can serve the request in time, adds
 * the time that a slow upstream takes longer to the cost, and probes slow upstreams that have had no request for long.
 */
import {
    type CandidateWork,
    type ServeForecast,
    type ServiceSpeeds,
    SPEED_TOLERANCE_FACTOR,
    type UpstreamModel,
    type UpstreamState,
} from "./upstreamModel.js";
import type { UpstreamRegistration } from "./upstreamRegistry.js";

/** The request of a choice. */
export interface SelectionDemand {
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** From 0, the most urgent, to 9, the least. */
    readonly priority: number;
    /** Prompt and output tokens that an upstream of the service holds at most; undefined if unknown. */
    readonly cacheTokens: number | undefined;
    /** Time until the request's deadline, in milliseconds. */
    readonly remainingMs: number;
}

/** What the upstreams of a service can still do for a request. Times in milliseconds from now. */
export interface ServiceOutlook {
    /** Shortest wait at any upstream until it begins to process the prompt. */
    readonly queueWaitMs: number;
    /** Earliest first token and end at any upstream. */
    readonly firstTokenMs: number;
    readonly endMs: number;
    /** Whether an upstream has a free slot and no known backlog. */
    readonly hasIdle: boolean;
    /** Whether what is known of the upstream with the earliest first token is recent. */
    readonly isRecent: boolean;
}

/** A chosen upstream. */
export interface SelectedUpstream {
    readonly upstream: UpstreamRegistration;
    readonly forecast: ServeForecast;
    readonly outlook: ServiceOutlook;
    readonly isProbe: boolean;
}

interface Candidate {
    readonly upstream: UpstreamRegistration;
    readonly state: UpstreamState;
    readonly forecast: ServeForecast;
    readonly cost: number;
}

export class UpstreamSelection {
    private cheapestInTime: Candidate | undefined;
    private earliest: Candidate | undefined;
    /** Used if no other upstream can serve the request in time. */
    private heldBackInTime: Candidate | undefined;
    private probe: Candidate | undefined;
    private queueWaitMs = Infinity;
    private endMs = Infinity;
    private hasIdle = false;

    /** `heldBack`: upstreams to be used only if there is no other. */
    constructor(
        private readonly model: UpstreamModel,
        private readonly service: string,
        private readonly demand: SelectionDemand,
        private readonly speeds: ServiceSpeeds,
        private readonly heldBack: ReadonlySet<UpstreamState>,
        private readonly now: number,
    ) {}

    /** `cost`: without the terms of the model. */
    add(upstream: UpstreamRegistration, state: UpstreamState, work: CandidateWork, cost: number): void {
        const { demand, speeds, now } = this;
        const msPerToken = state.decodeSpeed.msPerToken ?? speeds.median;
        const forecast = this.model.estimate(state, work, this.service, demand, msPerToken, now);
        this.queueWaitMs = Math.min(this.queueWaitMs, forecast.queueWaitMs);
        this.endMs = Math.min(this.endMs, forecast.endMs);
        this.hasIdle ||= forecast.isIdle;
        const extraMsPerToken = Math.max(0, msPerToken - speeds.fastest * SPEED_TOLERANCE_FACTOR);
        const candidate = {
            upstream,
            state,
            forecast,
            cost: cost + demand.outputTokens * extraMsPerToken + forecast.capacityWaitMs,
        };
        if (this.heldBack.has(state)) {
            if (forecast.firstTokenMs <= demand.remainingMs) {
                this.heldBackInTime ??= candidate;
            }
            return;
        }
        if (this.earliest === undefined || forecast.firstTokenMs < this.earliest.forecast.firstTokenMs) {
            this.earliest = candidate;
        }
        if (forecast.firstTokenMs > demand.remainingMs) {
            return;
        }
        if (this.cheapestInTime === undefined || candidate.cost < this.cheapestInTime.cost) {
            this.cheapestInTime = candidate;
        }
        const isSlow = demand.outputTokens > 0 && extraMsPerToken > 0;
        if (isSlow && state.probeDueAt <= now && forecast.isIdle && forecast.endMs <= demand.remainingMs) {
            this.probe ??= candidate;
        }
    }

    /** Returns undefined if no upstream was added. */
    tryChoose(): SelectedUpstream | undefined {
        const { earliest } = this;
        const chosen = this.probe ?? this.cheapestInTime ?? this.heldBackInTime ?? earliest;
        if (chosen === undefined || earliest === undefined) {
            return undefined;
        }
        return {
            upstream: chosen.upstream,
            forecast: chosen.forecast,
            outlook: {
                queueWaitMs: this.queueWaitMs,
                firstTokenMs: earliest.forecast.firstTokenMs,
                endMs: this.endMs,
                hasIdle: this.hasIdle,
                isRecent: this.model.isRecent(earliest.state, this.now),
            },
            isProbe: chosen === this.probe,
        };
    }
}

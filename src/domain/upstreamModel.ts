/**
 * What a router knows of the work that upstreams still have to do: running requests, time between tokens, occupied memory.
 * From this it estimates when an upstream would begin and end an answer. State is kept per upstream incarnation and lost with
 * the process. Times are monotonic, in milliseconds.
 */
import * as z from "zod";
import { DecodeSpeed } from "./decodeSpeed.js";
import { ExpectedOutput } from "./expectedOutput.js";
import { LOWEST_PRIORITY, PriorityBacklog } from "./priorityBacklog.js";
import { ReportedFraction, RunningRequests } from "./runningRequests.js";
import type { UpstreamRegistration } from "./upstreamRegistry.js";

/** The settings section `upstreamModel`. Times in milliseconds. */
export const upstreamModelSchema = z.object({
    /** An upstream that is avoided for its speed gets a request at least this often, so that its speed stays known. */
    probeIntervalMs: z.number().min(100).max(60_000),
    /** Time over which the share of an upstream that has just appeared grows to the whole. */
    rampMs: z.number().min(0).max(60_000),
    /** Share with which it begins. */
    rampStartFraction: z.number().min(0.01).max(1),
    /** Age above which what is known of an upstream or of the other routers' requests is not relied on. */
    dataExpiryMs: z.number().min(100).max(60_000),
});
export type UpstreamModelOptions = z.infer<typeof upstreamModelSchema>;

/**
 * Upstreams slower than the fastest by up to this factor are treated as equal. The time between two tokens of equal upstreams
 * varies that much with their batch and the prompts that they process meanwhile, and choosing by it would move prompts away
 * from upstreams that have them in their cache.
 */
export const SPEED_TOLERANCE_FACTOR = 2;
/** Weight of one request in the learned duration. */
const DURATION_SMOOTHING_FACTOR = 0.1;
/** How often the median speed of a service is recomputed, in milliseconds. Single speeds change over seconds. */
const MEDIAN_PERIOD_MS = 1_000;

/** An own request at an upstream. */
export interface OwnRequest {
    readonly startedAt: number;
    /** Whether the upstream had a free slot and no backlog, as far as known. */
    readonly hadFreeSlot: boolean;
    /** Tokens of the prompt and output so far. */
    tokens: number;
    lastEventAt: number | undefined;
}

/** The part of a placement that the model uses. */
interface PlacedRequest {
    readonly upstream: UpstreamRegistration;
    readonly uncachedTokens: number;
    readonly queuedPrefillMs: number;
}

/** What a router reports of a request besides its prompt. */
export interface ReportedEstimates {
    /** Expected output. */
    readonly outputTokens?: number | undefined;
    /** From 0, the most urgent, to 9, the least; the latter if unknown. */
    readonly priority?: number | undefined;
}

/** What is known of one upstream incarnation. */
export class UpstreamState {
    readonly decodeSpeed = new DecodeSpeed();
    readonly running = new RunningRequests();
    readonly backlog = new PriorityBacklog();
    /** Time that a request occupies a slot; undefined until measured. */
    durationMs: number | undefined;
    /** When the upstream or another router last said anything about its load. */
    dataAt = -Infinity;
    probeDueAt = Infinity;

    constructor(readonly firstHeardAt: number) {}
}

/** Decoding speeds of the upstreams of a service, in milliseconds per token. */
export interface ServiceSpeeds {
    readonly fastest: number;
    /** Assumed for upstreams without measurements. */
    readonly median: number;
}

/** What a choice knows of an upstream besides its state. */
export interface CandidateWork {
    /** Time to process the request's own prompt, and the prompts before it. */
    readonly prefillMs: number;
    readonly backlogMs: number;
    readonly msPerPromptToken: number;
    readonly slots: number;
}

/** When an upstream would serve a request, relative to now. */
export interface ServeForecast {
    /** Time until the upstream begins to process the prompt. */
    readonly queueWaitMs: number;
    /** Part of it until the upstream has a free slot and memory. */
    readonly capacityWaitMs: number;
    readonly firstTokenMs: number;
    readonly endMs: number;
    /** Whether the upstream has a free slot and no known backlog. */
    readonly isIdle: boolean;
}

export class UpstreamModel {
    private readonly expectedOutput = new ExpectedOutput();
    private readonly fractions = new Map<string, ReportedFraction>();
    private readonly medians = new Map<string, { readonly median: number; readonly computedAt: number; }>();
    private noticeAt = -Infinity;
    /** Requests sent to an upstream to measure it, and stalls of streams, since the process started. */
    probeCount = 0;
    stallCount = 0;
    /** Assumed for reported requests at an upstream without measurements. Milliseconds. */
    private typicalMsPerToken = 0;

    /** `minReportedTokens`: uncached prompt tokens from which routers report a request to each other. */
    constructor(
        readonly options: UpstreamModelOptions,
        private readonly minReportedTokens: number,
        private readonly random: () => number,
    ) {}

    // Events

    recordStart(
        state: UpstreamState,
        placement: PlacedRequest,
        promptTokens: number,
        priority: number | undefined,
        msPerPromptToken: number,
        now: number,
    ): OwnRequest {
        const { upstream: { service, slots }, uncachedTokens, queuedPrefillMs } = placement;
        state.backlog.add(uncachedTokens, priority ?? LOWEST_PRIORITY, msPerPromptToken, now);
        this.getFraction(service).record(uncachedTokens >= this.minReportedTokens);
        const hadFreeSlot = queuedPrefillMs === 0 && this.countKnown(state, service, now) < slots;
        state.running.addOwn(promptTokens);
        this.scheduleProbe(state, now);
        return { startedAt: now, hadFreeSlot, tokens: promptTokens, lastEventAt: undefined };
    }

    /** Records that output tokens of a stream arrived. `wasPaused`: the router had not read it for a time. */
    recordTokens(state: UpstreamState, request: OwnRequest, tokens: number, now: number, wasPaused: boolean): void {
        if (request.lastEventAt !== undefined && !wasPaused) {
            const stallsBefore = state.decodeSpeed.stallCount;
            state.decodeSpeed.recordGap(tokens, now - request.lastEventAt, now);
            this.stallCount += state.decodeSpeed.stallCount - stallsBefore;
        }
        request.lastEventAt = now;
        request.tokens += tokens;
        state.running.addOwnTokens(tokens);
        state.dataAt = now;
    }

    recordFirstByte(state: UpstreamState, now: number): void {
        state.dataAt = now;
    }

    /** `isComplete`: whether the upstream ran the request to its end. */
    recordEnd(state: UpstreamState, request: OwnRequest, isComplete: boolean, now: number): void {
        state.running.removeOwn(request.tokens);
        if (isComplete && request.hadFreeSlot) {
            const sample = now - request.startedAt;
            state.durationMs = state.durationMs === undefined
                ? sample
                : state.durationMs + (sample - state.durationMs) * DURATION_SMOOTHING_FACTOR;
        }
    }

    /** Records a request that another router reports. `waitMs`: estimated time until its first token. */
    recordReported(
        state: UpstreamState,
        newTokens: number,
        { outputTokens = 0, priority = LOWEST_PRIORITY }: ReportedEstimates,
        msPerPromptToken: number,
        waitMs: number,
        now: number,
    ): void {
        state.backlog.add(newTokens, priority, msPerPromptToken, now);
        const durationMs = waitMs + outputTokens * (state.decodeSpeed.msPerToken ?? this.typicalMsPerToken);
        state.running.addReported(durationMs, newTokens + outputTokens / 2, now);
        state.dataAt = now;
        this.noticeAt = now;
        this.scheduleProbe(state, now);
    }

    recordAnswer(route: string, maxOutputTokens: number, outputTokens: number): void {
        this.expectedOutput.record(route, maxOutputTokens, outputTokens);
    }

    /** Routers draw different times, so that they do not all send a probe at once. */
    private scheduleProbe(state: UpstreamState, now: number): void {
        state.probeDueAt = now + this.options.probeIntervalMs * (1 + this.random()) / 2;
    }

    private getFraction(service: string): ReportedFraction {
        let fraction = this.fractions.get(service);
        if (fraction === undefined) {
            fraction = new ReportedFraction();
            this.fractions.set(service, fraction);
        }
        return fraction;
    }

    // Estimates

    getExpectedTokens(route: string, maxOutputTokens: number): number {
        return this.expectedOutput.getTokens(route, maxOutputTokens);
    }

    /** Counts running requests, those of the other routers only as far as they are reported. */
    countKnown(state: UpstreamState, service: string, now: number): number {
        const reported = state.running.countReported(now);
        const fraction = reported === 0 ? undefined : this.getFraction(service).tryGet();
        return state.running.own + reported / (fraction ?? 1);
    }

    /**
     * Counts running requests. If the other routers report nothing or too little, each is presumed to send as many requests as
     * this one.
     */
    countPresumed(state: UpstreamState, service: string, routerCount: number, now: number): number {
        return this.areReportsUsable(service, now)
            ? this.countKnown(state, service, now)
            : state.running.own * routerCount;
    }

    private areReportsUsable(service: string, now: number): boolean {
        return now - this.noticeAt <= this.options.dataExpiryMs && this.getFraction(service).tryGet() !== undefined;
    }

    /** Whether what is known of an upstream is recent. */
    isRecent(state: UpstreamState, now: number): boolean {
        return now - state.dataAt <= this.options.dataExpiryMs;
    }

    /** Returns the decoding speeds among upstreams of a service; zero if none was measured. */
    getSpeeds(service: string, states: readonly UpstreamState[], now: number): ServiceSpeeds {
        let fastest = Infinity;
        for (const { decodeSpeed } of states) {
            fastest = Math.min(fastest, decodeSpeed.msPerToken ?? Infinity);
        }
        if (fastest === Infinity) {
            return { fastest: 0, median: 0 };
        }
        const known = this.medians.get(service);
        if (known !== undefined && now - known.computedAt < MEDIAN_PERIOD_MS) {
            return { fastest, median: known.median };
        }
        const measured = states.flatMap(({ decodeSpeed }) => decodeSpeed.msPerToken ?? []).sort((a, b) => a - b);
        const median = measured[Math.floor(measured.length / 2)]!;
        this.medians.set(service, { median, computedAt: now });
        this.typicalMsPerToken = median;
        return { fastest, median };
    }

    /**
     * Lists which upstreams a choice leaves out because they have just appeared, while most others are older: their caches are
     * empty, and their share of the choices grows slowly. Empty if there are none, or if all would be left out.
     */
    listHeldBack(states: readonly UpstreamState[], now: number): ReadonlySet<UpstreamState> {
        const { rampMs, rampStartFraction } = this.options;
        const recent = states.filter(state => now - state.firstHeardAt < rampMs);
        if (recent.length === 0 || recent.length * 2 > states.length) {
            return new Set();
        }
        return new Set(recent.filter(({ firstHeardAt }) => {
            const share = rampStartFraction + (1 - rampStartFraction) * (now - firstHeardAt) / rampMs;
            return this.random() >= share;
        }));
    }

    /**
     * Estimates when an upstream serves a request with these tokens. A request waits for a slot or for memory until enough of
     * the running ones have ended, which do so evenly over their duration.
     */
    estimate(
        state: UpstreamState,
        work: CandidateWork,
        service: string,
        demand: {
            readonly promptTokens: number;
            readonly outputTokens: number;
            readonly cacheTokens?: number | undefined;
            readonly priority: number;
        },
        msPerToken: number,
        now: number,
    ): ServeForecast {
        const { slots, backlogMs, prefillMs, msPerPromptToken } = work;
        const { promptTokens, outputTokens, cacheTokens = Infinity, priority } = demand;
        const count = this.countKnown(state, service, now);
        const missingSlotsPart = slots > 0 ? Math.max(0, (Math.floor(count) + 1 - slots) / slots) : 0;
        const occupiedTokens = state.running.getTokens(now);
        // A request larger than the memory would not fit an idle upstream either.
        const missingMemoryPart = occupiedTokens > 0
            ? Math.max(0, (occupiedTokens + promptTokens + outputTokens) / cacheTokens - 1)
            : 0;
        const capacityWaitMs = Math.max(missingSlotsPart, missingMemoryPart) * (state.durationMs ?? 0);
        const urgentFraction = backlogMs > 0 ? state.backlog.getUrgentFraction(priority, msPerPromptToken, now) : 1;
        const queueWaitMs = backlogMs * urgentFraction + capacityWaitMs;
        const firstTokenMs = queueWaitMs + prefillMs;
        return {
            queueWaitMs,
            capacityWaitMs,
            firstTokenMs,
            endMs: firstTokenMs + outputTokens * msPerToken,
            isIdle: backlogMs === 0 && missingSlotsPart === 0 && missingMemoryPart === 0,
        };
    }
}

/**
 * Tracks the load and the prompt caches of upstreams, from this router's requests and from those that other routers
 * report, and chooses the upstream for a request.
 *
 * An engine caches the parts of prompts that it has processed, so a request costs the prefill of its remaining parts.
 * The chooser weighs this cost against the wait: a cached prefix attracts requests until the wait outweighs it. Since
 * prefill delays the concurrent streams of an engine, long prompts go to upstreams that have little prefill pending.
 */
import { DecayingRate } from "./decayingRate.js";
import { tryChooseFirstByRendezvous } from "./identifiers.js";
import { PrefillQueue, PrefillSpeed, type PrefillSpeedOptions, type QueuedPrompt } from "./prefillQueue.js";
import { LOWEST_PRIORITY } from "./priorityBacklog.js";
import {
    type OwnRequest,
    type ReportedEstimates,
    type ServeForecast,
    type UpstreamModel,
    UpstreamState,
} from "./upstreamModel.js";
import { getIncarnationKey, type UpstreamIncarnation, type UpstreamRegistration } from "./upstreamRegistry.js";
import { type ServiceOutlook, UpstreamSelection } from "./upstreamSelection.js";

/** A part of a prompt, which other prompts may share. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** Properties of a request that the choice depends on. */
export interface RequestDemand {
    readonly parts: readonly PromptPart[];
    readonly promptTokens: number;
    /** Expected output tokens; 0 by default. Used only with a model of the upstreams. */
    readonly outputTokens?: number | undefined;
    /** From 0, the most urgent, to 9, the least, which is the default. Used only with a model of the upstreams. */
    readonly priority?: number | undefined;
}

/** Inputs of a choice other than the request. */
export interface SelectionContext {
    /** Ids of the upstreams that are excluded. */
    readonly excludedIds: ReadonlySet<string>;
    readonly routerCount: number;
    /** Longest acceptable wait for the first token or between two tokens of an answer. Milliseconds. */
    readonly maxWaitMs: number;
    /** Time until the request's deadline, in milliseconds; Infinity by default. Used only with a model of the upstreams. */
    readonly remainingMs?: number | undefined;
    /** Prompt and output tokens that an upstream holds at most; undefined if unknown. */
    readonly cacheTokens?: number | undefined;
}

/** Weights, limits and half-lives of the choice. */
export interface UpstreamLoadOptions {
    readonly readingSpeed: PrefillSpeedOptions;
    /** Weight of waiting time relative to prefill time. */
    readonly waitWeight: number;
    /** Fraction of the longest acceptable wait that a prefill may take without harm to concurrent streams. */
    readonly comfortablePart: number;
    /** Cost of each millisecond beyond that, for the request itself and for each concurrent stream. */
    readonly beyondWeight: number;
    readonly beyondStreamWeight: number;
    /** Weight of the rate of such excess prefill, in milliseconds per second. */
    readonly disturbanceWeight: number;
    /** Half-life of the rate of excess prefill, in milliseconds. */
    readonly disturbanceHalfLifeMs: number;
    /**
     * Fraction of the shared parts that the upstream preferred by hash is presumed to have cached if nothing is known
     * of them.
     */
    readonly presumedKeptPart: number;
    /** Cost of an upstream whose slots are all in use, in milliseconds. */
    readonly runningCostMs: number;
    /** Cost of a request to another availability zone, in milliseconds. */
    readonly otherZoneCostMs: number;
    /** Prompt parts tracked per upstream. */
    readonly maxParts: number;
    /** Pause after the first failed connection, in milliseconds; doubles up to `maxPauseMs`. */
    readonly pauseMs: number;
    readonly maxPauseMs: number;
    readonly failureHalfLifeMs: number;
    /** Weight of one outcome in the failure rate. */
    readonly failureWeight: number;
    /** Cost of a failure rate of 1, in milliseconds. */
    readonly failureCostMs: number;
}

interface Load {
    activeRequests: number;
    readonly speed: PrefillSpeed;
    readonly prefillQueue: PrefillQueue;
    /** Rate of prefill time beyond the harmless length, in milliseconds per second. */
    readonly excessPrefillRate: DecayingRate;
    /** Ids of the prompt parts that were sent to the upstream, least recently used first. */
    readonly cachedParts: Set<string>;
    /** Fraction of requests that failed, as of `failureRateAt`. */
    failureRate: number;
    failureRateAt: number;
    consecutiveFailures: number;
    pausedUntil: number;
    /** Undefined without a model of the upstreams. */
    readonly state: UpstreamState | undefined;
}

interface Candidate {
    readonly upstream: UpstreamRegistration;
    readonly load: Load;
}

/** The upstream that was chosen for a request, and the estimated prefill. */
export interface Placement {
    readonly upstream: UpstreamRegistration;
    /** Prompt tokens that the upstream probably does not have cached. */
    readonly uncachedTokens: number;
    /** Prefill time queued before the request. Milliseconds. */
    readonly queuedPrefillMs: number;
    /** Prefill time of the request beyond the length that is harmless to concurrent streams. Milliseconds. */
    readonly excessPrefillMs: number;
    /** What the upstream, and the best ones of the service, can still do; undefined without a model of the upstreams. */
    readonly forecast?: ServeForecast | undefined;
    readonly outlook?: ServiceOutlook | undefined;
    /** Whether the request measures an upstream that is otherwise avoided for its speed. */
    readonly isProbe?: boolean | undefined;
}

/** A request that was sent and whose prefill is pending. */
export interface StartedPlacement extends Placement {
    readonly prompt: QueuedPrompt;
    /** Undefined without a model of the upstreams. */
    readonly own?: OwnRequest | undefined;
}

/** Outcome of a request with regard to its upstream. */
export type LoadOutcome = "good" | "failed" | "unreachable" | "full";

export class UpstreamLoad {
    /** Keyed by incarnation: a restarted upstream has an empty cache and no failures. */
    private readonly loads = new Map<string, Load>();

    constructor(
        private readonly zone: string,
        private readonly options: UpstreamLoadOptions,
        /** Undefined if the choice does not consider when upstreams can serve a request. */
        readonly model?: UpstreamModel,
    ) {}

    /** Records that an upstream was registered. */
    recordRegistered(upstream: UpstreamIncarnation, now: number): void {
        if (this.model !== undefined) {
            this.getLoad(upstream, now);
        }
    }

    /** Returns what the model knows of an upstream; undefined if that is unknown, or without a model. */
    tryGetState(upstream: UpstreamIncarnation): UpstreamState | undefined {
        return this.loads.get(getIncarnationKey(upstream))?.state;
    }

    /** Chooses among upstreams that accept new work. Returns undefined if all have been tried. */
    tryChoose(
        candidates: readonly UpstreamRegistration[],
        demand: RequestDemand,
        context: SelectionContext,
        now: number,
    ): Placement | undefined {
        const untried = candidates.filter(candidate => !context.excludedIds.has(candidate.id))
            .map(upstream => ({ upstream, load: this.getLoad(upstream, now) }));
        const unpaused = untried.filter(({ load }) => load.pausedUntil <= now);
        const usable = unpaused.length > 0 ? unpaused : untried;
        const preferred = this.findPreferredByHash(usable, demand);
        const selection = this.tryStartSelection(usable, demand, context, now);
        let best: UpstreamRegistration | undefined;
        let bestCost = Infinity;
        for (const { upstream, load } of usable) {
            const newTokens = this.countNewTokens(load, demand);
            const presumedCachedTokens = upstream.id === preferred
                ? this.countPresumedCachedTokens(demand, newTokens)
                : 0;
            const prefillMs = (newTokens - presumedCachedTokens) * load.speed.msPerToken;
            const backlogMs = load.prefillQueue.getBacklogMs(now);
            const cost = this.estimateCostMs(upstream, load, prefillMs, backlogMs, context, now);
            if (selection !== undefined) {
                const msPerPromptToken = load.speed.msPerToken;
                const work = { prefillMs, backlogMs, msPerPromptToken, slots: upstream.slots };
                selection.add(upstream, load.state!, work, cost);
            }
            if (cost < bestCost) {
                best = upstream;
                bestCost = cost;
            }
        }
        const selected = selection?.tryChoose();
        if (selected !== undefined) {
            const { upstream, forecast, outlook, isProbe } = selected;
            return { ...this.createPlacement(upstream, demand, context, now), forecast, outlook, isProbe };
        }
        return best === undefined ? undefined : this.createPlacement(best, demand, context, now);
    }

    private tryStartSelection(
        usable: readonly Candidate[],
        demand: RequestDemand,
        context: SelectionContext,
        now: number,
    ): UpstreamSelection | undefined {
        const { model } = this;
        if (model === undefined || usable.length === 0) {
            return undefined;
        }
        const { service } = usable[0]!.upstream;
        const states = usable.map(({ load }) => load.state!);
        const selectionDemand = {
            promptTokens: demand.promptTokens,
            outputTokens: demand.outputTokens ?? 0,
            priority: demand.priority ?? LOWEST_PRIORITY,
            cacheTokens: context.cacheTokens,
            remainingMs: context.remainingMs ?? Infinity,
        };
        const speeds = model.getSpeeds(service, states, now);
        return new UpstreamSelection(model, service, selectionDemand, speeds, model.listHeldBack(states, now), now);
    }

    private createPlacement(
        upstream: UpstreamRegistration,
        demand: RequestDemand,
        context: SelectionContext,
        now: number,
    ): Placement {
        const load = this.getLoad(upstream);
        const newTokens = this.countNewTokens(load, demand);
        const prefillMs = newTokens * load.speed.msPerToken;
        const beyondMs = Math.max(0, Math.round(prefillMs - this.getMaxHarmlessPrefillMs(context)));
        return {
            upstream,
            uncachedTokens: newTokens,
            queuedPrefillMs: load.prefillQueue.getBacklogMs(now),
            excessPrefillMs: beyondMs,
        };
    }

    /** Returns the longest prefill that does not harm concurrent streams. */
    private getMaxHarmlessPrefillMs(context: SelectionContext): number {
        return context.maxWaitMs * this.options.comfortablePart;
    }

    recordStart(placement: Placement, demand: RequestDemand, now: number): StartedPlacement {
        const load = this.getLoad(placement.upstream);
        load.activeRequests += 1;
        load.excessPrefillRate.add(placement.excessPrefillMs, now);
        this.addCachedParts(load, demand.parts.map(part => part.id));
        const { uncachedTokens, isProbe } = placement;
        if (isProbe === true && this.model !== undefined) {
            this.model.probeCount += 1;
        }
        const own = this.model?.recordStart(
            load.state!,
            placement,
            demand.promptTokens,
            demand.priority,
            load.speed.msPerToken,
            now,
        );
        return { ...placement, prompt: load.prefillQueue.add(uncachedTokens, now), own };
    }

    /** Records a request that another router sent. */
    recordPeerRequest(
        upstream: UpstreamIncarnation,
        newTokens: number,
        beyondMs: number,
        parts: readonly string[],
        now: number,
        estimates: ReportedEstimates = {},
    ): void {
        const load = this.getLoad(upstream, now);
        load.excessPrefillRate.add(beyondMs, now);
        this.addCachedParts(load, parts);
        load.prefillQueue.addRemote(newTokens, now);
        const backlogMs = load.prefillQueue.getBacklogMs(now);
        this.model?.recordReported(load.state!, newTokens, estimates, load.speed.msPerToken, backlogMs, now);
    }

    /** Records that a response has begun, which shows that the prefill is complete. */
    recordFirstByte(placement: StartedPlacement, now: number): void {
        const load = this.getLoad(placement.upstream);
        load.prefillQueue.recordAnswerStart(placement.prompt, now);
        this.model?.recordFirstByte(load.state!, now);
    }

    /** Records that output tokens of a stream arrived. `wasPaused`: the router had not read it for a time. */
    recordTokens({ upstream, own }: StartedPlacement, tokens: number, now: number, wasPaused = false): void {
        if (own !== undefined) {
            this.model?.recordTokens(this.getLoad(upstream).state!, own, tokens, now, wasPaused);
        }
    }

    /** Records that a request ended before its response began. */
    recordUnanswered(placement: StartedPlacement): void {
        this.getLoad(placement.upstream).prefillQueue.recordDropped(placement.prompt);
    }

    /** Records the end of a request, whatever its outcome. `isComplete`: whether the upstream ran it to its end. */
    recordEnd({ upstream, own }: Placement & Pick<StartedPlacement, "own">, isComplete = false, now = 0): void {
        const load = this.getLoad(upstream);
        load.activeRequests -= 1;
        if (own !== undefined) {
            this.model?.recordEnd(load.state!, own, isComplete, now);
        }
    }

    /** Records the outcome of a request. An upstream that is unreachable, full or fails repeatedly is paused. */
    recordOutcome(upstream: UpstreamIncarnation, outcome: LoadOutcome, now: number): void {
        const load = this.getLoad(upstream);
        const { failureWeight, pauseMs, maxPauseMs } = this.options;
        if (outcome === "good" || outcome === "failed") {
            const failed = outcome === "failed" ? 1 : 0;
            const failureRate = this.getFailureRate(load, now);
            load.failureRate = failureRate + (failed - failureRate) * failureWeight;
            load.failureRateAt = now;
        }
        if (outcome === "good") {
            load.consecutiveFailures = 0;
            load.pausedUntil = 0;
            return;
        }
        load.consecutiveFailures += 1;
        if (outcome !== "failed" || load.consecutiveFailures > 1) {
            load.pausedUntil = now + Math.min(maxPauseMs, pauseMs * 2 ** Math.min(10, load.consecutiveFailures - 1));
        }
        if (outcome === "unreachable") {
            load.cachedParts.clear();
        }
    }

    /** The failure rate decays, because an upstream that is avoided gets no requests that could lower it. */
    private getFailureRate(load: Load, now: number): number {
        return load.failureRate * 2 ** (-(now - load.failureRateAt) / this.options.failureHalfLifeMs);
    }

    /** Evicts upstreams that are not in `known`, the keys of incarnations, and have no active requests. */
    retainOnly(known: ReadonlySet<string>): void {
        for (const [key, load] of this.loads) {
            if (!known.has(key) && load.activeRequests === 0) {
                this.loads.delete(key);
            }
        }
    }

    private estimateCostMs(
        upstream: UpstreamRegistration,
        load: Load,
        prefillMs: number,
        waitMs: number,
        context: SelectionContext,
        now: number,
    ): number {
        const { waitWeight, runningCostMs, otherZoneCostMs, failureCostMs, disturbanceWeight } = this.options;
        // Without a model, assumes that each router sends about as many requests as this one.
        const activeRequests = this.model?.countPresumed(load.state!, upstream.service, context.routerCount, now)
            ?? load.activeRequests * context.routerCount;
        return prefillMs + waitMs * waitWeight
            + this.estimateInterferenceCostMs(prefillMs + waitMs, activeRequests, context)
            + load.excessPrefillRate.getRate(now) * disturbanceWeight
            + activeRequests / Math.max(1, upstream.slots) * runningCostMs
            + this.getFailureRate(load, now) * failureCostMs
            + (upstream.zone === this.zone ? 0 : otherZoneCostMs);
    }

    /**
     * Estimates the cost of delaying concurrent streams by a prefill of `prefillMs`. The excess is capped: once an
     * answer is late, further delay adds no cost.
     */
    private estimateInterferenceCostMs(prefillMs: number, activeRequests: number, context: SelectionContext): number {
        const { beyondWeight, beyondStreamWeight } = this.options;
        const excessMs = Math.max(0, prefillMs - this.getMaxHarmlessPrefillMs(context));
        const cappedExcessMs = Math.min(excessMs, context.maxWaitMs);
        return cappedExcessMs * (beyondWeight + activeRequests * beyondStreamWeight);
    }

    /** Counts the prompt tokens that are not known to be cached. */
    private countNewTokens({ cachedParts }: Load, demand: RequestDemand): number {
        let cachedTokens = 0;
        for (const part of demand.parts) {
            if (!cachedParts.has(part.id)) {
                break;
            }
            cachedTokens += part.tokens;
        }
        return Math.max(0, demand.promptTokens - cachedTokens);
    }

    /** Estimates how many of `newTokens` are cached though no router has reported it. */
    private countPresumedCachedTokens(demand: RequestDemand, newTokens: number): number {
        const unsharedTokens = demand.parts.at(-1)?.tokens ?? 0;
        return Math.max(0, newTokens - unsharedTokens) * this.options.presumedKeptPart;
    }

    private addCachedParts(load: Load, ids: readonly string[]): void {
        for (const id of ids) {
            load.cachedParts.delete(id);
            load.cachedParts.add(id);
        }
        while (load.cachedParts.size > this.options.maxParts) {
            load.cachedParts.delete(load.cachedParts.values().next().value!);
        }
    }

    /** Finds the upstream that all routers prefer for a prompt, by hash of its longest part that may be shared. */
    private findPreferredByHash(
        candidates: readonly Candidate[],
        demand: RequestDemand,
    ): string | undefined {
        const shared = demand.parts[Math.max(0, demand.parts.length - 2)];
        return shared === undefined
            ? undefined
            : tryChooseFirstByRendezvous(shared.id, candidates.map(candidate => candidate.upstream.id));
    }

    /** `now`: when the upstream was heard of, if it was not known. */
    private getLoad(upstream: UpstreamIncarnation, now = 0): Load {
        const key = getIncarnationKey(upstream);
        let load = this.loads.get(key);
        if (load === undefined) {
            const speed = new PrefillSpeed(this.options.readingSpeed, this.computeMedianMsPerToken());
            load = {
                activeRequests: 0,
                speed,
                prefillQueue: new PrefillQueue(speed, this.model !== undefined),
                excessPrefillRate: new DecayingRate(this.options.disturbanceHalfLifeMs),
                cachedParts: new Set(),
                failureRate: 0,
                failureRateAt: 0,
                consecutiveFailures: 0,
                pausedUntil: 0,
                state: this.model === undefined ? undefined : new UpstreamState(now),
            };
            this.loads.set(key, load);
        }
        return load;
    }

    /** Used for upstreams without measurements. Returns undefined if there are no upstreams yet. */
    private computeMedianMsPerToken(): number | undefined {
        const speeds = [...this.loads.values()].map(load => load.speed.msPerToken).sort((a, b) => a - b);
        return speeds[Math.floor(speeds.length / 2)];
    }
}

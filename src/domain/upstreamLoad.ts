/**
 * What a router knows of the load and the memory of its upstreams, from its own requests and from what the other
 * routers tell of theirs, and the choice by it.
 *
 * A model engine keeps the parts of prompts it has read; a prompt costs the time to read the rest. The chooser weighs
 * that work against the wait, so that a kept prompt attracts its like until its engine would keep callers waiting. What
 * an engine reads also holds up every stream that runs beside it, so long prompts go where little is read already.
 */
import { chooseByRendezvous } from "./identifiers.js";
import { MovingRate } from "./movingAverage.js";
import { type QueuedPrompt, ReadingQueue, ReadingSpeed, type ReadingSpeedOptions } from "./readingQueue.js";
import { getLifeKey, type UpstreamLife, type UpstreamRegistration } from "./upstreamRegistry.js";

/** A part of a prompt that other prompts may share. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** What the choice needs to know of a request. */
export interface RequestDemand {
    readonly parts: readonly PromptPart[];
    readonly promptTokens: number;
}

/** What a choice goes by beside the request. */
export interface ChoiceTerms {
    /** Upstreams that are left out. */
    readonly tried: ReadonlySet<string>;
    /** How many routers send to the upstreams. */
    readonly routers: number;
    /** Longest wait, for a first token or between two, with which an answer of the service is in time. Milliseconds. */
    readonly longestWaitMs: number;
}

/** Weights of the choice and times of what is forgotten. */
export interface UpstreamLoadOptions {
    readonly readingSpeed: ReadingSpeedOptions;
    /** What a wait counts beside the work of reading a prompt, as long as both stay comfortable. */
    readonly waitWeight: number;
    /** Part of the longest wait in time that an engine may read at a stretch without harm. */
    readonly comfortablePart: number;
    /** What each millisecond beyond that counts on top for the request itself, and for each stream beside it. */
    readonly beyondWeight: number;
    readonly beyondStreamWeight: number;
    /** What an expected millisecond of such reading counts beside a stream of a second. */
    readonly disturbanceWeight: number;
    /** How fast it is forgotten that an upstream read at a stretch, in milliseconds. */
    readonly disturbanceHalfLifeMs: number;
    /** Part of the shared parts that the upstream preferred by hash is presumed to keep where nobody has told so. */
    readonly presumedKeptPart: number;
    /** What all slots of an upstream taken add to the estimate, in milliseconds. */
    readonly runningCostMs: number;
    /** What a request to another availability zone is charged, in milliseconds. */
    readonly otherZoneCostMs: number;
    /** Parts remembered of each upstream. */
    readonly maxParts: number;
    /** Pause after the first failed connection, in milliseconds; doubles up to `maxPauseMs`. */
    readonly pauseMs: number;
    readonly maxPauseMs: number;
    readonly failureHalfLifeMs: number;
    /** Part by which one outcome moves the failure share. */
    readonly failureWeight: number;
    /** What a failure share of 1 adds to the estimate, in milliseconds. */
    readonly failureCostMs: number;
}

interface Load {
    running: number;
    readonly speed: ReadingSpeed;
    readonly reading: ReadingQueue;
    /** Milliseconds that the upstream reads at a stretch beyond what is comfortable, a second. */
    readonly disturbance: MovingRate;
    /** Prompt parts that the upstream was sent, oldest first. */
    readonly parts: Set<string>;
    /** Part of the requests that failed, as of `failureAt`. */
    failureShare: number;
    failureAt: number;
    failuresInARow: number;
    pausedUntil: number;
}

/** A request that has been placed at an upstream. */
export interface Placement {
    readonly upstream: UpstreamRegistration;
    /** Prompt tokens that the upstream probably has to read. */
    readonly newTokens: number;
    /** How long the upstream has to read before it. Milliseconds. */
    readonly aheadMs: number;
    /** How long the upstream reads it alone beyond what is comfortable to streams beside. Milliseconds. */
    readonly beyondMs: number;
}

/** A placed request until its prompt has been read. */
export interface StartedPlacement extends Placement {
    readonly prompt: QueuedPrompt;
}

/** How a request came out, as far as it tells of its upstream. */
export type LoadOutcome = "good" | "failed" | "unreachable" | "full";

export class UpstreamLoad {
    /** By the key of a life: one that starts again under its id keeps nothing, and has failed nobody. */
    private readonly loads = new Map<string, Load>();

    constructor(private readonly zone: string, private readonly options: UpstreamLoadOptions) {}

    /** Chooses among upstreams that take new work. Undefined where none is left. */
    tryChoose(
        candidates: readonly UpstreamRegistration[],
        demand: RequestDemand,
        terms: ChoiceTerms,
        now: number,
    ): Placement | undefined {
        const open = candidates.filter(candidate => !terms.tried.has(candidate.id));
        const awake = open.filter(candidate => this.getLoad(candidate).pausedUntil <= now);
        const usable = awake.length > 0 ? awake : open;
        const preferred = this.findPreferred(usable, demand);
        let best: UpstreamRegistration | undefined;
        let bestCost = Infinity;
        for (const upstream of usable) {
            const newTokens = this.countNewTokens(upstream, demand);
            const presumed = upstream.id === preferred ? this.countPresumed(demand, newTokens) : 0;
            const cost = this.estimateMs(upstream, newTokens - presumed, terms, now);
            if (cost < bestCost) {
                best = upstream;
                bestCost = cost;
            }
        }
        return best === undefined ? undefined : this.createPlacement(best, demand, terms, now);
    }

    private createPlacement(
        upstream: UpstreamRegistration,
        demand: RequestDemand,
        terms: ChoiceTerms,
        now: number,
    ): Placement {
        const load = this.getLoad(upstream);
        const newTokens = this.countNewTokens(upstream, demand);
        const readMs = newTokens * load.speed.msPerToken;
        const beyondMs = Math.max(0, Math.round(readMs - this.getComfortableMs(terms)));
        return { upstream, newTokens, aheadMs: load.reading.getBacklogMs(now), beyondMs };
    }

    /** How long an engine may read at a stretch without harm to the streams beside. */
    private getComfortableMs(terms: ChoiceTerms): number {
        return terms.longestWaitMs * this.options.comfortablePart;
    }

    /** Notes a request that is being sent. */
    recordStart(placement: Placement, demand: RequestDemand, now: number): StartedPlacement {
        const load = this.getLoad(placement.upstream);
        load.running += 1;
        load.disturbance.add(placement.beyondMs, now);
        this.addParts(load, demand.parts.map(part => part.id));
        return { ...placement, prompt: load.reading.add(placement.newTokens, now) };
    }

    /** Notes a request that another router has sent. */
    recordOther(
        upstream: UpstreamLife,
        newTokens: number,
        beyondMs: number,
        parts: readonly string[],
        now: number,
    ): void {
        const load = this.getLoad(upstream);
        load.disturbance.add(beyondMs, now);
        this.addParts(load, parts);
        load.reading.addOther(newTokens, now);
    }

    /** Notes that the answer of a request has begun, so that its prompt has been read. */
    recordFirstByte(placement: StartedPlacement, now: number): void {
        this.getLoad(placement.upstream).reading.recordRead(placement.prompt, now);
    }

    /** Notes that a request ended before its answer began. */
    recordUnanswered(placement: StartedPlacement): void {
        this.getLoad(placement.upstream).reading.recordDropped(placement.prompt);
    }

    /** Notes that a request has come to its end, of whatever kind. */
    recordEnd(placement: Placement): void {
        this.getLoad(placement.upstream).running -= 1;
    }

    /** Notes how a request came out. A connection that could not be made pauses the upstream. */
    recordOutcome(upstream: UpstreamLife, outcome: LoadOutcome, now: number): void {
        const load = this.getLoad(upstream);
        const { failureWeight, pauseMs, maxPauseMs } = this.options;
        if (outcome === "good" || outcome === "failed") {
            const failed = outcome === "failed" ? 1 : 0;
            const share = this.getFailureShare(load, now);
            load.failureShare = share + (failed - share) * failureWeight;
            load.failureAt = now;
        }
        if (outcome === "good") {
            load.failuresInARow = 0;
            load.pausedUntil = 0;
            return;
        }
        load.failuresInARow += 1;
        if (outcome !== "failed" || load.failuresInARow > 1) {
            load.pausedUntil = now + Math.min(maxPauseMs, pauseMs * 2 ** Math.min(10, load.failuresInARow - 1));
        }
        if (outcome === "unreachable") {
            load.parts.clear();
        }
    }

    /** Failures are forgotten with time: an upstream that is avoided for them has no chance to show otherwise. */
    private getFailureShare(load: Load, now: number): number {
        return load.failureShare * 2 ** (-(now - load.failureAt) / this.options.failureHalfLifeMs);
    }

    /** Forgets lives of upstreams that are not known any more. `known`: keys of lives. */
    forgetExcept(known: ReadonlySet<string>): void {
        for (const [key, load] of this.loads) {
            if (!known.has(key) && load.running === 0) {
                this.loads.delete(key);
            }
        }
    }

    private estimateMs(upstream: UpstreamRegistration, newTokens: number, terms: ChoiceTerms, now: number): number {
        const load = this.getLoad(upstream);
        const { waitWeight, runningCostMs, otherZoneCostMs, failureCostMs, disturbanceWeight } = this.options;
        const readMs = newTokens * load.speed.msPerToken;
        const waitMs = load.reading.getBacklogMs(now);
        // The other routers send about as many as this one.
        const running = load.running * terms.routers;
        return readMs + waitMs * waitWeight
            + this.estimateHarmMs(readMs + waitMs, running, terms)
            + load.disturbance.getRate(now) * disturbanceWeight
            + running / Math.max(1, upstream.slots) * runningCostMs
            + this.getFailureShare(load, now) * failureCostMs
            + (upstream.zone === this.zone ? 0 : otherZoneCostMs);
    }

    /** What it counts that an engine reads for `stretchMs`. Who is late already is not harmed by more of it. */
    private estimateHarmMs(stretchMs: number, running: number, terms: ChoiceTerms): number {
        const { beyondWeight, beyondStreamWeight } = this.options;
        const beyondMs = Math.max(0, stretchMs - this.getComfortableMs(terms));
        const late = Math.min(beyondMs, terms.longestWaitMs);
        return late * (beyondWeight + running * beyondStreamWeight);
    }

    /** Prompt tokens that an upstream has to read, as far as is known. */
    private countNewTokens(upstream: UpstreamLife, demand: RequestDemand): number {
        const { parts } = this.getLoad(upstream);
        let kept = 0;
        for (const part of demand.parts) {
            if (!parts.has(part.id)) {
                break;
            }
            kept += part.tokens;
        }
        return Math.max(0, demand.promptTokens - kept);
    }

    /** The part of `newTokens` that an upstream probably keeps though nobody has told of it. */
    private countPresumed(demand: RequestDemand, newTokens: number): number {
        const own = demand.parts.at(-1)?.tokens ?? 0;
        return Math.max(0, newTokens - own) * this.options.presumedKeptPart;
    }

    private addParts(load: Load, ids: readonly string[]): void {
        for (const id of ids) {
            load.parts.delete(id);
            load.parts.add(id);
        }
        while (load.parts.size > this.options.maxParts) {
            load.parts.delete(load.parts.values().next().value!);
        }
    }

    /** The upstream that all routers would prefer for a prompt, by hash of the longest part that it may share. */
    private findPreferred(candidates: readonly UpstreamRegistration[], demand: RequestDemand): string | undefined {
        const shared = demand.parts[Math.max(0, demand.parts.length - 2)];
        return shared === undefined || candidates.length === 0
            ? undefined
            : chooseByRendezvous(shared.id, candidates.map(candidate => candidate.id), 1)[0];
    }

    private getLoad(upstream: UpstreamLife): Load {
        const key = getLifeKey(upstream);
        let load = this.loads.get(key);
        if (load === undefined) {
            const speed = new ReadingSpeed(this.options.readingSpeed, this.computeTypicalMsPerToken());
            load = {
                running: 0,
                speed,
                reading: new ReadingQueue(speed),
                disturbance: new MovingRate(this.options.disturbanceHalfLifeMs),
                parts: new Set(),
                failureShare: 0,
                failureAt: 0,
                failuresInARow: 0,
                pausedUntil: 0,
            };
            this.loads.set(key, load);
        }
        return load;
    }

    /** Upstreams that nothing is known of are taken for like the others. Undefined where there are none. */
    private computeTypicalMsPerToken(): number | undefined {
        const speeds = [...this.loads.values()].map(load => load.speed.msPerToken).sort((a, b) => a - b);
        return speeds[Math.floor(speeds.length / 2)];
    }
}

/**
 * What a router knows of the load and the memory of its upstreams, from its own requests alone, and the choice by it.
 *
 * A model engine keeps the parts of prompts it has read; a prompt costs the time to read the rest. The chooser weighs
 * that work against the wait, so that a kept prompt attracts its like until its engine would keep callers waiting.
 */
import { chooseByRendezvous } from "./identifiers.js";
import type { UpstreamRegistration } from "./upstreamRegistry.js";

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

/** Weights of the choice and times of what is forgotten. */
export interface UpstreamLoadOptions {
    /** Prompt tokens that a model engine reads in a millisecond. */
    readonly promptTokensPerMs: number;
    /** What a wait counts beside the work of reading a prompt, as long as both stay below `comfortableMs`. */
    readonly waitWeight: number;
    /** Time to the first token that no caller minds, in milliseconds: well below the goals of streams. */
    readonly comfortableMs: number;
    /** What each millisecond beyond that counts on top. */
    readonly beyondWeight: number;
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
    /** Prompt tokens sent whose answers have not begun. */
    pendingTokens: number;
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
}

/** How a request came out, as far as it tells of its upstream. */
export type LoadOutcome = "good" | "failed" | "unreachable" | "full";

export class UpstreamLoad {
    private readonly loads = new Map<string, Load>();

    constructor(private readonly zone: string, private readonly options: UpstreamLoadOptions) {}

    /** Chooses among upstreams that take new work; `tried` are left out. Undefined where none is left. */
    tryChoose(
        candidates: readonly UpstreamRegistration[],
        demand: RequestDemand,
        tried: ReadonlySet<string>,
        routers: number,
        now: number,
    ): Placement | undefined {
        const open = candidates.filter(candidate => !tried.has(candidate.id));
        const awake = open.filter(candidate => this.getLoad(candidate.id).pausedUntil <= now);
        const usable = awake.length > 0 ? awake : open;
        const preferred = this.findPreferred(usable, demand);
        let best: Placement | undefined;
        let bestCost = Infinity;
        for (const upstream of usable) {
            const newTokens = this.countNewTokens(upstream.id, demand, upstream.id === preferred);
            const cost = this.estimateMs(upstream, newTokens, routers, now);
            if (cost < bestCost) {
                best = { upstream, newTokens };
                bestCost = cost;
            }
        }
        return best;
    }

    /** Notes a request that is being sent. */
    recordStart(placement: Placement, demand: RequestDemand): void {
        const load = this.getLoad(placement.upstream.id);
        load.running += 1;
        load.pendingTokens += placement.newTokens;
        for (const part of demand.parts) {
            load.parts.delete(part.id);
            load.parts.add(part.id);
        }
        while (load.parts.size > this.options.maxParts) {
            load.parts.delete(load.parts.values().next().value!);
        }
    }

    /** Notes that the answer of a request has begun, so that its prompt has been read. */
    recordFirstByte(placement: Placement): void {
        this.getLoad(placement.upstream.id).pendingTokens -= placement.newTokens;
    }

    /** Notes that a request has come to its end, of whatever kind. */
    recordEnd(placement: Placement): void {
        this.getLoad(placement.upstream.id).running -= 1;
    }

    /** Notes how a request came out. A connection that could not be made pauses the upstream. */
    recordOutcome(upstream: string, outcome: LoadOutcome, now: number): void {
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

    /** Forgets upstreams that are not known any more. */
    forgetExcept(known: ReadonlySet<string>): void {
        for (const [id, load] of this.loads) {
            if (!known.has(id) && load.running === 0) {
                this.loads.delete(id);
            }
        }
    }

    private estimateMs(upstream: UpstreamRegistration, newTokens: number, routers: number, now: number): number {
        const load = this.getLoad(upstream.id);
        const { promptTokensPerMs, runningCostMs, otherZoneCostMs, failureCostMs } = this.options;
        const { waitWeight, comfortableMs, beyondWeight } = this.options;
        const readMs = newTokens / promptTokensPerMs;
        const waitMs = load.pendingTokens / promptTokensPerMs;
        // The other routers send about as many as this one.
        const slotShare = load.running * routers / Math.max(1, upstream.slots);
        return readMs + waitMs * waitWeight
            + Math.max(0, readMs + waitMs - comfortableMs) * beyondWeight
            + slotShare * runningCostMs
            + this.getFailureShare(load, now) * failureCostMs
            + (upstream.zone === this.zone ? 0 : otherZoneCostMs);
    }

    /**
     * Prompt tokens that an upstream would have to read. The one that hashing prefers probably keeps the parts that are
     * shared, because the other routers send their like there.
     */
    private countNewTokens(upstream: string, demand: RequestDemand, isPreferred: boolean): number {
        const { parts } = this.getLoad(upstream);
        const shared = demand.parts.length - 1;
        let kept = 0;
        for (let i = 0; i < demand.parts.length; i++) {
            const part = demand.parts[i]!;
            if (!parts.has(part.id) && !(isPreferred && i < shared)) {
                break;
            }
            kept += part.tokens;
        }
        return Math.max(0, demand.promptTokens - kept);
    }

    /** The upstream that all routers would prefer for a prompt, by hash of the longest part that it may share. */
    private findPreferred(candidates: readonly UpstreamRegistration[], demand: RequestDemand): string | undefined {
        const shared = demand.parts[Math.max(0, demand.parts.length - 2)];
        return shared === undefined || candidates.length === 0
            ? undefined
            : chooseByRendezvous(shared.id, candidates.map(candidate => candidate.id), 1)[0];
    }

    private getLoad(upstream: string): Load {
        let load = this.loads.get(upstream);
        if (load === undefined) {
            load = {
                running: 0,
                pendingTokens: 0,
                parts: new Set(),
                failureShare: 0,
                failureAt: 0,
                failuresInARow: 0,
                pausedUntil: 0,
            };
            this.loads.set(upstream, load);
        }
        return load;
    }
}

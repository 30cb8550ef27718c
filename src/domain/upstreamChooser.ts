/**
 * Chooses an upstream for a request: of two drawn at random the less loaded, unless one that has the beginning of the
 * prompt in its cache is not much more loaded than that.
 */
import type { Upstream } from "./configView.js";
import { computeHash32 } from "./identifiers.js";

/** What a router knows of one upstream's load. */
export interface UpstreamLoad {
    /** Runs this router has there now. */
    inFlight: number;
    /** Estimated wait its sidecar told last, in milliseconds, and when (monotonic clock). */
    waitMs: number;
    toldAt: number;
    /** Until when it is left out, because calls to it failed (monotonic clock). */
    avoidUntil: number;
    /** Calls in a row that failed. */
    failures: number;
}

/** Times in milliseconds. */
export interface ChooserOptions {
    /** How much longer a wait affinity may cost. */
    readonly affinityBoundMs: number;
    /** After which time a load that was told counts for nothing. */
    readonly loadForgottenMs: number;
    /** Prompts remembered for affinity. */
    readonly prefixesKept: number;
}

export const defaultChooserOptions: ChooserOptions = {
    affinityBoundMs: 150,
    loadForgottenMs: 2_000,
    prefixesKept: 20_000,
};

/** How long an upstream is left out after a failed call, in milliseconds: doubled with each failure in a row. */
const SHORTEST_AVOID_MS = 500;
const LONGEST_AVOID_MS = 8_000;

/** Characters of the prompt's beginning that affinity goes by. */
const PREFIX_LENGTH = 512;

export class UpstreamChooser {
    private readonly loads = new Map<string, UpstreamLoad>();
    private readonly prefixes = new Map<string, string>();

    constructor(
        private readonly random: () => number,
        private readonly options: ChooserOptions = defaultChooserOptions,
    ) {}

    /** Chooses among `candidates`; undefined when none is left. */
    tryChoose(candidates: readonly Upstream[], prompt: string, now: number): Upstream | undefined {
        const usable = candidates.filter(upstream => this.getLoad(upstream.name).avoidUntil <= now);
        const pool = usable.length > 0 ? usable : candidates;
        if (pool.length === 0) {
            return undefined;
        }
        const chosen = this.chooseOfTwo(pool, now);
        const cached = this.tryGetCached(pool, prompt);
        const isWorthIt = cached !== undefined
            && this.estimateWait(cached, now) <= this.estimateWait(chosen, now) + this.options.affinityBoundMs;
        return isWorthIt ? cached : chosen;
    }

    getLoad(upstream: string): UpstreamLoad {
        let load = this.loads.get(upstream);
        if (load === undefined) {
            load = { inFlight: 0, waitMs: 0, toldAt: -Infinity, avoidUntil: -Infinity, failures: 0 };
            this.loads.set(upstream, load);
        }
        return load;
    }

    /** Notes what a sidecar told of its load. */
    recordLoad(upstream: string, waitMs: number, now: number): void {
        const load = this.getLoad(upstream);
        load.waitMs = waitMs;
        load.toldAt = now;
        load.failures = 0;
    }

    /** Leaves an upstream out for a while, longer with each failure in a row. */
    avoid(upstream: string, now: number): void {
        const load = this.getLoad(upstream);
        load.avoidUntil = now + Math.min(LONGEST_AVOID_MS, SHORTEST_AVOID_MS * 2 ** load.failures);
        load.failures += 1;
    }

    /** Notes that an upstream now has the beginning of this prompt in its cache. */
    recordPrompt(upstream: string, prompt: string): void {
        const key = getPrefixKey(prompt);
        this.prefixes.delete(key);
        this.prefixes.set(key, upstream);
        if (this.prefixes.size > this.options.prefixesKept) {
            this.prefixes.delete(this.prefixes.keys().next().value!);
        }
    }

    private chooseOfTwo(pool: readonly Upstream[], now: number): Upstream {
        const first = pool[Math.floor(this.random() * pool.length)]!;
        const second = pool[Math.floor(this.random() * pool.length)]!;
        return this.getScore(second, now) < this.getScore(first, now) ? second : first;
    }

    private tryGetCached(pool: readonly Upstream[], prompt: string): Upstream | undefined {
        const name = this.prefixes.get(getPrefixKey(prompt));
        return name === undefined ? undefined : pool.find(upstream => upstream.name === name);
    }

    private estimateWait(upstream: Upstream, now: number): number {
        const load = this.getLoad(upstream.name);
        const told = now - load.toldAt < this.options.loadForgottenMs ? load.waitMs : 0;
        const overSlots = Math.max(0, load.inFlight - upstream.slots);
        return told + overSlots * 100;
    }

    private getScore(upstream: Upstream, now: number): number {
        return this.estimateWait(upstream, now) + this.getLoad(upstream.name).inFlight / upstream.slots;
    }
}

function getPrefixKey(prompt: string): string {
    return String(computeHash32(prompt.slice(0, PREFIX_LENGTH)));
}

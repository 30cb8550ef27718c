/**
 * Chooses an upstream for a request: the less loaded of two random ones, unless an upstream that probably has the
 * prompt's prefix in its cache has an estimated wait that is only slightly longer.
 */
import type { Upstream } from "./configView.js";
import { computeHash32 } from "./identifiers.js";

/** Load of one upstream, as known to this router. Times are on the monotonic clock. */
export interface LoadEstimate {
    /** Requests of this router that are in progress there. */
    inFlight: number;
    /** Estimated wait that its sidecar last reported, in milliseconds, and when. */
    waitMs: number;
    reportedAt: number;
    /** Until when it is excluded because of failed calls. */
    backoffUntil: number;
    consecutiveFailures: number;
}

/** Times in milliseconds. */
export interface ChooserOptions {
    /** Maximum additional wait for the sake of prefix affinity. */
    readonly maxAffinityWaitMs: number;
    /** Age at which a reported load is ignored. */
    readonly loadExpiryMs: number;
    /** Prompt prefixes that are kept for affinity. */
    readonly maxPrefixes: number;
}

export const defaultChooserOptions: ChooserOptions = {
    maxAffinityWaitMs: 150,
    loadExpiryMs: 2_000,
    maxPrefixes: 20_000,
};

/** How long an upstream is excluded after a failed call, in milliseconds; doubles with each consecutive failure. */
const MIN_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 8_000;

/** Length of the prompt prefix that affinity is based on, in characters. */
const PREFIX_LENGTH = 512;

export class UpstreamChooser {
    private readonly loads = new Map<string, LoadEstimate>();
    private readonly prefixes = new Map<string, string>();

    constructor(
        private readonly random: () => number,
        private readonly options: ChooserOptions = defaultChooserOptions,
    ) {}

    /** Returns undefined if there are no candidates. */
    tryChoose(candidates: readonly Upstream[], prompt: string, now: number): Upstream | undefined {
        const usable = candidates.filter(upstream => this.getLoad(upstream.name).backoffUntil <= now);
        const pool = usable.length > 0 ? usable : candidates;
        if (pool.length === 0) {
            return undefined;
        }
        const chosen = this.chooseLessLoadedOfTwo(pool, now);
        const cached = this.tryGetCached(pool, prompt);
        const isAffinityPreferred = cached !== undefined
            && this.estimateWait(cached, now) <= this.estimateWait(chosen, now) + this.options.maxAffinityWaitMs;
        return isAffinityPreferred ? cached : chosen;
    }

    getLoad(upstream: string): LoadEstimate {
        let load = this.loads.get(upstream);
        if (load === undefined) {
            load = { inFlight: 0, waitMs: 0, reportedAt: -Infinity, backoffUntil: -Infinity, consecutiveFailures: 0 };
            this.loads.set(upstream, load);
        }
        return load;
    }

    /** Records the load that a sidecar reported. */
    recordLoad(upstream: string, waitMs: number, now: number): void {
        const load = this.getLoad(upstream);
        load.waitMs = waitMs;
        load.reportedAt = now;
        load.consecutiveFailures = 0;
    }

    /** Excludes an upstream for a period that doubles with each consecutive failure. */
    startBackoff(upstream: string, now: number): void {
        const load = this.getLoad(upstream);
        load.backoffUntil = now + Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** load.consecutiveFailures);
        load.consecutiveFailures += 1;
    }

    /** Records that an upstream now has the prompt's prefix in its cache. */
    recordPrompt(upstream: string, prompt: string): void {
        const key = getPrefixKey(prompt);
        this.prefixes.delete(key);
        this.prefixes.set(key, upstream);
        if (this.prefixes.size > this.options.maxPrefixes) {
            this.prefixes.delete(this.prefixes.keys().next().value!);
        }
    }

    private chooseLessLoadedOfTwo(pool: readonly Upstream[], now: number): Upstream {
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
        const reportedWaitMs = now - load.reportedAt < this.options.loadExpiryMs ? load.waitMs : 0;
        const excessRequests = Math.max(0, load.inFlight - upstream.slots);
        return reportedWaitMs + excessRequests * 100;
    }

    private getScore(upstream: Upstream, now: number): number {
        return this.estimateWait(upstream, now) + this.getLoad(upstream.name).inFlight / upstream.slots;
    }
}

function getPrefixKey(prompt: string): string {
    return String(computeHash32(prompt.slice(0, PREFIX_LENGTH)));
}

/**
 * Estimates the prefill backlog of one model engine as seen by a router. Prompts are processed sequentially, so each one waits
 * for those queued before it, and prefill also stalls running streams. Times are monotonic, in milliseconds.
 */

/** A prompt in a queue. */
export interface QueuedPrompt {
    readonly tokens: number;
    /** When the prompt was added, and the backlog estimated at that time. */
    readonly addedAt: number;
    readonly estimatedWaitMs: number;
    /** Total number of tokens added to the queue, including this prompt. */
    readonly cumulativeTokens: number;
}

/** Parameters of the prefill speed estimate. */
export interface PrefillSpeedOptions {
    /** Initial estimate, in milliseconds per prompt token. */
    readonly initialMsPerToken: number;
    /** Prompts with fewer tokens are not sampled: network latency and engine step time dominate. */
    readonly minSampleTokens: number;
    /** Smoothing factor of the moving average. */
    readonly smoothingFactor: number;
}

/**
 * Caps a sample as a multiple of the current estimate. Without a cap, one stall would make an engine look so slow that it is
 * no longer chosen, and the estimate would never be corrected.
 */
const MAX_SAMPLE_FACTOR = 3;

/** Estimates the prefill time per token, from prompts that were queued while the engine had no known backlog. */
export class PrefillSpeed {
    constructor(private readonly options: PrefillSpeedOptions, private estimate = options.initialMsPerToken) {}

    get msPerToken(): number {
        return this.estimate;
    }

    /** Adds a sample of a prompt that had no known backlog before it. */
    addSample(tokens: number, ms: number): void {
        if (tokens >= this.options.minSampleTokens) {
            const sample = Math.min(ms / tokens, this.estimate * MAX_SAMPLE_FACTOR);
            this.estimate += (sample - this.estimate) * this.options.smoothingFactor;
        }
    }
}

/** Prompts queued at one engine, including those reported by other routers. */
export class PrefillQueue {
    /** Estimated time at which all known prompts are processed. */
    private prefillEndsAt = 0;
    private cumulativeTokens = 0;
    /** Tokens of prompts sent by this router whose answers have not started. */
    private pendingTokens = 0;

    constructor(private readonly speed: PrefillSpeed) {}

    /** Estimated time to process the queued prompts, in milliseconds. */
    getBacklogMs(now: number): number {
        // Unanswered prompts of this router are pending even if their estimated time has passed.
        return Math.max(this.prefillEndsAt - now, this.pendingTokens * this.speed.msPerToken, 0);
    }

    /** Adds a prompt that this router sent. */
    add(tokens: number, now: number): QueuedPrompt {
        const estimatedWaitMs = this.getBacklogMs(now);
        this.addRemote(tokens, now);
        this.pendingTokens += tokens;
        return { tokens, addedAt: now, estimatedWaitMs, cumulativeTokens: this.cumulativeTokens };
    }

    /** Adds a prompt that another router sent. */
    addRemote(tokens: number, now: number): void {
        this.prefillEndsAt = Math.max(now, this.prefillEndsAt) + tokens * this.speed.msPerToken;
        this.cumulativeTokens += tokens;
    }

    /** Records that the answer to a prompt started, which implies that all earlier prompts have been processed. */
    recordAnswerStart(prompt: QueuedPrompt, now: number): void {
        this.pendingTokens -= prompt.tokens;
        const tokensAfter = this.cumulativeTokens - prompt.cumulativeTokens;
        this.prefillEndsAt = Math.min(this.prefillEndsAt, now + tokensAfter * this.speed.msPerToken);
        if (prompt.estimatedWaitMs === 0) {
            this.speed.addSample(prompt.tokens, now - prompt.addedAt);
        }
    }

    /** Records that a prompt ended without an answer and is no longer pending. */
    recordDropped(prompt: QueuedPrompt): void {
        this.pendingTokens -= prompt.tokens;
    }
}

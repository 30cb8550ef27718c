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
    /** The backlog in tokens. */
    readonly tokensAhead: number;
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

    /** Whether a sample of so many tokens is used. */
    canSample(tokens: number): boolean {
        return tokens >= this.options.minSampleTokens;
    }

    /** Adds a sample of a prompt that had no known backlog before it, or of several that were processed without a pause. */
    addSample(tokens: number, ms: number): void {
        if (this.canSample(tokens)) {
            const sample = Math.min(ms / tokens, this.estimate * MAX_SAMPLE_FACTOR);
            this.estimate += (sample - this.estimate) * this.options.smoothingFactor;
        }
    }
}

/** Delay of an answer that network latency and a lagging event loop explain, in milliseconds. */
const MAX_IGNORED_DELAY_MS = 50;

/** Prompts queued at one engine, including those reported by other routers. */
export class PrefillQueue {
    /** Estimated time at which all known prompts are processed. */
    private prefillEndsAt = 0;
    private cumulativeTokens = 0;
    /** Tokens of prompts sent by this router whose answers have not started. */
    private pendingTokens = 0;

    /** When the latest answer started. */
    private lastAnswerAt = -Infinity;
    /** Whether the speed was sampled from two answers, which says more than the wait of one. */
    private hasThroughput = false;
    /** An earlier answer since which the engine has been busy, and the tokens that it had processed by then. */
    private busySince: { readonly at: number; readonly cumulativeTokens: number; } | undefined;

    /**
     * `isFollowingAnswers`: whether answers that start later than expected lengthen the backlog, and the speed is also learned
     * while there is one. Otherwise a busy engine that is slower than estimated seems to have less and less to do.
     */
    constructor(private readonly speed: PrefillSpeed, private readonly isFollowingAnswers = false) {}

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
        const tokensAhead = estimatedWaitMs / this.speed.msPerToken;
        return { tokens, addedAt: now, estimatedWaitMs, tokensAhead, cumulativeTokens: this.cumulativeTokens };
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
        const backlogEndsAt = now + tokensAfter * this.speed.msPerToken;
        this.prefillEndsAt = this.isFollowingAnswers && this.isLate(prompt, now)
            ? Math.max(this.prefillEndsAt, backlogEndsAt)
            : Math.min(this.prefillEndsAt, backlogEndsAt);
        if (this.isFollowingAnswers) {
            this.recordThroughput(prompt, now);
        }
        if (prompt.estimatedWaitMs === 0) {
            this.speed.addSample(prompt.tokens, now - prompt.addedAt);
        }
    }

    private isLate({ addedAt, estimatedWaitMs, tokens }: QueuedPrompt, now: number): boolean {
        return now > addedAt + estimatedWaitMs + tokens * this.speed.msPerToken + MAX_IGNORED_DELAY_MS;
    }

    /**
     * Samples the speed while there is a backlog: from two answers between which the engine was busy, as the second prompt was
     * waiting when the first answer started, or until there are such from the wait for the tokens ahead.
     */
    private recordThroughput(prompt: QueuedPrompt, now: number): void {
        const { addedAt, estimatedWaitMs, tokens, tokensAhead, cumulativeTokens } = prompt;
        const { busySince } = this;
        const wasBusy = addedAt < this.lastAnswerAt;
        this.lastAnswerAt = now;
        if (!wasBusy || busySince === undefined) {
            this.busySince = { at: now, cumulativeTokens };
            if (estimatedWaitMs > 0 && !this.hasThroughput) {
                this.speed.addSample(tokensAhead + tokens, now - addedAt);
            }
        }
        else if (this.speed.canSample(cumulativeTokens - busySince.cumulativeTokens)) {
            this.speed.addSample(cumulativeTokens - busySince.cumulativeTokens, now - busySince.at);
            this.busySince = { at: now, cumulativeTokens };
            this.hasThroughput = true;
        }
    }

    /** Records that a prompt ended without an answer and is no longer pending. */
    recordDropped(prompt: QueuedPrompt): void {
        this.pendingTokens -= prompt.tokens;
    }
}

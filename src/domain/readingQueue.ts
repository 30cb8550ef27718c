/**
 * What one model engine has to read, as far as a router knows: prompts are read one after the other, so each one waits
 * for those before it, and every stream beside them waits too. Times are on the router's monotonic clock, milliseconds.
 */

/** A prompt that has been added to a queue. */
export interface QueuedPrompt {
    readonly tokens: number;
    /** When it was added, and how long what was before it was thought to take. */
    readonly addedAt: number;
    readonly waitedMs: number;
    /** All tokens ever added, up to this prompt. */
    readonly through: number;
}

/** How the reading speed is learned. */
export interface ReadingSpeedOptions {
    /** Milliseconds a prompt token before anything was observed. */
    readonly assumedMsPerToken: number;
    /** Least prompt that tells of the speed, in tokens: below it the way there and back and the step count for more. */
    readonly leastTokens: number;
    /** Part by which one observation moves the estimate. */
    readonly weight: number;
}

/**
 * What one observation may be above the estimate at the most: an engine that stood still once is not slow, and one that is
 * taken for far slower than it is would not be asked again and could not show otherwise.
 */
const MOST_SAMPLE_FACTOR = 3;

/** How long an engine takes for a token of a prompt, learned from prompts that had nothing before them. */
export class ReadingSpeed {
    constructor(private readonly options: ReadingSpeedOptions, private current = options.assumedMsPerToken) {}

    get msPerToken(): number {
        return this.current;
    }

    /** Takes how long a prompt took that nothing was known to be before. */
    observe(tokens: number, ms: number): void {
        if (tokens >= this.options.leastTokens) {
            const sample = Math.min(ms / tokens, this.current * MOST_SAMPLE_FACTOR);
            this.current += (sample - this.current) * this.options.weight;
        }
    }
}

/** The prompts of one engine, those of other routers included as far as they tell. */
export class ReadingQueue {
    /** When everything that is known of will have been read. */
    private readUntil = 0;
    private through = 0;
    /** Own prompts whose answers have not begun. */
    private pendingTokens = 0;

    constructor(private readonly speed: ReadingSpeed) {}

    /** How long the engine will read on from `now` with nothing added. */
    getBacklogMs(now: number): number {
        // Own prompts are known to be unread, however long the engine was thought to take for them.
        return Math.max(this.readUntil - now, this.pendingTokens * this.speed.msPerToken, 0);
    }

    /** Adds a prompt of this router's. */
    add(tokens: number, now: number): QueuedPrompt {
        const waitedMs = this.getBacklogMs(now);
        this.addOther(tokens, now);
        this.pendingTokens += tokens;
        return { tokens, addedAt: now, waitedMs, through: this.through };
    }

    /** Adds a prompt that another router has sent. */
    addOther(tokens: number, now: number): void {
        this.readUntil = Math.max(now, this.readUntil) + tokens * this.speed.msPerToken;
        this.through += tokens;
    }

    /** Takes that the answer to a prompt has begun: what was added before it has been read too. */
    recordRead(prompt: QueuedPrompt, now: number): void {
        this.pendingTokens -= prompt.tokens;
        const after = this.through - prompt.through;
        this.readUntil = Math.min(this.readUntil, now + after * this.speed.msPerToken);
        if (prompt.waitedMs === 0) {
            this.speed.observe(prompt.tokens, now - prompt.addedAt);
        }
    }

    /** Takes that a prompt ended without an answer: it is not waited for any more. */
    recordDropped(prompt: QueuedPrompt): void {
        this.pendingTokens -= prompt.tokens;
    }
}

/**
 * Which part of an engine's backlog a request has to wait for: engines process more urgent prompts first. Times are monotonic, in
 * milliseconds.
 */

/** Least urgent priority of a request at an engine; 0 is the most urgent. */
export const LOWEST_PRIORITY = 9;

/** Prompt tokens that are pending, by priority; drained in this order at the engine's speed. */
export class PriorityBacklog {
    private readonly tokens = new Float64Array(LOWEST_PRIORITY + 1);
    private drainedAt = 0;

    add(tokens: number, priority: number, msPerToken: number, now: number): void {
        this.drain(msPerToken, now);
        this.tokens[Math.min(LOWEST_PRIORITY, priority)]! += tokens;
    }

    /** Returns the fraction of the pending tokens that is at least as urgent; 1 if none is known. */
    getUrgentFraction(priority: number, msPerToken: number, now: number): number {
        this.drain(msPerToken, now);
        let urgent = 0;
        let all = 0;
        for (let i = 0; i <= LOWEST_PRIORITY; i++) {
            all += this.tokens[i]!;
            urgent += i <= priority ? this.tokens[i]! : 0;
        }
        return all > 0 ? urgent / all : 1;
    }

    private drain(msPerToken: number, now: number): void {
        let processed = (now - this.drainedAt) / msPerToken;
        this.drainedAt = now;
        for (let i = 0; i <= LOWEST_PRIORITY && processed > 0; i++) {
            const drained = Math.min(processed, this.tokens[i]!);
            this.tokens[i]! -= drained;
            processed -= drained;
        }
    }
}

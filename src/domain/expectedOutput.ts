/** Learns how many of the output tokens that callers allow the answers of each route contain. */

/** Weight of one answer in the estimate. */
const SMOOTHING_FACTOR = 0.05;
/** Routes tracked; the one learned first is forgotten. Configurations have up to a few thousand routes. */
const MAX_ROUTES = 5_000;

export class ExpectedOutput {
    private readonly fractions = new Map<string, number>();

    /** Records a complete answer. */
    record(route: string, maxOutputTokens: number, outputTokens: number): void {
        if (maxOutputTokens <= 0) {
            return;
        }
        const sample = Math.min(1, outputTokens / maxOutputTokens);
        const known = this.fractions.get(route);
        if (known === undefined && this.fractions.size >= MAX_ROUTES) {
            this.fractions.delete(this.fractions.keys().next().value!);
        }
        this.fractions.set(route, known === undefined ? sample : known + (sample - known) * SMOOTHING_FACTOR);
    }

    /** Returns the expected number of output tokens; the maximum for a route without answers. */
    getTokens(route: string, maxOutputTokens: number): number {
        return Math.round(maxOutputTokens * (this.fractions.get(route) ?? 1));
    }
}

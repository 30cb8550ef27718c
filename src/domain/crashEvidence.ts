/**
 * What counts against a set of attributes when an upstream ends. Finding a culprit, keeping it and convicting it again all rest on
 * this definition.
 */

/** A request that was interrupted when its upstream ended. */
export interface InterruptedRun {
    /** The first one identifies the content, see requestAttributes.ts. */
    readonly attributes: readonly string[];
    /** How long its answer had run, in milliseconds; undefined if it had not begun. */
    readonly answerMs: number | undefined;
}

/** An upstream incarnation that ended. */
export interface EndReference {
    readonly life: string;
    /** Shared by all ends that are attributed to one cause. */
    readonly moment: number;
}

/** An upstream incarnation that ended, and what it interrupted. */
export interface UpstreamEnd extends EndReference {
    readonly runs: readonly InterruptedRun[];
}

/** How an end counts against a set of attributes. */
export interface Evidence<E extends UpstreamEnd = UpstreamEnd> {
    readonly end: E;
    /** Of the requests with all the attributes, the one whose answer had run for the longest time. */
    readonly oldest: InterruptedRun;
    /** Number of requests of different content with the attributes whose answers had begun, or of all if none had. */
    readonly contentCount: number;
}

/** Duration of an answer after which its request cannot have been the cause of the end, in milliseconds. */
export const SURVIVAL_MS = 3_000;
/** Duration of an answer that halves the weight of its interruption, in milliseconds. */
const HALF_WEIGHT_MS = 500;
/** Weight of a request whose answer had not begun. Plain services send no part of an answer before its end. */
const UNBEGUN_WEIGHT = 0.5;

/**
 * Returns how an end counts against requests with all the attributes; undefined if none was there, or if one had survived.
 */
export function tryGetEvidence<E extends UpstreamEnd>(end: E, attributes: readonly string[]): Evidence<E> | undefined {
    return tryCreateEvidence(end, end.runs.filter(run => isSubset(attributes, run.attributes)));
}

/** Lists how an end counts against each single attribute that was present; undefined if it does not. */
export function listEvidenceAt<E extends UpstreamEnd>(end: E): Map<string, Evidence<E> | undefined> {
    const runsByAttribute = new Map<string, InterruptedRun[]>();
    for (const run of end.runs) {
        for (const attribute of run.attributes) {
            const runs = runsByAttribute.get(attribute);
            if (runs === undefined) {
                runsByAttribute.set(attribute, [run]);
            }
            else {
                runs.push(run);
            }
        }
    }
    return new Map([...runsByAttribute].map(([attribute, runs]) => [attribute, tryCreateEvidence(end, runs)]));
}

function tryCreateEvidence<E extends UpstreamEnd>(end: E, runs: readonly InterruptedRun[]): Evidence<E> | undefined {
    if (runs.length === 0 || runs.some(({ answerMs }) => answerMs !== undefined && answerMs >= SURVIVAL_MS)) {
        return undefined;
    }
    const begun = runs.filter(({ answerMs }) => answerMs !== undefined);
    const contents = new Set((begun.length > 0 ? begun : runs).map(({ attributes }) => attributes[0]));
    const oldest = runs.reduce((previous, run) => isOlder(run, previous) ? run : previous);
    return { end, oldest, contentCount: contents.size };
}

function isOlder(run: InterruptedRun, other: InterruptedRun): boolean {
    return (run.answerMs ?? -1) > (other.answerMs ?? -1);
}

/** Computes the strength of evidence that counts for `moments` moments. What crashes an upstream usually does so soon after its answer has begun. */
export function computeScore(moments: number, evidence: readonly Evidence[]): number {
    const weights = evidence.map(({ oldest: { answerMs } }) =>
        answerMs === undefined ? UNBEGUN_WEIGHT : 1 / (1 + answerMs / HALF_WEIGHT_MS)
    );
    const sum = weights.reduce((total, weight) => total + weight, 0);
    return weights.length === 0 ? 0 : moments * sum / weights.length;
}

/** Returns the number of ends of each moment. */
export function countEndsByMoment(ends: Iterable<EndReference>): Map<number, number> {
    const counts = new Map<number, number>();
    for (const { moment } of ends) {
        counts.set(moment, (counts.get(moment) ?? 0) + 1);
    }
    return counts;
}

/** Counts the moments of the ends, each as the fraction of its ends that are among them. */
export function countMoments(ends: readonly EndReference[], endCounts: ReadonlyMap<number, number>): number {
    return ends.reduce((sum, { moment }) => sum + 1 / (endCounts.get(moment) ?? 1), 0);
}

/** Whether all attributes are among the others. */
export function isSubset(attributes: readonly string[], others: readonly string[]): boolean {
    return attributes.every(attribute => others.includes(attribute));
}

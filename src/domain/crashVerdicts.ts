/**
 * The culprits that were found, and for how long each remains one. Only a request that survives with one of its attributes, or time,
 * lifts a culprit; another end never does, whatever else it shows. A culprit whose ends have expired remains known, so that one more
 * end blocks it again.
 *
 * Changes with log entries only, so every replica has the same culprits.
 */
import { countMoments, type EndReference, type Evidence, isSubset, type UpstreamEnd } from "./crashEvidence.js";
import { formatKey, type FoundSuspect, isRouteWide } from "./crashSuspects.js";
import { isContentAttribute } from "./requestAttributes.js";
import type { ClearedAttribute } from "./upstreamEndCommands.js";

/**
 * Why requests with the attributes of a culprit are no longer blocked. `replaced`: a culprit with fewer attributes blocks them;
 * `evicted`: more culprits are known than are retained.
 */
export type LiftReason = "survivor" | "expired" | "replaced" | "evicted";

/** A culprit whose requests may run again. */
export interface LiftedCulprit {
    readonly attributes: readonly string[];
    readonly reason: LiftReason;
    /** Log index of the entry that lifted it. */
    readonly index: number;
    /** What lifted it: the attributes that were cleared, or those of the culprit that replaces it. */
    readonly by: readonly string[];
}

/** An end that counts against a culprit. */
export interface CountedEnd extends EndReference {
    /** Log index of the entry that first recorded the end. */
    readonly index: number;
    /** The attributes of the culprit that no later survivor had. */
    readonly attributes: readonly string[];
}

export interface CrashVerdict {
    /** In alphabetical order. */
    readonly attributes: readonly string[];
    /** In recording order. Empty if they have expired: the culprit is known and not blocked. */
    readonly ends: readonly CountedEnd[];
    /** Log index of the last end, also if it has expired. */
    readonly lastIndex: number;
    /** See `CrashSuspect`. */
    readonly score: number;
}

export type IndexedEnd = UpstreamEnd & { readonly index: number; };

/** The oldest ones give way. */
const MAX_VERDICTS = 64;
const MAX_ENDS_PER_VERDICT = 8;
/** Lifted culprits that nobody has taken yet; the oldest are evicted. */
const MAX_LIFTED = 256;

export class CrashVerdicts {
    private verdicts: readonly CrashVerdict[] = [];
    private lifted: readonly LiftedCulprit[] = [];

    list(): readonly CrashVerdict[] {
        return this.verdicts;
    }

    load(verdicts: readonly CrashVerdict[]): void {
        this.verdicts = verdicts;
        this.lifted = [];
    }

    /** Returns the culprits that were lifted since the last call, oldest first. */
    takeLifted(): readonly LiftedCulprit[] {
        const taken = this.lifted;
        this.lifted = [];
        return taken;
    }

    /** Whether a survivor with the attribute after the end with log index `upTo` changes a verdict. */
    canClear(attribute: string, upTo: number): boolean {
        return this.verdicts.some(({ attributes, ends, lastIndex }) =>
            attributes.includes(attribute)
            && (lastIndex <= upTo || ends.some(end => end.index <= upTo && end.attributes.includes(attribute)))
        );
    }

    /** Applies what survivors show. `index`: of the log entry. */
    applySurvivors(cleared: readonly ClearedAttribute[], endCounts: ReadonlyMap<number, number>, index: number): void {
        this.verdicts = this.verdicts.flatMap(verdict => {
            const relevant = cleared.filter(({ attribute }) => verdict.attributes.includes(attribute));
            const kept = relevant.length === 0 ? verdict : tryNarrowVerdict(verdict, relevant, endCounts);
            if (kept === undefined) {
                this.recordLifted(verdict, "survivor", index, relevant.map(({ attribute }) => attribute));
                return [];
            }
            if (kept.attributes.length < verdict.attributes.length) {
                this.recordLifted(verdict, "replaced", index, kept.attributes);
            }
            return [kept];
        });
        this.removeReplaced(index);
    }

    /** Expires the ends recorded up to the log index `upTo`. */
    applyExpiry(upTo: number, index: number): void {
        this.verdicts = this.verdicts.map(verdict => {
            const ends = verdict.ends.filter(end => end.index > upTo);
            if (ends.length === 0) {
                this.recordLifted(verdict, "expired", index, []);
            }
            return { ...verdict, ends };
        }).filter(({ attributes, ends }) => ends.length > 0 || !isRouteWide(attributes));
    }

    /**
     * Applies what `findCrashSuspects` found in the recorded ends. `listEvidence`: returns how they count against requests with all
     * of some attributes, oldest first. Returns whether there are other verdicts now.
     */
    applySuspects(
        suspects: readonly FoundSuspect<IndexedEnd>[],
        listEvidence: (attributes: readonly string[]) => readonly Evidence<IndexedEnd>[],
        index: number,
    ): boolean {
        const remaining = new Map(suspects.map(suspect => [formatKey(suspect.attributes), suspect]));
        const confirmed = this.verdicts.map(verdict => {
            const key = formatKey(verdict.attributes);
            const suspect = remaining.get(key)!;
            remaining.delete(key);
            return confirmVerdict(verdict, listEvidence(verdict.attributes), suspect);
        });
        const added = [...remaining.values()].filter(({ isCulprit }) => isCulprit);
        this.verdicts = [...confirmed, ...added.map(createVerdict)];
        this.removeReplaced(index);
        this.evictOldest(index);
        return added.length > 0 || this.verdicts.length < confirmed.length;
    }

    /** Removes the culprits of which another one has a part of the attributes, so that it blocks the same requests, and copies. */
    private removeReplaced(index: number): void {
        const kept: CrashVerdict[] = [];
        this.verdicts.forEach((verdict, i) => {
            const replacement = this.verdicts.find((other, j) => i !== j && isReplacedBy(verdict, other, j < i));
            if (replacement === undefined) {
                kept.push(verdict);
            }
            else {
                this.recordLifted(verdict, "replaced", index, replacement.attributes);
            }
        });
        this.verdicts = kept;
    }

    private evictOldest(index: number): void {
        if (this.verdicts.length <= MAX_VERDICTS) {
            return;
        }
        const byAge = [...this.verdicts].sort((a, b) => a.lastIndex - b.lastIndex);
        const evicted = new Set(byAge.slice(0, byAge.length - MAX_VERDICTS));
        evicted.forEach(verdict => this.recordLifted(verdict, "evicted", index, []));
        this.verdicts = this.verdicts.filter(verdict => !evicted.has(verdict));
    }

    private recordLifted(verdict: CrashVerdict, reason: LiftReason, index: number, by: readonly string[]): void {
        if (verdict.ends.length > 0) {
            this.lifted = [...this.lifted, { attributes: verdict.attributes, reason, index, by }].slice(-MAX_LIFTED);
        }
    }
}

function createVerdict({ attributes, ends, unexplainedScore: score }: FoundSuspect<IndexedEnd>): CrashVerdict {
    const counted = ends.map(end => createCountedEnd(end, attributes)).slice(-MAX_ENDS_PER_VERDICT);
    return { attributes, ends: counted, lastIndex: getLastIndex(counted), score };
}

function createCountedEnd({ life, moment, index }: IndexedEnd, attributes: readonly string[]): CountedEnd {
    return { life, moment, index, attributes };
}

function getLastIndex(ends: readonly CountedEnd[]): number {
    return Math.max(...ends.map(({ index }) => index));
}

/** Adds later ends. A known culprit that is not blocked needs one that nothing else explains. */
function confirmVerdict(
    verdict: CrashVerdict,
    evidence: readonly Evidence<IndexedEnd>[],
    suspect: FoundSuspect<IndexedEnd>,
): CrashVerdict {
    if (evidence.length === 0) {
        return verdict;
    }
    if (verdict.ends.length === 0) {
        return suspect.unexplainedScore > 0 ? createVerdict(suspect) : verdict;
    }
    const later = evidence.map(({ end }) => end).filter(({ index }) => index > verdict.lastIndex);
    const ends = [...verdict.ends, ...later.map(end => createCountedEnd(end, verdict.attributes))];
    const isComplete = evidence.length >= verdict.ends.length;
    const score = isComplete || suspect.unexplainedScore === 0
        ? suspect.unexplainedScore
        : Math.max(verdict.score, suspect.unexplainedScore);
    return { ...verdict, ends: ends.slice(-MAX_ENDS_PER_VERDICT), lastIndex: getLastIndex(ends), score };
}

/** Returns what remains of a verdict after survivors with some of its attributes; undefined if it is lifted. */
function tryNarrowVerdict(
    verdict: CrashVerdict,
    cleared: readonly ClearedAttribute[],
    endCounts: ReadonlyMap<number, number>,
): CrashVerdict | undefined {
    const isCleared = (attribute: string, index: number): boolean =>
        cleared.some(other => other.attribute === attribute && other.upTo >= index);
    if (verdict.ends.length === 0) {
        const attributes = verdict.attributes.filter(attribute => !isCleared(attribute, verdict.lastIndex));
        return canNarrow(verdict.attributes, attributes) ? { ...verdict, attributes } : undefined;
    }
    if (
        isRouteWide(verdict.attributes) && verdict.ends.some(({ index }) => cleared.some(({ upTo }) => upTo >= index))
    ) {
        return undefined;
    }
    const ends = verdict.ends.map(end => ({
        ...end,
        attributes: end.attributes.filter(attribute => !isCleared(attribute, end.index)),
    })).filter(end => end.attributes.length > 0);
    // What caused all of these ends was present at each of them.
    const attributes = verdict.attributes.filter(attribute => ends.every(end => end.attributes.includes(attribute)));
    if (ends.length === 0 || !canNarrow(verdict.attributes, attributes)) {
        return undefined;
    }
    const score = verdict.score * countMoments(ends, endCounts) / countMoments(verdict.ends, endCounts);
    return { ...verdict, attributes, ends, score };
}

/** Whether what remains identifies as few requests: a single request, or less than a route. */
function canNarrow(attributes: readonly string[], remaining: readonly string[]): boolean {
    if (remaining.length === attributes.length) {
        return true;
    }
    return remaining.length > 0 && !isRouteWide(remaining)
        && (!attributes.some(isContentAttribute) || remaining.some(isContentAttribute));
}

/** `isEarlier`: whether `other` comes first, which decides between equal ones. */
function isReplacedBy(verdict: CrashVerdict, other: CrashVerdict, isEarlier: boolean): boolean {
    if (!isSubset(other.attributes, verdict.attributes)) {
        return false;
    }
    const isOtherBlocked = other.ends.length > 0;
    if (other.attributes.length < verdict.attributes.length) {
        return isOtherBlocked;
    }
    return isOtherBlocked === verdict.ends.length > 0 ? isEarlier : isOtherBlocked;
}

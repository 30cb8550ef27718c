/**
 * Finds what the requests that crash upstreams have in common: a whole request that is retried under new ids, or an attribute
 * such as a part of the prompt that requests of different content share.
 *
 * A crash interrupts every request in flight at the upstream, so an attribute is judged by how many distinct moments it was
 * present at. Upstreams that end at the same moment are assumed to have one cause, so a moment counts for an attribute by the
 * fraction of the upstreams ending then at which it was present. Without this rule, an innocent request was taken for the culprit
 * where a quarter of all upstreams ended together every 2.5 s. Ends that a higher ranked culprit explains do not count against
 * others.
 *
 * What tells an innocent attribute from a culprit is that requests with it survive: an answer that is complete, or has run for
 * `SURVIVAL_MS`, clears the attributes of its request (see `clearAttributes`). Attributes that the same requests had at the same
 * ends are indistinguishable. They are one suspect, and only requests that have all of them are blocked, until a request that
 * has some of them survives or is interrupted.
 *
 * Depends only on the recorded ends and the known culprits, so every replica computes the same result. What counts against an
 * attribute is defined in crashEvidence.ts, and for how long a culprit remains one in crashVerdicts.ts.
 */

import {
    computeScore,
    countMoments,
    type EndReference,
    type Evidence,
    type InterruptedRun,
    isSubset,
    listEvidenceAt,
    type UpstreamEnd,
} from "./crashEvidence.js";
import { isContentAttribute, isRouteAttribute } from "./requestAttributes.js";

/** Attributes that were present at several moments and that cannot be told apart. */
export interface CrashSuspect<E extends EndReference = EndReference> {
    /** In alphabetical order. */
    readonly attributes: readonly string[];
    /** Whether the attributes together are considered the cause of the ends. */
    readonly isCulprit: boolean;
    /**
     * Whether no request of the same route has survived since, so that the upstreams may be failing whatever they run. The
     * suspect is blocked only for a short time then.
     */
    readonly isProvisional: boolean;
    /** The ends that count against the attributes, in recording order. */
    readonly ends: readonly E[];
    /**
     * Strength of the evidence: number of moments, weighted by how soon after the beginning of an answer they came. Of a culprit
     * without those that another one explains.
     */
    readonly score: number;
}

/** A suspect as the recorded ends show it. */
export interface FoundSuspect<E extends EndReference = EndReference> extends CrashSuspect<E> {
    /** Strength of the evidence that no other culprit explains; 0 if the suspect is none. */
    readonly unexplainedScore: number;
}

/** Moments from which an attribute is tracked, so that a survivor can clear it before it becomes a culprit. */
export const MIN_SUSPECT_MOMENTS = 2;
/**
 * Moments from which an attribute is a culprit. A lower threshold refuses innocent requests where upstreams fail for unrelated
 * reasons, which is worse than a few more crashes. With 2, about 0.1 % of the innocent requests are refused if one
 * of eight upstreams ends every 2 s, and none with 3; a poison request ends 4.9 upstreams with 2 and 5.8 with 3.
 */
export const MIN_CULPRIT_MOMENTS = 3;
/** Threshold while another candidate of the same rank shares an end: one more end may tell them apart. */
const MIN_TIED_CULPRIT_MOMENTS = 4;
/** Threshold for crowded suspects: what ends an upstream as its answer begins is seldom part of many answers there. */
const MIN_CROWDED_CULPRIT_MOMENTS = 5;
/** Threshold while no other request of the route has survived. */
const MIN_PROVISIONAL_CULPRIT_MOMENTS = 8;
/** A suspect is crowded if more requests of different content than this count at an end on average. */
const MAX_UNCROWDED_CONTENTS = 2;
/** Block of a culprit all of whose ends another one explains: time in which a further end may tell them apart. */
const EXPLAINED_BLOCK_MS = 3_000;
const MIN_BLOCK_MS = 30_000;
const MAX_BLOCK_MS = 1_800_000;
/** A score up to this one blocks for `MIN_BLOCK_MS`, and each point more for so many times longer. */
const MIN_BLOCK_SCORE = 2.5;
const BLOCK_GROWTH_FACTOR = 6;
/** Candidates of one rank are told apart if their scores differ by more than this factor. */
const MIN_SCORE_RATIO = 1.5;
/** A culprit that was found before. */
export interface KnownCulprit<E extends UpstreamEnd = UpstreamEnd> {
    /** In alphabetical order. */
    readonly attributes: readonly string[];
    /** How the recorded ends count against requests with all the attributes. */
    readonly evidence: readonly Evidence<E>[];
}

type Scored = Pick<CrashSuspect, "attributes" | "score">;

interface Candidate<E extends UpstreamEnd> {
    readonly attributes: readonly string[];
    readonly ends: readonly E[];
    readonly isCrowded: boolean;
    readonly isProvisional: boolean;
    /** Whether the attributes were those of a culprit before. */
    readonly isKnown: boolean;
    readonly moments: number;
    /** Equal for candidates that the number of ends and of begun answers does not tell apart. */
    readonly rank: number;
    /** Moments, weighted by how soon after the beginning of an answer the upstream ended. */
    readonly score: number;
}

/**
 * Returns the known culprits, and the suspects that count for at least `MIN_SUSPECT_MOMENTS` moments, highest rank first. One end
 * that nothing else explains is enough for a known culprit. `evidence`: by attribute.
 */
export function findCrashSuspects<E extends UpstreamEnd>(
    evidence: ReadonlyMap<string, readonly Evidence<E>[]>,
    endCounts: ReadonlyMap<number, number>,
    knownCulprits: readonly KnownCulprit<E>[] = [],
): FoundSuspect<E>[] {
    const knownKeys = new Set(knownCulprits.map(({ attributes }) => formatKey(attributes)));
    const known = knownCulprits.map(culprit => createCandidate(culprit.attributes, culprit.evidence, endCounts, true));
    const others = groupIndistinguishable(evidence, endCounts).filter(({ attributes }) =>
        !knownKeys.has(formatKey(attributes))
    );
    const candidates = [...known, ...others].sort(compareByScore);
    const culprits = selectCulprits(candidates, endCounts);
    return candidates.map(candidate => createSuspect(candidate, culprits.get(candidate), endCounts));
}

/** Sorts by descending score; equal ones by their attributes, so that the order does not depend on that of the reports. */
export function compareByScore(a: Scored, b: Scored): number {
    return b.score - a.score || (formatKey(a.attributes) < formatKey(b.attributes) ? -1 : 1);
}

/** `unexplained`: of a culprit, its ends that no other explains. */
function createSuspect<E extends UpstreamEnd>(
    { attributes, isProvisional, ends, score }: Candidate<E>,
    unexplained: readonly E[] | undefined,
    endCounts: ReadonlyMap<number, number>,
): FoundSuspect<E> {
    const unexplainedFraction = unexplained === undefined
        ? 0
        : countMoments(unexplained, endCounts) / countMoments(ends, endCounts);
    return {
        attributes,
        isCulprit: unexplained !== undefined,
        isProvisional,
        ends,
        score,
        unexplainedScore: score * unexplainedFraction,
    };
}

/**
 * Returns for how long after its last end a culprit is blocked before requests may show again whether it is one, in
 * milliseconds. Grows with the evidence, so that an innocent attribute is blocked for seconds; a single content blocks nothing
 * else.
 */
export function computeBlockMs(
    { attributes, score, isProvisional }: Pick<CrashSuspect, "attributes" | "score" | "isProvisional">,
): number {
    if (score === 0) {
        return EXPLAINED_BLOCK_MS;
    }
    if (attributes.some(isContentAttribute)) {
        return MAX_BLOCK_MS;
    }
    const growth = BLOCK_GROWTH_FACTOR ** Math.max(0, score - MIN_BLOCK_SCORE);
    return isProvisional ? MIN_BLOCK_MS : Math.min(MAX_BLOCK_MS, MIN_BLOCK_MS * growth);
}

/**
 * Selects the culprits among candidates that are sorted by score. Returns the ends of each that no higher ranked one explains. Ends
 * that a culprit explains still count for a candidate with fewer attributes that explains others as well.
 */
function selectCulprits<E extends UpstreamEnd>(
    candidates: readonly Candidate<E>[],
    endCounts: ReadonlyMap<number, number>,
): Map<Candidate<E>, readonly E[]> {
    const culprits = new Map<Candidate<E>, readonly E[]>();
    const explainedBy = new Map<string, Candidate<E>[]>();
    const known = candidates.filter(({ isKnown }) => isKnown);
    const isExplained = (end: E, candidate: Candidate<E>): boolean =>
        explainedBy.get(end.life)?.some(culprit =>
                !explainsMore(candidate, culprit) && !(culprit.isKnown && supersedes(candidate, culprit))
            ) === true
        || (!candidate.isKnown && known.some(culprit => explainsFirst(culprit, candidate, end)));
    for (const group of groupByRank(candidates)) {
        const unexplained = group.map(candidate => ({
            candidate,
            ends: candidate.ends.filter(end => !isExplained(end, candidate)),
        }));
        const plausible = unexplained.filter(({ candidate, ends }) =>
            candidate.isKnown
                ? ends.length > 0
                : countMoments(ends, endCounts) >= getThreshold(candidate)
        );
        const newCulprits = plausible.filter(({ candidate, ends }) =>
            candidate.isKnown || countMoments(ends, endCounts) >= MIN_TIED_CULPRIT_MOMENTS
            || !plausible.some(other => other.candidate !== candidate && hasSharedEnd(ends, other.ends))
        );
        for (const { candidate, ends } of newCulprits) {
            culprits.set(candidate, ends);
            ends.forEach(({ life }) => explainedBy.set(life, [...explainedBy.get(life) ?? [], candidate]));
        }
    }
    for (const candidate of known) {
        if (culprits.has(candidate) && [...culprits.keys()].some(other => supersedes(other, candidate))) {
            culprits.set(candidate, []);
        }
    }
    return culprits;
}

/** Lists how the ends count against each attribute. */
export function listEvidence<E extends UpstreamEnd>(ends: Iterable<E>): Map<string, Evidence<E>[]> {
    const byAttribute = new Map<string, Evidence<E>[]>();
    for (const end of ends) {
        for (const [attribute, evidence] of listEvidenceAt(end)) {
            if (evidence !== undefined) {
                byAttribute.set(attribute, [...byAttribute.get(attribute) ?? [], evidence]);
            }
        }
    }
    return byAttribute;
}

/** Groups the attributes that the same requests had at the same ends, and omits those of too few moments. */
function groupIndistinguishable<E extends UpstreamEnd>(
    evidenceByAttribute: ReadonlyMap<string, readonly Evidence<E>[]>,
    endCounts: ReadonlyMap<number, number>,
): Candidate<E>[] {
    const runNumbers = new Map<InterruptedRun, number>();
    const groups = new Map<string, { readonly attributes: string[]; readonly evidence: readonly Evidence<E>[]; }>();
    for (const [attribute, evidence] of evidenceByAttribute) {
        if (
            evidence.length < MIN_SUSPECT_MOMENTS
            || countMoments(evidence.map(({ end }) => end), endCounts) < MIN_SUSPECT_MOMENTS
        ) {
            continue;
        }
        const key = evidence.map(({ oldest }) => getNumber(runNumbers, oldest)).sort((a, b) => a - b).join(" ");
        const group = groups.get(key);
        if (group === undefined) {
            groups.set(key, { attributes: [attribute], evidence });
        }
        else {
            group.attributes.push(attribute);
        }
    }
    return [...groups.values()].map(group =>
        createCandidate(group.attributes.sort(), group.evidence, endCounts, false)
    );
}

function getNumber(numbers: Map<InterruptedRun, number>, run: InterruptedRun): number {
    const number = numbers.get(run) ?? numbers.size;
    numbers.set(run, number);
    return number;
}

function createCandidate<E extends UpstreamEnd>(
    attributes: readonly string[],
    evidence: readonly Evidence<E>[],
    endCounts: ReadonlyMap<number, number>,
    isKnown: boolean,
): Candidate<E> {
    const ends = evidence.map(({ end }) => end);
    const moments = countMoments(ends, endCounts);
    const contentCount = evidence.reduce((sum, entry) => sum + entry.contentCount, 0);
    const startedCount = evidence.filter(({ oldest }) => oldest.answerMs !== undefined).length;
    return {
        attributes,
        ends,
        moments,
        isKnown,
        // All requests that wait at an upstream share their route, and many their account.
        isCrowded: contentCount > MAX_UNCROWDED_CONTENTS * ends.length
            || (startedCount === 0 && !attributes.some(isContentAttribute)),
        isProvisional: isRouteWide(attributes),
        // By number of moments, then by the fraction of ends at which an answer had certainly begun.
        rank: moments + startedCount / (ends.length + 1),
        score: computeScore(moments, evidence),
    };
}

/** Whether the attributes may be those of all requests of a route. */
export function isRouteWide(attributes: readonly string[]): boolean {
    return attributes.some(isRouteAttribute) && !attributes.some(isContentAttribute);
}

/** Identifies a set of attributes in alphabetical order. */
export function formatKey(attributes: readonly string[]): string {
    return attributes.join(" ");
}

function getThreshold({ isCrowded, isProvisional }: Candidate<UpstreamEnd>): number {
    if (isProvisional) {
        return MIN_PROVISIONAL_CULPRIT_MOMENTS;
    }
    return isCrowded ? MIN_CROWDED_CULPRIT_MOMENTS : MIN_CULPRIT_MOMENTS;
}

/** Whether a part of a culprit's attributes explains ends that the culprit does not. */
function explainsMore<E extends UpstreamEnd>(part: Candidate<E>, culprit: Candidate<E>): boolean {
    return isSubset(part.attributes, culprit.attributes) && part.ends.some(end => !culprit.ends.includes(end));
}

/**
 * Whether a known culprit explains an end before a new candidate that was present at no more moments. Retries make a single request
 * meet a culprit at one upstream after the other, so that it has the same ends.
 */
function explainsFirst<E extends UpstreamEnd>(known: Candidate<E>, candidate: Candidate<E>, end: E): boolean {
    return candidate.attributes.some(isContentAttribute) && known.moments >= candidate.moments
        && known.ends.includes(end) && !explainsMore(candidate, known);
}

/** Whether a candidate explains all ends that a known culprit does, and others that came without it. */
function supersedes<E extends UpstreamEnd>(candidate: Candidate<E>, known: Candidate<E>): boolean {
    return candidate.ends.length > known.ends.length && known.ends.every(end => candidate.ends.includes(end));
}

function hasSharedEnd(a: readonly EndReference[], b: readonly EndReference[]): boolean {
    return a.some(end => b.includes(end));
}

/** Groups the new candidates that nothing tells apart. A known culprit is no longer compared. */
function groupByRank<E extends UpstreamEnd>(sorted: readonly Candidate<E>[]): Candidate<E>[][] {
    const groups: Candidate<E>[][] = [];
    for (const entry of sorted) {
        const last = groups.at(-1);
        const first = last?.[0];
        if (
            first?.rank === entry.rank && !first.isKnown && !entry.isKnown
            && first.score <= entry.score * MIN_SCORE_RATIO
        ) {
            last!.push(entry);
        }
        else {
            groups.push([entry]);
        }
    }
    return groups;
}

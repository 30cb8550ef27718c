/**
 * Identifies poison requests: requests that crash the upstream running them and are retried under new ids at any router.
 *
 * A crash interrupts every request in flight at the upstream, so a request is judged by how many distinct moments it was
 * present at. Upstreams that end at the same moment are assumed to have one cause, so a request counts for a moment only if
 * it was present at every upstream that ended then. Without this rule, an innocent request was taken for the culprit where a
 * quarter of all upstreams ended together every 2.5 s. Ends that a higher ranked culprit explains do not count against other
 * requests, and a complete answer clears a request (see `clearRequests`).
 *
 * Depends only on the set of recorded ends, so every replica computes the same result whatever the recording order.
 */

/** An upstream incarnation that ended. */
export interface UpstreamEnd {
    readonly life: string;
    /** Shared by all ends that are attributed to one cause. */
    readonly moment: number;
    /** Fingerprints of the interrupted requests, mapped to whether the upstream had begun to answer. */
    readonly requests: ReadonlyMap<string, boolean>;
}

/** A request that was interrupted at several moments. */
export interface PoisonSuspect {
    readonly fingerprint: string;
    /** Whether the request is considered the cause of the ends. */
    readonly isCulprit: boolean;
    /** The ends the request was present at, in recording order. */
    readonly ends: readonly UpstreamEnd[];
}

/** Moments from which a request is tracked, so that a complete answer can clear it before it becomes a culprit. */
export const MIN_SUSPECT_MOMENTS = 2;
/**
 * Moments from which a request is a culprit. A lower threshold refuses innocent requests where upstreams fail for unrelated
 * reasons, which is worse than a few more crashes. With 2, about 0.1 % of the innocent requests are refused if one
 * of eight upstreams ends every 2 s, and none with 3; a poison request ends 4.9 upstreams with 2 and 5.8 with 3.
 */
export const MIN_CULPRIT_MOMENTS = 3;
/** Threshold while another candidate of the same rank shares an end: one more end may tell them apart. */
const MIN_TIED_CULPRIT_MOMENTS = 4;

/** A request and the ends it was present at, in recording order. */
export type RequestEnds = readonly [fingerprint: string, ends: readonly UpstreamEnd[]];

export type EndCountByMoment = ReadonlyMap<number, number>;

/**
 * Returns the requests that count for at least `MIN_SUSPECT_MOMENTS` moments, highest rank first.
 * `culpritMoments` is overridden only by tests.
 */
export function findSuspects(
    requests: Iterable<RequestEnds>,
    endCounts: EndCountByMoment,
    culpritMoments = MIN_CULPRIT_MOMENTS,
): PoisonSuspect[] {
    const suspects = [...requests]
        .map(([fingerprint, ends]) => ({ fingerprint, ends: filterFullyCoveredEnds(ends, endCounts) }))
        .filter(({ ends }) => countMoments(ends) >= MIN_SUSPECT_MOMENTS)
        .map(({ fingerprint, ends }) => ({ fingerprint, ends, rank: computeRank(fingerprint, ends) }))
        .sort((a, b) => b.rank - a.rank);
    const explained = new Set<string>();
    const culprits = new Set<string>();
    for (const group of groupByRank(suspects)) {
        const unexplained = group.map(request => ({
            ...request,
            ends: request.ends.filter(end => !explained.has(end.life)),
        }));
        const candidates = unexplained.filter(({ ends }) => countMoments(ends) >= culpritMoments);
        const newCulprits = candidates.filter(request =>
            countMoments(request.ends) >= Math.max(culpritMoments, MIN_TIED_CULPRIT_MOMENTS)
            || !candidates.some(other => other !== request && hasSharedEnd(request.ends, other.ends))
        );
        for (const { fingerprint, ends } of newCulprits) {
            culprits.add(fingerprint);
            ends.forEach(end => explained.add(end.life));
        }
    }
    return suspects.map(({ fingerprint, ends }) => ({ fingerprint, ends, isCulprit: culprits.has(fingerprint) }));
}

export function countEndsByMoment(ends: Iterable<UpstreamEnd>): Map<number, number> {
    const counts = new Map<number, number>();
    for (const { moment } of ends) {
        counts.set(moment, (counts.get(moment) ?? 0) + 1);
    }
    return counts;
}

/** Selects the ends whose moments the request covers completely: it was present at every upstream that ended then. */
function filterFullyCoveredEnds(ends: readonly UpstreamEnd[], endCounts: EndCountByMoment): UpstreamEnd[] {
    const requestCounts = countEndsByMoment(ends);
    return ends.filter(({ moment }) => requestCounts.get(moment) === endCounts.get(moment));
}

export function groupByRequest<E extends UpstreamEnd>(ends: Iterable<E>): Map<string, E[]> {
    const byRequest = new Map<string, E[]>();
    for (const end of ends) {
        for (const fingerprint of end.requests.keys()) {
            const group = byRequest.get(fingerprint);
            if (group === undefined) {
                byRequest.set(fingerprint, [end]);
            }
            else {
                group.push(end);
            }
        }
    }
    return byRequest;
}

/** Ranks by number of moments, then by the fraction of ends at which the request had certainly started. */
function computeRank(fingerprint: string, ends: readonly UpstreamEnd[]): number {
    const startedCount = ends.filter(end => end.requests.get(fingerprint) === true).length;
    return countMoments(ends) + startedCount / (ends.length + 1);
}

function countMoments(ends: readonly UpstreamEnd[]): number {
    return new Set(ends.map(({ moment }) => moment)).size;
}

function hasSharedEnd(a: readonly UpstreamEnd[], b: readonly UpstreamEnd[]): boolean {
    return a.some(end => b.includes(end));
}

function groupByRank<T extends { readonly rank: number; }>(sorted: readonly T[]): T[][] {
    const groups: T[][] = [];
    for (const entry of sorted) {
        const last = groups.at(-1);
        if (last?.[0]?.rank === entry.rank) {
            last.push(entry);
        }
        else {
            groups.push([entry]);
        }
    }
    return groups;
}

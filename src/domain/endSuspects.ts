/**
 * Which requests end the upstreams that run them, judged by which requests were there when upstreams ended.
 *
 * The load that this answers: a request that ends whatever begins to run it, and comes again under new ids at any router;
 * beside it up to some 64 others at each upstream, whose callers come back too. One end says nothing of any of them. The
 * request that is the cause is there at every end; the others only by chance, so they are told from it by four things: how
 * often they were there, whether they were at all upstreams that ended at one moment, whether a cause is known already for
 * an end, and a whole answer, which no request gets that ends what runs it (see `clearRequests`).
 *
 * Upstreams that end together have ended by one cause. A request that was at all of them was there once; one that was at
 * some of them only has not ended the others, so that the moment is not held against it. Without that, an innocent request
 * was taken for a cause on each of three deployments where a quarter of all upstreams ended together each 2.5 s.
 *
 * A function of the recorded ends alone: the same on every box, whatever order they were recorded in.
 */

/** A life of an upstream that has ended. */
export interface UpstreamEnd {
    readonly life: string;
    /** The same for lives that ended together. */
    readonly moment: number;
    /** By fingerprint of what broke off there: whether the upstream had begun to answer it. */
    readonly requests: ReadonlyMap<string, boolean>;
}

/** A request that was there at several moments. */
export interface EndSuspect {
    readonly fingerprint: string;
    /** It ends what runs it. */
    readonly isCulprit: boolean;
    /** Where it was, in the order in which they were recorded. */
    readonly ends: readonly UpstreamEnd[];
}

/** A request is watched from this number of moments on, so that a whole answer clears it before it comes to the next. */
export const SUSPECT_MOMENTS = 2;
/**
 * A request counts as the cause from this number of moments on. Where upstreams end for reasons of their own, one of eight
 * each 2 s, and one in 20 callers sends four copies at once, 2 refuses 61 of 48,091 innocent requests and 3 none; a request
 * that ends its upstreams, tried 4 times a second, ends 4.9 of them with 2 and 5.8 with 3 (`endSuspects.test.ts`, a minute
 * each of 20 seeds). The worse fault is to refuse innocent ones.
 */
export const CULPRIT_MOMENTS = 3;
/** The same where another request was there just as often: the next end tells them apart, if it is only one of them. */
const TIED_CULPRIT_MOMENTS = 4;

/** A request and where it was, in the order in which the ends were recorded. */
export type RequestEnds = readonly [fingerprint: string, ends: readonly UpstreamEnd[]];

/** By moment: how many lives ended at it. */
export type LivesByMoment = ReadonlyMap<number, number>;

/**
 * Of the requests that were there when upstreams ended, those that were at `SUSPECT_MOMENTS` moments or more.
 * `culpritMoments`: for the tests that weigh it.
 */
export function findSuspects(
    requests: Iterable<RequestEnds>,
    lives: LivesByMoment,
    culpritMoments = CULPRIT_MOMENTS,
): EndSuspect[] {
    const found = [...requests]
        .map(([fingerprint, ends]) => ({ fingerprint, ends: selectAtAll(ends, lives) }))
        .filter(({ ends }) => countMoments(ends) >= SUSPECT_MOMENTS)
        .map(({ fingerprint, ends }) => ({ fingerprint, ends, rank: computeRank(fingerprint, ends) }))
        .sort((a, b) => b.rank - a.rank);
    const explained = new Set<string>();
    const culprits = new Set<string>();
    for (const group of gatherByRank(found)) {
        const open = group.map(request => ({ ...request, ends: request.ends.filter(end => !explained.has(end.life)) }));
        const able = open.filter(({ ends }) => countMoments(ends) >= culpritMoments);
        const guilty = able.filter(request =>
            countMoments(request.ends) >= Math.max(culpritMoments, TIED_CULPRIT_MOMENTS)
            || !able.some(other => other !== request && hasSharedEnd(request.ends, other.ends))
        );
        for (const { fingerprint, ends } of guilty) {
            culprits.add(fingerprint);
            ends.forEach(end => explained.add(end.life));
        }
    }
    return found.map(({ fingerprint, ends }) => ({ fingerprint, ends, isCulprit: culprits.has(fingerprint) }));
}

/** Counts the lives that ended at each moment. */
export function countLivesByMoment(ends: Iterable<UpstreamEnd>): Map<number, number> {
    const lives = new Map<number, number>();
    for (const { moment } of ends) {
        lives.set(moment, (lives.get(moment) ?? 0) + 1);
    }
    return lives;
}

/** Those of a request's ends at whose moment it was at all lives that ended. */
function selectAtAll(ends: readonly UpstreamEnd[], lives: LivesByMoment): UpstreamEnd[] {
    const own = countLivesByMoment(ends);
    return ends.filter(({ moment }) => own.get(moment) === lives.get(moment));
}

/** The ends by the requests that were there. */
export function gatherByRequest<E extends UpstreamEnd>(ends: Iterable<E>): Map<string, E[]> {
    const byRequest = new Map<string, E[]>();
    for (const end of ends) {
        for (const fingerprint of end.requests.keys()) {
            const known = byRequest.get(fingerprint);
            if (known === undefined) {
                byRequest.set(fingerprint, [end]);
            }
            else {
                known.push(end);
            }
        }
    }
    return byRequest;
}

/** Orders requests by how often they were there, and among equals by how often they certainly ran. */
function computeRank(fingerprint: string, ends: readonly UpstreamEnd[]): number {
    const begun = ends.filter(end => end.requests.get(fingerprint) === true).length;
    return countMoments(ends) + begun / (ends.length + 1);
}

function countMoments(ends: readonly UpstreamEnd[]): number {
    return new Set(ends.map(({ moment }) => moment)).size;
}

function hasSharedEnd(a: readonly UpstreamEnd[], b: readonly UpstreamEnd[]): boolean {
    return a.some(end => b.includes(end));
}

function gatherByRank<T extends { readonly rank: number; }>(sorted: readonly T[]): T[][] {
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

/** Compares what callers sent with what arrived at upstreams, against the limits that all routers share. */

export interface SharedLimits {
    readonly retryRatio: number;
    readonly retrySlack: number;
    readonly windowMs: number;
}

/** Times of the monotonic clock, in milliseconds. */
export interface SentRequest {
    readonly id: string;
    readonly service: string;
    readonly router: string;
    readonly at: number;
    readonly deadlineMs: number;
    /** Upstreams that may run the request. */
    readonly maxAttempts: number;
}

/** Times of the monotonic clock, in milliseconds. */
export interface Arrival {
    readonly id: string;
    readonly service: string;
    readonly upstream: string;
    readonly at: number;
    /** Time that the request was given; undefined if it named none. */
    readonly deadlineMs: number | undefined;
    /** Set once the upstream has rejected the request without running it. */
    isNotRun: boolean;
    /** Set if the upstream was cut off or ended before it answered. */
    isCutOff: boolean;
    /** How long the router was told to send nothing more to this upstream. */
    backoffMs?: number;
}

/** Arrivals beyond the first of each request in the window in which they exceed the limit by most. */
export interface RepeatPeak {
    readonly repeats: number;
    readonly allowed: number;
    readonly endsAt: number;
}

export interface DeadlineOverruns {
    /** First sends whose time was missing or over `TOLERANCE_MS` longer than the caller's. */
    readonly first: number;
    /** Late resends whose time ends over `TOLERANCE_MS` after the first one's and after the caller's. */
    readonly resent: number;
    /** Arrivals over `TOLERANCE_MS` after the first one of their request. */
    readonly lateResends: number;
    /** Whether they break the rule. */
    readonly isBroken: boolean;
}

const TOLERANCE_MS = 500;
const MAX_OVERRUNS = 20;
const MAX_OVERRUN_FRACTION = 0.2;
const MAX_REQUESTS_AT_TOO_MANY = 3;
const MAX_ARRIVALS_IN_BACKOFF = 2;
/** Ends after which a request that ends upstreams may be sent only `MAX_LATER_DEADLY` times, once routers have had time. */
const KNOWN_AFTER_ENDS = 5;
const KNOWN_AFTER_MS = 4_000;
const MAX_LATER_DEADLY = 3;

export class UpstreamAudit {
    readonly sent: SentRequest[] = [];
    readonly arrivals: Arrival[] = [];
    /** When a request ended its upstream. */
    private readonly deadlyEnds: number[] = [];
    private readonly sentById = new Map<string, SentRequest>();

    constructor(private readonly limits: SharedLimits) {}

    recordSent(request: SentRequest): void {
        this.sent.push(request);
        this.sentById.set(request.id, request);
    }

    recordArrival(arrival: Arrival): Arrival {
        this.arrivals.push(arrival);
        return arrival;
    }

    /** Records that a request, the same each time, ended its upstream. */
    recordEnd(at: number): void {
        this.deadlyEnds.push(at);
    }

    /** Upstreams that a request ended although routers should have known it. */
    countLateEnds(): number {
        const knownAt = (this.deadlyEnds[KNOWN_AFTER_ENDS - 1] ?? Infinity) + KNOWN_AFTER_MS;
        return this.deadlyEnds.filter(at => at > knownAt).length;
    }

    countEnds(): number {
        return this.deadlyEnds.length;
    }

    /** The window in which repeats exceed the limit by most, or come closest to it. */
    findRepeatPeak(service: string): RepeatPeak {
        const { retryRatio, retrySlack, windowMs } = this.limits;
        const requests = this.sent.filter(sent => sent.service === service).map(({ at }) => at).sort(compareNumbers);
        const repeats = this.listRepeats(service).map(({ at }) => at).sort(compareNumbers);
        let peak: RepeatPeak = { repeats: 0, allowed: retrySlack, endsAt: 0 };
        for (const endsAt of repeats.flatMap(at => [at, at + windowMs - 1])) {
            const counted = [0, windowMs / 2, windowMs].map(shift => countWithin(requests, endsAt - shift, windowMs));
            const allowed = retryRatio * Math.max(...counted) + retrySlack;
            const count = countWithin(repeats, endsAt, windowMs);
            if (count / allowed > peak.repeats / peak.allowed) {
                peak = { repeats: count, allowed, endsAt };
            }
        }
        return peak;
    }

    countRepeats(service: string): number {
        return this.listRepeats(service).length;
    }

    findDeadlineOverruns(): DeadlineOverruns {
        const firstById = new Map<string, Arrival>();
        const counts = { first: 0, resent: 0, lateResends: 0 };
        for (const arrival of this.arrivals) {
            const first = firstById.get(arrival.id);
            const sent = this.sentById.get(arrival.id);
            if (first === undefined) {
                firstById.set(arrival.id, arrival);
            }
            if (sent === undefined) {
                continue;
            }
            const { deadlineMs, at } = arrival;
            if (deadlineMs === undefined || deadlineMs > sent.deadlineMs + TOLERANCE_MS) {
                counts.first += 1;
            }
            else if (first !== undefined && at > first.at + TOLERANCE_MS) {
                counts.lateResends += 1;
                const latest = Math.max(first.at + (first.deadlineMs ?? 0), sent.at + sent.deadlineMs);
                counts.resent += at + deadlineMs > latest + TOLERANCE_MS ? 1 : 0;
            }
        }
        const overruns = counts.first + counts.resent;
        const judged = counts.first + counts.lateResends;
        const isBroken = overruns > MAX_OVERRUNS && overruns > MAX_OVERRUN_FRACTION * judged;
        return { ...counts, isBroken };
    }

    /** Requests that more upstreams ran than their route allows. */
    countAtTooManyUpstreams(): number {
        const upstreamsById = new Map<string, Set<string>>();
        for (const { id, upstream } of this.arrivals.filter(({ isNotRun, isCutOff }) => !isNotRun && !isCutOff)) {
            upstreamsById.set(id, (upstreamsById.get(id) ?? new Set()).add(upstream));
        }
        return [...upstreamsById].filter(([id, upstreams]) =>
            upstreams.size > (this.sentById.get(id)?.maxAttempts ?? Infinity)
        ).length;
    }

    /** Most arrivals at one upstream from one router while the router was told to send it nothing. */
    findMostInBackoff(): number {
        const counts = this.arrivals.filter(({ backoffMs }) => backoffMs !== undefined).map(told => {
            const router = this.sentById.get(told.id)?.router;
            return this.arrivals.filter(({ upstream, id, at }) =>
                upstream === told.upstream && this.sentById.get(id)?.router === router
                && at > told.at + TOLERANCE_MS && at < told.at + told.backoffMs!
            ).length;
        });
        return Math.max(0, ...counts);
    }

    /** What breaks a limit that holds whatever happens to routers and links, one line each. */
    listBrokenCounts(services: readonly string[]): string[] {
        const tooMany = this.countAtTooManyUpstreams();
        return [
            ...services.map(service => ({ service, ...this.findRepeatPeak(service) }))
                .filter(({ repeats, allowed }) => repeats > allowed)
                .map(({ service, repeats, allowed }) =>
                    `${repeats} repeats of ${service} in a window, ${Math.floor(allowed)} allowed`
                ),
            ...tooMany > MAX_REQUESTS_AT_TOO_MANY ? [`${tooMany} requests ran at too many upstreams`] : [],
        ];
    }

    /** What breaks a limit, one line each, if no link was cut or slow. */
    listBroken(services: readonly string[]): string[] {
        const overruns = this.findDeadlineOverruns();
        const inBackoff = this.findMostInBackoff();
        const lateEnds = this.countLateEnds();
        return [
            ...this.listBrokenCounts(services),
            ...overruns.isBroken ? [`more time than is left was given: ${JSON.stringify(overruns)}`] : [],
            ...lateEnds > MAX_LATER_DEADLY ? [`${lateEnds} late ends by a request that ends upstreams`] : [],
            ...inBackoff > MAX_ARRIVALS_IN_BACKOFF ? [`${inBackoff} arrivals while an upstream asked for none`] : [],
        ];
    }

    private listRepeats(service: string): Arrival[] {
        const seen = new Set<string>();
        return this.arrivals.filter(arrival => {
            const isRepeat = seen.has(arrival.id);
            seen.add(arrival.id);
            return isRepeat && arrival.service === service;
        });
    }
}

function compareNumbers(a: number, b: number): number {
    return a - b;
}

/** Counts the times in (`endsAt` - `windowMs`, `endsAt`]. `times`: ascending. */
function countWithin(times: readonly number[], endsAt: number, windowMs: number): number {
    return countUpTo(times, endsAt) - countUpTo(times, endsAt - windowMs);
}

function countUpTo(times: readonly number[], limit: number): number {
    let low = 0;
    let high = times.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if (times[middle]! <= limit) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

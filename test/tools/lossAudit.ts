/**
 * Judges answers lost around planned work: stops of routers, changes of their settings and new configurations. All times are
 * on one monotonic clock, in milliseconds.
 */

/** Time after the grace period of a stop, and after the bound of a configuration, in which a loss still counts. */
const WINDOW_MARGIN_MS = 1_000;
/** Requests sent later than this after SIGTERM are answered however long their upstream works. */
const EARLY_SEND_MS = 3_000;
/** An upstream at work in this last part of the grace period excuses the loss of a request that was sent early. */
const LAST_GRACE_FRACTION = 1 / 6;
/** A request that has used this part of its time excuses a cut beside a configuration. */
const USED_TIME_FRACTION = 0.7;
/** Cuts beside a configuration count if they are more than this many times as frequent as at other times. */
const MAX_CUT_RATIO = 3;
const DEFAULT_CONTACT_MS = 3_000;

export interface LossLimits {
    /** The longest that a planned stop takes. */
    readonly graceMs: number;
    /** Time after a change of settings in which sent requests are judged. */
    readonly settingsMs: number;
    /** Time from the acknowledgement of a configuration until it is in force everywhere. */
    readonly bundleMs: number;
    /** A connection that closes up to this time after the last byte was sent may have crossed the request. */
    readonly lossSlackMs: number;
    /** Time before a request in which an unplanned disruption excuses it. */
    readonly contactMs?: number;
}

/** How an upstream's work ended. */
export type RunEnd = "whole" | "brokenOff" | "callerLeft";

interface AuditedRun {
    readonly at: number;
    end?: { readonly at: number; readonly how: RunEnd; };
}

interface AuditedRequest {
    readonly id: string;
    readonly router: string;
    readonly sentAt: number;
    answerEnd?: { readonly at: number; readonly isWhole: boolean; readonly cause: string | undefined; };
}

interface PlannedWork {
    readonly router: string;
    readonly at: number;
}

interface BundleChange {
    readonly sentAt: number;
    readonly acknowledgedAt: number;
}

interface Disruption {
    readonly router: string;
    readonly from: number;
    readonly to: number;
}

/** The planned work that a loss is judged by. */
interface LossContext {
    readonly name: "SIGTERM" | "SIGHUP" | "configuration";
    readonly at: number;
}

interface EndedRequest extends AuditedRequest {
    readonly answerEnd: NonNullable<AuditedRequest["answerEnd"]>;
}

export class LossAudit {
    private readonly requests = new Map<string, AuditedRequest>();
    /** The latest run of each request. */
    private readonly runs = new Map<string, AuditedRun>();
    private readonly deadlines = new Map<string, number>();
    private readonly stops: PlannedWork[] = [];
    private readonly settingsChanges: PlannedWork[] = [];
    private readonly bundles: BundleChange[] = [];
    private readonly disruptions: Disruption[] = [];

    constructor(private readonly limits: LossLimits) {}

    /** Records that the last byte of a request was handed to the socket. `router`: the one it was sent to. */
    recordSent(id: string, router: string, at: number): void {
        this.requests.set(id, { id, router, sentAt: at });
    }

    /** Records that a request has reached an upstream that runs it. */
    recordRun(id: string, at: number): void {
        this.runs.set(id, { at });
    }

    recordRunEnd(id: string, at: number, how: RunEnd): void {
        const run = this.runs.get(id);
        if (run !== undefined) {
            run.end = { at, how };
        }
    }

    /** Records the end of an answer, or of the connection without one. Ignored for a request that was not sent whole. */
    recordAnswerEnd(id: string, at: number, isWhole: boolean, cause?: string): void {
        const request = this.requests.get(id);
        if (request !== undefined) {
            request.answerEnd = { at, isWhole, cause };
        }
    }

    /** Records the time that a request has, from when it is sent: the shorter of its deadline and its route's timeout. */
    recordDeadline(id: string, ms: number): void {
        this.deadlines.set(id, ms);
    }

    /** Records the first SIGTERM to a router's process. */
    recordStop(router: string, at: number): void {
        this.stops.push({ router, at });
    }

    /** Records a SIGHUP. */
    recordSettingsChange(router: string, at: number): void {
        this.settingsChanges.push({ router, at });
    }

    /** Records a configuration that may be in force. `acknowledgedAt`: Infinity if it has not been acknowledged. */
    recordBundle(sentAt: number, acknowledgedAt: number): void {
        this.bundles.push({ sentAt, acknowledgedAt });
    }

    /** Records an unplanned disruption of one router, or of all. */
    recordDisruption(routerOrAll: string, from: number, to: number): void {
        this.disruptions.push({ router: routerOrAll, from, to });
    }

    /** Returns a line for each lost answer. */
    listLosses(): string[] {
        const cuts = this.listCuts();
        return cuts.flatMap(cut => {
            const context = this.tryGetContext(cut, cuts);
            return context === undefined ? [] : [formatLoss(cut, context)];
        });
    }

    /** Returns the requests without a whole answer that nothing excuses, whether or not there was planned work. */
    private listCuts(): EndedRequest[] {
        return this.listEnded().filter(request => {
            const { id, sentAt, answerEnd } = request;
            const run = this.runs.get(id);
            const tookMs = answerEnd.at - sentAt;
            const isTaken = run !== undefined || tookMs > this.limits.lossSlackMs;
            const hasTimeLeft = tookMs < this.getDeadlineMs(id);
            return !answerEnd.isWhole && isTaken && hasTimeLeft && run?.end?.how !== "brokenOff"
                && !this.isDisrupted(request);
        });
    }

    private listEnded(): EndedRequest[] {
        return [...this.requests.values()].filter((request): request is EndedRequest =>
            request.answerEnd !== undefined
        );
    }

    private getDeadlineMs(id: string): number {
        return this.deadlines.get(id) ?? Infinity;
    }

    private isDisrupted({ router, sentAt, answerEnd }: EndedRequest): boolean {
        const from = sentAt - (this.limits.contactMs ?? DEFAULT_CONTACT_MS);
        return this.disruptions.some(disruption =>
            (disruption.router === "all" || disruption.router === router)
            && disruption.from <= answerEnd.at && disruption.to >= from
        );
    }

    private tryGetContext(cut: EndedRequest, cuts: readonly EndedRequest[]): LossContext | undefined {
        const { router, sentAt, answerEnd } = cut;
        const stops = this.stops.filter(work => this.isWithinStop(cut, work));
        if (stops.some(work => this.isExcusedAtStop(cut, work))) {
            return undefined;
        }
        if (stops.length > 0) {
            return { name: "SIGTERM", at: stops[0]!.at };
        }
        const change = this.settingsChanges.find(work =>
            work.router === router && sentAt <= work.at + this.limits.settingsMs && answerEnd.at >= work.at
        );
        if (change !== undefined) {
            return { name: "SIGHUP", at: change.at };
        }
        const bundle = this.bundles.find(candidate => this.isWithinBundle(answerEnd.at, candidate));
        const isCounted = bundle !== undefined
            && answerEnd.at - sentAt < USED_TIME_FRACTION * this.getDeadlineMs(cut.id)
            && this.cutsMoreAtBundles(router, cuts);
        return isCounted ? { name: "configuration", at: bundle.sentAt } : undefined;
    }

    private isWithinStop({ router, answerEnd }: EndedRequest, stop: PlannedWork): boolean {
        return stop.router === router
            && answerEnd.at >= stop.at && answerEnd.at <= stop.at + this.limits.graceMs + WINDOW_MARGIN_MS;
    }

    /** Whether a request was sent early and its upstream worked until late in the grace period; also beside other planned work. */
    private isExcusedAtStop({ id, sentAt }: EndedRequest, stop: PlannedWork): boolean {
        const { graceMs } = this.limits;
        const run = this.runs.get(id);
        const lastPartAt = stop.at + graceMs * (1 - LAST_GRACE_FRACTION);
        const isAtWork = run !== undefined && run.at <= stop.at + graceMs && (run.end?.at ?? Infinity) >= lastPartAt;
        return sentAt <= stop.at + EARLY_SEND_MS && isAtWork;
    }

    private isWithinBundle(at: number, { sentAt, acknowledgedAt }: BundleChange): boolean {
        return at >= sentAt && at <= acknowledgedAt + this.limits.bundleMs + WINDOW_MARGIN_MS;
    }

    /** Whether a router cuts a greater part of its requests beside configurations than at other times. */
    private cutsMoreAtBundles(router: string, cuts: readonly EndedRequest[]): boolean {
        const isBeside = ({ answerEnd }: EndedRequest): boolean =>
            this.bundles.some(bundle => this.isWithinBundle(answerEnd.at, bundle));
        const ended = this.listEnded().filter(request => request.router === router);
        const ownCuts = cuts.filter(request => request.router === router);
        const computeFraction = (isCounted: (request: EndedRequest) => boolean): number =>
            ownCuts.filter(isCounted).length / Math.max(1, ended.filter(isCounted).length);
        return computeFraction(isBeside) > MAX_CUT_RATIO * computeFraction(request => !isBeside(request));
    }
}

function formatLoss({ id, router, sentAt, answerEnd }: EndedRequest, { name, at }: LossContext): string {
    const sentMs = Math.round(sentAt - at);
    const endedMs = Math.round(answerEnd.at - at);
    return `${id} ${router}: sent ${sentMs} ms and ended ${endedMs} ms after ${name}, ${answerEnd.cause ?? "no cause"}`;
}

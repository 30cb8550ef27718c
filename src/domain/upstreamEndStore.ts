/** Recent upstream ends and the requests they interrupted, as replicated through the log. */
import {
    countEndsByMoment,
    findSuspects,
    groupByRequest,
    MIN_SUSPECT_MOMENTS,
    type PoisonSuspect,
    type UpstreamEnd,
} from "./poisonRequests.js";
import type {
    ClearRequestsCommand,
    ForgetUpstreamEndsCommand,
    RecordUpstreamEndCommand,
} from "./upstreamEndCommands.js";

/**
 * Retained ends; the oldest are evicted. Ten times as many as one poison request causes within seconds on a small deployment.
 * With 256 interrupted requests of 25 bytes per end, bounds a snapshot to about 0.8 MB.
 */
const MAX_ENDS = 128;
/** Retained requests of one end, over the reports of all routers. */
const MAX_REQUESTS_PER_END = 256;

interface RecordedEnd extends UpstreamEnd {
    /** Log index of the entry that first recorded the end. */
    readonly index: number;
    readonly requests: Map<string, boolean>;
}

export interface UpstreamEndSnapshot {
    readonly lastIndex: number;
    readonly lastMoment: number;
    readonly ends: readonly {
        readonly life: string;
        readonly index: number;
        readonly moment: number;
        readonly requests: readonly (readonly [string, boolean])[];
    }[];
}

export class UpstreamEndStore {
    /** Keyed by the incarnation of the upstream, oldest first. */
    private ends = new Map<string, RecordedEnd>();
    /** Inverted index from fingerprint to ends, so that applying an entry does not scan all ends. */
    private byRequest = new Map<string, RecordedEnd[]>();
    private lastMoment = 0;
    private lastIndex = 0;
    private suspects: readonly PoisonSuspect[] = [];

    applyRecord({ life, togetherWith, requests }: RecordUpstreamEndCommand, index: number): void {
        const end = this.ends.get(life) ?? this.addEnd(life, togetherWith, index);
        for (const { fingerprint, hasBegun } of requests) {
            this.addRequest(end, fingerprint, hasBegun);
        }
        while (this.ends.size > MAX_ENDS) {
            this.removeEnd(this.ends.values().next().value!);
        }
        this.recordChange(index);
    }

    applyClear({ fingerprints }: ClearRequestsCommand, index: number): void {
        for (const fingerprint of fingerprints) {
            this.byRequest.get(fingerprint)?.forEach(end => end.requests.delete(fingerprint));
            this.byRequest.delete(fingerprint);
        }
        this.recordChange(index);
    }

    applyForget({ upTo }: ForgetUpstreamEndsCommand, index: number): void {
        [...this.ends.values()].filter(end => end.index <= upTo).forEach(end => this.removeEnd(end));
        this.recordChange(index);
    }

    /** Log index of the last entry applied; 0 before the first. */
    getLastIndex(): number {
        return this.lastIndex;
    }

    getSuspects(): readonly PoisonSuspect[] {
        return this.suspects;
    }

    /** Log index of the entry that first recorded the end of `life`; undefined if it is not retained. */
    getEndIndex(life: string): number | undefined {
        return this.ends.get(life)?.index;
    }

    /** Log indexes of the entries that recorded the retained ends, oldest first. */
    listEndIndexes(): number[] {
        return [...this.ends.values()].map(({ index }) => index);
    }

    createSnapshot(): UpstreamEndSnapshot {
        return {
            lastIndex: this.lastIndex,
            lastMoment: this.lastMoment,
            ends: [...this.ends.values()].map(({ life, index, moment, requests }) => ({
                life,
                index,
                moment,
                requests: [...requests],
            })),
        };
    }

    loadSnapshot({ lastIndex, lastMoment, ends }: UpstreamEndSnapshot): void {
        this.lastMoment = lastMoment;
        this.ends = new Map(ends.map(end => [end.life, { ...end, requests: new Map(end.requests) }]));
        this.byRequest = groupByRequest(this.ends.values());
        this.recordChange(lastIndex);
    }

    private addEnd(life: string, togetherWith: string | undefined, index: number): RecordedEnd {
        let moment = togetherWith === undefined ? undefined : this.ends.get(togetherWith)?.moment;
        if (moment === undefined) {
            this.lastMoment += 1;
            moment = this.lastMoment;
        }
        const end = { life, index, moment, requests: new Map<string, boolean>() };
        this.ends.set(life, end);
        return end;
    }

    private addRequest(end: RecordedEnd, fingerprint: string, hasBegun: boolean): void {
        const previous = end.requests.get(fingerprint);
        if (previous === undefined && end.requests.size >= MAX_REQUESTS_PER_END) {
            return;
        }
        end.requests.set(fingerprint, hasBegun || previous === true);
        if (previous === undefined) {
            this.byRequest.set(fingerprint, [...this.byRequest.get(fingerprint) ?? [], end]);
        }
    }

    private removeEnd(end: RecordedEnd): void {
        this.ends.delete(end.life);
        for (const fingerprint of end.requests.keys()) {
            const remaining = this.byRequest.get(fingerprint)!.filter(other => other !== end);
            if (remaining.length > 0) {
                this.byRequest.set(fingerprint, remaining);
            }
            else {
                this.byRequest.delete(fingerprint);
            }
        }
    }

    private recordChange(index: number): void {
        this.lastIndex = index;
        // Few requests were present at several ends. Skipping the others takes 1.6 ms instead of 16 ms for each log entry with
        // the maximum number of ends.
        const repeated = [...this.byRequest].filter(([, ends]) => ends.length >= MIN_SUSPECT_MOMENTS);
        this.suspects = findSuspects(repeated, countEndsByMoment(this.ends.values()));
    }
}

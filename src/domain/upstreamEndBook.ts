/** The upstreams that ended lately with requests under way, as the replicated log records them. */
import {
    countLivesByMoment,
    type EndSuspect,
    findSuspects,
    gatherByRequest,
    SUSPECT_MOMENTS,
    type UpstreamEnd,
} from "./endSuspects.js";
import type {
    ClearRequestsCommand,
    ForgetUpstreamEndsCommand,
    RecordUpstreamEndCommand,
} from "./upstreamEndCommands.js";

/**
 * Most ends that are remembered, the oldest given up: ten times as many as one request has brought about within seconds on a
 * small deployment. With 256 requests each of 25 bytes, a snapshot of 0.8 MB at the worst.
 */
const MOST_ENDS = 128;
/** Most requests that are remembered of one end, over all routers. */
const MOST_REQUESTS = 256;

interface RecordedEnd extends UpstreamEnd {
    /** Of the entry that recorded it first. */
    readonly index: number;
    readonly requests: Map<string, boolean>;
}

/** Plain data of the book. */
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

export class UpstreamEndBook {
    /** By the key of the life, oldest first. */
    private ends = new Map<string, RecordedEnd>();
    /** The same by request, so that what one entry changes costs no look at all of them. */
    private byRequest = new Map<string, RecordedEnd[]>();
    private lastMoment = 0;
    private lastIndex = 0;
    private suspects: readonly EndSuspect[] = [];

    applyRecord({ life, togetherWith, requests }: RecordUpstreamEndCommand, index: number): void {
        const end = this.ends.get(life) ?? this.addEnd(life, togetherWith, index);
        for (const { fingerprint, hasBegun } of requests) {
            this.addRequest(end, fingerprint, hasBegun);
        }
        while (this.ends.size > MOST_ENDS) {
            this.removeEnd(this.ends.values().next().value!);
        }
        this.noteChange(index);
    }

    applyClear({ fingerprints }: ClearRequestsCommand, index: number): void {
        for (const fingerprint of fingerprints) {
            this.byRequest.get(fingerprint)?.forEach(end => end.requests.delete(fingerprint));
            this.byRequest.delete(fingerprint);
        }
        this.noteChange(index);
    }

    applyForget({ upTo }: ForgetUpstreamEndsCommand, index: number): void {
        [...this.ends.values()].filter(end => end.index <= upTo).forEach(end => this.removeEnd(end));
        this.noteChange(index);
    }

    /** Index of the entry that changed the book last; 0 before the first. */
    getLastIndex(): number {
        return this.lastIndex;
    }

    getSuspects(): readonly EndSuspect[] {
        return this.suspects;
    }

    /** Index of the entry that first recorded the end of a life; undefined where it is not remembered. */
    tryGetIndex(life: string): number | undefined {
        return this.ends.get(life)?.index;
    }

    /** Indexes of the entries that recorded ends, oldest first. */
    listIndexes(): number[] {
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
        this.byRequest = gatherByRequest(this.ends.values());
        this.noteChange(lastIndex);
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
        const known = end.requests.get(fingerprint);
        if (known === undefined && end.requests.size >= MOST_REQUESTS) {
            return;
        }
        end.requests.set(fingerprint, hasBegun || known === true);
        if (known === undefined) {
            this.byRequest.set(fingerprint, [...this.byRequest.get(fingerprint) ?? [], end]);
        }
    }

    private removeEnd(end: RecordedEnd): void {
        this.ends.delete(end.life);
        for (const fingerprint of end.requests.keys()) {
            const left = this.byRequest.get(fingerprint)!.filter(other => other !== end);
            if (left.length > 0) {
                this.byRequest.set(fingerprint, left);
            }
            else {
                this.byRequest.delete(fingerprint);
            }
        }
    }

    private noteChange(index: number): void {
        this.lastIndex = index;
        // Few requests are at more than one end. With the most that is remembered an entry takes 1.6 ms, 16 ms with all judged.
        const repeated = [...this.byRequest].filter(([, ends]) => ends.length >= SUSPECT_MOMENTS);
        this.suspects = findSuspects(repeated, countLivesByMoment(this.ends.values()));
    }
}

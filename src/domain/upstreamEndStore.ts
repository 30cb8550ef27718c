/** Recent upstream ends and the requests they interrupted, as replicated through the log. */
import {
    countEndsByMoment,
    type CrashSuspect,
    findCrashSuspects,
    type InterruptedRun,
    isSubset,
    listPresencesAt,
    mergeKnownCulprits,
    MIN_SUSPECT_MOMENTS,
    type Presence,
    type UpstreamEnd,
} from "./crashSuspects.js";
import { createContentAttribute } from "./requestAttributes.js";
import type {
    ClearAttributesCommand,
    ClearRequestsCommand,
    ForgetUpstreamEndsCommand,
    InterruptedRequest,
    RecordUpstreamEndCommand,
} from "./upstreamEndCommands.js";

/**
 * Retained ends; the oldest are evicted, those that convict a culprit last. Ten times as many as one poison request causes within
 * seconds on a small deployment.
 */
const MAX_ENDS = 128;
/** Retained requests of one end, over the reports of all routers. */
const MAX_RUNS_PER_END = 256;
/** Retained requests of all ends. With 200 bytes each, bounds a snapshot to about 1.6 MB. */
const MAX_RUNS = 8_192;
/** Ends that are retained for each culprit; enough to convict it again without any other. */
const MAX_RETAINED_CULPRIT_ENDS = 8;
/** Known culprits; the oldest are evicted. */
const MAX_KNOWN_CULPRITS = 64;
/** Lifted culprits that nobody has taken yet; the oldest are evicted. */
const MAX_LIFTED = 256;

interface RecordedEnd extends UpstreamEnd {
    /** Log index of the entry that first recorded the end. */
    readonly index: number;
    runs: InterruptedRun[];
}

/** Kind of the log entry after which a culprit is none any more. */
export type LiftReason = "upstreamEnd" | "survivor" | "expired" | "snapshot";

/** A culprit whose requests may run again. */
export interface LiftedCulprit {
    readonly attributes: readonly string[];
    readonly reason: LiftReason;
    /** Log index of the entry. */
    readonly index: number;
    /** Number of retained ends at which a request with all the attributes was interrupted. */
    readonly presentEnds: number;
}

type RunSnapshot = readonly [attributes: readonly string[], answerMs?: number];

export interface UpstreamEndSnapshot {
    readonly lastIndex: number;
    readonly lastMoment: number;
    readonly ends: readonly {
        readonly life: string;
        readonly index: number;
        readonly moment: number;
        readonly runs?: readonly RunSnapshot[];
        /** Written by earlier versions in place of `runs`: fingerprints, and whether the answer had begun. */
        readonly requests?: readonly (readonly [string, boolean])[];
    }[];
    /** Omitted by earlier versions. */
    readonly knownCulprits?: readonly (readonly string[])[];
}

export class UpstreamEndStore {
    /** Keyed by the incarnation of the upstream, oldest first. */
    private ends = new Map<string, RecordedEnd>();
    /** Inverted index, so that applying an entry does not scan all ends. */
    private byAttribute = new Map<string, Map<RecordedEnd, Presence<RecordedEnd>>>();
    /** Attributes of culprits that were not cleared since, also if their ends have expired. Oldest first. */
    private knownCulprits: (readonly string[])[] = [];
    private lastMoment = 0;
    private lastIndex = 0;
    private suspects: readonly CrashSuspect[] = [];
    private lifted: readonly LiftedCulprit[] = [];

    applyRecord({ life, togetherWith, requests }: RecordUpstreamEndCommand, index: number): void {
        const end = this.ends.get(life) ?? this.addEnd(life, togetherWith, index);
        const known = new Set(end.runs.map(formatRun));
        const added = requests.map(createRun).filter(run => !known.has(formatRun(run)));
        end.runs.push(...added.slice(0, MAX_RUNS_PER_END - end.runs.length));
        this.updateIndex(end);
        while (this.ends.size > MAX_ENDS || (this.ends.size > 1 && this.countRuns() > MAX_RUNS)) {
            this.removeEnd(this.findEvicted());
        }
        this.recordChange(index, "upstreamEnd");
    }

    applyClear({ cleared }: ClearAttributesCommand, index: number): void {
        for (const { attribute, upTo } of cleared) {
            this.clearAttribute(attribute, upTo);
        }
        this.recordChange(index, "survivor");
    }

    /** Applies a command of earlier versions. */
    applyClearRequests({ fingerprints }: ClearRequestsCommand, index: number): void {
        fingerprints.forEach(fingerprint => this.clearAttribute(createContentAttribute(fingerprint), index));
        this.recordChange(index, "survivor");
    }

    applyForget({ upTo }: ForgetUpstreamEndsCommand, index: number): void {
        [...this.ends.values()].filter(end => end.index <= upTo).forEach(end => this.removeEnd(end));
        this.recordChange(index, "expired");
    }

    /** Log index of the last entry applied; 0 before the first. */
    getLastIndex(): number {
        return this.lastIndex;
    }

    getSuspects(): readonly CrashSuspect[] {
        return this.suspects;
    }

    /** Returns the culprits that were lifted since the last call, oldest first. */
    takeLifted(): readonly LiftedCulprit[] {
        const taken = this.lifted;
        this.lifted = [];
        return taken;
    }

    /** Whether any end up to a log index was recorded with the attribute, so that clearing it changes something. */
    canClear(attribute: string, upTo: number): boolean {
        const ends = this.byAttribute.get(attribute);
        return ends !== undefined && [...ends.keys()].some(end => end.index <= upTo);
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
            ends: [...this.ends.values()].map(({ life, index, moment, runs }) => ({
                life,
                index,
                moment,
                runs: runs.map(({ attributes, answerMs }): RunSnapshot =>
                    answerMs === undefined ? [attributes] : [attributes, answerMs]
                ),
            })),
            knownCulprits: this.knownCulprits,
        };
    }

    loadSnapshot({ lastIndex, lastMoment, ends, knownCulprits }: UpstreamEndSnapshot): void {
        this.lastMoment = lastMoment;
        this.knownCulprits = [...knownCulprits ?? []];
        this.ends = new Map(ends.map(({ life, index, moment, runs, requests }) => {
            const restored = runs?.map(([attributes, answerMs]) => ({ attributes, answerMs }))
                ?? requests?.map(([fingerprint, hasBegun]) => createRun({ fingerprint, hasBegun })) ?? [];
            return [life, { life, index, moment, runs: restored }];
        }));
        this.byAttribute = new Map();
        this.ends.forEach(end => this.updateIndex(end));
        this.recordChange(lastIndex, "snapshot");
    }

    private addEnd(life: string, togetherWith: string | undefined, index: number): RecordedEnd {
        let moment = togetherWith === undefined ? undefined : this.ends.get(togetherWith)?.moment;
        if (moment === undefined) {
            this.lastMoment += 1;
            moment = this.lastMoment;
        }
        const end: RecordedEnd = { life, index, moment, runs: [] };
        this.ends.set(life, end);
        return end;
    }

    private updateIndex(end: RecordedEnd): void {
        for (const [attribute, presence] of listPresencesAt(end)) {
            const presences = this.byAttribute.get(attribute) ?? new Map<RecordedEnd, Presence<RecordedEnd>>();
            presences.set(end, presence);
            this.byAttribute.set(attribute, presences);
        }
    }

    private clearAttribute(attribute: string, upTo: number): void {
        const presences = this.byAttribute.get(attribute);
        for (const end of [...presences?.keys() ?? []].filter(({ index }) => index <= upTo)) {
            presences!.delete(end);
            end.runs = end.runs.map(run => ({
                ...run,
                attributes: run.attributes.filter(other => other !== attribute),
            })).filter(({ attributes }) => attributes.length > 0);
            this.updateIndex(end);
        }
        if (presences === undefined || presences.size === 0) {
            this.byAttribute.delete(attribute);
            this.knownCulprits = this.knownCulprits
                .map(attributes => attributes.filter(other => other !== attribute))
                .filter(attributes => attributes.length > 0);
        }
    }

    private removeEnd(end: RecordedEnd): void {
        this.ends.delete(end.life);
        for (const attribute of new Set(end.runs.flatMap(({ attributes }) => attributes))) {
            const presences = this.byAttribute.get(attribute);
            presences?.delete(end);
            if (presences?.size === 0) {
                this.byAttribute.delete(attribute);
            }
        }
    }

    private countRuns(): number {
        return [...this.ends.values()].reduce((sum, { runs }) => sum + runs.length, 0);
    }

    /** Returns the oldest end that no culprit needs, or the oldest of all. */
    private findEvicted(): RecordedEnd {
        const needed = new Set(
            this.suspects.filter(({ isCulprit }) => isCulprit)
                .flatMap(({ ends }) => ends.slice(-MAX_RETAINED_CULPRIT_ENDS).map(({ life }) => life)),
        );
        const ends = [...this.ends.values()];
        return ends.find(({ life }) => !needed.has(life)) ?? ends[0]!;
    }

    private recordChange(index: number, reason: LiftReason): void {
        this.lastIndex = index;
        const previous = this.suspects.filter(({ isCulprit }) => isCulprit);
        // Most attributes were present at one end, and need no further work.
        const knownAttributes = new Set(this.knownCulprits.flat());
        const attributes = new Map<string, readonly Presence[]>();
        for (const [attribute, presences] of this.byAttribute) {
            if (presences.size >= MIN_SUSPECT_MOMENTS || knownAttributes.has(attribute)) {
                attributes.set(attribute, [...presences.values()]);
            }
        }
        const endCounts = countEndsByMoment(this.ends.values());
        const found = findCrashSuspects(attributes, endCounts, this.knownCulprits);
        const merged = mergeKnownCulprits(this.knownCulprits, found);
        const replaced = new Set(this.knownCulprits.filter(culprit => !merged.includes(culprit)));
        this.suspects = found.filter(suspect => !replaced.has(suspect.attributes));
        this.knownCulprits = merged.slice(-MAX_KNOWN_CULPRITS);
        const culprits = this.suspects.filter(({ isCulprit }) => isCulprit);
        const lifted = previous.filter(({ attributes }) =>
            !culprits.some(other => isSubset(other.attributes, attributes))
        )
            .map(({ attributes }) => ({ attributes, reason, index, presentEnds: this.countPresentEnds(attributes) }));
        this.lifted = [...this.lifted, ...lifted].slice(-MAX_LIFTED);
    }

    private countPresentEnds(attributes: readonly string[]): number {
        return [...this.ends.values()].filter(({ runs }) => runs.some(run => isSubset(attributes, run.attributes)))
            .length;
    }
}

function createRun({ fingerprint, hasBegun, answerMs, shared }: InterruptedRequest): InterruptedRun {
    return {
        attributes: [createContentAttribute(fingerprint), ...shared ?? []],
        answerMs: hasBegun ? answerMs ?? 0 : undefined,
    };
}

function formatRun({ attributes, answerMs }: InterruptedRun): string {
    return `${answerMs} ${attributes.join(" ")}`;
}

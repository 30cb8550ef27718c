/** Recent upstream ends and the requests they interrupted, as replicated through the log. */
import {
    countEndsByMoment,
    type Evidence,
    type InterruptedRun,
    listEvidenceAt,
    tryGetEvidence,
    type UpstreamEnd,
} from "./crashEvidence.js";
import {
    compareByScore,
    type CrashSuspect,
    findCrashSuspects,
    formatKey,
    type FoundSuspect,
    isRouteWide,
    MIN_SUSPECT_MOMENTS,
} from "./crashSuspects.js";
import { type CountedEnd, type CrashVerdict, CrashVerdicts, type LiftedCulprit } from "./crashVerdicts.js";
import { createContentAttribute } from "./requestAttributes.js";
import type {
    ClearAttributesCommand,
    ClearRequestsCommand,
    ForgetUpstreamEndsCommand,
    InterruptedRequest,
    RecordUpstreamEndCommand,
} from "./upstreamEndCommands.js";

/**
 * Retained ends; the oldest are evicted. Ten times as many as one poison request causes within seconds on a small deployment.
 * Verdicts keep their own.
 */
const MAX_ENDS = 128;
/** Retained requests of one end, over the reports of all routers. */
const MAX_RUNS_PER_END = 256;
/** Retained requests of all ends. With 200 bytes each, bounds a snapshot to about 1.6 MB. */
const MAX_RUNS = 8_192;

/** Times that the ends are judged after one entry: a new culprit explains ends of others. */
const MAX_ROUNDS = 4;

interface RecordedEnd extends UpstreamEnd {
    /** Log index of the entry that first recorded the end. */
    readonly index: number;
    runs: InterruptedRun[];
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
    readonly verdicts?: readonly CrashVerdict[];
    /** Attributes of the verdicts, for earlier versions. */
    readonly knownCulprits?: readonly (readonly string[])[];
}

export class UpstreamEndStore {
    /** Keyed by the incarnation of the upstream, oldest first. */
    private ends = new Map<string, RecordedEnd>();
    /** Inverted index, so that applying an entry does not scan all ends. */
    private byAttribute = new Map<string, Map<RecordedEnd, Evidence<RecordedEnd> | undefined>>();
    private readonly verdicts = new CrashVerdicts();
    private lastMoment = 0;
    private lastIndex = 0;
    private suspects: readonly CrashSuspect[] = [];

    applyRecord({ life, togetherWith, requests }: RecordUpstreamEndCommand, index: number): void {
        const end = this.ends.get(life) ?? this.addEnd(life, togetherWith, index);
        const known = new Set(end.runs.map(formatRun));
        const added = requests.map(createRun).filter(run => !known.has(formatRun(run)));
        end.runs.push(...added.slice(0, MAX_RUNS_PER_END - end.runs.length));
        this.updateIndex(end);
        while (this.ends.size > MAX_ENDS || (this.ends.size > 1 && this.countRuns() > MAX_RUNS)) {
            this.removeEnd(this.ends.values().next().value!);
        }
        this.recordChange(index);
    }

    applyClear({ cleared }: ClearAttributesCommand, index: number): void {
        cleared.forEach(({ attribute, upTo }) => this.clearAttribute(attribute, upTo));
        this.verdicts.applySurvivors(cleared, countEndsByMoment(this.ends.values()), index);
        this.recordChange(index);
    }

    /** Applies a command of earlier versions. */
    applyClearRequests({ fingerprints }: ClearRequestsCommand, index: number): void {
        const cleared = fingerprints.map(fingerprint => ({
            attribute: createContentAttribute(fingerprint),
            upTo: index,
        }));
        this.applyClear({ type: "clearAttributes", cleared }, index);
    }

    applyForget({ upTo }: ForgetUpstreamEndsCommand, index: number): void {
        [...this.ends.values()].filter(end => end.index <= upTo).forEach(end => this.removeEnd(end));
        this.verdicts.applyExpiry(upTo, index);
        this.recordChange(index);
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
        return this.verdicts.takeLifted();
    }

    /** Whether clearing the attribute at the ends up to a log index changes something. */
    canClear(attribute: string, upTo: number): boolean {
        const ends = this.byAttribute.get(attribute);
        return (ends !== undefined && [...ends.keys()].some(end => end.index <= upTo))
            || this.verdicts.canClear(attribute, upTo);
    }

    /** Log index of the entry that first recorded the end of `life`; undefined if it is not retained. */
    getEndIndex(life: string): number | undefined {
        return this.ends.get(life)?.index ?? this.listCountedEnds().find(end => end.life === life)?.index;
    }

    /** Log indexes of the entries that recorded the retained ends. */
    listEndIndexes(): number[] {
        const ends = [...this.ends.values(), ...this.listCountedEnds()];
        return [...new Set(ends.map(({ index }) => index))];
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
            verdicts: this.verdicts.list(),
            knownCulprits: this.verdicts.list().map(({ attributes }) => attributes),
        };
    }

    loadSnapshot({ lastIndex, lastMoment, ends, verdicts, knownCulprits = [] }: UpstreamEndSnapshot): void {
        this.lastMoment = lastMoment;
        this.ends = new Map(ends.map(({ life, index, moment, runs, requests }) => {
            const restored = runs?.map(([attributes, answerMs]) => ({ attributes, answerMs }))
                ?? requests?.map(([fingerprint, hasBegun]) => createRun({ fingerprint, hasBegun })) ?? [];
            return [life, { life, index, moment, runs: restored }];
        }));
        this.byAttribute = new Map();
        this.ends.forEach(end => this.updateIndex(end));
        this.lastIndex = lastIndex;
        this.verdicts.load(verdicts ?? knownCulprits.map(createExpiredVerdict));
        if (verdicts === undefined) {
            this.recordChange(lastIndex);
        }
        else {
            this.updateSuspects(this.findSuspects());
        }
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
        for (const [attribute, evidence] of listEvidenceAt(end)) {
            const ends = this.byAttribute.get(attribute) ?? new Map<RecordedEnd, Evidence<RecordedEnd> | undefined>();
            ends.set(end, evidence);
            this.byAttribute.set(attribute, ends);
        }
    }

    private clearAttribute(attribute: string, upTo: number): void {
        const present = this.byAttribute.get(attribute);
        for (const end of [...present?.keys() ?? []].filter(({ index }) => index <= upTo)) {
            present!.delete(end);
            end.runs = end.runs.map(run => ({
                ...run,
                attributes: run.attributes.filter(other => other !== attribute),
            })).filter(({ attributes }) => attributes.length > 0);
            this.updateIndex(end);
        }
        if (present?.size === 0) {
            this.byAttribute.delete(attribute);
        }
    }

    private removeEnd(end: RecordedEnd): void {
        this.ends.delete(end.life);
        for (const attribute of new Set(end.runs.flatMap(({ attributes }) => attributes))) {
            const present = this.byAttribute.get(attribute);
            present?.delete(end);
            if (present?.size === 0) {
                this.byAttribute.delete(attribute);
            }
        }
    }

    private countRuns(): number {
        return [...this.ends.values()].reduce((sum, { runs }) => sum + runs.length, 0);
    }

    private listCountedEnds(): readonly CountedEnd[] {
        return this.verdicts.list().flatMap(({ ends }) => ends);
    }

    private recordChange(index: number): void {
        this.lastIndex = index;
        let found = this.findSuspects();
        for (let round = 0; round < MAX_ROUNDS; round++) {
            const listEvidence = (attributes: readonly string[]) => this.listEvidenceAgainst(attributes);
            if (!this.verdicts.applySuspects(found, listEvidence, index)) {
                break;
            }
            found = this.findSuspects();
        }
        this.updateSuspects(found);
    }

    private findSuspects(): FoundSuspect<RecordedEnd>[] {
        const known = this.verdicts.list().map(({ attributes }) => ({
            attributes,
            evidence: this.listEvidenceAgainst(attributes),
        }));
        return findCrashSuspects(this.listEvidence(), countEndsByMoment(this.ends.values()), known);
    }

    private updateSuspects(found: readonly FoundSuspect[]): void {
        const culprits = this.verdicts.list().map(createSuspect);
        const keys = new Set(culprits.map(({ attributes }) => formatKey(attributes)));
        const others = found.filter(({ attributes }) => !keys.has(formatKey(attributes)));
        const suspects = [...culprits, ...others.map(createUnconvicted)];
        this.suspects = suspects.sort(compareByScore);
    }

    /** Lists the evidence against each attribute that may be suspect. Most were present at one end, and need no further work. */
    private listEvidence(): Map<string, readonly Evidence<RecordedEnd>[]> {
        const evidence = new Map<string, readonly Evidence<RecordedEnd>[]>();
        for (const [attribute, ends] of this.byAttribute) {
            if (ends.size >= MIN_SUSPECT_MOMENTS) {
                evidence.set(attribute, [...ends.values()].filter(entry => entry !== undefined).sort(compareByIndex));
            }
        }
        return evidence;
    }

    private listEvidenceAgainst(attributes: readonly string[]): Evidence<RecordedEnd>[] {
        const ends = [...this.byAttribute.get(attributes[0]!)?.keys() ?? []];
        const evidence = ends.map(end => tryGetEvidence(end, attributes)).filter(entry => entry !== undefined);
        return evidence.sort(compareByIndex);
    }
}

function compareByIndex(a: Evidence<RecordedEnd>, b: Evidence<RecordedEnd>): number {
    return a.end.index - b.end.index;
}

function createSuspect({ attributes, ends, score }: CrashVerdict): CrashSuspect {
    return { attributes, isCulprit: ends.length > 0, isProvisional: isRouteWide(attributes), ends, score };
}

function createUnconvicted({ attributes, isProvisional, ends, score }: FoundSuspect): CrashSuspect {
    return { attributes, isCulprit: false, isProvisional, ends, score };
}

/** Creates the verdict of a culprit of which an earlier version recorded only the attributes. */
function createExpiredVerdict(attributes: readonly string[]): CrashVerdict {
    return { attributes, ends: [], lastIndex: 0, score: 0 };
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

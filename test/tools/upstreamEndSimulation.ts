/**
 * Simulates engines that end and the callers whose requests they interrupt, to measure which requests are refused. One engine
 * ends each `endPeriodMs` for unrelated reasons, sometimes several at once, and a poison request ends each engine that runs it.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { countEndsByMoment, findSuspects, groupByRequest, type UpstreamEnd } from "../../src/domain/poisonRequests.js";

export interface UpstreamEndSimulationOptions {
    readonly seed: number;
    readonly engines: number;
    /** Innocent requests per second. Each `duplicateEvery`th is sent several times at once. */
    readonly requestsPerSecond: number;
    readonly duplicateEvery: number;
    /** Interval between unrelated ends. Each fifth time, a quarter of the engines end at once. */
    readonly endPeriodMs: number;
    /** Poison requests per second; 0 for none. */
    readonly poisonPerSecond: number;
    readonly culpritMoments: number;
    /** Ends within this time belong to one moment, in milliseconds. */
    readonly sameMomentMs: number;
}

export interface UpstreamEndSimulationResult {
    readonly innocents: number;
    /** Innocent requests refused at least once. */
    readonly innocentsRefused: number;
    /** Refused innocent requests that were present at every end caused by the poison request. */
    readonly indistinguishable: number;
    /** Engine ends caused by the poison request. */
    readonly poisonEnds: number;
    readonly poisonRefused: number;
}

const STEP_MS = 5;
const DURATION_MS = 60_000;
const RESTART_MS = 4_000;
const POISON = "poison";
const MIN_RUN_MS = 200;
const MAX_RUN_MS = 2_500;
const POISON_MIN_RUN_MS = 50;
const POISON_MAX_RUN_MS = 1_000;
const REPORT_DELAY_MS = 60;
const CALLER_RETRY_DELAY_MS = 300;
const ATTEMPTS_PER_TRY = 2;
const MAX_CALLER_TRIES = 2;
const DUPLICATE_COPIES = 4;

interface Run {
    readonly fingerprint: string;
    readonly callerTry: number;
    readonly attempt: number;
    readonly endsAt: number;
}

interface Engine {
    incarnation: number;
    downUntil: number;
    runs: Run[];
}

interface RecordedEnd extends UpstreamEnd {
    readonly requests: Map<string, boolean>;
}

export function simulateUpstreamEnds(options: UpstreamEndSimulationOptions): UpstreamEndSimulationResult {
    return new UpstreamEndSimulation(options).run();
}

class UpstreamEndSimulation {
    private now = 0;
    private readonly random: () => number;
    private readonly engines: Engine[];
    private ends: RecordedEnd[] = [];
    private culprits = new Set<string>();
    private suspects = new Set<string>();
    private moment = 0;
    private lastEndAt = -Infinity;
    private innocents = 0;
    private readonly refused = new Set<string>();
    private readonly indistinguishable = new Set<string>();
    private poisonEnds = 0;
    private poisonRefused = 0;
    private readonly scheduled: { readonly at: number; readonly act: () => void; }[] = [];

    constructor(private readonly options: UpstreamEndSimulationOptions) {
        const generator = xoroshiro128plus(options.seed);
        this.random = () => (generator.next() >>> 0) / 2 ** 32;
        this.engines = Array.from({ length: options.engines }, () => ({ incarnation: 0, downUntil: 0, runs: [] }));
    }

    run(): UpstreamEndSimulationResult {
        const { requestsPerSecond, poisonPerSecond, endPeriodMs } = this.options;
        let ends = 0;
        for (; this.now < DURATION_MS; this.now += STEP_MS) {
            this.runScheduled();
            if (this.random() < requestsPerSecond * STEP_MS / 1_000) {
                this.sendInnocent();
            }
            if (this.random() < poisonPerSecond * STEP_MS / 1_000) {
                this.send(POISON, 1, 1);
            }
            if (this.now > ends * endPeriodMs) {
                ends += 1;
                this.endRandomEngines(ends % 5 === 0 ? Math.ceil(this.engines.length / 4) : 1);
            }
            this.engines.forEach(engine => this.advance(engine));
        }
        const { innocents, poisonEnds, poisonRefused } = this;
        return {
            innocents,
            innocentsRefused: this.refused.size,
            indistinguishable: this.indistinguishable.size,
            poisonEnds,
            poisonRefused,
        };
    }

    private runScheduled(): void {
        const ready = this.scheduled.filter(entry => entry.at <= this.now);
        ready.forEach(entry => this.scheduled.splice(this.scheduled.indexOf(entry), 1));
        ready.forEach(entry => entry.act());
    }

    private sendInnocent(): void {
        this.innocents += 1;
        const copies = this.innocents % this.options.duplicateEvery === 0 ? DUPLICATE_COPIES : 1;
        for (let i = 0; i < copies; i++) {
            this.send(`innocent ${this.innocents}`, 1, 1);
        }
    }

    private send(fingerprint: string, callerTry: number, attempt: number): void {
        const isPoison = fingerprint === POISON;
        if (this.culprits.has(fingerprint)) {
            this.poisonRefused += isPoison ? 1 : 0;
            if (!isPoison) {
                this.recordRefused(fingerprint);
            }
            return;
        }
        const live = this.engines.filter(engine => engine.downUntil <= this.now);
        const engine = live[Math.floor(this.random() * live.length)];
        const [shortest, longest] = isPoison
            ? [POISON_MIN_RUN_MS, POISON_MAX_RUN_MS]
            : [MIN_RUN_MS, MAX_RUN_MS];
        const endsAt = this.now + shortest + this.random() * (longest - shortest);
        engine?.runs.push({ fingerprint, callerTry, attempt, endsAt });
    }

    private recordRefused(fingerprint: string): void {
        this.refused.add(fingerprint);
        const poisonedEnds = this.ends.filter(end => end.requests.has(POISON));
        if (poisonedEnds.length > 0 && poisonedEnds.every(end => end.requests.has(fingerprint))) {
            this.indistinguishable.add(fingerprint);
        }
    }

    private advance(engine: Engine): void {
        const finished = engine.runs.filter(run => run.endsAt <= this.now);
        if (finished.some(run => run.fingerprint === POISON)) {
            this.poisonEnds += 1;
            this.endEngine(engine);
            return;
        }
        engine.runs = engine.runs.filter(run => run.endsAt > this.now);
        finished.filter(run => this.suspects.has(run.fingerprint)).forEach(run => {
            this.ends.forEach(end => end.requests.delete(run.fingerprint));
            this.updateSuspects();
        });
    }

    private endRandomEngines(count: number): void {
        for (let i = 0; i < count; i++) {
            const live = this.engines.filter(engine => engine.downUntil <= this.now);
            const engine = live[Math.floor(this.random() * live.length)];
            if (engine !== undefined) {
                this.endEngine(engine);
            }
        }
    }

    private endEngine(engine: Engine): void {
        this.moment += this.now - this.lastEndAt < this.options.sameMomentMs ? 0 : 1;
        this.lastEndAt = this.now;
        const { runs } = engine;
        const requests = new Map(runs.map(run => [run.fingerprint, true]));
        const life = `${this.engines.indexOf(engine)}@${engine.incarnation}`;
        const end = { life, moment: this.moment, requests };
        if (runs.length > 0) {
            this.scheduled.push({
                at: this.now + REPORT_DELAY_MS,
                act: () => {
                    this.ends.push(end);
                    this.updateSuspects();
                },
            });
        }
        engine.incarnation += 1;
        engine.downUntil = this.now + RESTART_MS;
        engine.runs = [];
        runs.forEach(run => this.retry(run));
    }

    private retry({ fingerprint, callerTry, attempt }: Run): void {
        if (attempt < ATTEMPTS_PER_TRY) {
            this.send(fingerprint, callerTry, attempt + 1);
        }
        else if (callerTry < MAX_CALLER_TRIES) {
            this.scheduled.push({
                at: this.now + CALLER_RETRY_DELAY_MS,
                act: () => this.send(fingerprint, callerTry + 1, 1),
            });
        }
    }

    private updateSuspects(): void {
        const endCounts = countEndsByMoment(this.ends);
        const found = findSuspects(groupByRequest(this.ends), endCounts, this.options.culpritMoments);
        this.suspects = new Set(found.map(({ fingerprint }) => fingerprint));
        this.culprits = new Set(found.filter(({ isCulprit }) => isCulprit).map(({ fingerprint }) => fingerprint));
    }
}

/**
 * Plays requests of several routers at several engines in virtual time, with one step per millisecond. An engine processes prompts
 * one after the other and generates the tokens of all streams at the same speed.
 */
import { type AdmissionOptions, AdmissionPolicy } from "../../src/domain/admissionPolicy.js";
import { UpstreamLoad, type UpstreamLoadOptions } from "../../src/domain/upstreamLoad.js";
import { UpstreamModel, type UpstreamModelOptions } from "../../src/domain/upstreamModel.js";
import type { UpstreamRegistration } from "../../src/domain/upstreamRegistry.js";

export const LOAD_OPTIONS: UpstreamLoadOptions = {
    readingSpeed: { initialMsPerToken: 0.02, minSampleTokens: 2_000, smoothingFactor: 0.2 },
    waitWeight: 0.35,
    comfortablePart: 0.5,
    beyondWeight: 2,
    beyondStreamWeight: 0.2,
    disturbanceWeight: 1,
    disturbanceHalfLifeMs: 4_000,
    presumedKeptPart: 0.5,
    runningCostMs: 300,
    otherZoneCostMs: 2,
    maxParts: 1_000,
    pauseMs: 300,
    maxPauseMs: 4_000,
    failureWeight: 0.1,
    failureHalfLifeMs: 3_000,
    failureCostMs: 2_000,
};
export const MODEL_OPTIONS: UpstreamModelOptions = {
    probeIntervalMs: 1_000,
    rampMs: 3_000,
    rampStartFraction: 0.1,
    dataExpiryMs: 2_000,
};
export const ADMISSION_OPTIONS: AdmissionOptions = {
    firstTokenMargin: 1.5,
    wholeAnswerMargin: 2,
    minRetryAfterMs: 100,
    maxRetryAfterMs: 5_000,
};
export const MIN_REPORTED_TOKENS = 500;
const TOKENS_PER_EVENT = 4;
/** Delay of a notice to the other routers: two batches. */
const NOTICE_DELAY_MS = 22;

/** Returns numbers in [0, 1) that are the same in each run. */
export function createRandom(seed = 1): () => number {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}

export function createRegistration(id: string, bornAt = 1, slots = 96): UpstreamRegistration {
    return { id, bornAt, service: "s", address: `${id}:1`, zone: "z1", slots, state: "ready", sequence: 1 };
}

/** An engine. Speeds in milliseconds per token. */
export interface PlayedEngine {
    registration: UpstreamRegistration;
    readonly msPerPromptToken: number;
    readonly msPerToken: number;
    /** No tokens are generated before. */
    stalledUntil?: number;
    prefillEndsAt?: number;
    running?: number;
}

export interface PlayedRequest {
    readonly at: number;
    readonly upstream: string;
    readonly outcome: "served" | "late" | "refused";
    /** Since the request arrived. */
    readonly tookMs: number;
    readonly retryAfterMs: number | undefined;
}

export interface PlayOptions {
    readonly engines: readonly PlayedEngine[];
    /** Requests per second at each router. */
    readonly rates: readonly number[];
    readonly durationMs: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly timeoutMs: number;
    readonly hasModel: boolean;
    readonly hasAdmission: boolean;
    /** Called at each millisecond. */
    readonly onTick?: (now: number, play: UpstreamPlay) => void;
}

export class UpstreamPlay {
    readonly requests: PlayedRequest[] = [];
    readonly loads: readonly UpstreamLoad[];
    areNoticesSent = true;
    private readonly admissions: readonly AdmissionPolicy[];
    private readonly random = createRandom();
    private readonly steps = new Map<number, (() => void)[]>();
    private now = 0;

    constructor(private readonly options: PlayOptions) {
        this.loads = options.rates.map((_, i) => {
            const model = new UpstreamModel(MODEL_OPTIONS, MIN_REPORTED_TOKENS, createRandom(i + 2));
            return new UpstreamLoad("z1", LOAD_OPTIONS, options.hasModel ? model : undefined);
        });
        this.admissions = options.rates.map((_, i) => new AdmissionPolicy(ADMISSION_OPTIONS, createRandom(i + 100)));
    }

    /** Plays requests for `durationMs` and then until all have ended. */
    run(): void {
        const { durationMs, timeoutMs, rates } = this.options;
        for (; this.now < durationMs + timeoutMs; this.now++) {
            this.options.onTick?.(this.now, this);
            this.steps.get(this.now)?.forEach(step => step());
            this.steps.delete(this.now);
            if (this.now < durationMs) {
                rates.forEach((rate, router) => this.random() * 1_000 < rate && this.arrive(router));
            }
        }
    }

    count(outcome: PlayedRequest["outcome"]): number {
        return this.requests.filter(request => request.outcome === outcome).length;
    }

    private schedule(at: number, step: () => void): void {
        const time = Math.max(this.now + 1, Math.ceil(at));
        this.steps.set(time, [...this.steps.get(time) ?? [], step]);
    }

    private arrive(router: number): void {
        const { engines, promptTokens, outputTokens, timeoutMs, hasAdmission, rates } = this.options;
        const { now } = this;
        const load = this.loads[router]!;
        const demand = { parts: [], promptTokens, outputTokens };
        const context = {
            excludedIds: new Set<string>(),
            routerCount: rates.length,
            maxWaitMs: 500,
            remainingMs: timeoutMs,
        };
        const placement = load.tryChoose(engines.map(engine => engine.registration), demand, context, now)!;
        const engine = engines.find(({ registration }) => registration === placement.upstream)!;
        const end = (outcome: PlayedRequest["outcome"], retryAfterMs?: number) =>
            this.requests.push({
                at: now,
                upstream: engine.registration.id,
                outcome,
                tookMs: this.now - now,
                retryAfterMs,
            });
        const retryAfterMs = hasAdmission
            ? this.admissions[router]!.tryGetRetryAfterMs(placement.outlook, timeoutMs)
            : undefined;
        if (retryAfterMs !== undefined) {
            end("refused", retryAfterMs);
            return;
        }
        const started = load.recordStart(placement, demand, now);
        this.notify(router, placement.upstream);
        engine.running = (engine.running ?? 0) + 1;
        const deadline = now + timeoutMs;
        const firstTokenAt = Math.max(now, engine.prefillEndsAt ?? 0) + promptTokens * engine.msPerPromptToken;
        let isOver = false;
        const finish = (outcome: "served" | "late") => {
            isOver = true;
            engine.running! -= 1;
            load.recordEnd(started, outcome === "served", this.now);
            end(outcome);
        };
        let tokens = 0;
        this.schedule(deadline, () => {
            if (!isOver) {
                if (tokens === 0) {
                    load.recordUnanswered(started);
                }
                finish("late");
            }
        });
        // An engine skips the prompt of a caller that has left.
        if (firstTokenAt - promptTokens * engine.msPerPromptToken < deadline) {
            engine.prefillEndsAt = firstTokenAt;
        }
        const generate = () => {
            if (isOver) {
                return;
            }
            if (this.now < (engine.stalledUntil ?? 0)) {
                this.schedule(engine.stalledUntil!, generate);
                return;
            }
            if (tokens === 0) {
                load.recordFirstByte(started, this.now);
                this.admissions[router]!.recordFirstToken(placement.forecast?.firstTokenMs ?? 0, this.now - now);
            }
            tokens += TOKENS_PER_EVENT;
            load.recordTokens(started, TOKENS_PER_EVENT, this.now);
            if (tokens >= outputTokens) {
                finish("served");
                return;
            }
            this.schedule(this.now + TOKENS_PER_EVENT * engine.msPerToken, generate);
        };
        this.schedule(firstTokenAt, generate);
    }

    private notify(router: number, upstream: UpstreamRegistration): void {
        const { promptTokens, outputTokens } = this.options;
        if (promptTokens < MIN_REPORTED_TOKENS || !this.areNoticesSent) {
            return;
        }
        this.schedule(this.now + NOTICE_DELAY_MS, () => {
            const others = this.loads.filter((_, i) => i !== router);
            others.forEach(load => load.recordPeerRequest(upstream, promptTokens, 0, [], this.now, { outputTokens }));
        });
    }
}

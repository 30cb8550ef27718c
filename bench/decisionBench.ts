/**
 * `npm run bench:decisions`: CPU time per request of the decisions that a router makes for each one, with and without the model
 * of the upstreams: the choice of an upstream, and the admission. Fails if a decision exceeds its bound.
 */
import { AdmissionPolicy } from "../src/domain/admissionPolicy.js";
import { UpstreamLoad } from "../src/domain/upstreamLoad.js";
import { UpstreamModel } from "../src/domain/upstreamModel.js";
import {
    ADMISSION_OPTIONS,
    createRandom,
    createRegistration,
    LOAD_OPTIONS,
    MIN_REPORTED_TOKENS,
    MODEL_OPTIONS,
} from "../test/tools/upstreamPlay.js";

/** Upstreams, accounts, and the most CPU time per request, in milliseconds: a tenth of what a request costs a router. */
const SIZES = [
    { upstreams: 36, accounts: 24, maxMs: 0.1 },
    { upstreams: 1_000, accounts: 3_000, maxMs: 1 },
] as const;
/** Running requests that other routers report at each upstream. */
const REPORTED_PER_UPSTREAM = 20;
/** Requests that this router runs. */
const OWN_REQUESTS = 100;
/** Requests decided per measurement; the first ones only warm up the compiler. */
const DECISIONS = 3_000;
const ROUTER_COUNT = 26;

function createDemand(account: number, request: number) {
    const parts = [{ id: `system-${account}`, tokens: 2_000 }, { id: `own-${request}`, tokens: 400 }];
    return { parts, promptTokens: 2_400, outputTokens: 100 };
}

function measureMs(decide: (request: number) => void): number {
    for (let i = 0; i < DECISIONS; i++) {
        decide(i);
    }
    const before = process.cpuUsage();
    for (let i = 0; i < DECISIONS; i++) {
        decide(i);
    }
    const { user, system } = process.cpuUsage(before);
    return (user + system) / 1_000 / DECISIONS;
}

function runSize(size: (typeof SIZES)[number], hasModel: boolean): boolean {
    const model = new UpstreamModel(MODEL_OPTIONS, MIN_REPORTED_TOKENS, createRandom());
    const load = new UpstreamLoad("z1", LOAD_OPTIONS, hasModel ? model : undefined);
    const upstreams = Array.from({ length: size.upstreams }, (_, i) => createRegistration(`upstream-${i}`));
    const context = {
        excludedIds: new Set<string>(),
        routerCount: ROUTER_COUNT,
        maxWaitMs: 400,
        remainingMs: 5_000,
        cacheTokens: 317_000,
    };
    upstreams.forEach((upstream, i) => {
        for (let k = 0; k < REPORTED_PER_UPSTREAM; k++) {
            load.recordPeerRequest(upstream, 600, 0, [`system-${(i + k) % size.accounts}`], 0, {
                outputTokens: 10_000,
                priority: k % 10,
            });
        }
    });
    for (let i = 0; i < OWN_REQUESTS; i++) {
        const demand = createDemand(i % size.accounts, i);
        const started = load.recordStart(load.tryChoose(upstreams, demand, context, 1)!, demand, 1);
        load.recordFirstByte(started, 60);
        load.recordTokens(started, 4, 60);
        load.recordTokens(started, 4, 80);
    }
    const admission = new AdmissionPolicy(ADMISSION_OPTIONS, createRandom());
    const choose = (i: number) =>
        load.tryChoose(upstreams, createDemand(i % size.accounts, i), context, 1_000 + i / 10)!;
    const choiceMs = measureMs(choose);
    const outlook = { ...choose(0).outlook!, firstTokenMs: 20_000, endMs: 20_000, hasIdle: false, isRecent: true };
    const admissionMs = measureMs(() => admission.tryGetRetryAfterMs(outlook, 5_000));
    const totalMs = choiceMs + admissionMs;
    console.log(
        `upstreams=${size.upstreams} accounts=${size.accounts} model=${hasModel} choice_ms=${choiceMs.toFixed(4)} `
            + `admission_ms=${admissionMs.toFixed(4)} max_ms=${size.maxMs}`,
    );
    return !hasModel || totalMs <= size.maxMs;
}

const results = SIZES.flatMap(size => [runSize(size, false), runSize(size, true)]);
process.exit(results.every(Boolean) ? 0 : 1);

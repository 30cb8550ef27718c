/** Requests that upstreams cannot serve in time are refused at once, and no others. */
import t from "tap";
import { AdmissionPolicy, isShort } from "../../src/domain/admissionPolicy.js";
import type { ServiceOutlook } from "../../src/domain/upstreamSelection.js";
import {
    ADMISSION_OPTIONS,
    createRandom,
    createRegistration,
    type PlayOptions,
    UpstreamPlay,
} from "../tools/upstreamPlay.js";

const TIMEOUT_MS = 3_000;
const PLAY_MS = 30_000;
/** A large caller at one router. */
const UNEVEN_SHARES = [0.7, 0.2, 0.1];
/** What 4 engines can finish in that time, each a prompt of 4,000 tokens in 96 ms. */
const SERVABLE_REQUESTS = 4 * PLAY_MS / 96;
const BUSY: ServiceOutlook = { queueWaitMs: 900, firstTokenMs: 1_000, endMs: 1_100, hasIdle: false, isRecent: true };

function createPolicy(): AdmissionPolicy {
    return new AdmissionPolicy(ADMISSION_OPTIONS, createRandom());
}

/** `factor`: load as a multiple of what the engines can finish. `shares`: of the routers. */
function playOverload(factor: number, shares: readonly number[], hasAdmission: boolean): UpstreamPlay {
    const total = factor * SERVABLE_REQUESTS * 1_000 / PLAY_MS;
    const options: PlayOptions = {
        engines: Array.from({ length: 4 }, (_, i) => ({
            registration: createRegistration(`u${i}`),
            msPerPromptToken: 0.024,
            msPerToken: 2,
        })),
        rates: shares.map(share => total * share),
        durationMs: PLAY_MS,
        promptTokens: 4_000,
        outputTokens: 52,
        timeoutMs: TIMEOUT_MS,
        hasModel: true,
        hasAdmission,
    };
    const play = new UpstreamPlay(options);
    play.run();
    return play;
}

/** Guards against an overload in which every request waits until its deadline and upstreams work for callers that have left. */
void t.test("at twice the load that upstreams can finish, nobody waits out the deadline", t => {
    const without = playOverload(2, UNEVEN_SHARES, false);
    t.ok(without.count("late") > without.requests.length / 2, `without admission ${without.count("late")} are late`);
    const play = playOverload(2, UNEVEN_SHARES, true);
    const refused = play.requests.filter(({ outcome }) => outcome === "refused");
    t.equal(play.count("late"), 0);
    t.ok(play.count("served") > 0.95 * SERVABLE_REQUESTS, `${play.count("served")} served of ${SERVABLE_REQUESTS}`);
    t.ok(refused.every(({ tookMs }) => tookMs === 0), "the refused are refused at once");
    const waits = refused.map(request => request.retryAfterMs!);
    t.ok(waits.every(waitMs => waitMs >= 100 && waitMs <= 5_000));
    t.ok(new Set(waits).size > 20, `${new Set(waits).size} different times until a retry, ${refused.length} refused`);
    t.end();
});

/**
 * Guards against many routers that each have few answers to learn from: until they have, the margins let requests through that
 * end late.
 */
void t.test("twice the load at twenty routers: few are late until the estimates are confirmed, then none", t => {
    const play = playOverload(2, Array.from({ length: 20 }, () => 0.05), true);
    const late = play.requests.filter(({ outcome }) => outcome === "late");
    const lateAfterwards = late.filter(({ at }) => at > 4 * TIMEOUT_MS);
    t.ok(late.length < 0.1 * play.requests.length, `${late.length} of ${play.requests.length} are late`);
    t.ok(lateAfterwards.length < 0.01 * play.requests.length, `${lateAfterwards.length} of them after 12 s`);
    t.ok(play.count("served") > 0.95 * SERVABLE_REQUESTS, `${play.count("served")} served of ${SERVABLE_REQUESTS}`);
    t.end();
});

/** Guards against refusals where upstreams have time left. */
void t.test("below the load that upstreams can finish, nothing is refused", t => {
    const play = playOverload(0.8, UNEVEN_SHARES, true);
    t.equal(play.count("refused"), 0);
    t.equal(play.count("late"), 0);
    t.end();
});

/** Guards against refusals by estimates that nothing has confirmed. */
void t.test("unconfirmed estimates have to exceed the remaining time by the margins", t => {
    const policy = createPolicy();
    t.equal(policy.tryGetRetryAfterMs(BUSY, 670), undefined, "first token within 1.5 x the remaining time");
    t.type(policy.tryGetRetryAfterMs(BUSY, 660), "number");
    const long = { ...BUSY, endMs: 4_000 };
    t.equal(policy.tryGetRetryAfterMs(long, 2_010), undefined, "end within 2 x the remaining time");
    t.type(policy.tryGetRetryAfterMs(long, 1_990), "number");
    t.end();
});

/** Guards against refusals without recent data, or while an upstream is idle. */
void t.test("nothing is refused by old estimates, or while an upstream has a free slot and no backlog", t => {
    const policy = createPolicy();
    t.type(policy.tryGetRetryAfterMs(BUSY, 10), "number");
    t.equal(policy.tryGetRetryAfterMs({ ...BUSY, isRecent: false }, 10), undefined);
    t.equal(policy.tryGetRetryAfterMs({ ...BUSY, hasIdle: true }, 10), undefined);
    t.equal(policy.tryGetRetryAfterMs(undefined, 10), undefined);
    t.end();
});

/** Guards against admitting up to the margin when answers keep coming as late as expected, and against wrong corrections. */
void t.test("answers that confirm the estimates shrink the margin, and others do not", t => {
    const policy = createPolicy();
    t.equal(policy.tryGetRetryAfterMs(BUSY, 900), undefined);
    for (let i = 0; i < 20; i++) {
        policy.recordFirstToken(1_000, i % 2 === 0 ? 200 : 4_000);
    }
    t.equal(policy.tryGetRetryAfterMs(BUSY, 900), undefined, "answers far from their estimates");
    for (let i = 0; i < 40; i++) {
        policy.recordFirstToken(1_000, 1_000);
    }
    t.type(policy.tryGetRetryAfterMs(BUSY, 900), "number");
    t.equal(policy.tryGetRetryAfterMs(BUSY, 1_500), undefined);
    for (let i = 0; i < 40; i++) {
        policy.recordFirstToken(1_000, 500);
    }
    t.equal(policy.tryGetRetryAfterMs(BUSY, 900), undefined, "estimates that are twice too long are corrected");
    t.end();
});

/** Guards against retries that come all at the same time, also after long waits, which are bounded. */
void t.test("Retry-After covers the backlog, is spread out and bounded", t => {
    const policy = createPolicy();
    const draw = (endMs: number) =>
        Array.from({ length: 200 }, () => policy.tryGetRetryAfterMs({ ...BUSY, firstTokenMs: endMs, endMs }, 100)!);
    const short = draw(1_100);
    t.ok(
        Math.min(...short) >= 1_000 && Math.max(...short) <= 1_500,
        "1 s until the backlog has fallen, and half of it",
    );
    const long = draw(60_000);
    t.ok(Math.max(...long) <= 5_000);
    t.ok(Math.max(...long) - Math.min(...long) > 1_000, "spread out although bounded");
    t.ok(Math.min(...draw(160)) >= 100);
    t.end();
});

/** Guards against a shortage that is seen where an upstream could begin within the goal. */
void t.test("upstreams are short if the best one lets a request wait for more than half of its goal", t => {
    t.equal(isShort(BUSY, 1_500), true);
    t.equal(isShort(BUSY, 2_000), false);
    t.equal(isShort({ ...BUSY, hasIdle: true }, 1_500), false);
    t.equal(isShort({ ...BUSY, isRecent: false }, 1_500), false);
    t.equal(isShort(BUSY, 0), false, "no goal");
    t.equal(isShort(undefined, 1_500), false, "no model");
    t.end();
});

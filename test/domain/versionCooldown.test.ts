/**
 * Callers must not be held past their time-out on a router with a quarter of a core while new versions of a large bundle are
 * always available.
 */
import t from "tap";
import { computeCooldownMs } from "../../src/domain/versionCooldown.js";
import { type EventLoopLoad, simulateEventLoop } from "../tools/eventLoopSimulation.js";

/** How late a final answer may be after the time-out. */
const MAX_LATENESS_MS = 500;
const DURATION_MS = 60_000;
const LOAD: EventLoopLoad = {
    seed: 1,
    durationMs: DURATION_MS,
    requestsPerSecond: 25,
    timeoutMs: 2_000,
    upstreamMs: 230,
    // Three or four steps per request: about 25 ms on a quarter of a core.
    stepMs: 7,
    // 100 ms of CPU time on a quarter of a core.
    versionDecodeMs: 400,
    versionSlices: 20,
    computeCooldownMs,
};
const SEEDS = [1, 2, 3, 4, 5];

void t.test("with sliced decoding and pauses callers get a final answer in time and at least 95% are served", t => {
    for (const seed of SEEDS) {
        const outcome = simulateEventLoop({ ...LOAD, seed });
        t.ok(outcome.maxLatenessMs < MAX_LATENESS_MS, `seed ${seed}: ${JSON.stringify(outcome)}`);
        t.ok(outcome.answeredInTime > 0.95 * LOAD.requestsPerSecond * (DURATION_MS / 1_000), "served");
        t.ok(outcome.versions >= DURATION_MS / 2_000, "a version is applied at least every two seconds");
    }
    t.end();
});

void t.test("without them many callers are held past the time-out", t => {
    for (const seed of SEEDS) {
        const outcome = simulateEventLoop({ ...LOAD, seed, versionSlices: 1, computeCooldownMs: () => 0 });
        t.ok(outcome.late > 100, `seed ${seed}: ${JSON.stringify(outcome)}`);
    }
    t.end();
});

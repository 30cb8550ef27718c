/**
 * The load: a router with a quarter of a core, whose callers need two thirds of it, while versions of a large bundle are
 * there whenever it asks. Played in simulated time with the product's own clock of arrivals, rests and least time of a sending.
 */
import t from "tap";
import { computeRestMs } from "../../src/domain/versionRest.js";
import { type LoopLoad, playLoopLoad } from "../tools/loopWorld.js";

/** How long after its time-out a request may get its final answer, in milliseconds. */
const MOST_OVER_MS = 500;
const LENGTH_MS = 60_000;
const LOAD: LoopLoad = {
    seed: 1,
    lengthMs: LENGTH_MS,
    requestsPerSecond: 25,
    timeoutMs: 2_000,
    upstreamMs: 230,
    // Some 25 ms of a quarter of a core for a request.
    stepMs: 7,
    // 100 ms of processor time on a quarter of a core.
    versionMs: 400,
    versionParts: 20,
    computeRestMs,
};
const SEEDS = [1, 2, 3, 4, 5];

void t.test("with parts and rests nobody is held past the time-out, and nearly all are served", t => {
    for (const seed of SEEDS) {
        const outcome = playLoopLoad({ ...LOAD, seed });
        t.ok(outcome.latestOverMs < MOST_OVER_MS, `seed ${seed}: ${JSON.stringify(outcome)}`);
        t.ok(outcome.answeredInTime > 0.95 * LOAD.requestsPerSecond * (LENGTH_MS / 1_000), "served");
        t.ok(outcome.versions >= LENGTH_MS / 2_000, "a version comes into force every two seconds and oftener");
    }
    t.end();
});

void t.test("without them they are: the load is one that shows it", t => {
    for (const seed of SEEDS) {
        const outcome = playLoopLoad({ ...LOAD, seed, versionParts: 1, computeRestMs: () => 0 });
        t.ok(outcome.late > 100, `seed ${seed}: ${JSON.stringify(outcome)}`);
    }
    t.end();
});

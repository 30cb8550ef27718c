/**
 * The load: more callers than one small box can serve, for a whole minute, of three ranks alike, who do not come back here.
 * Played in simulated time; each step of a request costs 7 ms, so that the box can serve some 41 requests a second.
 */
import t from "tap";
import { LEAST_URGENT_RANK, OverloadGate } from "../../src/domain/overloadGate.js";
import { type LoopLoad, type LoopOutcome, playLoopLoad } from "../tools/loopWorld.js";

const LENGTH_MS = 60_000;
const SECONDS = LENGTH_MS / 1_000;
const SEEDS = [1, 2, 3, 4, 5];
const TICK_MS = 50;

function play(seed: number, requestsPerSecond: number, hasGate: boolean): LoopOutcome {
    const load: LoopLoad = {
        seed,
        lengthMs: LENGTH_MS,
        requestsPerSecond,
        timeoutMs: 2_000,
        upstreamMs: 230,
        stepMs: 7,
        versionMs: 0,
        versionParts: 1,
        computeRestMs: () => Infinity,
        hasGate,
    };
    return playLoopLoad(load);
}

void t.test("half as many callers again as the box can serve: most of what it can do is done", t => {
    for (const seed of SEEDS) {
        const before = play(seed, 60, false);
        const after = play(seed, 60, true);
        const story = `seed ${seed}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
        t.ok(after.answeredInTime > 4 * before.answeredInTime, story);
        t.ok(after.answeredInTime > 0.5 * 41 * SECONDS, "half of what it can do without refusing anybody");
        t.ok(after.runInVain < before.runInVain / 10, "hardly anything runs in vain");
        t.ok(after.latestOverMs < 500, "nobody is held past the time-out");
    }
    t.end();
});

void t.test("the more urgent ranks go first, and none is left without any service", t => {
    for (const seed of SEEDS) {
        const { inTimeByRank, askedByRank } = play(seed, 60, true);
        const [first, second, third] = inTimeByRank.map((inTime, rank) => inTime / askedByRank[rank]!);
        t.ok(
            first! > second! && second! > third! && third! > 0.05,
            `seed ${seed}: ${[first, second, third].join(" ")}`,
        );
    }
    t.end();
});

void t.test("nobody is refused where the box can serve all", t => {
    for (const seed of SEEDS) {
        t.equal(play(seed, 35, true).refusedAtOnce, 0);
    }
    t.end();
});

void t.test("one late turn refuses nobody, and overload is over soon after the loop is in time", t => {
    const gate = new OverloadGate();
    gate.recordTick(190);
    t.equal(gate.getRefusedPart(LEAST_URGENT_RANK), 0);
    for (let i = 0; i < 100; i++) {
        gate.recordTick(1_000);
    }
    t.ok(gate.getRefusedPart(0) < 1, "never all");
    for (let ms = 0; ms < 5_000; ms += TICK_MS) {
        gate.recordTick(0);
    }
    t.equal(gate.getRefusedPart(LEAST_URGENT_RANK), 0);
    t.end();
});

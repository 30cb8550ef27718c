/**
 * Guards against routers that accept more than they can serve, so that every answer is late, and against refusals where a
 * router could serve the request.
 */
import t from "tap";
import { LoadShedding, type OverloadSample } from "../../src/domain/loadShedding.js";
import { RelaySimulation } from "../tools/relaySimulation.js";

const SETTLED_MS = 3_000;
const PLAY_MS = 15_000;
const GOAL_MS = 150;
const OVERLOAD: OverloadSample = {
    utilization: 1,
    lagMs: 200,
    maxLagMs: 37.5,
    isRelayExhausted: true,
    isShortOfSpare: false,
    relayedFraction: 0,
};

/** One router with 1.6 times the load that it can serve, and no other one. */
function playOverload(isRefusing: boolean) {
    const simulation = new RelaySimulation([{ cores: 0.184, connectionsPerSecond: 100 }], 2, isRefusing);
    simulation.run(PLAY_MS, () => undefined);
    const requests = simulation.requests.filter(({ at }) => at >= SETTLED_MS);
    const onTimeFractions = [0, 1, 2].map(rank => {
        const ofRank = requests.filter(request => request.rank === rank);
        return ofRank.filter(({ retryAfterMs, waitMs }) => retryAfterMs === undefined && waitMs < GOAL_MS).length
            / ofRank.length;
    });
    return { onTimeFractions, refused: requests.filter(({ retryAfterMs }) => retryAfterMs !== undefined) };
}

function sampleFor(shedding: LoadShedding, sample: OverloadSample, ms: number): void {
    for (let now = 0; now <= ms; now += 100) {
        for (let i = 0; i < 10; i++) {
            shedding.tryRefuse(i % 2 === 0 ? 0 : 8, () => 0.99);
        }
        shedding.recordSample(sample, now);
    }
}

void t.test("an overloaded router serves the most urgent on time, and refuses the rest soon with a time to retry", t => {
    const { onTimeFractions, refused } = playOverload(true);
    t.ok(onTimeFractions[0]! > 0.7, `on time by rank: ${onTimeFractions.join(", ")}`);
    t.ok(onTimeFractions[0]! > onTimeFractions[1]! && onTimeFractions[1]! > onTimeFractions[2]!);
    t.ok(onTimeFractions[2]! > 0, "the least urgent rank does not starve");
    const retryAfterMs = refused.map(request => request.retryAfterMs!);
    t.ok(Math.min(...retryAfterMs) >= 300 && Math.max(...retryAfterMs) <= 1_200);
    t.ok(Math.max(...retryAfterMs) - Math.min(...retryAfterMs) > 800, "retries are spread out");
    t.ok(refused.every(({ waitMs }) => waitMs < GOAL_MS * 2), "refused soon");
    t.end();
});

void t.test("without the decision nobody is served on time", t => {
    t.same(playOverload(false).onTimeFractions, [0, 0, 0]);
    t.end();
});

void t.test("nothing is refused unless the router is busy, lags, and can relay no more", t => {
    const samples: readonly [string, OverloadSample][] = [
        ["more can be relayed", { ...OVERLOAD, isRelayExhausted: false }],
        ["a single long turn of an idle router", { ...OVERLOAD, utilization: 0.5 }],
        ["busy, and quick enough", { ...OVERLOAD, lagMs: 30 }],
        ["no latency goals", { ...OVERLOAD, maxLagMs: undefined }],
    ];
    for (const [what, sample] of samples) {
        const shedding = new LoadShedding();
        sampleFor(shedding, sample, 5_000);
        t.equal(shedding.tryRefuse(8, () => 0), undefined, what);
    }
    t.end();
});

void t.test("no other router has spare capacity: a saturated router refuses at half of the lag", t => {
    for (const isShortOfSpare of [false, true]) {
        const shedding = new LoadShedding();
        sampleFor(shedding, { ...OVERLOAD, lagMs: 30, isShortOfSpare }, 2_000);
        t.equal(shedding.tryRefuse(8, () => 0) !== undefined, isShortOfSpare);
    }
    t.end();
});

void t.test("the least urgent rank is refused first, and refusals end with the overload", t => {
    const shedding = new LoadShedding();
    sampleFor(shedding, OVERLOAD, 500);
    t.not(shedding.tryRefuse(8, () => 0), undefined);
    t.equal(shedding.tryRefuse(0, () => 0), undefined);
    sampleFor(shedding, { ...OVERLOAD, utilization: 0.5, lagMs: 0 }, 5_000);
    t.equal(shedding.tryRefuse(8, () => 0), undefined);
    t.equal(shedding.getAdmittedFraction(), 1);
    t.end();
});

void t.test("every rank keeps a tenth of its requests during the longest overload", t => {
    const shedding = new LoadShedding();
    sampleFor(shedding, OVERLOAD, 60_000);
    t.not(shedding.tryRefuse(8, () => 0.89), undefined);
    t.equal(shedding.tryRefuse(8, () => 0.9), undefined);
    t.end();
});

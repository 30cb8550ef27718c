/**
 * Guards against a router that stays ready although it cannot accept all connections of a large caller, and against routers
 * that take each other out of the balancer.
 */
import t from "tap";
import { OverloadReadiness, type ReadinessSample } from "../../src/domain/overloadReadiness.js";

const SAMPLE_MS = 100;
const overloaded: ReadinessSample = {
    utilization: 0.98,
    isRelayExhausted: true,
    knownNeighbours: 7,
    spareNeighbours: 6,
};
const calm: ReadinessSample = { ...overloaded, utilization: 0.3, isRelayExhausted: false };

/** Plays samples for a time and returns for how long the router was not ready, in milliseconds. */
function play(readiness: OverloadReadiness, sample: ReadinessSample, from: number, to: number): number {
    let notReadyMs = 0;
    for (let now = from; now < to; now += SAMPLE_MS) {
        readiness.recordSample(sample, now);
        notReadyMs += readiness.isReady() ? 0 : SAMPLE_MS;
    }
    return notReadyMs;
}

void t.test("a lasting overload makes the router not ready for a time, so that callers move", async t => {
    const readiness = new OverloadReadiness();
    t.equal(play(readiness, overloaded, 0, 1_000), 0, "the balancer reacts too late to a short burst");
    t.equal(play(readiness, overloaded, 1_000, 1_100), 100);
    t.equal(play(readiness, calm, 1_100, 20_000), 3_900, "two failed probes take two seconds");
    t.ok(readiness.isReady());
});

void t.test("a caller that comes back is sent away for longer, up to a bound", async t => {
    const readiness = new OverloadReadiness();
    const holds: number[] = [];
    let now = 0;
    while (holds.length < 5) {
        play(readiness, overloaded, now, now + 1_100);
        const heldMs = play(readiness, calm, now + 1_100, now + 30_000);
        holds.push(heldMs + SAMPLE_MS);
        now += 1_100 + heldMs + 1_000;
    }
    t.same(holds, [4_000, 8_000, 16_000, 16_000, 16_000]);
    play(readiness, calm, now, now + 30_000);
    play(readiness, overloaded, now + 30_000, now + 31_100);
    t.equal(play(readiness, calm, now + 31_100, now + 60_000), 3_900, "an overload much later is another one");
});

void t.test("the router stays ready if its neighbours could not take over its callers", async t => {
    for (const spareNeighbours of [0, 3]) {
        t.equal(play(new OverloadReadiness(), { ...overloaded, spareNeighbours }, 0, 20_000), 0);
    }
    t.equal(play(new OverloadReadiness(), { ...overloaded, knownNeighbours: 0, spareNeighbours: 0 }, 0, 20_000), 0);
});

void t.test("the router is ready again as soon as its neighbours have no spare capacity any more", async t => {
    const readiness = new OverloadReadiness();
    play(readiness, overloaded, 0, 1_100);
    t.notOk(readiness.isReady());
    readiness.recordSample({ ...overloaded, spareNeighbours: 1 }, 1_200);
    t.ok(readiness.isReady());
});

void t.test("the router stays ready as long as it can relay more, or is not busy", async t => {
    t.equal(play(new OverloadReadiness(), { ...overloaded, isRelayExhausted: false }, 0, 20_000), 0);
    t.equal(play(new OverloadReadiness(), { ...overloaded, utilization: 0.85 }, 0, 20_000), 0);
});

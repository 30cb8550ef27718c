/**
 * Simulates many routers that send to upstreams of a restored zone, all of them cold for three seconds.
 *
 * The load: each router has six requests queued and receives about six more per second, and all prefer the upstreams
 * that have just returned, since they are idle. Guards against overload: a cold upstream accepts 10 requests per
 * second, and fails above 20 in any second.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import t from "tap";
import { DistributedRateLimiter } from "../../src/domain/distributedRateLimiter.js";
import type { UpstreamRegistration } from "../../src/domain/upstreamRegistry.js";

const COLD_PER_SECOND = 10;
/** 1.5 times the cold rate plus a burst of five requests: an upstream fails above it. */
const MAX_REQUESTS_PER_SECOND = 20;
const COLD_MS = 3_000;
const QUEUED_REQUESTS = 6;
const ARRIVALS_PER_SECOND = 6.4;
/** Maximum time until a router learns of the upstreams, and maximum transmission time of a request. */
const MAX_DISCOVERY_DELAY_MS = 50;
const MAX_NETWORK_DELAY_MS = 4;

interface Scenario {
    readonly seed: number;
    readonly routers: number;
    /** Fraction of its peers that a router does not know. */
    readonly unknownFraction: number;
}

interface Outcome {
    readonly peakPerSecond: number;
    /** Requests per second sent to an upstream, on average. */
    readonly meanPerSecond: number;
}

function simulateZoneReturn({ seed, routers, unknownFraction }: Scenario): Outcome {
    const generator = xoroshiro128plus(seed);
    const draw = () => (generator.next() >>> 0) / 2 ** 32;
    const upstreams = Array.from({ length: Math.round(routers * 0.42) }, (_, i) => createUpstream(`${seed}-${i}`));
    const arrivals = new Map(upstreams.map(upstream => [upstream.id, [] as number[]]));
    const names = Array.from({ length: routers }, (_, i) => `10.0.${seed}.${i}:7340`);
    for (const name of names) {
        const sharing = new DistributedRateLimiter(name, draw, 0);
        const others = names.filter(other => other !== name && draw() >= unknownFraction);
        sharing.setPeers(others, routers);
        sharing.enable();
        for (const now of drawRequestTimes(draw)) {
            const available = upstreams.find(upstream => sharing.getNextSendAt(upstream, COLD_PER_SECOND, now) <= now);
            if (available !== undefined) {
                sharing.recordSend(available, COLD_PER_SECOND, now);
                arrivals.get(available.id)!.push(now + draw() * MAX_NETWORK_DELAY_MS);
            }
        }
    }
    const counts = [...arrivals.values()];
    const total = counts.reduce((sum, times) => sum + times.length, 0);
    return {
        peakPerSecond: Math.max(...counts.map(computePeakPerSecond)),
        meanPerSecond: total / upstreams.length / (COLD_MS / 1_000),
    };
}

function createUpstream(id: string): UpstreamRegistration {
    return { id, service: "s", address: `${id}:1`, zone: "z", slots: 64, state: "ready", sequence: 1 };
}

/** Draws the times of a router's requests, in ascending order. */
function drawRequestTimes(draw: () => number): number[] {
    const discoveredAt = draw() * MAX_DISCOVERY_DELAY_MS;
    const times = Array.from({ length: QUEUED_REQUESTS }, () => discoveredAt + draw() * 20);
    for (let at = discoveredAt; at < COLD_MS; at -= Math.log(1 - draw()) * 1_000 / ARRIVALS_PER_SECOND) {
        times.push(at);
    }
    return times.sort((a, b) => a - b);
}

function computePeakPerSecond(times: readonly number[]): number {
    const sorted = [...times].sort((a, b) => a - b);
    return Math.max(0, ...sorted.map(from => sorted.filter(at => at >= from && at <= from + 1_000).length));
}

/** Returns the highest peak and the average rate over several seeds. */
function simulateSeeds(seeds: number, routers: number, unknownFraction = 0): Outcome {
    const outcomes = Array.from(
        { length: seeds },
        (_, i) => simulateZoneReturn({ seed: i + 1, routers, unknownFraction }),
    );
    return {
        peakPerSecond: Math.max(...outcomes.map(({ peakPerSecond }) => peakPerSecond)),
        meanPerSecond: outcomes.reduce((sum, { meanPerSecond }) => sum + meanPerSecond, 0) / seeds,
    };
}

for (const [routers, seeds] of [[3, 20], [30, 20], [300, 2]] as const) {
    void t.test(`${routers} routers`, t => {
        const { peakPerSecond, meanPerSecond } = simulateSeeds(seeds, routers);
        t.ok(peakPerSecond <= MAX_REQUESTS_PER_SECOND, `${peakPerSecond} requests in the peak second`);
        t.ok(meanPerSecond > COLD_PER_SECOND / 2, `${meanPerSecond.toFixed(1)} requests per second on average`);
        t.end();
    });
}

void t.test("30 routers with partial membership, as after a network partition", t => {
    for (const unknownFraction of [0.3, 0.7]) {
        const { peakPerSecond } = simulateSeeds(20, 30, unknownFraction);
        t.ok(
            peakPerSecond <= MAX_REQUESTS_PER_SECOND,
            `${peakPerSecond} requests in the peak second with ${unknownFraction} of peers unknown`,
        );
    }
    t.end();
});

void t.test("the interval is kept while routers join and leave", t => {
    const sharing = new DistributedRateLimiter("r1", () => 0, 0);
    sharing.enable();
    const upstream = createUpstream("u");
    let sent = 0;
    for (let now = 0; now < 10_000; now += 10) {
        if (now % 50 === 0) {
            sharing.setPeers(Array.from({ length: 1 + now / 50 % 2 }, (_, i) => `r${i + 2}`), 3);
        }
        if (sharing.getNextSendAt(upstream, COLD_PER_SECOND, now) <= now) {
            sharing.recordSend(upstream, COLD_PER_SECOND, now);
            sent += 1;
        }
    }
    t.ok(sent <= 10 * COLD_PER_SECOND / 2, `${sent} requests in 10 s by one of two or three routers`);
    t.end();
});

void t.test("a router that has just started does not send to cold upstreams", t => {
    const sharing = new DistributedRateLimiter("r1", () => 0, 0);
    const upstream = createUpstream("u");
    t.equal(sharing.getNextSendAt(upstream, COLD_PER_SECOND, 0), Infinity);
    sharing.enable();
    t.equal(sharing.getNextSendAt(upstream, COLD_PER_SECOND, 0), 0);
    t.end();
});

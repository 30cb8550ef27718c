/** Guards against a saturated router beside idle ones, against load that moves back and forth, and against unusable routers. */
import t from "tap";
import { ConnectionRelayPolicy, MAX_KNOWN_LOADS, type RouterLoad } from "../../src/domain/connectionRelayPolicy.js";
import { RelaySimulation } from "../tools/relaySimulation.js";

const OPTIONS = { targetUtilization: 0.6, maxFraction: 0.97, loadExpiryMs: 2_000, backoffMs: 1_000 };
const SETTLED_MS = 3_000;
const PLAY_MS = 12_000;
const IDLE_LOAD: RouterLoad = {
    address: "r2",
    relayAddress: "r2:1",
    revision: 1,
    utilization: 0.1,
    cores: 0.3,
    isAccepting: true,
};

/** A router whose utilization was high for a while. */
function createBusyPolicy(isReachable: (address: string) => boolean = () => true) {
    const policy = new ConnectionRelayPolicy(OPTIONS, isReachable);
    for (let now = 0; now <= 2_000; now += 100) {
        policy.recordUtilization(1, now);
    }
    return policy;
}

/** Returns the routers chosen for 100 connections at 2,000 ms, by number of connections. */
function countChoices(policy: ConnectionRelayPolicy, revision: number | undefined, now = 2_000) {
    const counts = new Map<string, number>();
    let value = 0;
    for (let i = 0; i < 100; i++) {
        const router = policy.tryChooseRouter(revision, now, () => value = (value + 0.618) % 1);
        if (router !== undefined) {
            counts.set(router.address, 1 + (counts.get(router.address) ?? 0));
        }
    }
    return Object.fromEntries(counts);
}

function computeDeviation(values: readonly number[]): number {
    const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
    return Math.sqrt(values.reduce((sum, value) => sum + (value - mean) ** 2, 0) / values.length);
}

/** Three routers of which half the CPU time is needed, most of it by a caller of the first one. */
function playLargeCaller(seed: number, isRelaying: boolean) {
    const routers = [
        { cores: 0.184, connectionsPerSecond: 70 },
        { cores: 0.243, connectionsPerSecond: 15 },
        { cores: 0.4, connectionsPerSecond: 20 },
    ];
    const simulation = new RelaySimulation(routers, seed, isRelaying);
    const utilizations: number[] = [];
    const fractions: number[] = [];
    simulation.run(PLAY_MS, (current, currentFractions) => {
        if (simulation.now >= SETTLED_MS) {
            utilizations.push(...current);
            fractions.push(currentFractions[0]!);
        }
    });
    const requests = simulation.requests.filter(({ at }) => at >= SETTLED_MS);
    const onTimeCount =
        requests.filter(({ retryAfterMs, waitMs }) => retryAfterMs === undefined && waitMs < 150).length;
    return {
        highest: Math.max(...utilizations),
        fractionDeviation: computeDeviation(fractions),
        onTimeFraction: onTimeCount / requests.length,
    };
}

void t.test("a large caller is served by three routers: all on time, no router above 0.8, and the fraction settles", t => {
    for (const seed of [1, 2, 3, 4, 5, 6]) {
        const { highest, fractionDeviation, onTimeFraction } = playLargeCaller(seed, true);
        t.ok(highest < 0.8, `utilization at most ${highest}`);
        // Changes between all and nothing have a deviation of 0.5.
        t.ok(fractionDeviation < 0.1, `standard deviation of the fraction: ${fractionDeviation}`);
        t.equal(onTimeFraction, 1);
    }
    t.end();
});

void t.test("without the decision the same caller is served late by a saturated router", t => {
    const { highest, onTimeFraction } = playLargeCaller(1, false);
    t.ok(highest > 0.99);
    t.ok(onTimeFraction < 0.1, `${onTimeFraction} on time`);
    t.end();
});

void t.test("nothing is relayed at the target utilization, and soon nothing any more after an overload", t => {
    const policy = new ConnectionRelayPolicy(OPTIONS, () => true);
    for (let now = 0; now <= 60_000; now += 100) {
        policy.recordUtilization(0.6, now);
    }
    policy.recordLoad(IDLE_LOAD, 60_000);
    t.same(countChoices(policy, 1, 60_000), {});
    const busy = createBusyPolicy();
    t.equal(busy.getFraction().toFixed(2), "0.97", "never all connections: some show whether it is still overloaded");
    for (let now = 2_000; now <= 6_000; now += 100) {
        busy.recordUtilization(0.2, now);
    }
    t.equal(busy.getFraction(), 0);
    t.end();
});

void t.test("connections are distributed by spare capacity", t => {
    const policy = createBusyPolicy();
    policy.recordLoad({ ...IDLE_LOAD, utilization: 0.5, cores: 0.5 }, 2_000);
    policy.recordLoad({ ...IDLE_LOAD, address: "r3", utilization: 0.1, cores: 0.3 }, 2_000);
    const { r2, r3 } = countChoices(policy, 1);
    t.ok(r3! > 2 * r2!, `${r2} and ${r3}`);
    t.end();
});

void t.test("all routers of the zone are busy: no router relays", t => {
    const policy = createBusyPolicy();
    policy.recordLoad({ ...IDLE_LOAD, utilization: 0.6 }, 2_000);
    policy.recordLoad({ ...IDLE_LOAD, address: "r3", utilization: 0.9 }, 2_000);
    t.same(countChoices(policy, 1), {});
    t.end();
});

void t.test("load notices stop arriving: the router serves its connections itself", t => {
    const policy = createBusyPolicy();
    policy.recordLoad(IDLE_LOAD, 0);
    t.not(countChoices(policy, 1, 2_000).r2, undefined);
    t.same(countChoices(policy, 1, 2_001), {});
    t.end();
});

void t.test("a router with another configuration is not used: callers would see an older one after a newer one", t => {
    const policy = createBusyPolicy();
    policy.recordLoad(IDLE_LOAD, 2_000);
    t.same(countChoices(policy, 2), {});
    t.same(countChoices(policy, undefined), {}, "no configuration yet");
    t.end();
});

void t.test("a router that stops, that is lost, or to which a connection has failed is not used", t => {
    const unreachable = new Set<string>();
    const policy = createBusyPolicy(address => !unreachable.has(address));
    policy.recordLoad({ ...IDLE_LOAD, isAccepting: false }, 2_000);
    t.same(countChoices(policy, 1), {}, "stopping");
    policy.recordLoad(IDLE_LOAD, 2_000);
    unreachable.add("r2");
    t.same(countChoices(policy, 1), {}, "lost");
    unreachable.clear();
    policy.recordFailure("r2", 2_000);
    t.same(countChoices(policy, 1, 2_999), {}, "connection failed");
    t.not(countChoices(policy, 1, 3_001).r2, undefined, "used again after the backoff");
    t.end();
});

void t.test("the number of known loads is bounded", t => {
    const policy = createBusyPolicy();
    for (let i = 0; i < 2 * MAX_KNOWN_LOADS; i++) {
        policy.recordLoad({ ...IDLE_LOAD, address: `r${i}` }, 2_000);
    }
    t.equal(policy.countSpare(1, 2_000), MAX_KNOWN_LOADS);
    t.end();
});

/**
 * Simulates many routers that share an upstream with a rate limit.
 *
 * The load: every router sends five requests per second to one upstream, which names a limit from time 0 until later.
 * Guards against two failures: each router applies the limit separately, so that the upstream is overloaded, and the
 * upstream stays limited after its recovery.
 */
import t from "tap";
import { LimitSimulation, type LimitSimulationOptions } from "../tools/limitSimulation.js";

const COMPLIANCE_MS = 3_000;
const WINDOW_MS = 4_000;
const LIMITED_MS = 20_000;
const SEEDS = 6;
const BASE = { demandPerSecond: 5, limitedMs: LIMITED_MS, unknownFraction: 0, noticeLossFraction: 0 } as const;

/** Allows 1.5 times the limit plus a burst of five requests. */
function computeMaxRequestsPerWindow(limit: number): number {
    return 1.5 * limit * WINDOW_MS / 1_000 + 5;
}

function simulateSeeds(options: Omit<LimitSimulationOptions, "seed">, endMs: number, seeds = SEEDS): LimitSimulation[] {
    return Array.from({ length: seeds }, (_, i) => {
        const simulation = new LimitSimulation({ ...options, seed: i + 1 });
        simulation.run(endMs);
        return simulation;
    });
}

function computePeak(simulations: readonly LimitSimulation[]): number {
    return Math.max(...simulations.map(simulation => simulation.computePeakRequests(COMPLIANCE_MS, WINDOW_MS)));
}

for (const [routers, seeds] of [[1, SEEDS], [3, SEEDS], [30, SEEDS], [300, 2]] as const) {
    void t.test(`${routers} routers respect a limit together, and use most of it`, t => {
        for (const limit of [0.25, 1, 7.5, 40]) {
            const simulations = simulateSeeds({ ...BASE, routers, limitPerSecond: limit }, LIMITED_MS, seeds);
            const peak = computePeak(simulations);
            t.ok(peak <= computeMaxRequestsPerWindow(limit), `limit ${limit}: ${peak} requests in ${WINDOW_MS} ms`);
            const rates = simulations.map(simulation => simulation.getRate(COMPLIANCE_MS, LIMITED_MS));
            const used = rates.reduce((sum, rate) => sum + rate, 0) / seeds;
            const usable = Math.min(limit, routers * BASE.demandPerSecond);
            t.ok(used <= limit * 1.1 + 0.1, `limit ${limit}: ${used.toFixed(2)} requests per second`);
            t.ok(used >= usable / 2 - 0.1, `limit ${limit}: ${used.toFixed(2)} requests per second sent`);
        }
        t.end();
    });
}

void t.test("30 routers with partial membership and lost notices", t => {
    for (const [unknownFraction, noticeLossFraction] of [[0.3, 0.3], [0.7, 0.5], [0, 1]] as const) {
        const simulations = simulateSeeds({
            ...BASE,
            routers: 30,
            limitPerSecond: 1,
            unknownFraction,
            noticeLossFraction,
        }, LIMITED_MS);
        const peak = computePeak(simulations);
        t.ok(
            peak <= computeMaxRequestsPerWindow(1),
            `${peak} requests with ${unknownFraction} of peers unknown and ${noticeLossFraction} of notices lost`,
        );
    }
    t.end();
});

void t.test("the end of a limit is detected by all routers, including those that did not use the upstream", t => {
    for (const [routers, seeds] of [[3, SEEDS], [30, SEEDS], [300, 2]] as const) {
        for (const simulation of simulateSeeds({ ...BASE, routers, limitPerSecond: 1 }, LIMITED_MS + 6_000, seeds)) {
            t.equal(simulation.countRoutersWithLimit(), 0, `${routers} routers`);
            t.ok(simulation.notices <= 4 * routers, `${simulation.notices} notices`);
        }
    }
    t.end();
});

void t.test("if all notices are lost, each router detects the end of the limit itself", t => {
    const [simulation] = simulateSeeds(
        { ...BASE, routers: 3, limitPerSecond: 1, noticeLossFraction: 1 },
        LIMITED_MS + 120_000,
        1,
    );
    t.equal(simulation!.countRoutersWithLimit(), 0);
    t.end();
});

void t.test("restarted routers learn the limit and respect it", t => {
    const simulations = simulateSeeds(
        { ...BASE, routers: 30, limitPerSecond: 1, restartIntervalMs: 1_000 },
        LIMITED_MS,
    );
    const peak = computePeak(simulations);
    t.ok(peak <= computeMaxRequestsPerWindow(1), `${peak} requests in ${WINDOW_MS} ms`);
    t.end();
});

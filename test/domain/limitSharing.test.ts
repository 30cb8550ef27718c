/**
 * An upstream that names a limit, before many routers, in simulated time.
 *
 * The load: every router has five requests a second for one upstream, which names a limit from 0 on and takes it back later.
 * What callers see otherwise: an upstream in need gets as many times what it takes as there are routers, and one that is
 * well again is left out for good.
 */
import t from "tap";
import { LimitWorld, type LimitWorldOptions } from "../tools/limitWorld.js";

const COMPLY_MS = 3_000;
const SPAN_MS = 4_000;
const LIMITED_MS = 20_000;
const SEEDS = 6;
const BASE = { demand: 5, limitedMs: LIMITED_MS, unknownPart: 0, lostPart: 0 } as const;

/** Half as much again as the limit allows, and five. */
function getTolerated(limit: number): number {
    return 1.5 * limit * SPAN_MS / 1_000 + 5;
}

/** Plays several seeds; answers the worlds. */
function playSeeds(options: Omit<LimitWorldOptions, "seed">, endMs: number, seeds = SEEDS): LimitWorld[] {
    return Array.from({ length: seeds }, (_, i) => {
        const world = new LimitWorld({ ...options, seed: i + 1 });
        world.play(endMs);
        return world;
    });
}

function getBusiest(worlds: readonly LimitWorld[]): number {
    return Math.max(...worlds.map(world => world.countBusiest(COMPLY_MS, SPAN_MS)));
}

for (const [routers, seeds] of [[1, SEEDS], [3, SEEDS], [30, SEEDS], [300, 2]] as const) {
    void t.test(`${routers} routers keep to a limit together, and use most of it`, t => {
        for (const limit of [0.25, 1, 7.5, 40]) {
            const worlds = playSeeds({ ...BASE, routers, limit }, LIMITED_MS, seeds);
            const busiest = getBusiest(worlds);
            t.ok(busiest <= getTolerated(limit), `limit ${limit}: ${busiest} in ${SPAN_MS} ms`);
            const rates = worlds.map(world => world.getRate(COMPLY_MS, LIMITED_MS));
            const used = rates.reduce((sum, rate) => sum + rate, 0) / seeds;
            const usable = Math.min(limit, routers * BASE.demand);
            t.ok(used <= limit * 1.1 + 0.1, `limit ${limit}: ${used.toFixed(2)} a second`);
            t.ok(used >= usable / 2 - 0.1, `limit ${limit}: ${used.toFixed(2)} a second are used`);
        }
        t.end();
    });
}

void t.test("30 routers that know only some of each other and hear only some notices", t => {
    for (const [unknownPart, lostPart] of [[0.3, 0.3], [0.7, 0.5], [0, 1]] as const) {
        const worlds = playSeeds({ ...BASE, routers: 30, limit: 1, unknownPart, lostPart }, LIMITED_MS);
        const busiest = getBusiest(worlds);
        t.ok(busiest <= getTolerated(1), `${busiest} where ${unknownPart} are unknown and ${lostPart} lost`);
    }
    t.end();
});

void t.test("the end of a limit is noticed by all, also by those that did not use the upstream", t => {
    for (const [routers, seeds] of [[3, SEEDS], [30, SEEDS], [300, 2]] as const) {
        for (const world of playSeeds({ ...BASE, routers, limit: 1 }, LIMITED_MS + 6_000, seeds)) {
            t.equal(world.countBelievers(), 0, `${routers} routers`);
            t.ok(world.notices <= 4 * routers, `${world.notices} notices`);
        }
    }
    t.end();
});

void t.test("where no router hears another, the end is noticed by each on its own", t => {
    const [world] = playSeeds({ ...BASE, routers: 3, limit: 1, lostPart: 1 }, LIMITED_MS + 120_000, 1);
    t.equal(world!.countBelievers(), 0);
    t.end();
});

void t.test("routers that start anew learn the limit and keep to it", t => {
    const worlds = playSeeds({ ...BASE, routers: 30, limit: 1, restartMs: 1_000 }, LIMITED_MS);
    const busiest = getBusiest(worlds);
    t.ok(busiest <= getTolerated(1), `${busiest} in ${SPAN_MS} ms`);
    t.end();
});

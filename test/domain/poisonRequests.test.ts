/** Poison requests are identified as culprits, and innocent requests are not refused for them. */
import t from "tap";
import {
    countEndsByMoment,
    findSuspects,
    groupByRequest,
    type PoisonSuspect,
    type UpstreamEnd,
} from "../../src/domain/poisonRequests.js";
import {
    simulateUpstreamEnds,
    type UpstreamEndSimulationOptions,
    type UpstreamEndSimulationResult,
} from "../tools/upstreamEndSimulation.js";

const SEEDS = 20;
/** Every twentieth request is sent four times at once; one engine of eight ends each 2 s, and a quarter of them each 10 s. */
const BASE_OPTIONS: Omit<UpstreamEndSimulationOptions, "seed"> = {
    engines: 8,
    requestsPerSecond: 40,
    duplicateEvery: 20,
    endPeriodMs: 2_000,
    poisonPerSecond: 0,
    culpritMoments: 3,
    sameMomentMs: 60,
};

/**
 * Keys are lives, optionally with a moment after a colon; by default each life has its own moment. Each letter of a value is a
 * request.
 */
function createEnds(requestsByLife: Record<string, string>, startedRequests = ""): UpstreamEnd[] {
    return Object.entries(requestsByLife).map(([life, names], i) => ({
        life,
        moment: Number(life.split(":")[1] ?? i + 100),
        requests: new Map(names.split("").map(name => [name, startedRequests.includes(name)])),
    }));
}

function listSuspects(ends: UpstreamEnd[]): PoisonSuspect[] {
    return findSuspects(groupByRequest(ends), countEndsByMoment(ends));
}

function findCulprits(ends: UpstreamEnd[]): string {
    return listSuspects(ends).filter(({ isCulprit }) => isCulprit).map(({ fingerprint }) => fingerprint).sort().join(
        "",
    );
}

void t.test("a request that is present at three moments is a culprit, at two moments a suspect", async t => {
    t.equal(findCulprits(createEnds({ a: "px", b: "py", c: "pz" })), "p");
    t.equal(findCulprits(createEnds({ a: "px", b: "py" })), "");
    t.same(listSuspects(createEnds({ a: "px", b: "py" })).map(({ fingerprint }) => fingerprint), ["p"]);
});

void t.test("a request that is present by chance is not a culprit", async t => {
    t.equal(findCulprits(createEnds({ a: "pi", b: "pi", c: "pi", d: "p" })), "p");
    t.equal(findCulprits(createEnds({ a: "pi", b: "pi", c: "pi" }, "p")), "p", "the other had not started");
    t.equal(findCulprits(createEnds({ a: "pi", b: "pi", c: "pqi", d: "pq", e: "q", f: "q" })), "pq", "two culprits");
});

void t.test("of two requests with the same ends, neither is a culprit until one more end distinguishes them", async t => {
    const together = { a: "pi", b: "pi", c: "pi" };
    t.equal(findCulprits(createEnds(together)), "");
    t.equal(findCulprits(createEnds({ ...together, d: "p" })), "p");
    t.equal(findCulprits(createEnds({ ...together, d: "pi" })), "ip", "both are culprits if it does not");
    t.equal(
        findCulprits(createEnds({ a: "p", b: "p", c: "p", d: "q", e: "q", f: "q" })),
        "pq",
        "two culprits without a shared end",
    );
});

void t.test("ends at one moment count once, such as those of all upstreams of a failed box", async t => {
    t.equal(findCulprits(createEnds({ "a:1": "i", "b:1": "i", "c:1": "i", "d:2": "i" })), "");
    t.equal(findCulprits(createEnds({ "a:1": "p", "b:1": "p", "c:2": "p", "d:3": "p" })), "p", "copies of a culprit");
});

void t.test("a moment does not count for a request that was present at only some of its ends", async t => {
    t.equal(findCulprits(createEnds({ "a:1": "i", "b:1": "x", "c:2": "i", "d:3": "i" })), "");
    t.equal(findCulprits(createEnds({ "a:1": "i", "b:1": "x", "c:2": "i", "d:3": "i", "e:4": "i" })), "i");
});

void t.test("the result does not depend on the recording order", async t => {
    const ends = createEnds({ a: "pix", b: "piy", c: "pqi", d: "pq", e: "q" }, "pq");
    for (let i = 0; i < ends.length; i++) {
        const rotated = [...ends.slice(i), ...ends.slice(0, i)];
        t.equal(findCulprits(rotated), findCulprits(ends));
        t.equal(findCulprits(rotated.reverse()), "p", "too few unexplained ends are left for the other");
    }
});

function runSeeds(options: Partial<UpstreamEndSimulationOptions>): UpstreamEndSimulationResult[] {
    return Array.from({ length: SEEDS }, (_, i) => simulateUpstreamEnds({ ...BASE_OPTIONS, ...options, seed: i + 1 }));
}

function sum(results: readonly UpstreamEndSimulationResult[], field: keyof UpstreamEndSimulationResult): number {
    return results.reduce((total, result) => total + result[field], 0);
}

void t.test("innocent requests are not refused if upstreams end for unrelated reasons", async t => {
    const small = runSeeds({});
    t.equal(sum(small, "innocentsRefused"), 0, `of ${sum(small, "innocents")}`);
    const large = runSeeds({ engines: 50, requestsPerSecond: 100 });
    t.equal(sum(large, "innocentsRefused"), 0, `of ${sum(large, "innocents")}`);
});

// In seed 1 the four copies of one request are present at each upstream that the poison request ends, so nothing distinguishes
// the two.
void t.test("a poison request is refused after a few ends, and no other request is", async t => {
    const loads = [{ endPeriodMs: Infinity, poisonPerSecond: 4 }, { endPeriodMs: 3_000, poisonPerSecond: 4 }];
    for (const load of loads) {
        const results = runSeeds(load);
        const refused = sum(results, "innocentsRefused");
        t.equal(
            refused,
            sum(results, "indistinguishable"),
            `${refused} of ${sum(results, "innocents")}, none distinguishable from the poison request`,
        );
        t.ok(refused <= 1);
        t.ok(results.every(({ poisonEnds }) => poisonEnds <= 8), "three, and those of runs in flight");
        t.ok(results.every(({ poisonRefused }) => poisonRefused > 150));
    }
});

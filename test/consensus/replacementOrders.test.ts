/**
 * Guards against a replica set that loses accepted entries, or bears fewer losses than promised, after controllers were replaced,
 * restarted, paused and cut off in any order. The environment variable
 * `LOOMWINCH_ORDER_SEEDS` (`FIRST-LAST`) runs other seeds.
 */
import t, { type Test } from "tap";
import { ControllerSimulation, createHistory, type SimulationHistory } from "../tools/controllerSimulation.js";
import { ReplacementOrders } from "../tools/replacementOrders.js";
import { VirtualTime } from "../tools/virtualTime.js";

const FOUNDERS = 5;
const EVENTS = 9;
const REPLICA_SET = { toleratedLosses: 2, silentAfterMs: 300, removeAfterMs: 1_500 };
const CATCH_UP_MS = 2 * REPLICA_SET.silentAfterMs;
/** Virtual time within which the events of one order end. */
const MAX_ORDER_MS = 60_000;
const PAIRS = 3;
/** Fraction of requests, and of answers, that are lost during the orders of even seeds. */
const LOSS_RATE = 0.03;

function listSeeds(): number[] {
    const range = /^(\d+)-(\d+)$/.exec(process.env["LOOMWINCH_ORDER_SEEDS"] ?? "")?.slice(1).map(Number);
    return range === undefined
        ? [1, 2, 3, 4, 5]
        : Array.from({ length: range[1]! - range[0]! + 1 }, (_, i) => range[0]! + i);
}

/** Checks that the fleet goes on with all it had accepted when two of its controllers lose their journals and all restart. */
async function checkLossOfTwo(
    t: Test,
    simulation: ControllerSimulation,
    names: readonly string[],
    lost: readonly string[],
): Promise<void> {
    const copy = simulation.createCopy(simulation.time, 1, names);
    lost.forEach(name => copy.eraseJournal(name));
    names.forEach(name => copy.start(name, names));
    const { acceptedRevision } = copy.history;
    void copy.runProposals();
    const goesOn = await copy.waitUntil(
        () =>
            copy.history.acceptedRevision > acceptedRevision
            && copy.listRunning().every(({ replica }) =>
                (replica.state.bundle.tryGet()?.revision ?? 0) >= acceptedRevision
            ),
        CATCH_UP_MS,
    );
    copy.stopProposing();
    t.ok(goesOn, `after the loss of ${lost.join(", ")}`, goesOn ? {} : { trace: copy.history.trace });
    t.same(copy.history.violations, []);
    names.forEach(name => copy.kill(name));
}

function listPairs(names: readonly string[]): string[][] {
    return names.flatMap((name, i) => names.slice(i + 1).map(other => [name, other]));
}

async function playOrder(t: Test, time: VirtualTime, seed: number, history: SimulationHistory): Promise<void> {
    const simulation = new ControllerSimulation(time, seed, REPLICA_SET, history);
    const orders = new ReplacementOrders(simulation, {
        toleratedLosses: REPLICA_SET.toleratedLosses,
        catchUpMs: CATCH_UP_MS,
        removeAfterMs: REPLICA_SET.removeAfterMs,
    });
    orders.startFounders(FOUNDERS);
    void simulation.runProposals();
    t.ok(await simulation.waitUntil(() => history.acceptedRevision > 0, 1_000), "a first proposal is accepted");
    if (seed % 2 === 0) {
        simulation.faults.lossRate = LOSS_RATE;
        simulation.faults.duplicateRate = LOSS_RATE;
    }
    let isEnded = false;
    void orders.runEvents(EVENTS).then(() => isEnded = true);
    t.ok(await simulation.waitUntil(() => isEnded, MAX_ORDER_MS), "the order ends");

    simulation.faults.lossRate = 0;
    simulation.faults.duplicateRate = 0;
    const boundAt = orders.getLastEventAt() + CATCH_UP_MS;
    await simulation.waitUntil(() => false, boundAt - time.getMonotonicMs());
    const tolerance = simulation.tryComputeTolerance();
    t.ok(tolerance !== undefined, "there is a leader");
    t.ok(
        (tolerance?.lossesBorne ?? -1) >= REPLICA_SET.toleratedLosses,
        `the set bears the promised losses: ${JSON.stringify(tolerance)}`,
    );
    const leaderSet = simulation.tryGetLeader()?.replica.replicas;
    const running = simulation.listRunning();
    t.same(
        running.filter(({ name }) => leaderSet?.has(name) !== true).map(({ name }) => name),
        [],
        "all that run are replicas",
    );
    const nonVoting = running.filter(({ name, replica }) =>
        !replica.isElectable() || leaderSet?.isVoter(name) !== true
    );
    // One that would make the number of voters even stands by.
    const standby = running.length % 2 === 0 ? 1 : 0;
    t.ok(nonVoting.length <= standby, `${nonVoting.map(({ name }) => name)} of ${running.length} that run do not vote`);

    const names = simulation.listRunning().map(({ name }) => name);
    simulation.stopProposing();
    names.forEach(name => simulation.kill(name));
    const pairs = listPairs(names);
    const first = Math.floor(simulation.random() * pairs.length);
    for (let i = 0; i < PAIRS; i++) {
        await checkLossOfTwo(t, simulation, names, pairs[(first + i * 2) % pairs.length]!);
    }
    t.same(history.violations, []);
}

for (const seed of listSeeds()) {
    void t.test(`controllers are replaced while others fail, and two of them may be lost afterwards (seed ${seed})`, async t => {
        const time = new VirtualTime();
        const history = createHistory();
        time.enable();
        try {
            await playOrder(t, time, seed, history);
        }
        finally {
            time.release();
        }
        if (!t.passing()) {
            history.trace.forEach(line => t.comment(line));
        }
    });
}

/**
 * Guards against controllers that were removed but vote for too long, against votes withdrawn for a pause of the leader, and against
 * controllers that find no way back into the replica set.
 */
import t, { type Test } from "tap";
import type { PeerProgress } from "../../src/consensus/peerProgress.js";
import { ReplicaSetMonitor } from "../../src/consensus/replicaSetMonitor.js";
import { ReplicaSetReconciler } from "../../src/consensus/replicaSetReconciler.js";
import type { ReplicatedLog } from "../../src/consensus/replicatedLog.js";
import type { Command, Replica } from "../../src/domain/commands.js";
import { NoLog } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { type Controller, ControllerSimulation, ELECTION_TIMEOUT_MS } from "../tools/controllerSimulation.js";
import { formatLink, MemoryNetwork } from "../tools/memoryNetwork.js";
import { VirtualProcess, VirtualTime } from "../tools/virtualTime.js";

const FOUNDERS = ["a:1", "b:1", "c:1", "d:1", "e:1"];
const SUCCESSOR = "f:1";
const REPLICA_SET = { toleratedLosses: 2, silentAfterMs: 1_200, removeAfterMs: 3_000 };
/** Within which a fleet of running controllers elects a leader or changes its set. */
const SETTLING_MS = 500;

function addTest(name: string, play: (t: Test, simulation: ControllerSimulation) => Promise<void>): void {
    void t.test(name, async t => {
        const time = new VirtualTime();
        const simulation = new ControllerSimulation(time, 1, REPLICA_SET);
        time.enable();
        try {
            FOUNDERS.forEach(name => simulation.start(name, FOUNDERS, FOUNDERS));
            void simulation.runProposals();
            await waitFor(simulation, "a leader", () => simulation.history.acceptedRevision > 0);
            await play(t, simulation);
            t.same(simulation.history.violations, []);
        }
        finally {
            time.release();
        }
        if (!t.passing()) {
            simulation.history.trace.forEach(line => t.comment(line));
        }
    });
}

async function waitFor(
    simulation: ControllerSimulation,
    what: string,
    isTrue: () => boolean,
    timeoutMs = SETTLING_MS,
): Promise<void> {
    if (!await simulation.waitUntil(isTrue, timeoutMs)) {
        throw new Error(`waited in vain for ${what}:\n${simulation.history.trace.join("\n")}`);
    }
}

async function pass(simulation: ControllerSimulation, ms: number): Promise<void> {
    await simulation.waitUntil(() => false, ms);
}

function isVoter(simulation: ControllerSimulation, name: string): boolean {
    return simulation.tryGetLeader()?.replica.replicas.isVoter(name) === true;
}

function isReplica(simulation: ControllerSimulation, name: string): boolean {
    return simulation.tryGetLeader()?.replica.replicas.list().some(replica => replica.name === name) === true;
}

function getFollower(simulation: ControllerSimulation): Controller {
    return simulation.listRunning().find(({ name, replica }) => !replica.isLeader() && name !== SUCCESSOR)!;
}

async function startSuccessor(simulation: ControllerSimulation): Promise<void> {
    simulation.start(SUCCESSOR, FOUNDERS);
    await waitFor(simulation, "the successor to stand by", () => {
        const leader = simulation.tryGetLeader();
        const successor = simulation.listRunning().find(({ name }) => name === SUCCESSOR)!;
        return leader?.replica.replicas.has(SUCCESSOR) === true && successor.replica.hasCaughtUp();
    });
}

addTest("the silence of a lost controller does not begin anew with a new leader", async (t, simulation) => {
    await startSuccessor(simulation);
    const lost = getFollower(simulation).name;
    const leader = simulation.tryGetLeader()!.name;
    simulation.kill(lost);
    await pass(simulation, REPLICA_SET.silentAfterMs - 200);
    t.ok(isVoter(simulation, lost), "it may answer yet");
    simulation.kill(leader);
    await waitFor(simulation, "another leader", () => ![undefined, leader].includes(simulation.tryGetLeader()?.name));
    await waitFor(simulation, "the withdrawal of the vote", () => !isVoter(simulation, lost));
    t.ok(isVoter(simulation, leader), "the former leader has been silent for a shorter time");
});

addTest(
    "a controller that answers a new leader at once keeps its vote, however long the former one did not hear it",
    async (t, simulation) => {
        await startSuccessor(simulation);
        const paused = getFollower(simulation);
        const leader = simulation.tryGetLeader()!.name;
        paused.process.pause();
        await pass(simulation, REPLICA_SET.silentAfterMs - 20);
        simulation.kill(leader);
        await waitFor(
            simulation,
            "another leader",
            () => ![undefined, leader].includes(simulation.tryGetLeader()?.name),
        );
        await pass(simulation, ELECTION_TIMEOUT_MS / 2);
        paused.process.resume();
        await simulation.waitUntil(() => !isVoter(simulation, paused.name), SETTLING_MS);
        t.ok(isVoter(simulation, paused.name));
    },
);

addTest("an announced stop withdraws the vote of a controller whose successor votes", async (t, simulation) => {
    await startSuccessor(simulation);
    const leaving = getFollower(simulation);
    void simulation.time.runIn(leaving.process, () => leaving.reconciler.runLeave());
    await waitFor(simulation, "the withdrawal of the vote", () => !isVoter(simulation, leaving.name));
    await pass(simulation, SETTLING_MS);
    t.notOk(isVoter(simulation, leaving.name), "it is not promoted while it announces its stop");
    t.ok(leaving.replica.isConnectedToMajority(), "it goes on following");
});

addTest("an announced stop of the leader withdraws its vote once its successor votes", async (t, simulation) => {
    const leaving = simulation.tryGetLeader()!;
    void simulation.time.runIn(leaving.process, () => leaving.reconciler.runLeave());
    await pass(simulation, SETTLING_MS);
    t.ok(isVoter(simulation, leaving.name), "without a successor");
    simulation.start(SUCCESSOR, FOUNDERS);
    await waitFor(simulation, "the withdrawal of the vote", () => {
        return isVoter(simulation, SUCCESSOR) && !isVoter(simulation, leaving.name);
    });
    // The change may not be committed yet.
    await pass(simulation, ELECTION_TIMEOUT_MS);
    simulation.kill(leaving.name);
    await waitFor(
        simulation,
        "another leader",
        () => ![undefined, leaving.name].includes(simulation.tryGetLeader()?.name),
    );
    t.equal(simulation.tryComputeTolerance()?.lossesBorne, 2);
});

addTest("an announced stop without a successor withdraws no vote", async (t, simulation) => {
    const leaving = getFollower(simulation);
    void simulation.time.runIn(leaving.process, () => leaving.reconciler.runLeave());
    await simulation.waitUntil(() => !isVoter(simulation, leaving.name), SETTLING_MS);
    t.ok(isVoter(simulation, leaving.name));
    simulation.kill(leaving.name);
    await simulation.waitUntil(() => !isVoter(simulation, leaving.name), REPLICA_SET.removeAfterMs + SETTLING_MS);
    t.ok(isVoter(simulation, leaving.name), "nor does its absence");
});

/** Pauses a follower until it was removed from the set. `leaderIsLost`: another leader removes it. */
async function pauseUntilRemoved(
    simulation: ControllerSimulation,
    paused: Controller,
    leaderIsLost: boolean,
): Promise<void> {
    paused.process.pause();
    await pass(simulation, REPLICA_SET.silentAfterMs + SETTLING_MS);
    const leader = simulation.tryGetLeader()!.name;
    if (leaderIsLost) {
        simulation.kill(leader);
        await waitFor(simulation, "another leader", () => simulation.tryGetLeader() !== undefined);
        simulation.start(leader, FOUNDERS);
    }
    await waitFor(simulation, "the removal", () => {
        return simulation.tryGetLeader() !== undefined && !isReplica(simulation, paused.name);
    }, REPLICA_SET.removeAfterMs + SETTLING_MS);
    await pass(simulation, SETTLING_MS);
}

addTest(
    "a controller that was removed while paused is added again by way of the replicas in its own log",
    async (t, simulation) => {
        await startSuccessor(simulation);
        const { name } = getFollower(simulation);
        simulation.kill(name);
        const paused = simulation.start(name, ["gone:1"]);
        await waitFor(simulation, "contact", () => paused.replica.isConnectedToMajority());
        await pauseUntilRemoved(simulation, paused, false);
        paused.process.resume();
        await simulation.waitUntil(() => isReplica(simulation, name), SETTLING_MS);
        t.ok(isReplica(simulation, name));
        await loseAnother(simulation, paused);
    },
);

/** Loses another follower, in whose place a controller that stands by votes. */
async function loseAnother(simulation: ControllerSimulation, standby: Controller): Promise<void> {
    const lost = simulation.listRunning().find(({ name, replica }) => !replica.isLeader() && name !== standby.name)!;
    simulation.kill(lost.name);
    const hasReplaced = (): boolean => isVoter(simulation, standby.name) && !isVoter(simulation, lost.name);
    await waitFor(simulation, "the vote", hasReplaced, REPLICA_SET.silentAfterMs + SETTLING_MS);
    await pass(simulation, SETTLING_MS);
}

/** Lets a controller return that was removed, over a link on which its answers to the leader are late. Returns the changes of the set. */
async function returnLate(simulation: ControllerSimulation, paused: Controller): Promise<string[]> {
    const traced = simulation.history.trace.length;
    const link = formatLink(paused.name, simulation.tryGetLeader()!.name);
    simulation.cutLinks.add(link);
    paused.process.resume();
    await waitFor(simulation, "the addition", () => isReplica(simulation, paused.name));
    await pass(simulation, 2 * ELECTION_TIMEOUT_MS);
    simulation.cutLinks.delete(link);
    await pass(simulation, SETTLING_MS);
    await loseAnother(simulation, paused);
    return simulation.history.trace.slice(traced).flatMap(line => /"reason":"(\w+)"/.exec(line)?.[1] ?? []);
}

addTest(
    "a controller that returns to another leader is added once, and not removed for its former silence",
    async (t, simulation) => {
        await startSuccessor(simulation);
        const paused = getFollower(simulation);
        await pauseUntilRemoved(simulation, paused, true);
        t.same(await returnLate(simulation, paused), ["added", "caughtUp", "silent"]);
    },
);

/** Pauses each leader until `name` leads. */
async function changeLeaderTo(simulation: ControllerSimulation, name: string): Promise<void> {
    while (simulation.tryGetLeader()?.name !== name) {
        const former = simulation.tryGetLeader()!;
        former.process.pause();
        await waitFor(simulation, "another leader", () => simulation.tryGetLeader() !== undefined);
        former.process.resume();
        await waitFor(simulation, "the end of the former term", () => !former.replica.isLeader());
        await pass(simulation, 2 * ELECTION_TIMEOUT_MS);
    }
}

addTest(
    "a controller that returns to a leader which led before it was removed is added once",
    async (t, simulation) => {
        await startSuccessor(simulation);
        const [first, second] = simulation.listRunning().sort((a, b) =>
            Number(b.replica.isLeader()) - Number(a.replica.isLeader())
        );
        await changeLeaderTo(simulation, second!.name);
        const paused = simulation.listRunning().find(({ name }) => name !== first!.name && name !== second!.name)!;
        await pauseUntilRemoved(simulation, paused, false);
        await changeLeaderTo(simulation, first!.name);
        t.same(await returnLate(simulation, paused), ["added", "caughtUp", "silent"]);
    },
);

addTest(
    "the silence of a lost controller does not begin anew with a leader that is elected again",
    async (t, simulation) => {
        await startSuccessor(simulation);
        const lost = getFollower(simulation).name;
        const leader = simulation.tryGetLeader()!;
        const term = leader.replica.getTerm();
        simulation.kill(lost);
        await pass(simulation, REPLICA_SET.silentAfterMs - SETTLING_MS);
        // Only the leader goes on appending entries, and none of them arrives, so that none of the others can be elected.
        const others = simulation.listRunning().filter(({ name }) => name !== leader.name);
        others.forEach(({ name, process }) => {
            simulation.cutLinks.add(formatLink(leader.name, name));
            process.pause();
        });
        await waitFor(simulation, "the leader to step down", () => !leader.replica.isLeader());
        simulation.cutLinks.clear();
        others.forEach(({ process }) => process.resume());
        await waitFor(simulation, "its election", () => leader.replica.isLeader());
        t.ok(leader.replica.getTerm() > term);
        t.ok(isVoter(simulation, lost), "it may answer yet");
        await waitFor(simulation, "the withdrawal of the vote", () => !isVoter(simulation, lost));
    },
);

/** Names of voters, as addresses, of a set with one more voter than two losses need. */
const SIX = [...FOUNDERS, SUCCESSOR];

void t.test("a leader that was stalled withdraws no vote before an election timeout has passed", async t => {
    const time = new VirtualTime();
    const process = new VirtualProcess();
    const self = SIX[0]!;
    const late = SIX[5]!;
    const answeredAt = new Map<string, number>();
    const proposed: Command[] = [];
    let voters: Replica[] = SIX.map(name => ({ name, address: name, voting: true }));
    const replica = {
        replicas: { list: () => voters },
        isStopped: () => false,
        isLeader: () => true,
        isReplicaSetCommitted: () => true,
        getTerm: () => 1,
        getCommitIndex: () => 1,
        tryGetPeerProgress: (name: string): PeerProgress | undefined => {
            const at = answeredAt.get(name) ?? time.getMonotonicMs();
            const times = { lastContactAt: at, lastVotingAnswerAt: at, lastAnswerAt: at };
            return name === self ? undefined : { ...times, nextIndex: 2, matchIndex: 1, isMember: true };
        },
        propose: (command: Command) => {
            proposed.push(command);
            voters = command.type === "setReplicas" ? command.replicas : voters;
            return Promise.resolve({ index: 1, result: { type: "accepted" } });
        },
    };
    const network = new MemoryNetwork(
        self,
        new Map(),
        { lossRate: 0, duplicateRate: 0, partitioned: new Set() },
        () => 0.5,
    );
    const reconciler = new ReplicaSetReconciler(
        replica as unknown as ReplicatedLog,
        network,
        time,
        new NoLog(),
        new ReplicaSetMonitor(new NoLog(), new NoMetrics(), REPLICA_SET),
        {
            self: { name: self, address: self },
            periodMs: 25,
            callTimeoutMs: ELECTION_TIMEOUT_MS,
            replicaSet: REPLICA_SET,
        },
    );
    const passTime = async (ms: number): Promise<void> => {
        const end = time.getMonotonicMs() + ms;
        void time.wait(ms + 1);
        await time.run(() => time.getMonotonicMs() >= end, () => undefined);
    };
    time.enable();
    try {
        // Another answer to the leader arrives after its stall than those of the others.
        const stallAndMiss = async (): Promise<void> => {
            process.pause();
            answeredAt.set(SIX[4]!, time.getMonotonicMs());
            answeredAt.set(late, time.getMonotonicMs());
            await passTime(REPLICA_SET.silentAfterMs + 100);
            process.resume();
        };
        void time.runIn(process, () => reconciler.runReconciliation());
        await passTime(SETTLING_MS);
        await stallAndMiss();
        await passTime(ELECTION_TIMEOUT_MS - 10);
        t.same(proposed, [], "while they may answer yet");
        answeredAt.clear();
        await passTime(SETTLING_MS);
        t.same(proposed, [], "after they have answered");
        await stallAndMiss();
        await passTime(SETTLING_MS);
        t.equal(proposed.length, 1, "one that goes on not answering");
    }
    finally {
        time.release();
    }
});

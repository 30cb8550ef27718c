/** Guards against a controller that joins late, or never, because the first addresses that it knows are gone and do not answer. */
import t, { type Test } from "tap";
import { LogStorage } from "../../src/consensus/logStorage.js";
import { joinMethod } from "../../src/consensus/messages.js";
import { ReplicaSetMonitor } from "../../src/consensus/replicaSetMonitor.js";
import { ReplicaSetReconciler } from "../../src/consensus/replicaSetReconciler.js";
import { ReplicatedLog } from "../../src/consensus/replicatedLog.js";
import { createRefusal, RefusalError } from "../../src/domain/resultCodes.js";
import { SystemClock } from "../../src/ports/clock.js";
import { NoLog } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { Peer, PeerHandlers, type PeerMethod, PeerNetwork } from "../../src/ports/peer.js";
import { FakeJournal } from "../tools/fakes.js";
import { wait, waitUntil } from "../tools/waiting.js";

const ELECTION_TIMEOUT_MS = 400;
const REPLICA_SET = { toleratedLosses: 1, silentAfterMs: 1_000, removeAfterMs: 2_000 };

/** No address answers; the addresses that were asked to add a controller are recorded. */
class SilentNetwork extends PeerNetwork {
    readonly asked = new Set<string>();
    count = 0;

    override connect(): Promise<Peer> {
        return Promise.reject(new RefusalError(createRefusal("peerGone")));
    }

    override async call<P, R>(address: string, method: PeerMethod<P, R>, _params: P, timeoutMs: number): Promise<R> {
        if (method.name === joinMethod.name) {
            this.asked.add(address);
            this.count += 1;
        }
        await wait(timeoutMs);
        throw new RefusalError(createRefusal("peerTimeout", method.name, "unknown"));
    }
}

function startController(
    t: Test,
    network: PeerNetwork,
    seeds: readonly string[],
    records: readonly object[] = [],
): PeerHandlers {
    const clock = new SystemClock();
    const storage = new LogStorage({ journal: new FakeJournal(true), records, tornBytes: 0 }, clock);
    const replica = new ReplicatedLog(storage, network, clock, new NoLog(), {
        name: "self",
        address: "self",
        others: [],
        isInitialReplica: false,
        isFirstStart: false,
        electionTimeoutMs: ELECTION_TIMEOUT_MS,
        heartbeatMs: 20,
        proposeTimeoutMs: 300,
        snapshotEvery: 100,
        random: Math.random,
    });
    const monitor = new ReplicaSetMonitor(new NoLog(), new NoMetrics(), REPLICA_SET);
    const reconciler = new ReplicaSetReconciler(replica, network, clock, new NoLog(), monitor, {
        self: { name: "self", address: "self" },
        periodMs: 20,
        callTimeoutMs: ELECTION_TIMEOUT_MS,
        replicaSet: REPLICA_SET,
    });
    const handlers = new PeerHandlers();
    replica.addHandlers(handlers);
    t.teardown(() => replica.stop());
    replica.start();
    void reconciler.runJoinRequests(() => seeds);
    return handlers;
}

void t.test("a successor asks a living seed although the seeds before it do not answer", async t => {
    const network = new SilentNetwork();
    startController(t, network, ["gone1", "gone2", "living"]);
    await waitUntil("a request to the living seed", () => network.asked.has("living"), ELECTION_TIMEOUT_MS / 2);
});

void t.test("a controller that hears no leader asks the replicas of its own log, although it is a voter there and its seeds are gone", async t => {
    const network = new SilentNetwork();
    const replicas = ["self", "a", "b"].map(name => ({ name, address: name, voting: true }));
    startController(t, network, ["gone"], [
        { type: "member" },
        { type: "term", term: 1 },
        { type: "entries", entries: [{ index: 1, term: 1, at: 0, command: { type: "setReplicas", replicas } }] },
    ]);
    await waitUntil(
        "requests to the replicas",
        () => network.asked.has("a") && network.asked.has("b"),
        ELECTION_TIMEOUT_MS * 3,
    );
});

void t.test("a replica that stands by as a non-voter does not ask again and again while it hears the leader", async t => {
    const network = new SilentNetwork();
    const replicas = ["self", "a", "b"].map(name => ({ name, address: name, voting: name !== "self" }));
    const handlers = startController(t, network, ["seed"], [
        { type: "member" },
        { type: "term", term: 1 },
        { type: "entries", entries: [{ index: 1, term: 1, at: 0, command: { type: "setReplicas", replicas } }] },
    ]);
    const heartbeat = { term: 1, leader: "a", previousIndex: 1, previousTerm: 1, commitIndex: 1, entries: [] };
    const hear = async (ms: number): Promise<void> => {
        for (const until = performance.now() + ms; performance.now() < until; await wait(20)) {
            await handlers.handle("log.append", heartbeat, undefined as never);
        }
    };
    await hear(ELECTION_TIMEOUT_MS * 2);
    network.count = 0;
    await hear(ELECTION_TIMEOUT_MS);
    t.equal(network.count, 0);
});

/** Guards against a leader that was elected by its own vote although the vote had been withdrawn: two leaders in one term. */
import t from "tap";
import { ElectionReporter } from "../../src/consensus/electionReporter.js";
import { LogStorage } from "../../src/consensus/logStorage.js";
import { ReplicaSet } from "../../src/consensus/replicaSet.js";
import { ReplicatedLog } from "../../src/consensus/replicatedLog.js";
import { VoteRequester } from "../../src/consensus/voting.js";
import { SystemClock } from "../../src/ports/clock.js";
import { NoLog } from "../../src/ports/log.js";
import { PeerHandlers, type PeerNetwork } from "../../src/ports/peer.js";
import { FakeJournal } from "../tools/fakes.js";
import { wait, waitUntil } from "../tools/waiting.js";

const SIX = [..."abcdef"].map(name => ({ name, address: `${name}:1`, voting: true }));

void t.test("a replica whose vote was withdrawn during its pre-vote does not lead with two of five votes", async t => {
    const storage = new LogStorage({
        journal: new FakeJournal(true),
        records: [
            { type: "member" },
            { type: "term", term: 1 },
            {
                type: "entries",
                entries: [{ index: 1, term: 1, at: 0, command: { type: "setReplicas", replicas: SIX } }],
            },
        ],
        tornBytes: 0,
    });
    const preVotes: (() => void)[] = [];
    const network = {
        call: async (address: string, { name }: { name: string; }) => {
            if (name.toLowerCase().includes("prevote")) {
                await new Promise<void>(resolve => preVotes.push(resolve));
                if (["b:1", "c:1", "d:1"].includes(address)) {
                    return { term: 1, granted: true, isMember: true };
                }
            }
            else if (name.toLowerCase().includes("vote") && ["b:1", "c:1"].includes(address)) {
                return { term: 2, granted: true, isMember: true };
            }
            await wait(50);
            throw new Error(`cut off: ${name}`);
        },
    } as unknown as PeerNetwork;
    const replica = new ReplicatedLog(storage, network, new SystemClock(), new NoLog(), {
        name: "e",
        address: "e:1",
        others: [],
        isInitialReplica: true,
        electionTimeoutMs: 60,
        heartbeatMs: 12,
        proposeTimeoutMs: 300,
        snapshotEvery: 2000,
        random: Math.random,
    });
    t.teardown(() => replica.stop());
    const handlers = new PeerHandlers();
    replica.addHandlers(handlers);
    replica.start();
    await waitUntil("pre-vote", () => preVotes.length >= 5);
    const replicas = SIX.map(r => ({ ...r, voting: r.name !== "e" }));
    await handlers.handle("log.append", {
        term: 1,
        leader: "a",
        previousIndex: 1,
        previousTerm: 1,
        commitIndex: 1,
        entries: [{ index: 2, term: 1, at: 0, command: { type: "setReplicas", replicas } }],
    }, undefined as never);
    t.notOk(replica.replicas.isVoter("e"), "its vote is withdrawn");
    preVotes.splice(0).forEach(resolve => resolve());
    await wait(40);
    t.notOk(replica.isLeader(), `leads term ${replica.getTerm()} with the votes of b and c, of a, b, c, d, f`);
});

void t.test("a candidate that is no voter does not count its own vote", async t => {
    const storage = new LogStorage({ journal: new FakeJournal(true), records: [], tornBytes: 0 });
    await storage.append([{
        index: 1,
        term: 1,
        at: 0,
        command: {
            type: "setReplicas",
            replicas: [..."abcdef"].map(name => ({ name, address: `${name}:1`, voting: name !== "e" })),
        },
    }]);
    const granting = new Set(["b:1", "c:1"]);
    const network = {
        call: async (address: string) => {
            if (granting.has(address)) {
                return { term: 2, granted: true };
            }
            throw new Error("cut off");
        },
    } as unknown as PeerNetwork;
    const replicas = new ReplicaSet(storage, { name: "e", address: "e:1", others: [] });
    const requester = new VoteRequester(
        network,
        replicas,
        new ElectionReporter(new NoLog(), new SystemClock()),
        50,
        () => undefined,
    );
    t.notOk(
        await requester.requestVotes("vote", { term: 2, candidate: "e", lastIndex: 1, lastTerm: 1 }),
        "two of five votes",
    );
});

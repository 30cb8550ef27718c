/**
 * Guards against refusing changes in the middle of an election although the next leader would accept them, and against
 * holding them up at a controller that is cut off.
 */
import t from "tap";
import { LogStorage } from "../../src/consensus/logStorage.js";
import { appendMethod } from "../../src/consensus/messages.js";
import { ReplicatedLog } from "../../src/consensus/replicatedLog.js";
import { NoLog } from "../../src/ports/log.js";
import { type Peer, PeerHandlers, type PeerNetwork } from "../../src/ports/peer.js";
import { FakeClock, FakeJournal } from "../tools/fakes.js";

const ELECTION_TIMEOUT_MS = 500;

void t.test("a follower expects a leader for six election timeouts after it heard of the last one", async t => {
    const clock = new FakeClock();
    const storage = new LogStorage({ journal: new FakeJournal(true), records: [], tornBytes: 0 }, clock);
    const handlers = new PeerHandlers();
    const replica = new ReplicatedLog(storage, {} as PeerNetwork, clock, new NoLog(), {
        name: "a",
        others: ["b", "c"].map(name => ({ name, address: name })),
        electionTimeoutMs: ELECTION_TIMEOUT_MS,
        heartbeatMs: 100,
        proposeTimeoutMs: 900,
        snapshotEvery: 100,
        random: () => 0.5,
    });
    replica.addHandlers(handlers);
    t.equal(replica.isLeaderExpected(), false, "it has never heard of one");
    const heartbeat = { term: 1, leader: "b", previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0 };
    await handlers.handle(appendMethod.name, heartbeat, {} as Peer);
    t.equal(replica.isConnectedToMajority(), true);
    clock.advance(2 * ELECTION_TIMEOUT_MS);
    t.same([replica.isConnectedToMajority(), replica.isLeaderExpected()], [false, true], "an election may be running");
    clock.advance(4 * ELECTION_TIMEOUT_MS - 1);
    t.equal(replica.isLeaderExpected(), true);
    clock.advance(1);
    t.equal(replica.isLeaderExpected(), false, "it is cut off");
});

/**
 * Guards against a controller that has just started and calls itself connected although it has not applied what was
 * committed before: its status names no budgets.
 */
import t from "tap";
import { LogStorage } from "../../src/consensus/logStorage.js";
import { appendMethod } from "../../src/consensus/messages.js";
import { ReplicatedLog } from "../../src/consensus/replicatedLog.js";
import { NoLog } from "../../src/ports/log.js";
import { type Peer, PeerHandlers, type PeerNetwork } from "../../src/ports/peer.js";
import { FakeClock, FakeJournal } from "../tools/fakes.js";

void t.test("a follower has caught up once it has applied what the leader had committed when it was first heard", async t => {
    const clock = new FakeClock();
    const journal = new FakeJournal(false);
    const storage = new LogStorage({ journal, records: [], tornBytes: 0 }, clock);
    const handlers = new PeerHandlers();
    const replica = new ReplicatedLog(storage, {} as PeerNetwork, clock, new NoLog(), {
        name: "a",
        others: ["b", "c"].map(name => ({ name, address: name })),
        electionTimeoutMs: 500,
        heartbeatMs: 100,
        proposeTimeoutMs: 900,
        snapshotEvery: 100,
        random: () => 0.5,
    });
    replica.addHandlers(handlers);
    /** Sends one entry at a time, as to a replica that catches up in batches. */
    const append = async (index: number, commitIndex: number): Promise<void> => {
        const entries = [{ index, term: 1, at: 0, command: { type: "noop" } }];
        const previous = { previousIndex: index - 1, previousTerm: index === 1 ? 0 : 1 };
        const answer = handlers.handle(
            appendMethod.name,
            { term: 1, leader: "b", ...previous, entries, commitIndex },
            {} as Peer,
        );
        t.equal(replica.hasCaughtUp(), false, "not before the disk has the entry");
        const syncing = setInterval(() => journal.sync(), 1);
        await answer;
        clearInterval(syncing);
    };
    await append(1, 2);
    t.same([replica.isConnectedToMajority(), replica.hasCaughtUp()], [true, false], "a leader is in contact");
    await append(2, 2);
    t.equal(replica.hasCaughtUp(), true);
    const behind = handlers.handle(appendMethod.name, {
        term: 1,
        leader: "b",
        previousIndex: 2,
        previousTerm: 1,
        entries: [],
        commitIndex: 9,
    }, {} as Peer);
    t.equal(replica.hasCaughtUp(), true, "an entry that is on its way later on is none of this");
    await behind;
});

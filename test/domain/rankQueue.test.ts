import t from "tap";
import { RankQueue } from "../../src/domain/rankQueue.js";

interface Entry {
    readonly name: string;
    readonly rank: number;
    readonly ageingMs: number;
    readonly enqueuedAt: number;
}

function createEntry(name: string, rank: number, enqueuedAt: number, ageingMs = 1_000): Entry {
    return { name, rank, ageingMs, enqueuedAt };
}

void t.test("the lower rank goes first, then the longer wait", async t => {
    const queue = new RankQueue<Entry>(1);
    queue.add(createEntry("lookup", 1, 0));
    queue.add(createEntry("briefing", 0, 10));
    t.equal(queue.tryStartNext(20)?.name, "briefing");
    t.equal(queue.tryStartNext(20), undefined, "one slot");
    queue.recordEnd(0, 5);
    t.equal(queue.tryStartNext(30)?.name, "lookup");
});

void t.test("waiting lifts a run past any stream of better ranks", async t => {
    const queue = new RankQueue<Entry>(1);
    queue.add(createEntry("lookup", 3, 0));
    queue.add(createEntry("briefing", 0, 4_500));
    t.equal(queue.tryStartNext(4_600)?.name, "lookup");
});

void t.test("a kept share is left free for its rank", async t => {
    const queue = new RankQueue<Entry>(4);
    queue.setSlots(4, new Map([[1, 0.25]]));
    for (let i = 0; i < 5; i++) {
        queue.add(createEntry(`briefing-${i}`, 0, i));
    }
    const started = [queue.tryStartNext(10), queue.tryStartNext(10), queue.tryStartNext(10), queue.tryStartNext(10)];
    t.equal(started.filter(entry => entry !== undefined).length, 3, "the fourth slot is kept");
    queue.add(createEntry("lookup", 1, 10));
    t.equal(queue.tryStartNext(10)?.name, "lookup");
});

void t.test("the estimate counts only what goes before", async t => {
    const queue = new RankQueue<Entry>(1);
    queue.add(createEntry("first", 0, 0));
    queue.tryStartNext(0);
    queue.recordEnd(0, 400);
    t.equal(queue.estimateWait(0, 1_000, 0), 0, "a free slot");
    queue.add(createEntry("second", 0, 0));
    queue.tryStartNext(0);
    t.equal(queue.estimateWait(0, 1_000, 0), 200, "half of the running one");
    queue.add(createEntry("later", 5, 0));
    t.equal(queue.estimateWait(0, 1_000, 0), 200, "a worse rank does not count");
});

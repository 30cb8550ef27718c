/** Guards against ages of connections that leave out how long they waited to be accepted, and against ages that are impossible. */
import fc from "fast-check";
import t from "tap";
import { ListenQueue } from "../../src/domain/listenQueue.js";

const CAPACITY = 5;

void t.test("a connection that did not wait behind others arrived when its poll says", t => {
    const queue = new ListenQueue(CAPACITY, 0);
    t.same(queue.recordAccepted(1_000, 990, 950), { earliestAt: 950, estimatedAt: 990 });
    queue.recordEmpty(1_001);
    t.same(queue.recordAccepted(1_002, 1_002, 970), { earliestAt: 1_001, estimatedAt: 1_002 });
    t.end();
});

void t.test("connections that waited during a long turn are as old as the turn, also those accepted in later turns", t => {
    const queue = new ListenQueue(CAPACITY, 0);
    t.equal(queue.recordAccepted(1_200, 600, 0).estimatedAt, 600);
    t.equal(queue.recordAccepted(1_210, 1_210, 1_150).estimatedAt, 605);
    t.equal(queue.recordAccepted(1_220, 1_220, 1_150).estimatedAt, 610);
    t.end();
});

/** A model of the queue of the system: arrivals are dropped while it is full, and each turn accepts one connection. */
function playArrivals(arrivals: readonly number[], turns: readonly number[]): void {
    const queue = new ListenQueue(CAPACITY, 0);
    const waiting: number[] = [];
    let [now, next, previousEstimate] = [0, 0, -Infinity];
    for (const turnMs of turns) {
        const pollAt = now;
        const arrivedAt = waiting.shift();
        if (arrivedAt === undefined) {
            queue.recordEmpty(pollAt);
            previousEstimate = -Infinity;
        }
        now += turnMs;
        for (; next < arrivals.length && arrivals[next]! <= now; next++) {
            if (waiting.length < CAPACITY) {
                waiting.push(arrivals[next]!);
            }
        }
        if (arrivedAt !== undefined) {
            const { earliestAt, estimatedAt } = queue.recordAccepted(pollAt, pollAt, 0);
            if (
                earliestAt > arrivedAt || estimatedAt < earliestAt || estimatedAt > pollAt
                || estimatedAt < previousEstimate
            ) {
                throw new Error(`${earliestAt} ${estimatedAt} of ${arrivedAt}, accepted at ${pollAt}`);
            }
            previousEstimate = estimatedAt;
        }
    }
}

void t.test("no connection arrived before its bound, in any order of arrivals and turns", t => {
    const gaps = fc.array(fc.integer({ min: 0, max: 60 }), { maxLength: 60 });
    fc.assert(
        fc.property(gaps, fc.array(fc.integer({ min: 1, max: 200 }), { maxLength: 80 }), (arrivalGaps, turns) => {
            let at = 0;
            playArrivals(arrivalGaps.map(gap => at += gap), turns);
        }),
        { seed: 80, numRuns: 1_000 },
    );
    t.end();
});

void t.test("a queue that was full may have lost packets until the system has sent them again", async t => {
    const queue = new ListenQueue(CAPACITY, 0);
    for (let i = 1; i < CAPACITY; i++) {
        queue.recordAccepted(1_000 + i, 1_000, 900);
    }
    t.notOk(queue.mayHaveOverflowed(1_100), "one place was free");
    queue.recordAccepted(1_200, 1_000, 900);
    t.ok(queue.mayHaveOverflowed(1_200));
    queue.recordEmpty(1_300);
    t.ok(queue.mayHaveOverflowed(17_000));
    t.notOk(queue.mayHaveOverflowed(17_300));
});

import t from "tap";
import { type QueueEntry, RankQueue } from "../../src/domain/rankQueue.js";

interface Entry {
    readonly name: string;
    readonly rank: number;
    readonly ageingMs: number;
    readonly enqueuedAt: number;
}

function createEntry(name: string, rank: number, enqueuedAt: number, ageingMs = 1_000): Entry {
    return { name, rank, ageingMs, enqueuedAt };
}

void t.test("the lower rank starts first, then the longer wait", async t => {
    const queue = new RankQueue<Entry>(1);
    queue.add(createEntry("lookup", 1, 0));
    queue.add(createEntry("briefing", 0, 10));
    t.equal(queue.tryStartNext(20)?.name, "briefing");
    t.equal(queue.tryStartNext(20), undefined, "one slot");
    queue.recordEnd(0, 5, true);
    t.equal(queue.tryStartNext(30)?.name, "lookup");
});

void t.test("ageing lets a run start before newer runs of lower ranks", async t => {
    const queue = new RankQueue<Entry>(1);
    queue.add(createEntry("lookup", 3, 0));
    queue.add(createEntry("briefing", 0, 4_500));
    t.equal(queue.tryStartNext(4_600)?.name, "lookup");
});

void t.test("a reserved share is left free for its rank", async t => {
    const queue = new RankQueue<Entry>(4);
    queue.setSlots(4, new Map([[1, 0.25]]));
    for (let i = 0; i < 5; i++) {
        queue.add(createEntry(`briefing-${i}`, 0, i));
    }
    const started = [queue.tryStartNext(10), queue.tryStartNext(10), queue.tryStartNext(10), queue.tryStartNext(10)];
    t.equal(started.filter(entry => entry !== undefined).length, 3, "the fourth slot is reserved");
    queue.add(createEntry("lookup", 1, 10));
    t.equal(queue.tryStartNext(10)?.name, "lookup");
});

void t.test("the wait estimate counts only runs that start earlier", async t => {
    const queue = new RankQueue<Entry>(1);
    queue.add(createEntry("first", 0, 0));
    queue.tryStartNext(0);
    queue.recordEnd(0, 400, true);
    t.equal(queue.estimateWait(0, 1_000, 0), 0, "a free slot");
    queue.add(createEntry("second", 0, 0));
    queue.tryStartNext(0);
    t.equal(queue.estimateWait(0, 1_000, 0), 200, "half of the running run");
    queue.add(createEntry("later", 5, 0));
    t.equal(queue.estimateWait(0, 1_000, 0), 200, "a higher rank does not count");
});

const RUN_MS = 300;
/** When the runs of an upstream that becomes slow begin to take longer, and when the simulation ends. */
const SLOW_FROM_MS = 5_000;
const SIMULATION_MS = 30_000;

/**
 * Simulates callers at an upstream with three slots. Each has one request at a time and retries refusals after a pause.
 * `slowRunMs`: time that a run takes from `SLOW_FROM_MS` on.
 */
function simulateOverload(callers: number, slowRunMs = RUN_MS): { completed: number; wasted: number; } {
    const slots = 3;
    const deadlineMs = 1_500;
    const pauseMs = 100;
    const stepMs = 10;
    const queue = new RankQueue<QueueEntry & { caller: number; }>(slots);
    const nextRequestAt = Array.from({ length: callers }, () => 0);
    let running: { entry: QueueEntry; caller: number; startedAt: number; }[] = [];
    const counts = { completed: 0, wasted: 0 };
    for (let now = 0; now < SIMULATION_MS; now += stepMs) {
        const runMs = now < SLOW_FROM_MS ? RUN_MS : slowRunMs;
        running = running.filter(run => {
            const isCompleted = now - run.startedAt >= runMs;
            const isCutOff = !isCompleted && now - run.entry.enqueuedAt >= deadlineMs;
            if (isCompleted || isCutOff) {
                counts[isCompleted ? "completed" : "wasted"] += 1;
                queue.recordEnd(run.entry.rank, now - run.startedAt, isCompleted);
                nextRequestAt[run.caller] = now;
            }
            return !isCompleted && !isCutOff;
        });
        nextRequestAt.forEach((at, caller) => {
            if (now < at) {
                return;
            }
            if (queue.canFinishWithin(deadlineMs, 0, 60_000, now)) {
                queue.add({ rank: 0, ageingMs: 60_000, enqueuedAt: now, caller });
                nextRequestAt[caller] = Infinity;
            }
            else {
                nextRequestAt[caller] = now + pauseMs;
            }
        });
        for (let next = queue.tryStartNext(now); next !== undefined; next = queue.tryStartNext(now)) {
            running.push({ entry: next, caller: next.caller, startedAt: now });
        }
    }
    return counts;
}

void t.test("under overload, runs that would be cut off by their deadline are refused", t => {
    const capacity = simulateOverload(3);
    const overload = simulateOverload(24);
    t.comment(JSON.stringify({ capacity, overload }));
    t.equal(capacity.wasted, 0);
    t.ok(overload.wasted <= 3, `${overload.wasted} wasted runs, before the run time is known`);
    t.ok(
        overload.completed >= capacity.completed * 0.95,
        `${overload.completed} completed, ${capacity.completed} at capacity`,
    );
    t.end();
});

// Guards against a goodput that collapses while an upstream is slow: runs that are cut off by their deadline look short.
void t.test("under overload, most runs are completed, not cut off by their deadline, after the upstream has become slow", t => {
    for (const slowRunMs of [500, 700, 900, 1_200]) {
        const capacity = simulateOverload(3, slowRunMs);
        const overload = simulateOverload(24, slowRunMs);
        t.comment(JSON.stringify({ slowRunMs, capacity, overload }));
        t.equal(capacity.wasted, 0);
        t.ok(overload.wasted < overload.completed, "most of the runs that start are completed");
        t.ok(overload.completed >= capacity.completed * 0.8, "and the upstream does most of what it can");
    }
    t.end();
});

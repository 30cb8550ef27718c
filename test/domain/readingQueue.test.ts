/** The prefill backlog covers prompts of all routers, and the speed is learned only from prompts without a backlog. */
import t from "tap";
import { ReadingQueue, ReadingSpeed } from "../../src/domain/readingQueue.js";

function createQueue(): { queue: ReadingQueue; speed: ReadingSpeed; } {
    const speed = new ReadingSpeed({ assumedMsPerToken: 0.02, leastTokens: 2_000, weight: 0.5 });
    return { queue: new ReadingQueue(speed), speed };
}

void t.test("prompts of this and other routers add up to the backlog", t => {
    const { queue } = createQueue();
    queue.add(5_000, 0);
    queue.addOther(10_000, 50);
    t.equal(queue.getBacklogMs(50), 250, "the rest of 100 ms, and 200 ms");
    t.equal(queue.getBacklogMs(1_000), 100, "an unanswered prompt of this router is still pending");
    t.end();
});

void t.test("an answer implies that all earlier prompts have been processed", t => {
    const { queue } = createQueue();
    queue.addOther(50_000, 0);
    const prompt = queue.add(5_000, 0);
    queue.addOther(10_000, 0);
    queue.recordRead(prompt, 300);
    t.equal(queue.getBacklogMs(300), 200, "only the later prompt is left");
    t.end();
});

void t.test("a prompt that ended without an answer is no longer pending", t => {
    const { queue } = createQueue();
    queue.recordDropped(queue.add(5_000, 0));
    t.equal(queue.getBacklogMs(100), 0);
    t.end();
});

void t.test("one stall does not make an engine look slow", t => {
    const { queue, speed } = createQueue();
    queue.recordRead(queue.add(2_000, 0), 60_000);
    t.equal(Math.round(speed.msPerToken * 1_000), 40, "in microseconds: halfway to three times the estimate");
    t.end();
});

void t.test("the speed is learned from long prompts without a backlog", t => {
    const { queue, speed } = createQueue();
    queue.recordRead(queue.add(10_000, 0), 400);
    t.equal(speed.msPerToken, 0.03, "halfway from 0.02 to 0.04");
    queue.recordRead(queue.add(1_000, 1_000), 1_900);
    t.equal(speed.msPerToken, 0.03, "a short prompt is dominated by network latency");
    queue.addOther(10_000, 3_000);
    queue.recordRead(queue.add(10_000, 3_000), 9_000);
    t.equal(speed.msPerToken, 0.03, "a prompt with a backlog is not sampled");
    t.end();
});

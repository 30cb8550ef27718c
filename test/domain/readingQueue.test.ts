/** What an engine has to read: prompts wait for each other, and its speed is learned from those that waited for none. */
import t from "tap";
import { ReadingQueue, ReadingSpeed } from "../../src/domain/readingQueue.js";

function createQueue(): { queue: ReadingQueue; speed: ReadingSpeed; } {
    const speed = new ReadingSpeed({ assumedMsPerToken: 0.02, leastTokens: 2_000, weight: 0.5 });
    return { queue: new ReadingQueue(speed), speed };
}

void t.test("prompts of this router and of others wait for each other", t => {
    const { queue } = createQueue();
    queue.add(5_000, 0);
    queue.addOther(10_000, 50);
    t.equal(queue.getBacklogMs(50), 250, "the rest of 100 ms, and 200 ms");
    t.equal(queue.getBacklogMs(1_000), 100, "an own prompt without an answer is still unread");
    t.end();
});

void t.test("an answer shows that all before its prompt has been read", t => {
    const { queue } = createQueue();
    queue.addOther(50_000, 0);
    const prompt = queue.add(5_000, 0);
    queue.addOther(10_000, 0);
    queue.recordRead(prompt, 300);
    t.equal(queue.getBacklogMs(300), 200, "only what came after it is left");
    t.end();
});

void t.test("a prompt that ended without an answer is not waited for", t => {
    const { queue } = createQueue();
    queue.recordDropped(queue.add(5_000, 0));
    t.equal(queue.getBacklogMs(100), 0);
    t.end();
});

void t.test("an engine that stood still once is not taken for slow", t => {
    const { queue, speed } = createQueue();
    queue.recordRead(queue.add(2_000, 0), 60_000);
    t.equal(Math.round(speed.msPerToken * 1_000), 40, "in microseconds: half way to three times the estimate");
    t.end();
});

void t.test("the speed is learned from long prompts that waited for nothing", t => {
    const { queue, speed } = createQueue();
    queue.recordRead(queue.add(10_000, 0), 400);
    t.equal(speed.msPerToken, 0.03, "half way from 0.02 to 0.04");
    queue.recordRead(queue.add(1_000, 1_000), 1_900);
    t.equal(speed.msPerToken, 0.03, "a short prompt tells of the way there and back");
    queue.addOther(10_000, 3_000);
    queue.recordRead(queue.add(10_000, 3_000), 9_000);
    t.equal(speed.msPerToken, 0.03, "one that waited tells of what was before it");
    t.end();
});

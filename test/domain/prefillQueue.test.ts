/** The prefill backlog covers prompts of all routers, and the speed is learned only from prompts without a backlog. */
import t from "tap";
import { PrefillQueue, PrefillSpeed } from "../../src/domain/prefillQueue.js";

function createQueue(): { queue: PrefillQueue; speed: PrefillSpeed; } {
    const speed = new PrefillSpeed({ initialMsPerToken: 0.02, minSampleTokens: 2_000, smoothingFactor: 0.5 });
    return { queue: new PrefillQueue(speed), speed };
}

void t.test("prompts of this and other routers add up to the backlog", t => {
    const { queue } = createQueue();
    queue.add(5_000, 0);
    queue.addRemote(10_000, 50);
    t.equal(queue.getBacklogMs(50), 250, "the rest of 100 ms, and 200 ms");
    t.equal(queue.getBacklogMs(1_000), 100, "an unanswered prompt of this router is still pending");
    t.end();
});

void t.test("an answer implies that all earlier prompts have been processed", t => {
    const { queue } = createQueue();
    queue.addRemote(50_000, 0);
    const prompt = queue.add(5_000, 0);
    queue.addRemote(10_000, 0);
    queue.recordAnswerStart(prompt, 300);
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
    queue.recordAnswerStart(queue.add(2_000, 0), 60_000);
    t.equal(Math.round(speed.msPerToken * 1_000), 40, "in microseconds: halfway to three times the estimate");
    t.end();
});

void t.test("the speed is learned from long prompts without a backlog", t => {
    const { queue, speed } = createQueue();
    queue.recordAnswerStart(queue.add(10_000, 0), 400);
    t.equal(speed.msPerToken, 0.03, "halfway from 0.02 to 0.04");
    queue.recordAnswerStart(queue.add(1_000, 1_000), 1_900);
    t.equal(speed.msPerToken, 0.03, "a short prompt is dominated by network latency");
    queue.addRemote(10_000, 3_000);
    queue.recordAnswerStart(queue.add(10_000, 3_000), 9_000);
    t.equal(speed.msPerToken, 0.03, "a prompt with a backlog is not sampled");
    t.end();
});

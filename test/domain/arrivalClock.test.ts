/** Requests that a lagging box reads late are not taken for fresh. */
import t from "tap";
import { ArrivalClock } from "../../src/domain/arrivalClock.js";

const TICK_MS = 50;

void t.test("without lag a request arrives when it is read", t => {
    const clock = new ArrivalClock(TICK_MS, 0);
    clock.recordTick(52);
    t.equal(clock.estimateArrival(60), 60);
    clock.recordTick(104);
    t.equal(clock.estimateArrival(105), 105);
    t.end();
});

void t.test("what is read after a turn of 800 ms came in the middle of it, until the next tick is in time", t => {
    const clock = new ArrivalClock(TICK_MS, 0);
    clock.recordTick(50);
    clock.recordTick(900);
    t.equal(clock.estimateArrival(910), 510);
    clock.recordTick(952);
    t.equal(clock.estimateArrival(960), 960);
    t.end();
});

/** Requests that a lagging box reads late are not taken for fresh. */
import t from "tap";
import { ArrivalClock } from "../../src/domain/arrivalClock.js";

const TICK_MS = 50;

/** A tick, then the poll after it. */
function runTurn(clock: ArrivalClock, now: number): void {
    clock.recordTick(now);
    clock.recordPolled();
}

void t.test("without lag a request arrives when it is read", t => {
    const clock = new ArrivalClock(TICK_MS, 0);
    clock.recordTick(52);
    t.equal(clock.estimateArrival(53), 52);
    clock.recordPolled();
    t.equal(clock.estimateArrival(60), 60);
    runTurn(clock, 104);
    t.equal(clock.estimateArrival(105), 105);
    t.end();
});

void t.test("what is read after a turn of 800 ms came in the middle of it, until the next poll", t => {
    const clock = new ArrivalClock(TICK_MS, 0);
    runTurn(clock, 50);
    clock.recordTick(900);
    t.equal(clock.estimateArrival(910), 500);
    clock.recordPolled();
    t.equal(clock.estimateArrival(915), 915);
    runTurn(clock, 952);
    t.equal(clock.estimateArrival(960), 960);
    t.end();
});

void t.test("what comes late in a long turn did not come late: it was found by that turn's poll", t => {
    const clock = new ArrivalClock(TICK_MS, 0);
    runTurn(clock, 50);
    t.equal(clock.estimateArrival(480), 100, "no poll after 100 ms, or a tick would have run before it");
    clock.recordTick(500);
    t.equal(clock.estimateArrival(880), 300, "found by the poll at 500, though read 380 ms later");
    t.end();
});

void t.test("the first request on a connection came with it where it was read in the next turn", t => {
    const clock = new ArrivalClock(TICK_MS, 0);
    runTurn(clock, 50);
    clock.recordTick(500);
    const connection = clock.createConnectionArrival(510);
    clock.recordPolled();
    clock.recordTick(950);
    t.equal(clock.estimateFirstArrival(connection, 960), 300);
    clock.recordPolled();
    clock.recordTick(1_400);
    t.equal(clock.estimateFirstArrival(connection, 1_410), 1_200, "a caller that took its time");
    t.end();
});

void t.test("without lag a caller that sends some time after it connected is not older for it", t => {
    const clock = new ArrivalClock(TICK_MS, 0);
    runTurn(clock, 50);
    const connection = clock.createConnectionArrival(60);
    runTurn(clock, 100);
    t.equal(clock.estimateFirstArrival(connection, 120), 120);
    t.end();
});

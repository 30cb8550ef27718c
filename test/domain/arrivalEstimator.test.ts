/** Requests that a lagging event loop reads late are not considered fresh. */
import t from "tap";
import { ArrivalEstimator } from "../../src/domain/arrivalEstimator.js";

const TICK_MS = 50;

function runTurn(clock: ArrivalEstimator, now: number): void {
    clock.recordTick(now);
    clock.recordPollEnd();
}

void t.test("without lag a request arrives when it is read", t => {
    const clock = new ArrivalEstimator(TICK_MS, 0);
    clock.recordTick(52);
    t.equal(clock.estimateArrival(53), 52);
    clock.recordPollEnd();
    t.equal(clock.estimateArrival(60), 60);
    runTurn(clock, 104);
    t.equal(clock.estimateArrival(105), 105);
    t.end();
});

void t.test("data found by the first poll after a long turn arrived in the middle of that turn", t => {
    const clock = new ArrivalEstimator(TICK_MS, 0);
    runTurn(clock, 50);
    clock.recordTick(900);
    t.equal(clock.estimateArrival(910), 500);
    clock.recordPollEnd();
    t.equal(clock.estimateArrival(915), 915);
    runTurn(clock, 952);
    t.equal(clock.estimateArrival(960), 960);
    t.end();
});

void t.test("data read late in a long turn was found by the poll at its start", t => {
    const clock = new ArrivalEstimator(TICK_MS, 0);
    runTurn(clock, 50);
    t.equal(clock.estimateArrival(480), 100, "a poll after 100 ms would have been preceded by a tick");
    clock.recordTick(500);
    t.equal(clock.estimateArrival(880), 300, "found by the poll at 500, though read 380 ms later");
    t.end();
});

void t.test("the first request of a connection arrived with it if it is read in the next turn", t => {
    const clock = new ArrivalEstimator(TICK_MS, 0);
    runTurn(clock, 50);
    clock.recordTick(500);
    const connection = clock.createConnectionArrival(510, clock.estimateArrival(510));
    clock.recordPollEnd();
    clock.recordTick(950);
    t.equal(clock.estimateFirstArrival(connection, 960), 300);
    clock.recordPollEnd();
    clock.recordTick(1_400);
    t.equal(clock.estimateFirstArrival(connection, 1_410), 1_200, "sent some time after the connection was made");
    t.end();
});

void t.test("without lag a request sent some time after connecting arrives when it is read", t => {
    const clock = new ArrivalEstimator(TICK_MS, 0);
    runTurn(clock, 50);
    const connection = clock.createConnectionArrival(60, clock.estimateArrival(60));
    runTurn(clock, 100);
    t.equal(clock.estimateFirstArrival(connection, 120), 120);
    t.end();
});

void t.test("the first request of a connection that waited to be accepted arrived with it, also where the loop does not lag", t => {
    const clock = new ArrivalEstimator(TICK_MS, 0);
    runTurn(clock, 1_000);
    const connection = clock.createConnectionArrival(1_010, 400);
    runTurn(clock, 1_050);
    t.equal(clock.estimateFirstArrival(connection, 1_060), 400);
    runTurn(clock, 1_350);
    t.equal(clock.estimateFirstArrival(connection, 1_360), 1_360, "sent some time after the connection was made");
    t.end();
});

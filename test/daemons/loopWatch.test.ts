/** A loop that runs late gives one line a second at most, with what was done meanwhile. */
import t from "tap";
import { LOOP_TICK_MS, LoopWatch } from "../../src/daemons/loopWatch.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { FakeClock, KeptLog } from "../tools/fakes.js";

/** Ticks in time until `untilMs`. */
function tickInTime(watch: LoopWatch, clock: FakeClock, untilMs: number): void {
    while (clock.getMonotonicMs() < untilMs) {
        clock.advance(LOOP_TICK_MS);
        watch.recordTick(clock.getMonotonicMs());
    }
}

void t.test("late turns are told once a period, with the work in them; a loop in time says nothing", t => {
    const clock = new FakeClock();
    const log = new KeptLog();
    const watch = new LoopWatch(clock, log, new NoMetrics());
    watch.start();
    t.teardown(() => watch.stop());
    tickInTime(watch, clock, 5_000);
    t.same(log.warnings, []);
    for (const lateMs of [400, 300, 0, 250]) {
        watch.noteWork("requests");
        watch.noteWork("bundles");
        clock.advance(LOOP_TICK_MS + lateMs);
        watch.recordTick(clock.getMonotonicMs());
    }
    t.equal(log.warnings.length, 1);
    t.match(log.warnings[0], {
        event: "loop_late",
        longest_late_ms: 400,
        late_turns: 3,
        late_ms: 950,
        requests: 4,
        bundles: 4,
        calls: 0,
    });
    tickInTime(watch, clock, 9_000);
    t.equal(log.warnings.length, 1, "nothing more while the loop is in time");
    t.end();
});

void t.test("a box that was suspended is told once, with how long it was away; small corrections of a clock are not", t => {
    const clock = new FakeClock();
    const log = new KeptLog();
    const watch = new LoopWatch(clock, log, new NoMetrics());
    watch.start();
    t.teardown(() => watch.stop());
    let told = 0;
    watch.onTimeMissed(() => told += 1);
    tickInTime(watch, clock, 2_000);
    clock.stepWall(100);
    tickInTime(watch, clock, 3_000);
    t.equal(told, 0);
    clock.suspend(4_000);
    tickInTime(watch, clock, 5_000);
    t.equal(told, 1);
    t.match(log.warnings, [{ event: "time_missed", missed_ms: 4_000 }]);
    t.end();
});

/** Tests that event loop lag is logged at most once a second, and that a suspension of the box is detected. */
import t from "tap";
import { EventLoopMonitor, LOOP_TICK_INTERVAL_MS } from "../../src/daemons/eventLoopMonitor.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { FakeClock, KeptLog } from "../tools/fakes.js";

/** Ticks without lag until `untilMs`. */
function tickOnTime(watch: EventLoopMonitor, clock: FakeClock, untilMs: number): void {
    while (clock.getMonotonicMs() < untilMs) {
        clock.advance(LOOP_TICK_INTERVAL_MS);
        watch.recordTick(clock.getMonotonicMs());
    }
}

void t.test("lag is logged once per period with the work done; nothing is logged without lag", t => {
    const clock = new FakeClock();
    const log = new KeptLog();
    const watch = new EventLoopMonitor(clock, log, new NoMetrics());
    watch.start();
    t.teardown(() => watch.stop());
    tickOnTime(watch, clock, 5_000);
    t.same(log.warnings, []);
    for (const lagMs of [400, 300, 0, 250]) {
        watch.countWork("requests");
        watch.countWork("bundles");
        clock.advance(LOOP_TICK_INTERVAL_MS + lagMs);
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
    tickOnTime(watch, clock, 9_000);
    t.equal(log.warnings.length, 1, "nothing more is logged without lag");
    t.end();
});

void t.test("a suspension is reported once with its duration; small clock steps are not reported", t => {
    const clock = new FakeClock();
    const log = new KeptLog();
    const watch = new EventLoopMonitor(clock, log, new NoMetrics());
    watch.start();
    t.teardown(() => watch.stop());
    let reportedCount = 0;
    watch.onSuspension(() => reportedCount += 1);
    tickOnTime(watch, clock, 2_000);
    clock.stepWall(100);
    tickOnTime(watch, clock, 3_000);
    t.equal(reportedCount, 0);
    clock.suspend(4_000);
    tickOnTime(watch, clock, 5_000);
    t.equal(reportedCount, 1);
    t.match(log.warnings, [{ event: "time_missed", missed_ms: 4_000 }]);
    t.end();
});

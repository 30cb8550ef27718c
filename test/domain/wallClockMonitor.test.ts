/**
 * Verifies that wall-clock steps are detected, and that the clock is not trusted until they are reversed or persist.
 */
import t from "tap";
import { WallClockMonitor } from "../../src/domain/wallClockMonitor.js";

const WALL_MS = 1_000_000;

void t.test("a clock with a small drift is steady", t => {
    const watch = new WallClockMonitor();
    for (let ms = 0; ms < 100_000; ms += 100) {
        t.equal(watch.observe(WALL_MS + ms * 1.01, ms), false);
    }
    t.ok(watch.isTrusted(100_000));
    t.end();
});

void t.test("a step and its reversal are each detected once", t => {
    const watch = new WallClockMonitor();
    watch.observe(WALL_MS, 0);
    t.equal(watch.observe(WALL_MS + 9_100, 100), true);
    t.equal(watch.getStepOffsetMs(), 9_000);
    t.equal(watch.observe(WALL_MS + 9_200, 200), false);
    t.notOk(watch.isTrusted(200));
    t.equal(watch.observe(WALL_MS + 300, 300), true);
    t.ok(watch.isTrusted(300));
    t.end();
});

void t.test("a step observed by an earlier process is accepted as a correction after one minute", t => {
    const watch = new WallClockMonitor();
    watch.restoreOffset(9_000);
    watch.observe(WALL_MS, 0);
    t.notOk(watch.isTrusted(0));
    watch.observe(WALL_MS + 60_100, 60_100);
    t.ok(watch.isTrusted(60_100));
    t.end();
});

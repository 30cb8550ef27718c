/** Steps of a box's time of day: noticed, and not gone by until they are taken back or have proved to stay. */
import t from "tap";
import { TimeOfDayWatch } from "../../src/domain/timeOfDayWatch.js";

const WALL_MS = 1_000_000;

void t.test("a clock that runs a little fast or slow is steady", t => {
    const watch = new TimeOfDayWatch();
    for (let ms = 0; ms < 100_000; ms += 100) {
        t.equal(watch.observe(WALL_MS + ms * 1.01, ms), false);
    }
    t.ok(watch.isSteady(100_000));
    t.end();
});

void t.test("a step is noticed once, and one that takes it back", t => {
    const watch = new TimeOfDayWatch();
    watch.observe(WALL_MS, 0);
    t.equal(watch.observe(WALL_MS + 9_100, 100), true);
    t.equal(watch.getAheadMs(), 9_000);
    t.equal(watch.observe(WALL_MS + 9_200, 200), false);
    t.notOk(watch.isSteady(200));
    t.equal(watch.observe(WALL_MS + 300, 300), true);
    t.ok(watch.isSteady(300));
    t.end();
});

void t.test("a step that an earlier process saw may still be taken back; after a minute it is a correction", t => {
    const watch = new TimeOfDayWatch();
    watch.resume(9_000);
    watch.observe(WALL_MS, 0);
    t.notOk(watch.isSteady(0));
    watch.observe(WALL_MS + 60_100, 60_100);
    t.ok(watch.isSteady(60_100));
    t.end();
});

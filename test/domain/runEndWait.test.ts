/** Guards against runs that go on for callers that have left, because the wait for their end begins late and ends late. */
import fc from "fast-check";
import t from "tap";
import { computeRunEndWaitMs } from "../../src/domain/runEndWait.js";

const GONE_MS = 500;
const MAX_WAY_MS = 100;

void t.test("without lag the whole wait is granted, so that tokens are freed by evidence", t => {
    t.equal(computeRunEndWaitMs(0, 0), 200);
    t.equal(computeRunEndWaitMs(50, 0), 200);
    t.end();
});

void t.test("an upstream is reset at once if the close was read too late for a wait", t => {
    t.equal(computeRunEndWaitMs(380, 100), 0);
    t.equal(computeRunEndWaitMs(1_000, 0), 0);
    t.end();
});

void t.test("an upstream that ignores a closed half is reset within half a second of the close, however it is spent", t => {
    const time = fc.integer({ min: 0, max: 2_000 });
    fc.assert(fc.property(time, time, (closeAgeMs, lagMs) => {
        const waitMs = computeRunEndWaitMs(closeAgeMs, lagMs);
        return waitMs >= 0 && (waitMs === 0 || closeAgeMs + waitMs + lagMs + MAX_WAY_MS <= GONE_MS);
    }));
    t.end();
});

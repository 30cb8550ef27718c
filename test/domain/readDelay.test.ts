/** The delay of reads stays 0 on a router that is not loaded, grows with the load and never exceeds its bound. */
import t from "tap";
import { computeReadDelayMs } from "../../src/domain/readDelay.js";

const OPTIONS = { maxDelayMs: 100, minUtilization: 0.5, fullUtilization: 0.8 };

void t.test("reads are not delayed while the router is not loaded", t => {
    [0, 0.3, 0.5].forEach(utilization => t.equal(computeReadDelayMs(utilization, OPTIONS), 0));
    t.end();
});

void t.test("the delay grows linearly and is bounded", t => {
    t.ok(Math.abs(computeReadDelayMs(0.65, OPTIONS) - 50) < 1e-6);
    let last = 0;
    for (let utilization = 0.5; utilization <= 0.8; utilization += 0.01) {
        const delayMs = computeReadDelayMs(utilization, OPTIONS);
        t.ok(delayMs >= last, `not smaller at ${utilization.toFixed(2)}`);
        last = delayMs;
    }
    [0.8, 1, 1.2].forEach(utilization => t.equal(computeReadDelayMs(utilization, OPTIONS), 100));
    t.end();
});

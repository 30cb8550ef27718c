/** A short soak of the real programs: docs/SOAK.md tells what it does, and lists seeds that ever found something. */
import t from "tap";
import { runSoak } from "../soak/soak.js";

/** One seed that once found something, and one more. */
const SEEDS = [3, 22];
const FAULT_MS = 6_000;

for (const seed of SEEDS) {
    void t.test(`no promise is broken in the soak of seed ${seed}`, async t => {
        const { faults, story, folder } = await runSoak({
            seed,
            faultMs: FAULT_MS,
            routers: 3,
            controllers: 3,
            callers: 10,
        });
        t.same(faults, [], `logs in ${folder}; ${story.join("; ")}`);
    });
}

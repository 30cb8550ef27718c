/** The short soak that is run with all other tests. docs/SOAK.md tells what it does, and lists seeds that ever found something. */
import t from "tap";
import { runSoak } from "./soak.js";

const FAULT_MS = 6_000;

/** Registers the test of a seed. Each seed has a file of its own, so that no file takes too long. */
export function registerShortSoak(seed: number): void {
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

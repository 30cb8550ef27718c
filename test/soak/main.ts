/** Runs soaks by hand: `npm run soak -- --seed 1 --count 50 --jobs 3 --seconds 15`. Keeps the logs of those that find something. */
import { mkdir } from "node:fs/promises";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { formatRelayCounts } from "./relayCounter.js";
import { runSoak } from "./soak.js";

const options = await yargs(hideBin(process.argv))
    .option("seed", { type: "number", default: 1, describe: "first seed" })
    .option("count", { type: "number", default: 1, describe: "seeds to run" })
    .option("jobs", { type: "number", default: 1, describe: "seeds to run at once" })
    .option("seconds", {
        type: "number",
        default: 15,
        describe: "how long faults come, in seconds; 0: planned work alone",
    })
    .option("routers", { type: "number", default: 3 })
    .option("controllers", { type: "number", default: 3 })
    .option("callers", { type: "number", default: 12 })
    .option("folder", { type: "string", default: "data/soak", describe: "where logs stay" })
    .strict()
    .parseAsync();

await mkdir(options.folder, { recursive: true });
const seeds = Array.from({ length: options.count }, (_, i) => options.seed + i);
let failed = 0;

async function runSeeds(): Promise<void> {
    for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
        const { routers, controllers, callers, folder } = options;
        const faultMs = options.seconds * 1_000;
        const result = await runSoak({ seed, faultMs, routers, controllers, callers, folder });
        const verdict = result.faults.length === 0 ? "clean" : "FAILED";
        console.log(
            `seed ${seed}: ${verdict} ${result.story.length} faults, answers ${JSON.stringify(result.outcomes)}`,
        );
        console.log(`  ${formatRelayCounts(result.relayCounts)}`);
        if (result.faults.length > 0) {
            failed += 1;
            [...result.faults.slice(0, 20), `logs: ${result.folder}`, ...result.story].forEach(line =>
                console.log(`  ${line}`)
            );
        }
    }
}

await Promise.all(Array.from({ length: options.jobs }, runSeeds));
console.log(`${options.count - failed} clean, ${failed} failed`);
process.exit(failed > 0 ? 1 : 0);

/** `npm run replay -- NAME`: runs the trace bench/traces/NAME.jsonl against its deployment and judges the outcome. */
import { join } from "node:path";
import { checkReplayOutcome, printReplayReport } from "../src/cli/replayCommand.js";
import { formatRefusal, getRefusal } from "../src/domain/resultCodes.js";
import { expectedOutcomeSchema } from "../src/replay/trace.js";
import { checkJsonc, readJsoncFile } from "../src/settings/jsoncFile.js";
import { runTrace } from "./runTrace.js";

const name = process.argv[2] ?? "vorka-ordinary";
const outcomePath = join(process.cwd(), "bench", "traces", "outcome.jsonc");
const outcome = (await readJsoncFile(outcomePath)).andThen(file => checkJsonc(file, expectedOutcomeSchema));
const report = await runTrace(name, { policy: "followDemand" });
printReplayReport(report);
try {
    checkReplayOutcome(report, outcome._unsafeUnwrap());
    console.log(`outcome=met trace=${name}`);
    process.exit(0);
}
catch (error) {
    console.log(`outcome=missed trace=${name} reason=${JSON.stringify(formatRefusal(getRefusal(error)))}`);
    process.exit(1);
}

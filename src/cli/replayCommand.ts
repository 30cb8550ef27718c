/** `loomwinch replay TRACE --expect OUTCOME --fleet FLEET`: drives a running fleet and judges what came of it. */
import { createRefusal, RefusalError } from "../domain/resultCodes.js";
import { fleetSchema, type ReplayReport, replayTrace } from "../replay/replayTrace.js";
import { type Outcome, outcomeSchema, readTrace } from "../replay/trace.js";
import { checkJsonc, readJsoncFile } from "../settings/jsoncFile.js";
import { printPairs } from "./operatorCommands.js";

/** Replays, prints the report, and throws outcomeNotMet where a count is over what is stated. */
export async function runReplay(tracePath: string, expectPath: string, fleetPath: string): Promise<void> {
    const trace = await readTrace(tracePath);
    const outcome = (await readJsoncFile(expectPath)).andThen(file => checkJsonc(file, outcomeSchema));
    const fleet = (await readJsoncFile(fleetPath)).andThen(file => checkJsonc(file, fleetSchema));
    for (const read of [trace, outcome, fleet]) {
        if (read.isErr()) {
            throw new RefusalError(read.error);
        }
    }
    const report = await replayTrace(trace._unsafeUnwrap(), fleet._unsafeUnwrap());
    printReport(report);
    checkOutcome(report, outcome._unsafeUnwrap());
}

/** One key=value line a group. */
export function printReport(report: ReplayReport): void {
    const { waits, refusedByCode, refusalMs, ...counts } = report;
    printPairs(counts);
    printPairs({
        refusal_ms_p50: refusalMs.p50,
        refusal_ms_p99: refusalMs.p99,
        ...Object.fromEntries(Object.entries(refusedByCode).map(([code, count]) => [`refused.${code}`, count])),
    });
    for (const [rank, wait] of Object.entries(waits)) {
        printPairs({ rank, first_part_ms_p50: wait.p50, first_part_ms_p99: wait.p99 });
    }
}

/** Throws where a count is over the stated outcome, naming each. */
export function checkOutcome(report: ReplayReport, outcome: Outcome): void {
    const over = (Object.entries(outcome) as [keyof Outcome, number][]).filter(([name, most]) => report[name] > most);
    if (over.length > 0) {
        const detail = over.map(([name, most]) => `${name}=${report[name]} over ${most}`).join(", ");
        throw new RefusalError(createRefusal("outcomeNotMet", detail));
    }
}

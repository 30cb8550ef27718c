/** `loomwinch replay TRACE --expect OUTCOME --fleet FLEET`: replays a trace and checks its outcome. */
import { createRefusal, RefusalError } from "../domain/resultCodes.js";
import { fleetSchema, type ReplayReport, replayTrace } from "../replay/replayTrace.js";
import { type ExpectedOutcome, expectedOutcomeSchema, readTrace } from "../replay/trace.js";
import { checkJsonc, readJsoncFile } from "../settings/jsoncFile.js";
import { printKeyValues } from "./operatorCommands.js";

/** Replays a trace and prints the report. Throws outcomeNotMet if a count exceeds its limit. */
export async function runReplay(tracePath: string, expectPath: string, fleetPath: string): Promise<void> {
    const trace = await readTrace(tracePath);
    const outcome = (await readJsoncFile(expectPath)).andThen(file => checkJsonc(file, expectedOutcomeSchema));
    const fleet = (await readJsoncFile(fleetPath)).andThen(file => checkJsonc(file, fleetSchema));
    for (const read of [trace, outcome, fleet]) {
        if (read.isErr()) {
            throw new RefusalError(read.error);
        }
    }
    const report = await replayTrace(trace._unsafeUnwrap(), fleet._unsafeUnwrap());
    printReplayReport(report);
    checkReplayOutcome(report, outcome._unsafeUnwrap());
}

/** Prints one line of key=value pairs for the counts, the refusals and each rank. */
export function printReplayReport(report: ReplayReport): void {
    const { waits, refusedByCode, refusalMs, ...counts } = report;
    printKeyValues(counts);
    printKeyValues({
        refusal_ms_p50: refusalMs.p50,
        refusal_ms_p99: refusalMs.p99,
        ...Object.fromEntries(Object.entries(refusedByCode).map(([code, count]) => [`refused.${code}`, count])),
    });
    for (const [rank, wait] of Object.entries(waits)) {
        printKeyValues({ rank, first_part_ms_p50: wait.p50, first_part_ms_p99: wait.p99 });
    }
}

/** Throws outcomeNotMet if any count exceeds its limit, listing all such counts. */
export function checkReplayOutcome(report: ReplayReport, outcome: ExpectedOutcome): void {
    const exceeded = (Object.entries(outcome) as [keyof ExpectedOutcome, number][]).filter(([name, limit]) =>
        report[name] > limit
    );
    if (exceeded.length > 0) {
        const detail = exceeded.map(([name, limit]) => `${name}=${report[name]} exceeds the limit of ${limit}`).join(
            ", ",
        );
        throw new RefusalError(createRefusal("outcomeNotMet", detail));
    }
}

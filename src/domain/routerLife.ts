/**
 * How long a router's process can have lived after a report of its own, when another process runs in its place: the
 * book of prepaid tokens goes by it (see prepaidBook.ts), so the answer must never be too short.
 *
 * Where the leader that took the report still leads, its monotonic clock tells. Else nothing runs on through a loss of
 * power but boxes' clocks of the time of day, any of which may step. Each of them is a witness by itself, against its
 * own reading of before, and the longest span that one of them has seen is believed. Controllers whose time of day has
 * stepped while they ran say nothing, and neither does a clock that reads earlier than it did. So the answer is too short
 * only where the time of day of every other witness was set back while nothing ran there, or right before.
 */

import type { PrepaidReportCommand } from "./bundleCommands.js";
import type { PredecessorReports } from "./prepaidBook.js";
import type { ReportTime } from "./reportBound.js";

/** Part by which the clocks of two boxes may run apart, a hundred times what quartz clocks do. */
const CLOCK_MARGIN = 1.02;
/** Added to what a monotonic clock measured, for its grain, in milliseconds. */
const CLOCK_GRAIN_MS = 20;
/** Added to what clocks of the time of day witnessed, which are slewed now and then, in milliseconds. */
const WITNESS_MARGIN_MS = 100;
/** Two clocks may have stepped unseen. */
const LEAST_WITNESSES = 3;
/** Controllers among them: a router's process has no disk, and what it knew of its clock is lost with it. */
const LEAST_CONTROLLERS = 2;

/** Since when an entry was in the log, in milliseconds. */
export interface EntryAge {
    /** By the monotonic clock of the leader that took it, where it still leads. */
    readonly measuredMs: number | undefined;
    /** By what controllers' clocks say, each on a box of its own, most of them clocks of the time of day. */
    readonly witnessedMs: readonly number[];
}

type Predecessor = NonNullable<PrepaidReportCommand["predecessor"]>;

/** What a leader goes by to bound the lives of routers' earlier processes. */
export class RouterLives {
    /** Of routers that run anew: their newest report of before, and how long nothing ran there after it. */
    private readonly silences = new Map<string, { readonly index: number; readonly ms: number; }>();

    /**
     * Longest time that the process before the one that makes `report` can have lived after its last reports; undefined
     * where nobody can say. `ages`: of the entries of those reports.
     */
    measure(
        { answered, newest }: PredecessorReports,
        report: PrepaidReportCommand,
        ages: { readonly answered: EntryAge | undefined; readonly newest: EntryAge; },
    ): Predecessor | undefined {
        const sinceNewestMs = this.tryMeasureSince(newest, report, ages.newest);
        const sinceAnsweredMs = answered === undefined || ages.answered === undefined
            ? 0
            : this.tryMeasureSince(answered, report, ages.answered);
        this.silences.set(report.router, { index: newest.index, ms: getSilenceMs(newest, report) });
        return sinceNewestMs === undefined || sinceAnsweredMs === undefined
            ? undefined
            : { sinceAnsweredMs, sinceNewestMs };
    }

    private tryMeasureSince(
        earlier: ReportTime,
        report: PrepaidReportCommand,
        { measuredMs, witnessedMs }: EntryAge,
    ): number | undefined {
        if (measuredMs !== undefined) {
            return Math.ceil(Math.max(0, measuredMs - report.uptimeMs) * CLOCK_MARGIN + CLOCK_GRAIN_MS);
        }
        // Another router whose last report came no earlier was silent for no longer than this one lived, at the most.
        const others = [...this.silences].filter(([router, { index }]) =>
            router !== report.router && index >= earlier.index
        );
        return witnessedMs.length < LEAST_CONTROLLERS ? undefined : tryComputeWitnessedMs([
            getSilenceMs(earlier, report),
            ...witnessedMs.map(ms => ms - report.uptimeMs),
            ...others.map(([, { ms }]) => ms),
        ]);
    }
}

function tryComputeWitnessedMs(witnesses: readonly number[]): number | undefined {
    const longestMs = Math.max(...witnesses);
    // Where the longest is below 0, every clock was set back.
    return witnesses.length < LEAST_WITNESSES || longestMs < 0
        ? undefined
        : Math.ceil(longestMs * CLOCK_MARGIN + WITNESS_MARGIN_MS);
}

/** From an earlier report until the start of the process that makes `report`, by the time of day at the router's box. */
function getSilenceMs(earlier: ReportTime, report: PrepaidReportCommand): number {
    return report.wallMs - report.uptimeMs - earlier.wallMs;
}

/**
 * Computes an upper bound on how long a router process ran after its last reports, once another process has replaced
 * it. The bound limits what the process can have spent, so it must never be too low.
 *
 * If the leader that appended the report is still leading, its monotonic clock measures the time. Otherwise only the
 * wall clocks of boxes continue across a power loss, and any of them may step. Each wall clock is compared with its own
 * earlier reading, and the longest span is used. Controllers that detected a step of their wall clock, and clocks that
 * went backwards, are ignored. The bound is too low only if all other wall clocks were set back while no process ran
 * there, or immediately before.
 */

import type { PrepaidReportCommand } from "./bundleCommands.js";
import type { PredecessorReports } from "./prepaidLedger.js";
import type { ReportTime } from "./reportBound.js";

/** Allowance for the drift between the clocks of two boxes, a hundred times that of quartz clocks. */
const CLOCK_DRIFT_FACTOR = 1.02;
/** Allowance for the resolution of monotonic clocks. */
const CLOCK_RESOLUTION_MS = 20;
/** Allowance for slewing of wall clocks. */
const WALL_CLOCK_MARGIN_MS = 100;
/** Tolerates undetected steps of two clocks. */
const MIN_WALL_CLOCKS = 3;
/** Required among them, because a router process does not retain across restarts whether its wall clock stepped. */
const MIN_CONTROLLER_CLOCKS = 2;

/** Age of a log entry, in milliseconds. */
export interface EntryAge {
    /** Measured by the monotonic clock of the leader that appended the entry, if it is still leading. */
    readonly measuredMs: number | undefined;
    /** According to the clocks of controllers on different boxes, most of them wall clocks. */
    readonly controllerClocksMs: readonly number[];
}

type Predecessor = NonNullable<PrepaidReportCommand["predecessor"]>;

/** Bounds the lifetimes of routers' earlier processes on behalf of the leader. */
export class PredecessorLifetimes {
    /** Newest report before each router's restart, and the time from that report to the start of the new process. */
    private readonly downtimes = new Map<string, { readonly index: number; readonly ms: number; }>();

    /**
     * Returns the maximum time that the process preceding the sender of `report` can have run after its last reports,
     * or undefined if the clocks provide no bound. `ages`: ages of the log entries of those reports.
     */
    computePredecessorLifetime(
        { answered, newest }: PredecessorReports,
        report: PrepaidReportCommand,
        ages: { readonly answered: EntryAge | undefined; readonly newest: EntryAge; },
    ): Predecessor | undefined {
        const sinceNewestMs = this.tryComputeLifetimeMs(newest, report, ages.newest);
        const sinceAnsweredMs = answered === undefined || ages.answered === undefined
            ? 0
            : this.tryComputeLifetimeMs(answered, report, ages.answered);
        this.downtimes.set(report.router, { index: newest.index, ms: computeDowntimeMs(newest, report) });
        return sinceNewestMs === undefined || sinceAnsweredMs === undefined
            ? undefined
            : { sinceAnsweredMs, sinceNewestMs };
    }

    private tryComputeLifetimeMs(
        earlier: ReportTime,
        report: PrepaidReportCommand,
        { measuredMs, controllerClocksMs }: EntryAge,
    ): number | undefined {
        if (measuredMs !== undefined) {
            return Math.ceil(Math.max(0, measuredMs - report.uptimeMs) * CLOCK_DRIFT_FACTOR + CLOCK_RESOLUTION_MS);
        }
        // The downtime of a router whose last report was not earlier is another estimate of the time to bound.
        const otherDowntimes = [...this.downtimes].filter(([router, { index }]) =>
            router !== report.router && index >= earlier.index
        );
        return controllerClocksMs.length < MIN_CONTROLLER_CLOCKS ? undefined : tryComputeWallClockSpanMs([
            computeDowntimeMs(earlier, report),
            ...controllerClocksMs.map(ms => ms - report.uptimeMs),
            ...otherDowntimes.map(([, { ms }]) => ms),
        ]);
    }
}

function tryComputeWallClockSpanMs(spansMs: readonly number[]): number | undefined {
    const longestMs = Math.max(...spansMs);
    // A negative maximum means that every clock was set back.
    return spansMs.length < MIN_WALL_CLOCKS || longestMs < 0
        ? undefined
        : Math.ceil(longestMs * CLOCK_DRIFT_FACTOR + WALL_CLOCK_MARGIN_MS);
}

/** Returns the time from an earlier report to the start of the reporting process, by the router box's wall clock. */
function computeDowntimeMs(earlier: ReportTime, report: PrepaidReportCommand): number {
    return report.wallMs - report.uptimeMs - earlier.wallMs;
}

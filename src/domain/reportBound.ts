/** Derives from the reports of a router an upper bound on the prepaid tokens it can have committed (see prepaidLedger.ts). */
import type { PrepaidReportCommand } from "./bundleCommands.js";

type ReportedAccount = PrepaidReportCommand["accounts"][number];

/** The part of a report that limits what its router may commit. */
export interface ReportBound {
    readonly sequence: number;
    /** Log index, from which the leader derives when the report was accepted. */
    readonly index: number;
    /** Wall clock of the router when it made the report, in milliseconds. */
    readonly wallMs: number;
    /** Time without an answer after which the router may commit its whole grant, in milliseconds. */
    readonly wholeAfterMs: number;
    readonly accounts: readonly Pick<ReportedAccount, "account" | "committed" | "burst" | "perSecond">[];
}

export type ReportTime = Pick<ReportBound, "index" | "wallMs">;

const MS_PER_SECOND = 1_000;

/** Accounts that the report omits keep their bounds from `previous`. */
export function createReportBound(
    report: PrepaidReportCommand,
    index: number,
    previous: ReportBound | undefined,
): ReportBound {
    const accounts = new Map(previous?.accounts.map(entry => [entry.account, entry]));
    for (const { account, committed, burst, perSecond } of report.accounts) {
        accounts.set(account, { account, committed, burst, perSecond });
    }
    const { sequence, wallMs, wholeAfterMs } = report;
    return { sequence, index, wallMs, wholeAfterMs, accounts: [...accounts.values()] };
}

/** Returns the most tokens that a router can have committed of an account. */
export type MaxCommitted = (account: string) => number;

/**
 * Computes the most tokens that a router can have committed. The router acts on its newest report, or on the newest one known to
 * have been answered, so the larger bound of the two applies. `elapsed`: time since each report; unbounded if undefined.
 */
export function computeMaxCommitted(
    bounds: { readonly answered: ReportBound | undefined; readonly newest: ReportBound | undefined; },
    elapsed: PrepaidReportCommand["predecessor"],
): MaxCommitted {
    if (elapsed === undefined) {
        return () => Infinity;
    }
    const byAnswered = computeMaxCommittedByReport(bounds.answered, elapsed.sinceAnsweredMs);
    const byNewest = computeMaxCommittedByReport(bounds.newest, elapsed.sinceNewestMs);
    return account => Math.max(byAnswered(account), byNewest(account));
}

/** 0 without a report: a router may not commit tokens before its first answer. */
function computeMaxCommittedByReport(bound: ReportBound | undefined, elapsedMs: number): MaxCommitted {
    if (bound === undefined) {
        return () => 0;
    }
    const entries = new Map(bound.accounts.map(entry => [entry.account, entry]));
    return account => {
        const entry = entries.get(account);
        if (entry === undefined) {
            return 0;
        }
        return elapsedMs >= bound.wholeAfterMs
            ? Infinity
            : entry.committed + entry.burst + Math.ceil(entry.perSecond * elapsedMs / MS_PER_SECOND);
    };
}

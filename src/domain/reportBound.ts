/** What a router's reports of its prepaid tokens say of how much it can have committed (see prepaidBook.ts). */
import type { PrepaidReportCommand } from "./bundleCommands.js";

type ReportedAccount = PrepaidReportCommand["accounts"][number];

/** A report as it bounds what its router may commit. */
export interface ReportBound {
    readonly sequence: number;
    /** Index in the log, by which the leader knows when it was taken. */
    readonly index: number;
    /** The time of day at the router's box when it was made, in milliseconds. */
    readonly wallMs: number;
    /** Without an answer for so long, the router may commit all that it was granted. Milliseconds. */
    readonly wholeAfterMs: number;
    readonly accounts: readonly Pick<ReportedAccount, "account" | "committed" | "burst" | "perSecond">[];
}

/** When a report was made. */
export type ReportTime = Pick<ReportBound, "index" | "wallMs">;

const MS_PER_SECOND = 1_000;

/** The bound of a report that stands at `index` of the log. What it says nothing of stands as `previous` told. */
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

/**
 * Most that a router can have committed of an account, by the report it went by last: its newest one, or the newest that
 * it is known to have the answer to. `lived`: how long after them; without it there is no bound. Tokens.
 */
export function computeMostSpent(
    bounds: { readonly answered: ReportBound | undefined; readonly newest: ReportBound | undefined; },
    account: string,
    lived: PrepaidReportCommand["predecessor"],
): number {
    if (lived === undefined) {
        return Infinity;
    }
    return Math.max(
        computeMostUnder(bounds.answered, account, lived.sinceAnsweredMs),
        computeMostUnder(bounds.newest, account, lived.sinceNewestMs),
    );
}

/** Before its first answer a router may commit nothing, so without a report there is nothing. */
function computeMostUnder(bound: ReportBound | undefined, account: string, livedMs: number): number {
    const entry = bound?.accounts.find(entry => entry.account === account);
    if (bound === undefined || entry === undefined) {
        return 0;
    }
    return livedMs >= bound.wholeAfterMs
        ? Infinity
        : entry.committed + entry.burst + Math.ceil(entry.perSecond * livedMs / MS_PER_SECOND);
}

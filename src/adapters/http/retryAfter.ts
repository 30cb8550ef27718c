/** Reads when somebody may be asked again, as HTTP says it: in seconds from now, or as a date. */

/** Statuses that turn a request away for now. */
const TURNED_AWAY: ReadonlySet<number> = new Set([429, 503]);
/** Decimals are outside of the standard, but some send them. */
const SECONDS = /^\d{1,9}(\.\d{1,9})?$/;

/** Whether an answer turns its request away for now, so that it may say when to come back. */
export function isTurnedAway(status: number): boolean {
    return TURNED_AWAY.has(status);
}

/** Milliseconds from `timeOfDayMs` on; undefined where it cannot be read. A date that has passed means 0. */
export function tryParseRetryAfterMs(value: string, timeOfDayMs: number): number | undefined {
    const text = value.trim();
    if (SECONDS.test(text)) {
        return Math.round(Number(text) * 1_000);
    }
    // Every form that the standard allows names a month; a mere number would be read as a year.
    const date = /[A-Za-z]{3}.*\d/.test(text) ? Date.parse(text) : NaN;
    return Number.isNaN(date) ? undefined : Math.max(0, date - timeOfDayMs);
}

/** Parses the HTTP Retry-After header, which holds a delay in seconds or a date. */

/** Statuses of a temporary rejection, which may carry Retry-After. */
const RETRY_AFTER_STATUSES: ReadonlySet<number> = new Set([429, 503]);
/** Some servers send decimals, which the standard does not allow. */
const SECONDS_PATTERN = /^\d{1,9}(\.\d{1,9})?$/;

/** Whether `status` is a temporary rejection, which may carry Retry-After. */
export function isRetryAfterStatus(status: number): boolean {
    return RETRY_AFTER_STATUSES.has(status);
}

/** Returns the delay in milliseconds from `wallClockMs`, 0 for a date in the past, or undefined if `value` is invalid. */
export function tryParseRetryAfterMs(value: string, wallClockMs: number): number | undefined {
    const text = value.trim();
    if (SECONDS_PATTERN.test(text)) {
        return Math.round(Number(text) * 1_000);
    }
    // Every date format of the standard names a month. Date.parse would take a bare number as a year.
    const date = /[A-Za-z]{3}.*\d/.test(text) ? Date.parse(text) : NaN;
    return Number.isNaN(date) ? undefined : Math.max(0, date - wallClockMs);
}

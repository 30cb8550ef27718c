/** Selects the log lines of controllers that tell why they had no leader when a request was refused. */
import type { LogLine } from "./explainCommand.js";

/** A controller without a leader logs a failed election at least once in 5 s, so an older one says nothing of the refusal. */
const MAX_ELECTION_AGE_MS = 10_000;
/** Leaders log only changes, so the last line before a fault may be older than the fault. */
const MAX_LEADER_LINE_AGE_MS = 60_000;
/** Maximum number of selected lines; the newest are kept. Per event, so that failed elections do not displace the replica set. */
const MAX_LINES_PER_EVENT = 8;

const REFUSAL_EVENT = "request_refused";
const ELECTION_FAILED_EVENT = "election_failed";
const LEADER_ELECTED_EVENT = "leader_elected";
const MAX_AGES_MS: ReadonlyMap<string, number> = new Map([
    [ELECTION_FAILED_EVENT, MAX_ELECTION_AGE_MS],
    [LEADER_ELECTED_EVENT, MAX_LEADER_LINE_AGE_MS],
    ["fault_tolerance_changed", MAX_LEADER_LINE_AGE_MS],
    ["replicas_changed", MAX_LEADER_LINE_AGE_MS],
]);
const LEADERLESS_PATTERN = /^(LW1306 )?notReady\b|^(LW2005 )?noMajority\b/;

/** Events of lines that `selectLeaderState` may select. */
export const LEADER_STATE_EVENTS: readonly string[] = [...MAX_AGES_MS.keys()];

/** Whether a request was refused with a code that callers get while the controllers have no leader. */
export function isLeaderlessRefusal({ event, fields }: LogLine): boolean {
    // Routers with sidecars log the name of the code only.
    return event === REFUSAL_EVENT && LEADERLESS_PATTERN.test(fields.get("refusal") ?? fields.get("code") ?? "");
}

/** Whether a line was logged before the refusal, and recently enough to tell the state at that time. */
export function isLeaderStateBefore(refusal: LogLine, { event, time }: LogLine): boolean {
    const maxAgeMs = MAX_AGES_MS.get(event);
    const ageMs = Date.parse(refusal.time) - Date.parse(time);
    return maxAgeMs !== undefined && ageMs >= 0 && ageMs <= maxAgeMs;
}

/** Returns the last line of each event of each controller before the refusal. */
export function selectLeaderState(refusal: LogLine, lines: readonly LogLine[]): LogLine[] {
    const sortedLines = lines.filter(line => isLeaderStateBefore(refusal, line)).sort(compareTimes);
    return LEADER_STATE_EVENTS.flatMap(event => {
        const linesOfEvent = sortedLines.filter(line => line.event === event);
        const lastLines = new Map(linesOfEvent.map(line => [line.name, line]));
        return [...lastLines.values()].sort(compareTimes).slice(-MAX_LINES_PER_EVENT);
    });
}

/** Returns the last failed election; undefined if a leader was elected after it. `sortedLines`: those before the refusal. */
export function tryFindFailedElection(sortedLines: readonly LogLine[]): LogLine | undefined {
    const last = sortedLines.filter(({ event }) => event === ELECTION_FAILED_EVENT || event === LEADER_ELECTED_EVENT)
        .at(-1);
    return last?.event === ELECTION_FAILED_EVENT ? last : undefined;
}

/** Compares lines for a sort in chronological order. */
export function compareTimes(a: LogLine, b: LogLine): number {
    return a.time < b.time ? -1 : Number(a.time > b.time);
}

/** Logs elections that ended without a leader: how many votes were missing, and why. */
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";

/** A candidate without a majority tries again several times a second; equal results are logged this often. */
const REPEAT_PERIOD_MS = 5_000;

export type ElectionStage = "preVote" | "vote";

/** Outcome of a round of vote requests. Replicas are given by name. */
export interface VoteCount {
    /** Votes granted, including the candidate's own. */
    readonly granted: number;
    /** Votes that form a majority. */
    readonly needed: number;
    readonly refusedBy: readonly string[];
    /** Replicas that may not vote until they have recovered from the loss of their disks. */
    readonly nonMembers: readonly string[];
    /** Replicas that did not answer in time; on success, also those that had not answered yet. */
    readonly unanswered: readonly string[];
}

export class ElectionReporter {
    private lastResult = "";
    private lastLoggedAt = -Infinity;

    constructor(private readonly log: Log, private readonly clock: Clock) {}

    /** `term`: that of the election. */
    reportFailure(
        stage: ElectionStage,
        term: number,
        { granted, needed, refusedBy, nonMembers, unanswered }: VoteCount,
    ): void {
        const fields = {
            stage,
            granted,
            needed,
            refused: formatNames(refusedBy),
            non_members: formatNames(nonMembers),
            unanswered: formatNames(unanswered),
        };
        const result = JSON.stringify(fields);
        const now = this.clock.getMonotonicMs();
        if (result === this.lastResult && now - this.lastLoggedAt < REPEAT_PERIOD_MS) {
            return;
        }
        this.lastResult = result;
        this.lastLoggedAt = now;
        this.log.warn("election_failed", { term, ...fields });
    }

    /** The next failure is logged whatever it is. */
    recordLeader(): void {
        this.lastResult = "";
    }
}

/** Sorted, so that the order in which answers arrive makes no difference. */
function formatNames(names: readonly string[]): string {
    return [...names].sort().join(",");
}

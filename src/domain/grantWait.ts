/**
 * Decides how long a request waits for prepaid tokens. A router that just started has no answer about an account yet; its
 * first requests would be refused although the account has tokens, so they wait longer than later ones.
 */
import type { ReserveOutcome } from "./localAccountBudget.js";

/** What the wait depends on. Times in milliseconds. */
export interface GrantWaitState {
    /** How long every request may wait. */
    readonly grantWaitMs: number;
    /** Latency goal of the request's route. */
    readonly goalMs: number;
    /** Whether the controllers had not answered any report about the account when the request arrived. */
    readonly isFirstGrant: boolean;
    /** Whether controllers have responded recently. */
    readonly isInContact: boolean;
    /** Outcome of the latest attempt to reserve. */
    readonly outcome: ReserveOutcome;
}

/** The rest of the latency goal is left for the upstream. */
const FIRST_GRANT_GOAL_FRACTION = 1 / 3;

/** Computes how long the request may wait, counted from its first attempt to reserve, in milliseconds. */
export function computeGrantWaitMs(state: GrantWaitState): number {
    const { grantWaitMs, goalMs, isFirstGrant, isInContact, outcome } = state;
    return isFirstGrant && isInContact && outcome === "short"
        ? Math.max(grantWaitMs, goalMs * FIRST_GRANT_GOAL_FRACTION)
        : grantWaitMs;
}

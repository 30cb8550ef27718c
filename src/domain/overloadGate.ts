/**
 * Refuses a part of the callers at the door of a router whose own processor is the limit.
 *
 * The load that this answers: callers are spread over routers by chance, so that one small box may get several times the
 * mean, and after a restart the same requests cost more. Beyond what the box can do, every turn of its event loop reads more
 * than the turn before could serve; then nearly all answers are late: a box that serves 39 of 40 requests a second in time serves 2 of 60, and 22 to 25 of them
 * where callers are refused at the door (`overloadGate.test.ts`, simulated time, five seeds). A refusal costs a fraction of an answer, and a caller that comes back
 * reaches another router as a rule.
 *
 * The part that is refused rises while the event loop is late and falls while it is in time, so that the box works just
 * below its limit, whatever a request costs there.
 */

/**
 * Lateness of the loop that counts as overload, in milliseconds: half of the shortest wait that callers notice. Decoding in
 * parts and other work of ours stays below it on the smallest boxes (5 turns above it at 10 routers in 34 s, one day).
 */
const LATE_MS = 100;
/** How much the level rises with each late tick for each `LATE_MS` of lateness, and at most: long turns have few ticks. */
const STEP_UP = 0.1;
const MOST_STEP_UP = 0.5;
/** How much it falls with each tick in time: a fifth, so that it holds near the limit instead of swinging about it. */
const STEP_DOWN = 0.02;
/** Below it nobody is refused: one late turn alone, by a large bundle or a collection of garbage, is no overload. */
const LEAST_LEVEL = 0.2;
/** How much higher the level has to be for each rank that is more urgent than the least urgent one. */
const LEVEL_PER_RANK = 0.4;
/** The least urgent rank of a route that counts; those beyond are treated like it. */
export const LEAST_URGENT_RANK = 2;
/** Most that is refused of a rank: none is left without any service. */
const MOST_REFUSED = 0.9;
/** At this level each rank has come to the most. */
const MOST_LEVEL = LEAST_LEVEL + LEVEL_PER_RANK * LEAST_URGENT_RANK + MOST_REFUSED;

export class OverloadGate {
    private level = 0;

    /** Called at each tick of the event loop. `lateMs`: how late it is, in milliseconds. */
    recordTick(lateMs: number): void {
        const step = lateMs > LATE_MS ? Math.min(MOST_STEP_UP, STEP_UP * lateMs / LATE_MS) : -STEP_DOWN;
        this.level = Math.min(MOST_LEVEL, Math.max(0, this.level + step));
    }

    /** Part of the requests of a rank that are refused; rank 0 is the most urgent. */
    getRefusedPart(rank: number): number {
        const moreUrgent = Math.max(0, LEAST_URGENT_RANK - rank);
        const part = this.level - LEAST_LEVEL - LEVEL_PER_RANK * moreUrgent;
        return Math.min(MOST_REFUSED, Math.max(0, part));
    }

    /** Whether a request that has just been read is refused. `draw`: by chance, in [0, 1). */
    shouldRefuse(rank: number, draw: number): boolean {
        return draw < this.getRefusedPart(rank);
    }
}

/**
 * A lookup ends each upstream of the plain service that runs it, before its answer begins, and comes again and again at all routers.
 * They stop sending it after three ends, and other lookups are answered.
 */
import { wait } from "../tools/waiting.js";
import type { CallerOutcome, SoakCallers } from "./soakCallers.js";
import { DEADLY_LOOKUP_PATH, type RunBook } from "./soakEngine.js";

const SOUND_PERIOD_MS = 80;
const DEADLY_EVERY = 5;
const PLAY_MS = 8_000;
/** Time that all upstreams and routers need after the last end that may be. */
const SETTLED_MS = 5_000;
const CRASH_LIMIT = 3;
/** Runs that may follow until all routers have been notified. */
const MAX_LATER_RUNS = 3;
const MIN_ANSWERED_FRACTION = 0.95;

/** Answers the promises that were broken. */
export async function checkDeadlyLookup(callers: SoakCallers, book: RunBook, routerCount: number): Promise<string[]> {
    const startedAt = performance.now();
    const deadly: Promise<CallerOutcome>[] = [];
    const settled: Promise<CallerOutcome>[] = [];
    for (let i = 0; performance.now() < startedAt + PLAY_MS; i++) {
        const sound = callers.sendLookup(`sound-lookup-${i}`, i % routerCount, `/l/sound-${i}`);
        if (performance.now() > startedAt + SETTLED_MS) {
            settled.push(sound);
        }
        if (i % DEADLY_EVERY === 0) {
            deadly.push(callers.sendLookup(`deadly-lookup-${i}`, i / DEADLY_EVERY % routerCount, DEADLY_LOOKUP_PATH));
        }
        await wait(SOUND_PERIOD_MS);
    }
    await Promise.all(deadly);
    const outcomes = await Promise.all(settled);
    const answeredFraction = outcomes.filter(({ status }) => status === 200).length / outcomes.length;
    return [
        ...book.deadlyLookups <= CRASH_LIMIT + MAX_LATER_RUNS
            ? []
            : [`a lookup that ends upstreams ran ${book.deadlyLookups} times`],
        ...answeredFraction >= MIN_ANSWERED_FRACTION ? [] : [`${answeredFraction} of the other lookups were answered`],
    ];
}

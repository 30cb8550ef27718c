/** Waiting on conditions, never on time alone. */

const TURN_MS = 25;

/** Resolves once `isTrue` answers true; rejects with `what` after `timeoutMs`. An `isTrue` that throws is asked again. */
export async function waitUntil(
    what: string,
    isTrue: () => boolean | Promise<boolean>,
    timeoutMs = 30_000,
): Promise<void> {
    const deadline = performance.now() + timeoutMs;
    let last: unknown;
    for (;;) {
        try {
            if (await isTrue()) {
                return;
            }
            last = undefined;
        }
        catch (error) {
            last = error;
        }
        if (performance.now() > deadline) {
            throw new Error(`waited in vain for ${what}${last === undefined ? "" : `: ${String(last)}`}`);
        }
        await wait(TURN_MS);
    }
}

export function wait(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Waits for what a delayed event loop has not read yet. */
import { setImmediate } from "node:timers/promises";

/**
 * Waits until the event loop has polled for I/O again: the first immediate runs in this turn, the second after the next
 * poll.
 */
export async function waitForNextPoll(): Promise<void> {
    await setImmediate();
    await setImmediate();
}

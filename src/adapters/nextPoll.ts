/** Waits for what a delayed event loop has not read yet. */
/**
 * Waits until the event loop has polled for I/O again: the first immediate runs in this turn, the second after the next
 * poll.
 */
export function waitForNextPoll(): Promise<void> {
    return new Promise(resolve => setImmediate(() => setImmediate(resolve)));
}

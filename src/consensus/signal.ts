/** Lets tasks wait until something has changed. */
export class Signal {
    private waiters: (() => void)[] = [];

    /** Wakes every task that waits. */
    notifyAll(): void {
        const waiters = this.waiters;
        this.waiters = [];
        waiters.forEach(wake => wake());
    }

    /** Resolves at the next change, or after `timeoutMs` at the latest. */
    wait(timeoutMs: number): Promise<void> {
        return new Promise(resolve => {
            const timer = setTimeout(resolve, timeoutMs);
            this.waiters.push(() => {
                clearTimeout(timer);
                resolve();
            });
        });
    }
}

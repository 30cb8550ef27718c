/** A condition variable: lets tasks wait until another task notifies them. */
export class ConditionVariable {
    private waiters: (() => void)[] = [];

    notifyAll(): void {
        const waiters = this.waiters;
        this.waiters = [];
        waiters.forEach(wake => wake());
    }

    /** Resolves at the next notification, or after `timeoutMs`. */
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

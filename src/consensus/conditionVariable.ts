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
            const wake = (): void => {
                clearTimeout(timer);
                resolve();
            };
            const timer = setTimeout(() => {
                this.waiters = this.waiters.filter(waiter => waiter !== wake);
                resolve();
            }, timeoutMs);
            this.waiters.push(wake);
        });
    }
}

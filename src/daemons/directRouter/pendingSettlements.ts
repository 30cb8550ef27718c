/** Reservations of stopped attempts that are not settled yet, although their requests are over. */
export class PendingSettlements {
    private readonly pending = new Set<Promise<void>>();

    /** `settlement` never rejects. */
    add(settlement: Promise<void>): void {
        this.pending.add(settlement);
        void settlement.then(() => this.pending.delete(settlement));
    }

    /** Resolves when the present ones are settled, so that a final report of the tokens includes them. */
    async wait(): Promise<void> {
        await Promise.all(this.pending);
    }
}

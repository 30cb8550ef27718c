/** The router as second witness: what it has relayed of a run whose sidecar was lost, told to the grant's ledger. */
import { createUsageRecord } from "../../domain/billStore.js";
import type { Clock } from "../../ports/clock.js";
import type { StartRunParams } from "../../protocol/runMethods.js";
import type { UsageOutbox } from "../usageOutbox.js";

export class UsageWitness {
    constructor(private readonly outbox: UsageOutbox, private readonly clock: Clock) {}

    /** Records the tokens known to have been consumed. The sidecar's own record, if it ever comes, can only say more. */
    record(params: Omit<StartRunParams, "listener">, promptTokens: number, outputTokens: number): void {
        if (promptTokens + outputTokens === 0) {
            return;
        }
        const record = createUsageRecord(params, { promptTokens, outputTokens }, this.clock.getWallMs());
        this.outbox.add(record);
    }
}

/** Reports the usage of a run whose sidecar was lost to the grant's ledger, based on what the router has relayed. */
import { createUsageRecord } from "../../domain/billStore.js";
import type { Clock } from "../../ports/clock.js";
import type { StartRunParams } from "../../protocol/runMethods.js";
import type { UsageOutbox } from "../usageOutbox.js";

export class RelayedUsageReporter {
    constructor(private readonly outbox: UsageOutbox, private readonly clock: Clock) {}

    /** Records the tokens known to have been consumed, a lower bound of what the sidecar's own record would report. */
    record(params: Omit<StartRunParams, "listener">, promptTokens: number, outputTokens: number): void {
        if (promptTokens + outputTokens === 0) {
            return;
        }
        const record = createUsageRecord(params, { promptTokens, outputTokens }, this.clock.getWallMs());
        this.outbox.add(record);
    }
}

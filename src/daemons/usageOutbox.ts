/**
 * Usage records on their way to the ledgers of their grants. A record is kept until its ledger has synced it; while a
 * ledger cannot be reached its records wait here, and are handed over when the ledger asks about the grant.
 */
import type { UsageRecord } from "../domain/billStore.js";
import { getGrantLedger, getLedgerController } from "../domain/identifiers.js";
import type { PeerNetwork } from "../ports/peer.js";
import { usageMethod } from "../protocol/ledgerMethods.js";
import type { ControllerAddress } from "./controllerAddress.js";

const SEND_TIMEOUT_MS = 2_000;
const MAX_RECORDS_PER_CALL = 500;
/** Past this many waiting records a sidecar takes no new runs, so that no bill is ever dropped. */
export const MAX_WAITING_RECORDS = 100_000;

export class UsageOutbox {
    private readonly waiting = new Map<string, UsageRecord>();

    constructor(private readonly controllers: readonly ControllerAddress[], private readonly network: PeerNetwork) {}

    add(record: UsageRecord): void {
        this.waiting.set(record.runId, record);
    }

    getSize(): number {
        return this.waiting.size;
    }

    isFull(): boolean {
        return this.waiting.size >= MAX_WAITING_RECORDS;
    }

    /** The waiting records of some grants. */
    getForGrants(grants: ReadonlySet<string>): UsageRecord[] {
        return [...this.waiting.values()].filter(record => grants.has(record.grant));
    }

    /** Sends what waits, each ledger's records to it. Those that fail stay. */
    async flush(): Promise<void> {
        const byController = new Map<string, UsageRecord[]>();
        for (const record of this.waiting.values()) {
            const controller = getLedgerController(getGrantLedger(record.grant));
            const records = byController.get(controller) ?? [];
            records.push(record);
            byController.set(controller, records);
        }
        await Promise.all(
            [...byController].map(([controller, records]) => this.send(controller, records).catch(() => undefined)),
        );
    }

    private async send(name: string, records: readonly UsageRecord[]): Promise<void> {
        const controller = this.controllers.find(other => other.name === name);
        if (controller === undefined) {
            return;
        }
        for (let start = 0; start < records.length; start += MAX_RECORDS_PER_CALL) {
            const part = records.slice(start, start + MAX_RECORDS_PER_CALL);
            await this.network.call(controller.address, usageMethod, { records: part }, SEND_TIMEOUT_MS);
            part.forEach(record => this.waiting.get(record.runId) === record && this.waiting.delete(record.runId));
        }
    }
}

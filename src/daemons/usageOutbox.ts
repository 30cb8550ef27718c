/**
 * Outbox of usage records for the ledgers of their grants. A record is kept until its ledger has synced it. Records of an
 * unreachable ledger are retried, and are also returned when the ledger asks about their grant.
 */
import type { UsageRecord } from "../domain/billStore.js";
import { getGrantLedger, getLedgerController } from "../domain/identifiers.js";
import type { PeerNetwork } from "../ports/peer.js";
import { usageMethod } from "../protocol/ledgerMethods.js";
import type { ControllerAddress } from "./controllerAddress.js";

const SEND_TIMEOUT_MS = 2_000;
const MAX_RECORDS_PER_CALL = 500;
/** At this many pending records a sidecar refuses new runs rather than drop records. */
export const MAX_PENDING_RECORDS = 100_000;

export class UsageOutbox {
    private readonly pendingRecords = new Map<string, UsageRecord>();

    constructor(private readonly controllers: readonly ControllerAddress[], private readonly network: PeerNetwork) {}

    add(record: UsageRecord): void {
        this.pendingRecords.set(record.runId, record);
    }

    getSize(): number {
        return this.pendingRecords.size;
    }

    isFull(): boolean {
        return this.pendingRecords.size >= MAX_PENDING_RECORDS;
    }

    /** Returns the pending records of the given grants. */
    getForGrants(grants: ReadonlySet<string>): UsageRecord[] {
        return [...this.pendingRecords.values()].filter(record => grants.has(record.grant));
    }

    /** Sends the pending records to their ledgers. Records that could not be sent stay pending. */
    async flush(): Promise<void> {
        const recordsByController = new Map<string, UsageRecord[]>();
        for (const record of this.pendingRecords.values()) {
            const controller = getLedgerController(getGrantLedger(record.grant));
            const records = recordsByController.get(controller) ?? [];
            records.push(record);
            recordsByController.set(controller, records);
        }
        await Promise.all(
            [...recordsByController].map(([controller, records]) =>
                this.send(controller, records).catch(() => undefined)
            ),
        );
    }

    private async send(controllerName: string, records: readonly UsageRecord[]): Promise<void> {
        const controller = this.controllers.find(other => other.name === controllerName);
        if (controller === undefined) {
            return;
        }
        for (let start = 0; start < records.length; start += MAX_RECORDS_PER_CALL) {
            const batch = records.slice(start, start + MAX_RECORDS_PER_CALL);
            await this.network.call(controller.address, usageMethod, { records: batch }, SEND_TIMEOUT_MS);
            batch.forEach(record =>
                this.pendingRecords.get(record.runId) === record && this.pendingRecords.delete(record.runId)
            );
        }
    }
}

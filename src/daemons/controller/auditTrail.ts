/** Audit trail: a durable record of every accepted and refused change, stored on each controller's disk. */
import type { LogEntry } from "../../domain/commands.js";
import type { ApplyResult } from "../../domain/declaredState.js";
import { formatRefusal, type Refusal } from "../../domain/resultCodes.js";
import type { AuditRecord } from "../../ports/audit.js";
import type { OpenedJournal } from "../../ports/journal.js";
import type { Log } from "../../ports/log.js";

/** Number of recent records kept in memory; the journal keeps all of them. */
const RECORDS_IN_MEMORY = 10_000;

export class AuditTrail {
    private readonly records: AuditRecord[];
    private lastIndex = 0;

    constructor(private readonly openedJournal: OpenedJournal, private readonly log: Log) {
        this.records = (openedJournal.records as readonly AuditRecord[]).slice(-RECORDS_IN_MEMORY);
        for (const record of this.records) {
            this.lastIndex = Math.max(this.lastIndex, record.index);
        }
    }

    /** Records an applied log entry; skips entries that were recorded before a restart. */
    recordEntry(entry: LogEntry, result: ApplyResult): void {
        const { command } = entry;
        if (entry.index <= this.lastIndex) {
            return;
        }
        if (command.type === "putObject" || command.type === "deleteObject") {
            const accepted = result.type === "accepted" && "revision" in result ? result : undefined;
            this.add({
                index: entry.index,
                at: entry.at,
                operator: command.operator,
                operationId: command.operationId,
                action: command.type,
                object: `${command.kind}/${command.name}`,
                outcome: formatOutcome(result),
                ...(accepted?.before === undefined ? {} : { before: accepted.before }),
                ...(accepted?.after === undefined ? {} : { after: accepted.after }),
            });
        }
        else if (command.type === "creditTopUp") {
            this.add({
                index: entry.index,
                at: entry.at,
                operator: command.operator,
                operationId: command.operationId,
                action: "topUp",
                object: `budget/${command.budget}`,
                outcome: formatOutcome(result),
                after: { tokens: command.tokens, home: command.home },
            });
        }
    }

    /** Records a change that was refused before it reached the replicated log. */
    recordRefusal(record: Omit<AuditRecord, "index" | "outcome">, refusal: Refusal): void {
        this.add({ index: 0, ...record, outcome: formatRefusal(refusal) });
    }

    /** Returns the latest records, oldest first. */
    getRecords(limit: number): readonly AuditRecord[] {
        return this.records.slice(-limit);
    }

    async close(): Promise<void> {
        await this.openedJournal.journal.close();
    }

    private add(record: AuditRecord): void {
        this.lastIndex = Math.max(this.lastIndex, record.index);
        this.records.push(record);
        if (this.records.length > RECORDS_IN_MEMORY * 2) {
            this.records.splice(0, RECORDS_IN_MEMORY);
        }
        this.openedJournal.journal.append(record).catch(error =>
            this.log.error("audit_failed", { error: String(error) })
        );
    }
}

function formatOutcome(result: ApplyResult): string {
    return result.type === "refused" ? formatRefusal(result.refusal) : "accepted";
}

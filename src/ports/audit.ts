/** An entry of the audit log: who changed what, when, and with which outcome. */
export interface AuditRecord {
    /** Index in the replicated log; 0 for a change that was rejected before it was appended. */
    readonly index: number;
    /** Wall-clock time, in milliseconds since the Unix epoch. */
    readonly at: number;
    readonly operator: string;
    readonly operationId: string;
    readonly action: string;
    readonly object: string;
    readonly outcome: string;
    readonly before?: unknown;
    readonly after?: unknown;
}

/** One line of the audit trail: who changed what, when, and what came of it. */
export interface AuditRecord {
    /** Index in the replicated log; 0 for a change that was refused before it got there. */
    readonly index: number;
    /** Wall clock, milliseconds since 1970. */
    readonly at: number;
    readonly operator: string;
    readonly operationId: string;
    readonly action: string;
    readonly object: string;
    readonly outcome: string;
    readonly before?: unknown;
    readonly after?: unknown;
}

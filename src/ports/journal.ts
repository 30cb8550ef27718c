/** An append-only file of records. */
export abstract class Journal {
    /** Appends a record and resolves once it is synced. Records are synced in call order. */
    abstract append(record: unknown): Promise<void>;
    /** Atomically replaces the content with `records`, before any record appended later. */
    abstract replaceAll(records: readonly unknown[]): Promise<void>;
    /** Returns the size in bytes. */
    abstract getSize(): number;
    /** Waits for pending writes and closes the file. */
    abstract close(): Promise<void>;
}

/** A journal and the content it had when it was opened. */
export interface OpenedJournal {
    readonly journal: Journal;
    /** The records, oldest first. */
    readonly records: readonly unknown[];
    /** Bytes of an incomplete write that were truncated from the end. */
    readonly tornBytes: number;
}

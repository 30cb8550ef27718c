/** An ordered file of records on a disk of the system's own. */
export abstract class Journal {
    /** Appends a record; resolves once it is synced. Records are synced in the order of the calls. */
    abstract append(record: unknown): Promise<void>;
    /** Replaces the whole content by `records`, all at once, before anything appended later. */
    abstract replaceAll(records: readonly unknown[]): Promise<void>;
    /** How many bytes it holds. */
    abstract getSize(): number;
    /** Syncs what is pending and closes the file. */
    abstract close(): Promise<void>;
}

/** A journal as it was found at the start. */
export interface OpenedJournal {
    readonly journal: Journal;
    /** The records, oldest first. */
    readonly records: readonly unknown[];
    /** Bytes cut off the end, because their write was torn by a crash. */
    readonly tornBytes: number;
}

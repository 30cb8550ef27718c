/** Serialized length of log entries, which varies by three orders of magnitude. */
import type { LogEntry } from "../domain/commands.js";

const lengths = new WeakMap<LogEntry, number>();

/** Returns the length of an entry's JSON in characters, cached per entry. */
export function computeEntryLength(entry: LogEntry): number {
    let length = lengths.get(entry);
    if (length === undefined) {
        length = JSON.stringify(entry).length;
        lengths.set(entry, length);
    }
    return length;
}

export function sumEntryLengths(entries: readonly LogEntry[]): number {
    return entries.reduce((sum, entry) => sum + computeEntryLength(entry), 0);
}

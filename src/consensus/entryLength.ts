/** How long entries of the log are: a declared bundle can be a thousand times as long as another entry. */
import type { LogEntry } from "../domain/commands.js";

const lengths = new WeakMap<LogEntry, number>();

/** Length of an entry as JSON, in characters. Computed once an entry. */
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

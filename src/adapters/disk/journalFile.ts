/**
 * A journal in one file with one checksummed line per record. Concurrent appends are written and synced as a group.
 *
 * An incomplete record at the end is truncated: the write was interrupted by a crash and was never acknowledged. A corrupt
 * record that is followed by a valid one fails with diskCorrupt, because an acknowledged write is lost.
 */
import { type FileHandle, open, readFile, rename } from "node:fs/promises";
import { dirname } from "node:path";
import { crc32 } from "node:zlib";
import { createRefusal, RefusalError } from "../../domain/resultCodes.js";
import { Journal, type OpenedJournal } from "../../ports/journal.js";

const CHECKSUM_HEX_DIGITS = 8;
const NEWLINE = 0x0a;

interface PendingWrite {
    readonly records: readonly unknown[];
    /** Whether the write replaces the content of the file. */
    readonly isReplacement: boolean;
    readonly resolve: () => void;
    readonly reject: (error: Error) => void;
}

interface ParsedFile {
    readonly records: unknown[];
    readonly validBytes: number;
}

/** How a journal handles failed writes. */
export interface JournalFileOptions {
    /**
     * Delay before a failed write is retried, in milliseconds; its promise stays pending meanwhile. If omitted, a failed
     * write fails the journal permanently.
     */
    readonly retryWriteMs?: number;
    /** Called for each failed write that will be retried. */
    readonly onWriteError?: (error: unknown) => void;
}

/** One line for all records of a group, so that the group is written atomically. */
interface RecordGroup {
    readonly type: "group";
    readonly records: readonly unknown[];
}

/** Opens the journal at `path` and creates it if it does not exist. */
export async function openJournalFile(path: string, options: JournalFileOptions = {}): Promise<OpenedJournal> {
    const content = await readFileIfExists(path);
    const parsed = parseRecords(content, path);
    const file = await open(path, "a");
    if (parsed.validBytes < content.length) {
        await file.truncate(parsed.validBytes);
        await file.sync();
    }
    await syncDirectory(dirname(path));
    return {
        journal: new JournalFile(path, file, parsed.validBytes, options),
        records: parsed.records,
        tornBytes: content.length - parsed.validBytes,
    };
}

/** Group commit: writes that arrive during a sync are written and synced together by the next one. */
class JournalFile extends Journal {
    private pending: PendingWrite[] = [];
    private writing: Promise<void> | undefined;
    private failure: Error | undefined;

    private closed = false;

    constructor(
        private readonly path: string,
        private file: FileHandle,
        private size: number,
        private readonly options: JournalFileOptions,
    ) {
        super();
    }

    override append(record: unknown): Promise<void> {
        return this.enqueue([record], false);
    }

    override replaceAll(records: readonly unknown[]): Promise<void> {
        return this.enqueue(records, true);
    }

    override getSize(): number {
        return this.size;
    }

    override async close(): Promise<void> {
        this.closed = true;
        await this.writing;
        await this.file.close();
    }

    private enqueue(records: readonly unknown[], isReplacement: boolean): Promise<void> {
        if (this.failure !== undefined) {
            return Promise.reject(this.failure);
        }
        return new Promise((resolve, reject) => {
            this.pending.push({ records, isReplacement, resolve, reject });
            this.writing ??= this.writePending();
        });
    }

    private async writePending(): Promise<void> {
        while (this.pending.length > 0) {
            const group = this.takeNextGroup();
            try {
                await this.writeGroupWithRetries(group);
                group.forEach(write => write.resolve());
            }
            catch (error) {
                this.failPending(group, error);
            }
        }
        this.writing = undefined;
    }

    /** Removes the next writes that can be synced together: one replacement, or the appends before the next replacement. */
    private takeNextGroup(): PendingWrite[] {
        if (this.pending[0]!.isReplacement) {
            return this.pending.splice(0, 1);
        }
        const end = this.pending.findIndex(write => write.isReplacement);
        return this.pending.splice(0, end < 0 ? this.pending.length : end);
    }

    /** Retries a failed write until it succeeds, if `retryWriteMs` is set and the journal is not closed. */
    private async writeGroupWithRetries(group: readonly PendingWrite[]): Promise<void> {
        const { retryWriteMs, onWriteError } = this.options;
        for (let isRetry = false;; isRetry = true) {
            try {
                if (isRetry) {
                    await this.file.truncate(this.size);
                }
                return await this.writeGroup(group);
            }
            catch (error) {
                if (retryWriteMs === undefined || this.closed) {
                    throw error;
                }
                onWriteError?.(error);
                await new Promise(resolve => setTimeout(resolve, retryWriteMs));
            }
        }
    }

    private async writeGroup(group: readonly PendingWrite[]): Promise<void> {
        const records = group.flatMap(write => write.records);
        if (group[0]!.isReplacement) {
            await this.writeReplacement(Buffer.from(records.map(formatRecord).join("")));
            return;
        }
        const combined: RecordGroup = { type: "group", records };
        const bytes = Buffer.from(formatRecord(records.length === 1 ? records[0] : combined));
        await this.file.appendFile(bytes);
        await this.file.datasync();
        this.size += bytes.length;
    }

    private async writeReplacement(bytes: Buffer): Promise<void> {
        const temporary = `${this.path}.new`;
        const replacement = await open(temporary, "w");
        await replacement.writeFile(bytes);
        await replacement.sync();
        await replacement.close();
        await rename(temporary, this.path);
        await syncDirectory(dirname(this.path));
        await this.file.close();
        this.file = await open(this.path, "a");
        this.size = bytes.length;
    }

    /** Fails all later writes as well, because the end of the file is unknown after a failed write. */
    private failPending(group: readonly PendingWrite[], error: unknown): void {
        this.failure = new RefusalError(createRefusal("diskFailed", String(error), "unknown"));
        const failed = [...group, ...this.pending];
        this.pending = [];
        failed.forEach(write => write.reject(this.failure!));
    }
}

/** Formats a record as a line: checksum, JSON and newline. */
export function formatRecord(record: unknown): string {
    const json = JSON.stringify(record);
    return `${formatChecksum(json)} ${json}\n`;
}

function formatChecksum(json: string): string {
    return crc32(json).toString(16).padStart(CHECKSUM_HEX_DIGITS, "0");
}

function parseRecords(content: Buffer, path: string): ParsedFile {
    const records: unknown[] = [];
    let start = 0;
    let corruptOffset: number | undefined;
    while (start < content.length) {
        const end = content.indexOf(NEWLINE, start);
        const record = end < 0 ? undefined : tryParseRecord(content.toString("utf8", start, end));
        if (record === undefined) {
            corruptOffset ??= start;
        }
        else if (corruptOffset !== undefined) {
            throw new RefusalError(
                createRefusal("diskCorrupt", `${path}: corrupt record at byte ${corruptOffset}`, "unknown"),
            );
        }
        else {
            records.push(...(isRecordGroup(record) ? record.records : [record]));
        }
        start = end < 0 ? content.length : end + 1;
    }
    return { records, validBytes: corruptOffset ?? content.length };
}

function isRecordGroup(record: unknown): record is RecordGroup {
    return typeof record === "object" && (record as Partial<RecordGroup>).type === "group";
}

function tryParseRecord(line: string): unknown {
    const json = line.slice(CHECKSUM_HEX_DIGITS + 1);
    if (json.length === 0 || line.slice(0, CHECKSUM_HEX_DIGITS) !== formatChecksum(json)) {
        return undefined;
    }
    return JSON.parse(json) as unknown;
}

async function readFileIfExists(path: string): Promise<Buffer> {
    try {
        return await readFile(path);
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code === "ENOENT") {
            return Buffer.alloc(0);
        }
        throw error;
    }
}

/** Syncs a directory, so that a created or renamed file in it survives a crash. */
async function syncDirectory(path: string): Promise<void> {
    const handle = await open(path, "r");
    try {
        await handle.sync();
    }
    finally {
        await handle.close();
    }
}

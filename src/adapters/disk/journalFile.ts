/**
 * A journal in one file: a line a record, each with its checksum, synced in groups.
 *
 * A torn tail (the last write before a crash) is cut off and counted: nobody was answered for it. Damage that is
 * followed by a sound record is refused with diskCorrupt, because what is lost there was promised to somebody.
 */
import { type FileHandle, open, readFile, rename } from "node:fs/promises";
import { dirname } from "node:path";
import { crc32 } from "node:zlib";
import { createRefusal, RefusalError } from "../../domain/resultCodes.js";
import { Journal, type OpenedJournal } from "../../ports/journal.js";

const CHECKSUM_LENGTH = 8;
const NEWLINE = 0x0a;

interface PendingWrite {
    readonly records: readonly unknown[];
    /** Set where the write replaces the whole file. */
    readonly replaces: boolean;
    readonly resolve: () => void;
    readonly reject: (error: Error) => void;
}

interface ParsedFile {
    readonly records: unknown[];
    readonly soundBytes: number;
}

/** How a journal meets a disk that refuses a write. */
export interface JournalFileOptions {
    /**
     * Pause before a refused write is tried again, in milliseconds; whoever waits for it goes on waiting. Left out, a
     * refused write fails the journal for good.
     */
    readonly retryWriteMs?: number;
    /** Told of each write that was refused and will be tried again. */
    readonly onRefused?: (error: unknown) => void;
}

/** A line that holds all the records of one group, so that a group is there whole after a loss of power, or not at all. */
interface RecordGroup {
    readonly type: "group";
    readonly records: readonly unknown[];
}

/** Opens the journal at `path`, creating it when missing. */
export async function openJournalFile(path: string, options: JournalFileOptions = {}): Promise<OpenedJournal> {
    const content = await readFileIfPresent(path);
    const parsed = parseRecords(content, path);
    const file = await open(path, "a");
    if (parsed.soundBytes < content.length) {
        await file.truncate(parsed.soundBytes);
        await file.sync();
    }
    await syncFolder(dirname(path));
    return {
        journal: new JournalFile(path, file, parsed.soundBytes, options),
        records: parsed.records,
        tornBytes: content.length - parsed.soundBytes,
    };
}

/** Appends in groups: whatever gathers while one sync runs is written and synced together by the next. */
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

    private enqueue(records: readonly unknown[], replaces: boolean): Promise<void> {
        if (this.failure !== undefined) {
            return Promise.reject(this.failure);
        }
        return new Promise((resolve, reject) => {
            this.pending.push({ records, replaces, resolve, reject });
            this.writing ??= this.writePending();
        });
    }

    private async writePending(): Promise<void> {
        while (this.pending.length > 0) {
            const group = this.takeGroup();
            try {
                await this.writeGroupUntilTaken(group);
                group.forEach(write => write.resolve());
            }
            catch (error) {
                this.failPending(group, error);
            }
        }
        this.writing = undefined;
    }

    /** The next writes that can be synced together: one replacement, or appends up to the next replacement. */
    private takeGroup(): PendingWrite[] {
        if (this.pending[0]!.replaces) {
            return this.pending.splice(0, 1);
        }
        const end = this.pending.findIndex(write => write.replaces);
        return this.pending.splice(0, end < 0 ? this.pending.length : end);
    }

    /** Writes a group, again and again where the disk refuses it and the journal is to outlast that. */
    private async writeGroupUntilTaken(group: readonly PendingWrite[]): Promise<void> {
        const { retryWriteMs, onRefused } = this.options;
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
                onRefused?.(error);
                await new Promise(resolve => setTimeout(resolve, retryWriteMs));
            }
        }
    }

    private async writeGroup(group: readonly PendingWrite[]): Promise<void> {
        const records = group.flatMap(write => write.records);
        if (group[0]!.replaces) {
            await this.writeReplacement(Buffer.from(records.map(formatRecord).join("")));
            return;
        }
        const whole: RecordGroup = { type: "group", records };
        const bytes = Buffer.from(formatRecord(records.length === 1 ? records[0] : whole));
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
        await syncFolder(dirname(this.path));
        await this.file.close();
        this.file = await open(this.path, "a");
        this.size = bytes.length;
    }

    /** After a failed write nothing later may be acknowledged: the file's end is not known any more. */
    private failPending(group: readonly PendingWrite[], error: unknown): void {
        this.failure = new RefusalError(createRefusal("diskFailed", String(error), "unknown"));
        const failed = [...group, ...this.pending];
        this.pending = [];
        failed.forEach(write => write.reject(this.failure!));
    }
}

/** One record as its line. */
export function formatRecord(record: unknown): string {
    const json = JSON.stringify(record);
    return `${formatChecksum(json)} ${json}\n`;
}

function formatChecksum(json: string): string {
    return crc32(json).toString(16).padStart(CHECKSUM_LENGTH, "0");
}

function parseRecords(content: Buffer, path: string): ParsedFile {
    const records: unknown[] = [];
    let start = 0;
    let damagedAt: number | undefined;
    while (start < content.length) {
        const end = content.indexOf(NEWLINE, start);
        const record = end < 0 ? undefined : tryParseRecord(content.toString("utf8", start, end));
        if (record === undefined) {
            damagedAt ??= start;
        }
        else if (damagedAt !== undefined) {
            throw new RefusalError(createRefusal("diskCorrupt", `${path} at byte ${damagedAt}`, "unknown"));
        }
        else {
            records.push(...(isGroup(record) ? record.records : [record]));
        }
        start = end < 0 ? content.length : end + 1;
    }
    return { records, soundBytes: damagedAt ?? content.length };
}

function isGroup(record: unknown): record is RecordGroup {
    return typeof record === "object" && (record as Partial<RecordGroup>).type === "group";
}

function tryParseRecord(line: string): unknown {
    const json = line.slice(CHECKSUM_LENGTH + 1);
    if (json.length === 0 || line.slice(0, CHECKSUM_LENGTH) !== formatChecksum(json)) {
        return undefined;
    }
    return JSON.parse(json) as unknown;
}

async function readFileIfPresent(path: string): Promise<Buffer> {
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

/** Makes a new name in a folder last. */
async function syncFolder(folder: string): Promise<void> {
    const handle = await open(folder, "r");
    try {
        await handle.sync();
    }
    finally {
        await handle.close();
    }
}

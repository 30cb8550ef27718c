/**
 * Writes lines to a file descriptor without blocking the process. Lines that exceed the buffer are dropped, those of low
 * priority first, and a log line reports their count.
 */
import { write, writeSync } from "node:fs";

/** Buffered bytes above which lines of level info are dropped. Holds some seconds of a busy router's log. */
const MAX_BUFFERED_INFO_BYTES = 256 * 1024;
/** Buffered bytes above which every line is dropped. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
const WRITE_RETRY_DELAY_MS = 50;
/**
 * How long lines of low priority wait for further ones, so that they share a write: each write wakes a thread of the pool and
 * then the event loop. Lines of high priority are written at once, with all lines before them.
 */
const BATCH_DELAY_MS = 50;

/** Age of a write above which its reader is taken for stuck. */
const MAX_WRITE_AGE_MS = 100;

/** Outputs with lines that wait for a batch. */
const waitingOutputs = new Set<BoundedOutput>();
let isExiting = false;
process.prependListener("exit", () => {
    isExiting = true;
});
process.on("exit", () => waitingOutputs.forEach(output => output.writeRest()));

export class BoundedOutput {
    private buffered: string[] = [];
    private bufferedBytes = 0;
    private droppedLines = 0;
    private isWriting = false;
    /** Monotonic clock, milliseconds. */
    private writingSince = 0;
    private hasFailed = false;
    private batchTimer: NodeJS.Timeout | undefined;

    constructor(private readonly fd: number) {}

    /** `line` includes its newline. Lines with `isLowPriority` are dropped at a lower buffer size. */
    writeLine(line: string, isLowPriority: boolean): void {
        if (this.hasFailed) {
            return;
        }
        if (this.bufferedBytes > (isLowPriority ? MAX_BUFFERED_INFO_BYTES : MAX_BUFFERED_BYTES)) {
            this.droppedLines += 1;
            return;
        }
        if (this.droppedLines > 0) {
            this.addToBuffer(`level=warn event=log_lines_left_out count=${this.droppedLines}\n`);
            this.droppedLines = 0;
        }
        this.addToBuffer(line);
        waitingOutputs.add(this);
        if (isExiting) {
            return;
        }
        if (isLowPriority) {
            this.batchTimer ??= setTimeout(() => this.flushBuffer(), BATCH_DELAY_MS);
        }
        else {
            this.flushBuffer();
        }
    }

    /** Writes the lines that still wait for a batch. Called when the process exits. */
    writeRest(): void {
        const isStuck = this.isWriting && performance.now() - this.writingSince > MAX_WRITE_AGE_MS;
        if (!isStuck && !this.hasFailed && this.buffered.length > 0) {
            try {
                writeSync(this.fd, this.buffered.join(""));
            }
            catch {
                // The reader is gone or does not read; the process must not wait for it.
            }
        }
    }

    private addToBuffer(line: string): void {
        this.buffered.push(line);
        this.bufferedBytes += line.length;
    }

    private flushBuffer(): void {
        clearTimeout(this.batchTimer);
        this.batchTimer = undefined;
        if (this.isWriting || this.buffered.length === 0) {
            return;
        }
        waitingOutputs.delete(this);
        this.isWriting = true;
        this.writingSince = performance.now();
        const bytes = Buffer.from(this.buffered.join(""));
        this.buffered = [];
        this.bufferedBytes = bytes.length;
        this.writeBytes(bytes);
    }

    private writeBytes(bytes: Buffer): void {
        write(this.fd, bytes, (error, written) => {
            if (error !== null && error.code !== "EAGAIN") {
                // The reader is gone; the process continues without a log.
                this.hasFailed = true;
                return;
            }
            const remaining = bytes.subarray(error === null ? written : 0);
            this.bufferedBytes = Math.max(0, this.bufferedBytes - (bytes.length - remaining.length));
            if (remaining.length > 0) {
                setTimeout(() => this.writeBytes(remaining), error === null ? 0 : WRITE_RETRY_DELAY_MS);
                return;
            }
            this.isWriting = false;
            this.flushBuffer();
        });
    }
}

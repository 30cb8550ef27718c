/**
 * Writes lines to a file descriptor without ever holding up the process: what the reader does not take in time is left
 * out, lines of less weight first, and a line tells how many.
 */
import { write } from "node:fs";

/** Waiting bytes above which lines of level info are left out: some seconds of a busy router's log. */
const INFO_LIMIT_BYTES = 256 * 1024;
/** Waiting bytes above which every line is left out. */
const LIMIT_BYTES = 1024 * 1024;
/** Pause before a write that the reader had no room for is tried again, in milliseconds. */
const RETRY_MS = 50;

export class BoundedOutput {
    private waiting: string[] = [];
    private waitingBytes = 0;
    private leftOut = 0;
    private writing = false;
    private broken = false;

    constructor(private readonly fd: number) {}

    /** Takes a line with its end. `isMinor`: it goes before others where there is no room. */
    writeLine(line: string, isMinor: boolean): void {
        if (this.broken) {
            return;
        }
        if (this.waitingBytes > (isMinor ? INFO_LIMIT_BYTES : LIMIT_BYTES)) {
            this.leftOut += 1;
            return;
        }
        if (this.leftOut > 0) {
            this.add(`level=warn event=log_lines_left_out count=${this.leftOut}\n`);
            this.leftOut = 0;
        }
        this.add(line);
        this.writeNext();
    }

    private add(line: string): void {
        this.waiting.push(line);
        this.waitingBytes += line.length;
    }

    private writeNext(): void {
        if (this.writing || this.waiting.length === 0) {
            return;
        }
        this.writing = true;
        const bytes = Buffer.from(this.waiting.join(""));
        this.waiting = [];
        this.waitingBytes = bytes.length;
        this.writeBytes(bytes);
    }

    private writeBytes(bytes: Buffer): void {
        write(this.fd, bytes, (error, written) => {
            if (error !== null && error.code !== "EAGAIN") {
                // Nobody reads any more; the process goes on without a log.
                this.broken = true;
                return;
            }
            const rest = bytes.subarray(error === null ? written : 0);
            this.waitingBytes = Math.max(0, this.waitingBytes - (bytes.length - rest.length));
            if (rest.length > 0) {
                setTimeout(() => this.writeBytes(rest), error === null ? 0 : RETRY_MS);
                return;
            }
            this.writing = false;
            this.writeNext();
        });
    }
}

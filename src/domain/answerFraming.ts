/**
 * Follows where the answers on a relayed connection begin and end. It reads the framing alone: the bytes pass through, except for the interim
 * answer with which the serving router confirms that it sends a request to an upstream.
 */

/** Longest head of an answer. Of a longer one the framing is not followed. */
const MAX_HEAD_BYTES = 65_536;
/** Longest line that begins a chunk, or ends a chunked body. */
const MAX_LINE_BYTES = 8_192;
const HEAD_END = "\r\n\r\n";
const LINE_FEED = 0x0a;
const LINE_END_BYTES = 2;
const STATUS_LINE = /^HTTP\/1\.[01] (\d{3})/;
const CONTENT_LENGTH = /\r\ncontent-length:[ \t]*(\d{1,15})[ \t]*\r\n/i;
const CHUNKED = /\r\ntransfer-encoding:[ \t]*chunked[ \t]*\r\n/i;
const CHUNK_SIZE = /^[0-9a-f]{1,13}(?=[\s;]|$)/i;
const NO_BYTES = Buffer.alloc(0);

const CONTINUE = 100;
/** Status of the interim answer with which the serving router confirms that it sends a request to an upstream. */
const PROCESSING = 102;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
const FIRST_FINAL_STATUS = 200;

/** What is expected next. `unknown`: bytes that are no answer, or whose framing cannot be followed; they pass through. */
type FramingState = "head" | "length" | "chunkLine" | "chunk" | "trailer" | "untilClose" | "unknown";

export class AnswerFraming {
    private state: FramingState = "head";
    /** Of a head or a line that has not arrived whole. */
    private partial: Buffer = NO_BYTES;
    /** Of a body or a chunk. */
    private remainingBytes = 0;
    private hasBegun = false;
    private isSent = false;

    /** Whether the answers can be followed. */
    isKnown(): boolean {
        return this.state !== "unknown";
    }

    /** Whether bytes of an answer that is not complete have come. A part of a head that is held back does not count. */
    isAnswering(): boolean {
        return this.hasBegun;
    }

    /** Whether the end of the answer under way is the end of the connection. */
    isUnframed(): boolean {
        return this.state === "untilClose";
    }

    /**
     * Whether the serving router has confirmed that it sends the unanswered request to an upstream, or may have: a part of a head may be
     * that of a confirmation or of an answer.
     */
    mayHaveBeenSent(): boolean {
        return this.isSent || this.partial.length > 0;
    }

    /**
     * Reads bytes of answers, and returns those for the caller. `isHead`: whether the request is one whose answer has no body.
     * `onEnd`: called at the end of each answer.
     */
    read(bytes: Buffer, isHead: boolean, onEnd: () => void): Buffer {
        const passed: Buffer[] = [];
        let rest = bytes;
        while (rest.length > 0) {
            rest = this.state === "head" ? this.readHead(rest, isHead, passed) : this.readBody(rest, passed);
            if (this.state === "head" && this.hasBegun) {
                this.hasBegun = false;
                this.isSent = false;
                onEnd();
            }
        }
        return passed.length === 1 ? passed[0]! : Buffer.concat(passed);
    }

    private readHead(bytes: Buffer, isHead: boolean, passed: Buffer[]): Buffer {
        const searchFrom = Math.max(0, this.partial.length - HEAD_END.length + 1);
        const known = this.partial.length === 0 ? bytes : Buffer.concat([this.partial, bytes]);
        const end = known.indexOf(HEAD_END, searchFrom, "latin1");
        if (end < 0 && known.length <= MAX_HEAD_BYTES) {
            this.partial = known;
            return NO_BYTES;
        }
        this.partial = NO_BYTES;
        const headBytes = end + HEAD_END.length;
        const head = end < 0 ? "" : known.toString("latin1", 0, headBytes);
        const status = Number(STATUS_LINE.exec(head)?.[1]);
        if (status === PROCESSING) {
            this.isSent = true;
            return known.subarray(headBytes);
        }
        if (status !== CONTINUE && !(status >= FIRST_FINAL_STATUS)) {
            return this.stopFollowing(known, passed);
        }
        passed.push(known.subarray(0, headBytes));
        if (status !== CONTINUE) {
            this.hasBegun = true;
            this.beginBody(head, isHead || status === NO_CONTENT || status === NOT_MODIFIED);
        }
        return known.subarray(headBytes);
    }

    private beginBody(head: string, isEmpty: boolean): void {
        const length = CONTENT_LENGTH.exec(head)?.[1];
        if (isEmpty) {
            this.state = "head";
        }
        else if (CHUNKED.test(head)) {
            this.state = "chunkLine";
        }
        else if (length !== undefined) {
            this.remainingBytes = Number(length);
            this.state = this.remainingBytes === 0 ? "head" : "length";
        }
        else {
            this.state = "untilClose";
        }
    }

    /** Passes on the bytes up to the end of a part of the body, and returns the rest. */
    private readBody(bytes: Buffer, passed: Buffer[]): Buffer {
        if (this.state === "untilClose" || this.state === "unknown") {
            passed.push(bytes);
            return NO_BYTES;
        }
        let at = 0;
        while (at < bytes.length && this.isInBody()) {
            at = this.state === "length" || this.state === "chunk"
                ? this.skipBytes(bytes, at)
                : this.readLine(bytes, at);
        }
        passed.push(at === bytes.length ? bytes : bytes.subarray(0, at));
        return bytes.subarray(at);
    }

    private isInBody(): boolean {
        return this.state !== "head" && this.state !== "unknown";
    }

    private skipBytes(bytes: Buffer, from: number): number {
        const skipped = Math.min(this.remainingBytes, bytes.length - from);
        this.remainingBytes -= skipped;
        if (this.remainingBytes === 0) {
            this.state = this.state === "length" ? "head" : "chunkLine";
        }
        return from + skipped;
    }

    private readLine(bytes: Buffer, from: number): number {
        const lineFeed = bytes.indexOf(LINE_FEED, from);
        const end = lineFeed < 0 ? bytes.length : lineFeed;
        const read = bytes.subarray(from, end);
        const line = this.partial.length === 0 ? read : Buffer.concat([this.partial, read]);
        if (lineFeed < 0) {
            this.partial = Buffer.from(line);
            if (line.length > MAX_LINE_BYTES) {
                this.state = "unknown";
            }
            return end;
        }
        this.partial = NO_BYTES;
        this.endLine(line.toString("latin1").trimEnd());
        return lineFeed + 1;
    }

    private endLine(line: string): void {
        if (this.state === "trailer") {
            this.state = line === "" ? "head" : "trailer";
            return;
        }
        const size = CHUNK_SIZE.exec(line)?.[0];
        if (size === undefined) {
            this.state = "unknown";
            return;
        }
        this.remainingBytes = Number.parseInt(size, 16);
        this.state = this.remainingBytes === 0 ? "trailer" : "chunk";
        this.remainingBytes += LINE_END_BYTES;
    }

    private stopFollowing(bytes: Buffer, passed: Buffer[]): Buffer {
        this.state = "unknown";
        passed.push(bytes);
        return NO_BYTES;
    }
}

/**
 * Follows where the requests and the answers on a relayed connection begin and end. It reads the framing alone: the bytes pass through, except for
 * the interim answer with which the serving router confirms that it sends a request to an upstream.
 */

/** Longest head of a message. Of a longer one the framing is not followed. */
const MAX_HEAD_BYTES = 65_536;
/** Longest line that begins a chunk, or ends a chunked body. */
const MAX_LINE_BYTES = 8_192;
const HEAD_END = "\r\n\r\n";
const LINE_FEED = 0x0a;
const LINE_END_BYTES = 2;
const REQUEST_LINE = /^[A-Z-]+ \S+ HTTP\/1\.[01]\r\n/;
const STATUS_LINE = /^HTTP\/1\.[01] (\d{3})/;
const CONTENT_LENGTH = /\r\ncontent-length:[ \t]*(\d{1,15})[ \t]*\r\n/i;
const CHUNKED = /\r\ntransfer-encoding:[ \t]*chunked[ \t]*\r\n/i;
const CHUNK_SIZE = /^[0-9a-f]{1,13}(?=[\s;]|$)/i;
/** Line ends between two requests are no part of either. */
const LINE_ENDS = /^[\r\n]*$/;
const NO_BYTES = Buffer.alloc(0);

const CONTINUE = 100;
/** Status of the interim answer with which the serving router confirms that it sends a request to an upstream. */
const PROCESSING = 102;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
const FIRST_FINAL_STATUS = 200;

/** What is expected next. `unknown`: bytes that are no message, or whose framing cannot be followed; they pass through. */
type FramingState = "head" | "length" | "chunkLine" | "chunk" | "trailer" | "untilClose" | "unknown";

/**
 * What the head of a message says of what follows. `message`: of a body that a length or chunks end. `interim`: another head of the same answer.
 * `confirmation`: the same, which is left out. `invalid`: it is no head.
 */
type HeadKind = "message" | "withoutBody" | "untilClose" | "interim" | "confirmation" | "invalid";

export abstract class MessageFraming {
    private state: FramingState = "head";
    /** Of a head or a line that has not arrived whole. */
    protected partial: Buffer = NO_BYTES;
    /** Of a body or a chunk. */
    private remainingBytes = 0;
    private hasBegun = false;

    /** Whether the messages can be followed. */
    isKnown(): boolean {
        return this.state !== "unknown";
    }

    /** Whether a message that is not complete has begun. A part of a head does not count. */
    isInMessage(): boolean {
        return this.hasBegun;
    }

    /** Whether the end of the message under way is the end of the connection. */
    isUnframed(): boolean {
        return this.state === "untilClose";
    }

    /** Reads bytes, and returns those that are passed on: a head only once it is whole. */
    read(bytes: Buffer): Buffer {
        const passed: Buffer[] = [];
        let rest = bytes;
        while (rest.length > 0) {
            rest = this.state === "head" ? this.readHead(rest, passed) : this.readBody(rest, passed);
            if (this.state === "head" && this.hasBegun) {
                this.hasBegun = false;
                this.handleEnd();
            }
        }
        return passed.length === 1 ? passed[0]! : Buffer.concat(passed);
    }

    /** Reads a head, with its end; called once for each. */
    protected abstract readHeadText(head: string): HeadKind;

    /** Called at the end of each message. */
    protected abstract handleEnd(): void;

    private readHead(bytes: Buffer, passed: Buffer[]): Buffer {
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
        const kind = this.readHeadText(head);
        if (kind === "confirmation") {
            return known.subarray(headBytes);
        }
        if (kind === "invalid") {
            this.state = "unknown";
            passed.push(known);
            return NO_BYTES;
        }
        passed.push(known.subarray(0, headBytes));
        if (kind !== "interim") {
            this.hasBegun = true;
            this.beginBody(head, kind);
        }
        return known.subarray(headBytes);
    }

    private beginBody(head: string, kind: HeadKind): void {
        const length = CONTENT_LENGTH.exec(head)?.[1];
        if (kind === "withoutBody") {
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
            this.state = kind === "untilClose" ? "untilClose" : "head";
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
}

export class RequestFraming extends MessageFraming {
    private headText: string | undefined;
    /** Whether the beginning of the request under way was reported. */
    private isReported = false;

    /** `onBegin`: called at the first byte of each request. */
    constructor(private readonly onBegin: () => void) {
        super();
    }

    override read(bytes: Buffer): Buffer {
        const passed = super.read(bytes);
        if (!this.isInMessage() && !LINE_ENDS.test(this.partial.toString("latin1"))) {
            this.reportBegin();
        }
        return passed;
    }

    /** Returns the head of the request that was begun last; undefined until it is whole. */
    tryGetHead(): string | undefined {
        return this.headText;
    }

    protected override readHeadText(head: string): HeadKind {
        this.reportBegin();
        this.headText = head.trimStart();
        return REQUEST_LINE.test(this.headText) ? "message" : "invalid";
    }

    protected override handleEnd(): void {
        this.isReported = false;
    }

    private reportBegin(): void {
        if (!this.isReported) {
            this.isReported = true;
            this.headText = undefined;
            this.onBegin();
        }
    }
}

export class AnswerFraming extends MessageFraming {
    private isSent = false;

    /** `isHead`: whether the answer under way is one to a HEAD request, and has no body. `onEnd`: called at the end of each answer. */
    constructor(private readonly isHead: () => boolean, private readonly onEnd: () => void) {
        super();
    }

    /**
     * Whether the serving router has confirmed that it sends the unanswered request to an upstream, or may have: a part of a head may be
     * that of a confirmation or of an answer.
     */
    mayHaveBeenSent(): boolean {
        return this.isSent || this.partial.length > 0;
    }

    protected override readHeadText(head: string): HeadKind {
        const status = Number(STATUS_LINE.exec(head)?.[1]);
        if (status === PROCESSING) {
            this.isSent = true;
            return "confirmation";
        }
        if (status === CONTINUE) {
            return "interim";
        }
        if (!(status >= FIRST_FINAL_STATUS)) {
            return "invalid";
        }
        return this.isHead() || status === NO_CONTENT || status === NOT_MODIFIED ? "withoutBody" : "untilClose";
    }

    protected override handleEnd(): void {
        this.isSent = false;
        this.onEnd();
    }
}

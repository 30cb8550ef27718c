/** One sending of a request to one upstream: passes the answer on as it arrives and says what came of it. */
import { EventSplitter } from "../../domain/eventSplitter.js";
import type { UpstreamSignals } from "../../domain/upstreamSignals.js";
import type { PassThroughSink } from "../../ports/answerSink.js";
import type {
    DirectUpstreams,
    UpstreamCall,
    UpstreamExchange,
    UpstreamFailure,
    UpstreamHead,
    UpstreamListener,
} from "../../ports/directUpstream.js";

/** What came of an attempt. */
export type AttemptOutcome =
    /** The caller has the whole answer. `status`: the upstream's. `isFramed`: the answer itself said where it ends. */
    | { readonly type: "answered"; readonly status: number; readonly isFramed: boolean; }
    /**
     * The upstream certainly has not run it. `replaced`: another upstream has taken its address. `withheld`: nothing was sent,
     * because the request waited for a connection until it was given up or the upstream was closed to this router.
     */
    | {
        readonly type: "notRun";
        readonly cause: "unreachable" | "full" | "replaced" | "withheld";
        readonly reason: string;
    }
    /**
     * It may have run, and the caller does not have the whole answer. `cause`: its connection was lost, what came was no
     * answer to it, or nothing came for too long.
     */
    | {
        readonly type: "interrupted";
        readonly cause: "connection" | "answer" | "silence";
        readonly reason: string;
    }
    /** The upstream failed after running it; its answer was not passed on, because the request is to be tried again. */
    | { readonly type: "failed"; readonly status: number; }
    /** The router gave it up: `stop` was called. */
    | { readonly type: "stopped"; };

/** What the attempts of one request share: how far the caller's answer has come. */
export class AnswerProgress {
    isHeadSent = false;
    /** Whether the answer may go on from another upstream: the head says nothing of its length. */
    mayContinue = false;
    /** Whole events that the caller has. */
    eventCount = 0;
    lastEventId: string | undefined;
    /** When the first and the last bytes of a body came, and the longest pause between. Monotonic clock, milliseconds. */
    firstBytesAt: number | undefined;
    longestPauseMs = 0;
    private lastBytesAt = 0;

    /** Notes that bytes of a body came. */
    noteBytes(now: number): void {
        if (this.firstBytesAt === undefined) {
            this.firstBytesAt = now;
        }
        else {
            this.longestPauseMs = Math.max(this.longestPauseMs, now - this.lastBytesAt);
        }
        this.lastBytesAt = now;
    }
}

/** What an attempt needs to know of its request. */
export interface AttemptOptions {
    readonly call: UpstreamCall;
    readonly sink: PassThroughSink;
    readonly progress: AnswerProgress;
    /** The answer is a stream of events. */
    readonly isStream: boolean;
    /** Only whole events are passed on, so that the stream may go on elsewhere. */
    readonly isResumable: boolean;
    /** Whether a failed answer should be tried again; asked once, before anything is passed on. */
    readonly shouldRetryFailed: () => boolean;
    /** Silence after which it is given up, in milliseconds; undefined where it is waited for. */
    readonly silenceMs: number | undefined;
    /** Called with what the upstream says of itself, where it certainly is the one that was sent to. */
    readonly onSignals: (signals: UpstreamSignals) => void;
    /** Called once, when the body of the answer begins. */
    readonly onFirstByte: () => void;
}

/** Whether an upstream answers that it has done what was asked. */
export function isSuccess(status: number): boolean {
    return status >= 200 && status < 300;
}

/** One sending; the upstream tells it what comes. Runs once. */
export class Attempt implements UpstreamListener {
    /** Whole events that came in this attempt. */
    eventCount = 0;
    /** Whether the upstream has begun to answer. */
    hasHead = false;
    /** Whether the body of an answer has begun. */
    hasFirstByte = false;
    /** When the last bytes came. Monotonic clock, milliseconds. */
    heardAt = performance.now();
    private readonly splitter: EventSplitter | undefined;
    private exchange: UpstreamExchange | undefined;
    private finish: (outcome: AttemptOutcome) => void = () => undefined;
    private done = false;
    private isStarted = false;
    private status = 0;
    private isFramed = false;
    private silenceTimer: NodeJS.Timeout | undefined;

    constructor(private readonly upstreams: DirectUpstreams, private readonly options: AttemptOptions) {
        this.splitter = options.isStream ? new EventSplitter() : undefined;
    }

    /** Sends the request. Resolves when it has come to an end of whatever kind; never rejects. */
    run(): Promise<AttemptOutcome> {
        return new Promise(resolve => {
            this.finish = resolve;
            this.watchSilence();
            const exchange = this.upstreams.send(this.options.call, this);
            this.exchange = exchange;
            this.options.sink.onDrain(() => exchange.resume());
            if (this.done) {
                exchange.cancel();
            }
        });
    }

    /** Gives the attempt up: the upstream's connection is closed. */
    stop(): void {
        this.endEarly(this.isStarted ? { type: "stopped" } : createWithheld("given up before there was a connection"));
    }

    /** Notes that the upstream has read the prompt. Only the first call counts. */
    private noteFirstByte(): void {
        if (!this.hasFirstByte) {
            this.hasFirstByte = true;
            this.options.onFirstByte();
        }
    }

    onStart(): void {
        this.isStarted = true;
        // The wait for a connection is no silence of the upstream.
        this.heardAt = performance.now();
    }

    onHead(head: UpstreamHead): boolean {
        this.heardAt = performance.now();
        this.status = head.status;
        this.isFramed = head.isFramed;
        if (!head.isOwn) {
            return this.rejectAnswer("the answer belongs to another request");
        }
        // What neither is signed nor turns the request away may come from anything between.
        if (!head.isFromAnother && (head.isSigned || head.isNotRun)) {
            this.options.onSignals(head.signals);
        }
        if (head.isNotRun) {
            const cause = head.isFromAnother ? "replaced" : "full";
            return this.reject({ type: "notRun", cause, reason: `status ${head.status}` });
        }
        if (!head.isSigned) {
            return this.rejectAnswer(`status ${head.status} that no engine vouches for`);
        }
        if (!isSuccess(head.status) && this.options.progress.isHeadSent) {
            return this.rejectAnswer(`status ${head.status} where a stream was to go on`);
        }
        if (head.status >= 500 && this.options.shouldRetryFailed()) {
            return this.reject({ type: "failed", status: head.status });
        }
        this.passHead(head);
        return true;
    }

    onData(bytes: Buffer): boolean {
        this.heardAt = performance.now();
        this.noteFirstByte();
        const { sink, progress, isResumable } = this.options;
        progress.noteBytes(this.heardAt);
        const whole = this.splitter?.add(bytes);
        if (this.splitter !== undefined) {
            const added = this.splitter.eventCount - this.eventCount;
            this.eventCount += added;
            progress.eventCount += added;
            progress.lastEventId = this.splitter.lastEventId ?? progress.lastEventId;
        }
        if (!isResumable) {
            return sink.write(bytes);
        }
        return whole === undefined ? true : sink.write(whole);
    }

    onEnd(): void {
        if (this.done) {
            return;
        }
        this.noteFirstByte();
        const rest = this.splitter?.takeRest();
        if (this.options.isResumable && rest !== undefined && rest.length > 0) {
            this.options.sink.write(rest);
        }
        this.options.sink.end();
        this.settle({ type: "answered", status: this.status, isFramed: this.isFramed });
    }

    onFailure(failure: UpstreamFailure): void {
        if (failure.wasSent) {
            this.settle({ type: "interrupted", cause: "connection", reason: failure.reason });
            return;
        }
        this.settle(
            failure.isWithheld
                ? createWithheld(failure.reason)
                : { type: "notRun", cause: "unreachable", reason: failure.reason },
        );
    }

    private passHead(head: UpstreamHead): void {
        const { progress, sink } = this.options;
        this.hasHead = true;
        if (progress.isHeadSent) {
            return;
        }
        progress.isHeadSent = true;
        progress.mayContinue = this.options.isResumable && head.status === 200 && head.isFramed
            && !head.headers.some((name, i) => i % 2 === 0 && name.toLowerCase() === "content-length");
        sink.sendHead(head.status, head.headers, head.isFramed);
    }

    private rejectAnswer(reason: string): false {
        return this.reject({ type: "interrupted", cause: "answer", reason });
    }

    private reject(outcome: AttemptOutcome): false {
        this.endEarly(outcome);
        return false;
    }

    private endEarly(outcome: AttemptOutcome): void {
        if (!this.done) {
            this.settle(outcome);
            this.exchange?.cancel();
        }
    }

    private settle(outcome: AttemptOutcome): void {
        if (!this.done) {
            this.done = true;
            clearTimeout(this.silenceTimer);
            this.finish(outcome);
        }
    }

    private watchSilence(): void {
        const { silenceMs } = this.options;
        if (silenceMs === undefined) {
            return;
        }
        const left = this.heardAt + silenceMs - performance.now();
        if (left <= 0) {
            this.endEarly(
                this.isStarted
                    ? { type: "interrupted", cause: "silence", reason: `silent for ${silenceMs} ms` }
                    : createWithheld(`no connection for ${silenceMs} ms`),
            );
            return;
        }
        this.silenceTimer = setTimeout(() => this.watchSilence(), left);
    }
}

/** Nothing was sent, through no fault of the upstream. */
function createWithheld(reason: string): AttemptOutcome {
    return { type: "notRun", cause: "withheld", reason };
}

/** Sends a request to one upstream, forwards the response as it arrives and reports the outcome. */
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

/** Longest event of a stream. An event holds a few tokens, of a few bytes each. */
const MAX_EVENT_BYTES = 65_536;
/** Longest answer of one attempt. Answers that are not streams have no other bound but their time. */
const MAX_ANSWER_BYTES = 67_108_864;

export type AttemptOutcome =
    /**
     * The complete response was forwarded. `status` is the upstream's HTTP status. `isFramed` is false if the response is
     * delimited only by the end of its connection.
     */
    | { readonly type: "answered"; readonly status: number; readonly isFramed: boolean; }
    /**
     * The upstream definitely did not run the request. `replaced`: a different upstream now listens on the address. `withheld`:
     * nothing was sent, because the attempt was aborted while waiting for a connection or the upstream stopped accepting
     * requests from this router.
     */
    | {
        readonly type: "notRun";
        readonly cause: "unreachable" | "full" | "replaced" | "withheld";
        readonly reason: string;
    }
    /**
     * The request may have run, and the caller does not have the complete response. `cause`: the connection was lost, the
     * response was invalid, or the upstream sent nothing within the inactivity timeout.
     */
    | {
        readonly type: "interrupted";
        readonly cause: "connection" | "answer" | "silence";
        readonly reason: string;
    }
    /** The upstream returned a server error, which was not forwarded because the request will be retried. */
    | { readonly type: "failed"; readonly status: number; }
    /** The router cancelled the attempt by calling `stop`. `Attempt.waitForRunEnd` tells what became of the run. */
    | { readonly type: "stopped"; };

/**
 * What is known of the run of a stopped attempt. `ended`: the upstream has answered whole or has closed the connection, so that it
 * generates no more, and all events that it sent have been counted. `notRun`: it has stated that it did not run the request.
 * `unknown`: it may go on, for as long as the request allows, because it may not have learned of the stop.
 */
export type RunEnd = "ended" | "notRun" | "unknown";

/** `reason`: why the end is unknown; undefined if it is known. */
export interface StoppedRun {
    readonly end: RunEnd;
    readonly reason?: string | undefined;
}

/** How much of the response has been forwarded to the caller; shared by all attempts of one request. */
export class ResponseProgress {
    isHeadSent = false;
    /** Whether another upstream may continue the response: the forwarded head declares no content length. */
    canResume = false;
    /** Complete events forwarded to the caller. */
    eventCount = 0;
    lastEventId: string | undefined;
    /** When the first body bytes arrived. Monotonic clock, milliseconds. */
    firstByteAt: number | undefined;
    /** Longest interval between two chunks of the body. */
    longestPauseMs = 0;
    private lastByteAt = 0;

    /** Whether another upstream may send the answer, or the rest of it. */
    canContinue(): boolean {
        return !this.isHeadSent || (this.canResume && this.lastEventId !== undefined);
    }

    recordBytes(now: number): void {
        if (this.firstByteAt === undefined) {
            this.firstByteAt = now;
        }
        else {
            this.longestPauseMs = Math.max(this.longestPauseMs, now - this.lastByteAt);
        }
        this.lastByteAt = now;
    }
}

export interface AttemptOptions {
    readonly call: UpstreamCall;
    readonly sink: PassThroughSink;
    readonly progress: ResponseProgress;
    /** Whether the response is an event stream. */
    readonly isStream: boolean;
    /** Whether only complete events are forwarded, so that another upstream can resume the stream. */
    readonly isResumable: boolean;
    /** Whether the caller's account is charged by what the run generates, so that its end is waited for after a stop. */
    readonly isCharged: boolean;
    /**
     * Returns how long the end of the run may be waited for after a stop, in milliseconds; 0 to reset the connection at once.
     * `closeAgeMs`: longest time since the caller's close arrived; 0 if it has not left.
     */
    readonly getRunEndWaitMs: (closeAgeMs: number) => number;
    /** Most events of the response, over all attempts: an upstream that sends more does not end. Undefined if unknown. */
    readonly maxEvents?: number | undefined;
    /** Whether to retry after a server error. Called at most once, before anything is forwarded; the response is held back. */
    readonly shouldRetryServerError: () => boolean | Promise<boolean>;
    /** Time without anything from the upstream after which `mayLeaveSilent` is asked; undefined for no limit. */
    readonly inactivityTimeoutMs: number | undefined;
    /** Whether the request can go on at another upstream, so that the attempt at a silent one is aborted. Called repeatedly. */
    readonly mayLeaveSilent: () => boolean | Promise<boolean>;
    /** Called with the upstream's signals once the response is known to come from that upstream. */
    readonly onSignals: (signals: UpstreamSignals) => void;
    /** Called once, when the request is being sent: it may arrive at the upstream from now on. See `UpstreamListener`. */
    readonly onStart?: (givenMs: number) => void;
    /** Called once, when the response body begins. */
    readonly onFirstByte: () => void;
    /** Called when the head is forwarded to the caller; not called for a continuation. */
    readonly onHeadForwarded: (status: number) => void;
    /**
     * Called when complete events of a stream arrive, with their number. Monotonic clock, milliseconds. `wasPaused`: reading had
     * been paused for a slow caller, so that the gap before them says nothing about the upstream.
     */
    readonly onEvents?: ((count: number, now: number, wasPaused: boolean) => void) | undefined;
}

/** A response that is held back until it is known whether the request is sent again. */
interface HeldResponse {
    readonly head: UpstreamHead;
    readonly data: Buffer[];
    hasEnded: boolean;
}

/** `headers`: names and values by turns. */
function isEventStream(headers: readonly string[]): boolean {
    return headers.some((name, i) =>
        i % 2 === 0 && name.toLowerCase() === "content-type" && headers[i + 1]!.startsWith("text/event-stream")
    );
}

function hasLength(headers: readonly string[]): boolean {
    return headers.some((name, i) => i % 2 === 0 && name.toLowerCase() === "content-length");
}

export function isSuccess(status: number): boolean {
    return status >= 200 && status < 300;
}

/** One attempt at one upstream. `run` may be called only once. */
export class Attempt implements UpstreamListener {
    /** Complete events received in this attempt. */
    eventCount = 0;
    /** Whether a response head was received and accepted. */
    hasAcceptedHead = false;
    hasFirstByte = false;
    /** When the first body bytes of this attempt arrived. Monotonic clock, milliseconds. */
    private firstByteAt: number | undefined;
    /** Whether the caller has read too slowly at any time, so that the upstream may have sent much that was not read. */
    hasBeenPaused = false;
    /** When the upstream last sent anything. Monotonic clock, milliseconds. */
    lastActivityAt = performance.now();
    private splitter: EventSplitter | undefined;
    private bodyBytes = 0;
    private exchange: UpstreamExchange | undefined;
    private resolveOutcome: (outcome: AttemptOutcome) => void = () => undefined;
    private isSettled = false;
    private isStarted = false;
    /** Whether the answer is not read because the caller reads too slowly. */
    private isPaused = false;
    private wasPaused = false;
    private status = 0;
    private isFramed = false;
    private isEventStream = false;
    private inactivityTimer: NodeJS.Timeout | undefined;
    private held: HeldResponse | undefined;
    /** Set once the attempt has been stopped after it was sent. */
    private stoppedRun: Promise<StoppedRun> | undefined;
    private resolveStoppedRun: ((run: StoppedRun) => void) | undefined;
    private closeAgeMs: number | undefined;

    constructor(private readonly upstreams: DirectUpstreams, private readonly options: AttemptOptions) {
        this.splitter = options.isStream ? new EventSplitter() : undefined;
    }

    /** Sends the request. Resolves with the outcome; never rejects. */
    run(): Promise<AttemptOutcome> {
        return new Promise(resolve => {
            this.resolveOutcome = resolve;
            this.checkInactivity();
            const exchange = this.upstreams.send(this.options.call, this);
            this.exchange = exchange;
            this.options.sink.onDrain(() => this.resume(exchange));
            if (this.isSettled) {
                exchange.cancel();
            }
        });
    }

    /**
     * Cancels the attempt and closes its connection to the upstream. `closeAgeMs`: longest time since the caller's close arrived, in
     * milliseconds; undefined if the caller has not left.
     */
    stop(closeAgeMs?: number): void {
        this.closeAgeMs ??= closeAgeMs;
        if (!this.isStarted) {
            this.abort(createNotSentOutcome("cancelled while waiting for a connection"));
        }
        else if (!this.isSettled) {
            this.stoppedRun = this.closeRun();
            this.settle({ type: "stopped" });
        }
    }

    /** Returns the longest time from the arrival of the caller's close to the stop, in milliseconds. */
    tryGetCloseAgeMs(): number | undefined {
        return this.closeAgeMs;
    }

    /** Resolves to what is known of the run of an attempt that was stopped. */
    waitForRunEnd(): Promise<StoppedRun> {
        return this.stoppedRun ?? Promise.resolve(createUnknownEnd("the attempt was not stopped"));
    }

    /** Closes the connection for sending and counts what still arrives until the upstream has closed it, too. */
    private async closeRun(): Promise<StoppedRun> {
        // A response that was not read for some time may have been dropped at the upstream, unsent and uncounted.
        const canCount = !this.hasBeenPaused && this.held === undefined;
        const waitMs = this.options.isCharged ? this.options.getRunEndWaitMs(this.closeAgeMs ?? 0) : 0;
        if (!canCount || waitMs === 0 || this.exchange?.tryEndSending() !== true) {
            this.exchange?.cancel();
            return createUnknownEnd(this.describeMissingWait(canCount, waitMs));
        }
        // If the event loop was late, what has arrived meanwhile is read first.
        const timer = setTimeout(
            () =>
                setImmediate(() =>
                    this.finishRun(createUnknownEnd("the upstream did not close the connection in time"))
                ),
            waitMs,
        );
        const run = await new Promise<StoppedRun>(resolve => this.resolveStoppedRun = resolve);
        clearTimeout(timer);
        this.exchange.cancel();
        return run;
    }

    /** Explains why the end of the run is not waited for. */
    private describeMissingWait(canCount: boolean, waitMs: number): string {
        if (!this.options.isCharged) {
            return "no tokens are reserved";
        }
        if (!canCount) {
            return "the response was not read without pause";
        }
        return waitMs === 0 ? "the close was read too late" : "the connection cannot be read on";
    }

    private finishRun(run: StoppedRun): false {
        this.resolveStoppedRun?.(run);
        return false;
    }

    /** Counts the events that arrive after the stop. Returns false if they are no regular answer. */
    private countAfterStop(bytes: Buffer): boolean {
        this.bodyBytes += bytes.length;
        this.splitter?.add(bytes);
        const excess = this.tryFindExcess();
        if (excess !== undefined) {
            return this.finishRun(createUnknownEnd(excess));
        }
        const newEventCount = (this.splitter?.eventCount ?? 0) - this.eventCount;
        this.eventCount += newEventCount;
        this.options.progress.eventCount += newEventCount;
        return true;
    }

    getUpstreamId(): string {
        return this.options.call.upstream.id;
    }

    /** Whether the events of the response are counted, as those of streams are. */
    countsEvents(): boolean {
        return this.splitter !== undefined;
    }

    /** Time since the answer of this attempt began, in milliseconds: 0 with a head alone, undefined without one. */
    tryGetAnswerMs(): number | undefined {
        if (this.firstByteAt !== undefined) {
            return performance.now() - this.firstByteAt;
        }
        return this.hasAcceptedHead ? 0 : undefined;
    }

    private resume(exchange: UpstreamExchange): void {
        this.isPaused = false;
        this.lastActivityAt = performance.now();
        exchange.resume();
    }

    private recordFirstByte(): void {
        if (!this.hasFirstByte) {
            this.hasFirstByte = true;
            this.firstByteAt = performance.now();
            this.options.onFirstByte();
        }
    }

    onStart(givenMs: number): void {
        this.isStarted = true;
        // Waiting for a connection does not count as upstream inactivity.
        this.lastActivityAt = performance.now();
        this.options.onStart?.(givenMs);
    }

    onHead(head: UpstreamHead): boolean {
        if (this.resolveStoppedRun !== undefined) {
            return this.checkHeadAfterStop(head);
        }
        this.lastActivityAt = performance.now();
        this.status = head.status;
        this.isFramed = head.isFramed;
        this.isEventStream = isSuccess(head.status) && isEventStream(head.headers);
        if (!this.isEventStream && hasLength(head.headers)) {
            this.splitter = undefined;
        }
        if (!head.hasMatchingId) {
            return this.rejectResponse("response belongs to a different request");
        }
        // An unsigned response that does not reject the request may come from an intermediary.
        if (!head.isMisdirected && (head.isSigned || head.isNotRun)) {
            this.options.onSignals(head.signals);
        }
        if (head.isNotRun) {
            const cause = head.isMisdirected ? "replaced" : "full";
            return this.reject({ type: "notRun", cause, reason: `status ${head.status}` });
        }
        if (!head.isSigned) {
            return this.rejectResponse(`unsigned response with status ${head.status}`);
        }
        if (!isSuccess(head.status) && this.options.progress.isHeadSent) {
            return this.rejectResponse(`status ${head.status} instead of the continuation of a stream`);
        }
        const isRetried = head.status >= 500 && this.options.shouldRetryServerError();
        if (isRetried === true) {
            return this.reject({ type: "failed", status: head.status });
        }
        if (isRetried === false) {
            this.forwardHead(head);
        }
        else {
            this.held = { head, data: [], hasEnded: false };
            void isRetried.then(isClaimed => this.releaseHeld(isClaimed));
        }
        return true;
    }

    private checkHeadAfterStop(head: UpstreamHead): boolean {
        if (!head.hasMatchingId) {
            return this.finishRun(createUnknownEnd("response to another request"));
        }
        return head.isNotRun ? this.finishRun({ end: "notRun" }) : true;
    }

    /** Discards a response that was held back, because the request is sent again, or forwards it. */
    private releaseHeld(isRetried: boolean): void {
        const { held } = this;
        this.held = undefined;
        if (held === undefined || this.isSettled) {
            return;
        }
        if (isRetried) {
            this.abort({ type: "failed", status: held.head.status });
            return;
        }
        this.forwardHead(held.head);
        held.data.forEach(bytes => this.onData(bytes));
        if (held.hasEnded) {
            this.onEnd();
        }
        else {
            this.exchange?.resume();
        }
    }

    onData(bytes: Buffer): boolean {
        if (this.resolveStoppedRun !== undefined) {
            return this.countAfterStop(bytes);
        }
        if (this.isSettled) {
            return false;
        }
        if (this.held !== undefined) {
            // Pauses reading, so that only what was read together with the head is held.
            this.held.data.push(bytes);
            return false;
        }
        this.lastActivityAt = performance.now();
        this.recordFirstByte();
        const { sink, progress, isResumable } = this.options;
        progress.recordBytes(this.lastActivityAt);
        this.bodyBytes += bytes.length;
        const completeEvents = this.splitter?.add(bytes);
        const excess = this.tryFindExcess();
        if (excess !== undefined) {
            return this.rejectResponse(excess);
        }
        if (this.splitter !== undefined) {
            const newEventCount = this.splitter.eventCount - this.eventCount;
            this.eventCount += newEventCount;
            progress.eventCount += newEventCount;
            progress.lastEventId = this.splitter.lastEventId ?? progress.lastEventId;
            if (newEventCount > 0) {
                this.options.onEvents?.(newEventCount, this.lastActivityAt, this.wasPaused);
                this.wasPaused = false;
            }
        }
        const forwarded = isResumable && this.splitter !== undefined ? completeEvents : bytes;
        const canContinue = forwarded === undefined || sink.write(forwarded);
        this.isPaused = !canContinue;
        this.wasPaused ||= !canContinue;
        this.hasBeenPaused ||= !canContinue;
        return canContinue;
    }

    /** Returns what shows that the response would not end by itself. */
    private tryFindExcess(): string | undefined {
        const { progress, maxEvents } = this.options;
        if (this.bodyBytes > MAX_ANSWER_BYTES) {
            return `response exceeds ${MAX_ANSWER_BYTES} bytes`;
        }
        if (this.splitter === undefined) {
            return undefined;
        }
        if (this.splitter.getPartialBytes() > MAX_EVENT_BYTES) {
            return `event exceeds ${MAX_EVENT_BYTES} bytes`;
        }
        const eventCount = progress.eventCount + this.splitter.eventCount - this.eventCount;
        return maxEvents !== undefined && eventCount > maxEvents ? `stream exceeds ${maxEvents} events` : undefined;
    }

    onEnd(): void {
        if (this.isSettled) {
            this.finishRun({ end: "ended" });
            return;
        }
        if (this.held !== undefined) {
            this.held.hasEnded = true;
            return;
        }
        this.recordFirstByte();
        const rest = this.splitter?.takePartialEvent();
        if (this.isEventStream && !this.isFramed && rest !== undefined && rest.length > 0) {
            this.settle({ type: "interrupted", cause: "connection", reason: "connection closed inside an event" });
            return;
        }
        if (this.options.isResumable && rest !== undefined && rest.length > 0) {
            this.options.sink.write(rest);
        }
        this.options.sink.end();
        this.settle({ type: "answered", status: this.status, isFramed: this.isFramed });
    }

    onFailure(failure: UpstreamFailure): void {
        if (this.isSettled) {
            this.finishRun(failure.isClosed ? { end: "ended" } : createUnknownEnd(failure.reason));
            return;
        }
        if (failure.wasSent) {
            this.settle({ type: "interrupted", cause: "connection", reason: failure.reason });
            return;
        }
        this.settle(
            failure.isWithheld
                ? createNotSentOutcome(failure.reason)
                : { type: "notRun", cause: "unreachable", reason: failure.reason },
        );
    }

    private forwardHead(head: UpstreamHead): void {
        const { progress, sink } = this.options;
        this.hasAcceptedHead = true;
        if (progress.isHeadSent) {
            return;
        }
        progress.isHeadSent = true;
        progress.canResume = this.options.isResumable && head.status === 200
            && !hasLength(head.headers);
        this.options.onHeadForwarded(head.status);
        const endsWithEvent = this.isEventStream && this.splitter !== undefined;
        sink.sendHead(head.status, head.headers, head.isFramed || endsWithEvent);
    }

    private rejectResponse(reason: string): false {
        return this.reject({ type: "interrupted", cause: "answer", reason });
    }

    private reject(outcome: AttemptOutcome): false {
        this.abort(outcome);
        return false;
    }

    private abort(outcome: AttemptOutcome): void {
        if (!this.isSettled) {
            this.settle(outcome);
            this.exchange?.cancel();
        }
    }

    private settle(outcome: AttemptOutcome): void {
        if (!this.isSettled) {
            this.isSettled = true;
            clearTimeout(this.inactivityTimer);
            this.resolveOutcome(outcome);
        }
    }

    private checkInactivity(): void {
        const { inactivityTimeoutMs } = this.options;
        if (inactivityTimeoutMs === undefined) {
            return;
        }
        // An upstream whose answer is not read cannot show that it is alive.
        const lastActivityAt = this.isPaused ? performance.now() : this.lastActivityAt;
        const remainingMs = lastActivityAt + inactivityTimeoutMs - performance.now();
        if (remainingMs > 0) {
            this.inactivityTimer = setTimeout(() => this.checkInactivity(), remainingMs);
        }
        else if (this.isStarted) {
            void this.handleSilence(inactivityTimeoutMs);
        }
        else {
            this.abort(createNotSentOutcome(`no connection within ${inactivityTimeoutMs} ms`));
        }
    }

    /** An upstream may be silent and still at work: its answer is given up only for another one. */
    private async handleSilence(inactivityTimeoutMs: number): Promise<void> {
        const silentSince = this.lastActivityAt;
        const mayLeave = await this.options.mayLeaveSilent();
        if (this.isSettled) {
            return;
        }
        if (mayLeave && this.lastActivityAt === silentSince) {
            this.abort({ type: "interrupted", cause: "silence", reason: `no data for ${inactivityTimeoutMs} ms` });
            return;
        }
        this.inactivityTimer = setTimeout(() => this.checkInactivity(), inactivityTimeoutMs);
    }
}

/** Creates the outcome of an attempt that sent nothing for a reason other than an upstream failure. */
function createNotSentOutcome(reason: string): AttemptOutcome {
    return { type: "notRun", cause: "withheld", reason };
}

function createUnknownEnd(reason: string): StoppedRun {
    return { end: "unknown", reason };
}

/** Port through which a router sends requests to upstreams and passes them on byte for byte. */
import type { UpstreamRegistration } from "../domain/upstreamRegistry.js";
import type { UpstreamSignals } from "../domain/upstreamSignals.js";

/** A caller's request as it is forwarded. */
export interface ForwardedRequest {
    /** Id of this attempt, set by the caller. */
    readonly id: string;
    readonly method: string;
    /** Path and query as received. */
    readonly target: string;
    /** Alternating names and values as received, without hop-by-hop headers. */
    readonly headers: readonly string[];
    readonly body: Buffer;
}

/** One attempt to send a request to an upstream. */
export interface UpstreamCall {
    readonly upstream: UpstreamRegistration;
    readonly request: ForwardedRequest;
    /** Client account that the request runs for; undefined on public routes. */
    readonly account: string | undefined;
    /** Returns the time left until the deadline, in milliseconds. Called as the request is being sent, after `mayStart`. */
    readonly getRemainingMs: () => number;
    /** From 0, the most urgent, to 9, the least. */
    readonly priority: number;
    /** Position after which an interrupted stream resumes; undefined for the caller's original request. */
    readonly resumeAfter: string | undefined;
    /** Limit on the connections of this process to the upstream. */
    readonly maxConnections: number;
    /** Whether the response is a stream of events, so that reading it may be delayed (`DirectUpstreams.setReadSchedule`). */
    readonly isStream: boolean;
    /** Called when a connection is available, possibly after a wait. The request is not sent if it returns false. */
    readonly mayStart: () => boolean;
}

/** Status and headers of an upstream's response, with what they say about it. */
export interface UpstreamHead {
    readonly status: number;
    /** Alternating names and values, without hop-by-hop headers. */
    readonly headers: readonly string[];
    /** The upstream states that it has not run the request and will not run it. */
    readonly isNotRun: boolean;
    /** Another upstream now answers at the address in place of the intended one. */
    readonly isMisdirected: boolean;
    /** Whether the response belongs to this request; false for a stray response to another one. */
    readonly hasMatchingId: boolean;
    /** Whether the response carries an engine's signature. */
    readonly isSigned: boolean;
    /** Whether the response delimits its body; otherwise it ends when the connection closes, even if it is truncated. */
    readonly isFramed: boolean;
    /** The upstream's report of its own state. */
    readonly signals: UpstreamSignals;
}

/** Why a response is missing or incomplete. */
export interface UpstreamFailure {
    /** False if no byte of the request was sent, so that it cannot have run. */
    readonly wasSent: boolean;
    /** Whether the request was not sent because `mayStart` returned false, which is no fault of the upstream. */
    readonly isWithheld: boolean;
    /** Whether the upstream has closed the connection, not reset it, so that all that it sent on it has been received. */
    readonly isClosed: boolean;
    readonly reason: string;
}

/** Receives a response as it arrives. `onEnd` or `onFailure` is the last call. */
export interface UpstreamListener {
    /**
     * A connection is available and the request is being sent. Before this call it cannot have run. `givenMs`: the time that the
     * upstream is given.
     */
    onStart(givenMs: number): void;
    /** Returns false to discard the response; no further calls follow. */
    onHead(head: UpstreamHead): boolean;
    /** Returns false to pause reading until `resume`. */
    onData(bytes: Buffer): boolean;
    onEnd(): void;
    onFailure(failure: UpstreamFailure): void;
}

/** A request in progress. */
export interface UpstreamExchange {
    /**
     * Closes the connection for sending, so that the upstream drops the request, and goes on reading: the listener is called until
     * the upstream has closed the connection as well, or until `cancel`. Returns false, and does nothing, if the connection has bytes
     * that are not sent or cannot be read on.
     */
    tryEndSending(): boolean;
    /** Continues reading after `onData` returned false. */
    resume(): void;
    /** Closes the connection, so that the upstream drops the request. The listener is not called again. */
    cancel(): void;
}

/** Decides when reads of streams continue that are delayed to save CPU time. */
export interface ReadSchedule {
    /** Whether reads should be delayed at present. */
    isActive(): boolean;
    /** Calls `resume` after the current delay. */
    scheduleResume(resume: () => void): void;
}

/** A router's connections to its upstreams. */
export abstract class DirectUpstreams {
    /**
     * Delays reads of event streams by `schedule`, except for the first bytes of a body. Without a call, data is passed on as
     * it arrives.
     */
    abstract setReadSchedule(schedule: ReadSchedule): void;
    /** Sends a request and reports the response to `listener`. Never throws. */
    abstract send(call: UpstreamCall, listener: UpstreamListener): UpstreamExchange;
    /** Closes connections to addresses that are not in `known` once they are idle. */
    abstract drainExcept(known: ReadonlySet<string>): void;
    /** Uses new connections for later requests to an address and closes the existing ones once they are idle. */
    abstract drain(address: string): void;
    /**
     * Whether a process is listening at an address: false if a connection is refused, undefined if that cannot be
     * determined. Sends nothing. Never rejects.
     */
    abstract isListening(address: string): Promise<boolean | undefined>;
    /** Closes all connections, including those in use. */
    abstract close(): void;
}

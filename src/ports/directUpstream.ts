/** How a router reaches upstreams itself: one request, passed on byte for byte, and what came of it. */
import type { UpstreamRegistration } from "../domain/upstreamRegistry.js";
import type { UpstreamSignals } from "../domain/upstreamSignals.js";

/** A caller's request as it is passed on. */
export interface PassedRequest {
    /** The caller's own id of this attempt. */
    readonly id: string;
    readonly method: string;
    /** Path and query, as the caller sent them. */
    readonly target: string;
    /** Names and values by turns, as the caller sent them, but for what concerns its connection only. */
    readonly headers: readonly string[];
    readonly body: Buffer;
}

/** One sending of a request to one upstream. */
export interface UpstreamCall {
    readonly upstream: UpstreamRegistration;
    readonly request: PassedRequest;
    /** Client account on whose behalf it runs; undefined on public routes. */
    readonly account: string | undefined;
    /** Time that is left to it, in milliseconds. */
    readonly remainingMs: number;
    /** 0 is the most urgent, 9 the least. */
    readonly priority: number;
    /** Where an interrupted stream goes on; undefined for what the caller itself asked for. */
    readonly resumeAfter: string | undefined;
    /** Connections that this process may hold to the upstream. */
    readonly maxConnections: number;
    /** Asked when there is a connection for the request, which may have waited for one: false where it is not to be sent now. */
    readonly mayStart: () => boolean;
}

/** The head of an upstream's answer. */
export interface UpstreamHead {
    readonly status: number;
    /** Names and values by turns, but for what concerns the upstream's connection only. */
    readonly headers: readonly string[];
    /** The upstream says that it has not run the request and never will. */
    readonly isNotRun: boolean;
    /** Another upstream answers at the address; the one that was to run the request is not there any more. */
    readonly isFromAnother: boolean;
    /** It answers to the request it was sent; false for a stray answer to another one. */
    readonly isOwn: boolean;
    /** An engine vouches for the answer. */
    readonly isSigned: boolean;
    /** The answer itself says where it ends; otherwise it ends with its connection, also when it was cut short. */
    readonly isFramed: boolean;
    /** What the upstream says of its own state. */
    readonly signals: UpstreamSignals;
}

/** Why an answer did not come, or did not come whole. */
export interface UpstreamFailure {
    /** False where nothing of the request was sent, so that it certainly has not run. */
    readonly wasSent: boolean;
    /** It was not sent because `mayStart` said so; the upstream is not at fault. */
    readonly isWithheld: boolean;
    readonly reason: string;
}

/** Told of an answer as it arrives. After `onEnd` or `onFailure` nothing more comes. */
export interface UpstreamListener {
    /** There is a connection, and the request is being sent. Until then it certainly has not run. */
    onStart(): void;
    /** Answers false to have the answer dropped; nothing more is told of it then. */
    onHead(head: UpstreamHead): boolean;
    /** Answers false to have the upstream held up until `resume`. */
    onData(bytes: Buffer): boolean;
    onEnd(): void;
    onFailure(failure: UpstreamFailure): void;
}

/** A sending that is under way. */
export interface UpstreamExchange {
    /** Goes on reading after `onData` answered false. */
    resume(): void;
    /** Breaks off: the connection is closed, so that the upstream drops the request. Nothing more is told. */
    cancel(): void;
}

/** The connections of a router to its upstreams. */
export abstract class DirectUpstreams {
    /** Sends a request; `listener` is told of the answer. Never throws. */
    abstract send(call: UpstreamCall, listener: UpstreamListener): UpstreamExchange;
    /** Closes the connections to addresses that are not in `known`, once they are idle. */
    abstract forgetExcept(known: ReadonlySet<string>): void;
    /** Has what is sent to an address from now on go over new connections; those to it are closed once they are idle. */
    abstract forget(address: string): void;
    /**
     * Whether a process listens at an address: false where a connection to it is refused, undefined where nobody can say.
     * Nothing is sent. Never rejects.
     */
    abstract isListening(address: string): Promise<boolean | undefined>;
    /** Closes every connection, also those in use. */
    abstract close(): void;
}

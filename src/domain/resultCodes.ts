/**
 * Result codes of all refusals and errors. Numbers are stable and never reused.
 * docs/RESULT-CODES.md is generated from this table.
 */

/** Whether the request ran. "no" is guaranteed; "unknown" means that it may have run. */
export type Ran = "no" | "unknown" | "yes";

/** `status` is the HTTP status of the response. */
export interface ResultCode {
    readonly number: number;
    readonly name: string;
    readonly status: number;
    readonly message: string;
}

function createCode(number: number, name: string, status: number, message: string): ResultCode {
    return { number, name, status, message };
}

/**
 * 1xxx: caller requests, 2xxx: operator changes, 3xxx: peers, 4xxx: settings and storage, 5xxx: internal. Errors between processes have
 * 5xx: they are no verdict on the request or change, which may succeed at another process. 502 promises nothing about whether it ran.
 */
export const ResultCodes = {
    malformedBody: createCode(1001, "malformedBody", 400, "The body is not valid JSON of the expected shape."),
    bodyTooLarge: createCode(1002, "bodyTooLarge", 413, "The body is larger than the limit."),
    badHeader: createCode(1003, "badHeader", 400, "A request header has a value that is not allowed."),
    badTokenCount: createCode(1004, "badTokenCount", 400, "A token count must be a positive integer within the limit."),
    unsupportedOption: createCode(
        1005,
        "unsupportedOption",
        400,
        "The request asks for an option that is not supported.",
    ),
    notFound: createCode(1006, "notFound", 404, "There is no such resource."),
    headTooLarge: createCode(1008, "headTooLarge", 431, "The head of the request is larger than the limit."),
    malformedRequest: createCode(1007, "malformedRequest", 400, "The HTTP request could not be parsed."),
    keyMissing: createCode(1101, "keyMissing", 401, "A bearer key of a client account is needed."),
    keyWrong: createCode(1102, "keyWrong", 401, "The bearer key belongs to no client account."),
    accountSuspended: createCode(1103, "accountSuspended", 403, "The client account is suspended."),
    serviceUnknown: createCode(1104, "serviceUnknown", 404, "There is no such service."),
    routeUnknown: createCode(1105, "routeUnknown", 404, "No route of this host covers the path."),
    budgetMissing: createCode(1201, "budgetMissing", 402, "The client account has no budget for this service."),
    budgetExhausted: createCode(1202, "budgetExhausted", 429, "The budget cannot cover this request."),
    budgetUnreachable: createCode(1203, "budgetUnreachable", 503, "No ledger that holds this budget can be reached."),
    prepaidExhausted: createCode(
        1204,
        "prepaidExhausted",
        402,
        "What is left of the prepaid tokens does not cover this request at its most.",
    ),
    noUpstream: createCode(1301, "noUpstream", 503, "No upstream of the service takes new work."),
    queueFull: createCode(1302, "queueFull", 503, "Every upstream's queue is full."),
    deadlineTooClose: createCode(
        1303,
        "deadlineTooClose",
        503,
        "The estimated wait is longer than the deadline allows.",
    ),
    retryBudgetSpent: createCode(1304, "retryBudgetSpent", 503, "The retry budget of the service is spent."),
    draining: createCode(1305, "draining", 503, "This process is stopping and takes no new work."),
    notReady: createCode(1306, "notReady", 503, "This process has no confirmed configuration yet."),
    grantClosed: createCode(1307, "grantClosed", 503, "The grant behind the run was closed by its ledger."),
    upstreamUnknown: createCode(1308, "upstreamUnknown", 503, "The sidecar does not serve this upstream."),
    tooManyRequests: createCode(1309, "tooManyRequests", 503, "The router holds as many open requests as it may."),
    bodyMemoryFull: createCode(
        1312,
        "bodyMemoryFull",
        503,
        "The router holds as many bytes of request bodies as it may.",
    ),
    routerOverloaded: createCode(
        1311,
        "routerOverloaded",
        503,
        "The router is out of CPU time and refuses a part of the requests.",
    ),
    noTimeLeft: createCode(1310, "noTimeLeft", 503, "No upstream can serve the request within its remaining time."),
    overShare: createCode(
        1313,
        "overShare",
        503,
        "Upstreams are short, and the request is beyond its account's share or less urgent than refused ones.",
    ),
    streamOriginUnknown: createCode(
        1314,
        "streamOriginUnknown",
        503,
        "It is not certain which software version began the stream.",
    ),
    versionUnavailable: createCode(
        1315,
        "versionUnavailable",
        503,
        "No upstream of the software version that began the stream takes new work.",
    ),
    requestIdReused: createCode(1401, "requestIdReused", 422, "The idempotency key was used before with another body."),
    outcomeUnknown: createCode(1402, "outcomeUnknown", 503, "The request may have run; its outcome is not known here."),
    intentUnreachable: createCode(
        1403,
        "intentUnreachable",
        503,
        "The ledger that guards this request cannot be reached.",
    ),
    answerNotKept: createCode(
        1404,
        "answerNotKept",
        409,
        "The request ran and was billed; its answer is no longer kept.",
    ),
    upstreamFailed: createCode(1501, "upstreamFailed", 502, "The upstream failed while it ran the request."),
    upstreamRefused: createCode(1502, "upstreamRefused", 502, "The upstream refused the request."),
    runCancelled: createCode(1503, "runCancelled", 499, "The run was cancelled by its caller."),
    deadlinePassed: createCode(1504, "deadlinePassed", 504, "The deadline passed before the answer was complete."),
    readerTooSlow: createCode(1505, "readerTooSlow", 499, "The caller read its answer too slowly."),
    requestQuarantined: createCode(
        1506,
        "requestQuarantined",
        503,
        "Upstreams ended each time they ran this request; it is not run for a while.",
    ),
    routerLost: createCode(1507, "routerLost", 502, "The router that served the request was lost; it may have run."),
    objectInvalid: createCode(2001, "objectInvalid", 422, "The object does not fit its schema."),
    revisionConflict: createCode(
        2002,
        "revisionConflict",
        409,
        "The object has another revision than the change expects.",
    ),
    objectUnknown: createCode(2003, "objectUnknown", 404, "There is no such object."),
    operationReused: createCode(2004, "operationReused", 409, "The operation id was used before for another change."),
    noMajority: createCode(2005, "noMajority", 503, "No majority of controllers could be reached."),
    changeUnknown: createCode(
        2006,
        "changeUnknown",
        503,
        "The change may have been accepted; ask again with its operation id.",
    ),
    homeUnreachable: createCode(
        2007,
        "homeUnreachable",
        503,
        "The home availability zone of the top-up cannot be reached.",
    ),
    operatorUnknown: createCode(2008, "operatorUnknown", 401, "An operator's token is needed."),
    referenceMissing: createCode(2009, "referenceMissing", 422, "The object refers to another that does not exist."),
    stillReferenced: createCode(2010, "stillReferenced", 409, "Another object still refers to this one."),
    topUpWaiting: createCode(2011, "topUpWaiting", 503, "The top-up is stored and not yet spendable: too few copies."),
    kindUnknown: createCode(2012, "kindUnknown", 404, "There is no such kind of object."),
    revisionTooOld: createCode(2013, "revisionTooOld", 410, "The watch starts at a revision that is no longer kept."),
    peerMalformed: createCode(3001, "peerMalformed", 502, "A peer sent a message that is not valid."),
    peerUntrusted: createCode(3002, "peerUntrusted", 502, "A peer does not know the fleet secret."),
    peerGone: createCode(3003, "peerGone", 503, "The connection to a peer was lost."),
    peerTimeout: createCode(3004, "peerTimeout", 504, "A peer did not answer in time."),
    peerLineTooLong: createCode(3005, "peerLineTooLong", 502, "A peer sent a line that is longer than the limit."),
    termTooLow: createCode(3006, "termTooLow", 502, "The order carries a term lower than one already seen."),
    incarnationSealed: createCode(
        3007,
        "incarnationSealed",
        502,
        "The ledger's incarnation has been replaced by a newer one.",
    ),
    peerStalled: createCode(3008, "peerStalled", 502, "A peer stopped sending in the middle of a message."),
    peerStarting: createCode(3009, "peerStarting", 503, "The process has started and does not take this call yet."),
    methodUnknown: createCode(3010, "methodUnknown", 501, "The process is of a version that does not know this call."),
    settingsInvalid: createCode(4001, "settingsInvalid", 400, "The settings do not fit their schema."),
    settingsSyntax: createCode(4002, "settingsSyntax", 400, "The settings file is not valid JSON with comments."),
    diskCorrupt: createCode(4003, "diskCorrupt", 500, "A stored record is damaged before the end of its file."),
    diskFailed: createCode(4004, "diskFailed", 500, "The data folder cannot be written."),
    traceInvalid: createCode(4005, "traceInvalid", 400, "A line of the trace does not fit its schema."),
    outcomeNotMet: createCode(4006, "outcomeNotMet", 500, "The replay did not meet its stated outcome."),
    internal: createCode(5001, "internal", 500, "An internal error."),
} as const satisfies Record<string, ResultCode>;

export type ResultCodeName = keyof typeof ResultCodes;

/** A refusal or error as plain data, so that it can be serialized between processes. */
export interface Refusal {
    readonly code: ResultCodeName;
    readonly ran: Ran;
    readonly detail?: string;
    /** Suggested delay before a retry, in milliseconds. */
    readonly retryAfterMs?: number;
}

/** `ran` defaults to "no"; pass "unknown" wherever the request may have run. */
export function createRefusal(code: ResultCodeName, detail?: string, ran: Ran = "no", retryAfterMs?: number): Refusal {
    return {
        code,
        ran,
        ...(detail === undefined ? {} : { detail }),
        ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    };
}

/** States of a refusal that the request may have run, if an earlier attempt at it may have. */
export function qualifyRefusal(refusal: Refusal, mayHaveRun: boolean | undefined): Refusal {
    return mayHaveRun === true ? { ...refusal, ran: "unknown" } : refusal;
}

const TOO_MANY_REQUESTS_STATUS = 429;
const MIN_SERVER_ERROR_STATUS = 500;

/**
 * Adds `retryAfterMs` to a refusal that states no delay, such as that of a peer that was lost, if the request may succeed
 * later without a change.
 */
export function addMissingRetryAfter(refusal: Refusal, retryAfterMs: number): Refusal {
    return refusal.retryAfterMs === undefined && isTemporary(refusal) ? { ...refusal, retryAfterMs } : refusal;
}

function isTemporary({ code }: Refusal): boolean {
    const { status } = ResultCodes[code];
    // An upstream that refused a request would refuse it again.
    return code !== "upstreamRefused" && (status === TOO_MANY_REQUESTS_STATUS || status >= MIN_SERVER_ERROR_STATUS);
}

/** Wraps a refusal to be thrown. */
export class RefusalError extends Error {
    constructor(readonly refusal: Refusal) {
        super(formatRefusal(refusal));
    }
}

/** Formats a refusal as one line for logs and terminals. */
export function formatRefusal(refusal: Refusal): string {
    const row = ResultCodes[refusal.code];
    return `LW${row.number} ${row.name}: ${refusal.detail ?? row.message}`;
}

/** Extracts the refusal from an error; any other error becomes `internal` with `ran` unknown. */
export function getRefusal(error: unknown): Refusal {
    if (error instanceof RefusalError) {
        return error.refusal;
    }
    return createRefusal("internal", error instanceof Error ? error.message : String(error), "unknown");
}

/** Throws if `condition` is false, which indicates a bug. */
export function assertInvariant(condition: boolean, message: string): asserts condition {
    if (!condition) {
        throw new Error(`invariant violated: ${message}`);
    }
}

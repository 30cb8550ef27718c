/** Identifies a request by content and client account, since callers retry under new request ids. */
import { createHash } from "node:crypto";

/** The fields that identify a request. */
export interface RequestContent {
    /** Undefined on public routes. Included so that one account cannot affect another account's requests. */
    readonly account: string | undefined;
    readonly method: string;
    readonly host: string;
    /** Path and query string. */
    readonly target: string;
    /** Ids of the parts of the prompt, where the caller names them; requests may differ in them alone. */
    readonly parts: readonly string[];
    readonly body: Buffer;
}

/** 64 bits: the probability of any collision among a million requests is below 1 in 10^7. */
const FINGERPRINT_HEX_DIGITS = 16;

/** Deterministic across processes. Takes about 2 µs, plus 1 ms for each megabyte of the body. */
export function computeFingerprint({ account, method, host, target, parts, body }: RequestContent): string {
    // JSON keeps the field boundaries unambiguous.
    const head = JSON.stringify([account ?? null, method, host.toLowerCase(), target, parts]);
    return createHash("sha256").update(head).update(body).digest("hex").slice(0, FINGERPRINT_HEX_DIGITS);
}

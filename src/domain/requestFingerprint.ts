/** Names a request by what it asks and for whom: a caller that tries again gives it a new id each time. */
import { createHash } from "node:crypto";

/** What makes two requests the same one. */
export interface RequestContent {
    /** Client account it is for; undefined on public routes. One account's requests never look like another's. */
    readonly account: string | undefined;
    readonly method: string;
    readonly host: string;
    /** Path and query. */
    readonly target: string;
    readonly body: Buffer;
}

/** Hex digits of a fingerprint: 64 bits, so that among a million requests two are alike by chance once in 10^7 times. */
const FINGERPRINT_DIGITS = 16;

/** The same for the same content in every process. Takes some 2 µs, and 1 ms for each megabyte of body. */
export function computeFingerprint({ account, method, host, target, body }: RequestContent): string {
    // As JSON, so that no two different lists give the same text.
    const head = JSON.stringify([account ?? null, method, host.toLowerCase(), target]);
    return createHash("sha256").update(head).update(body).digest("hex").slice(0, FINGERPRINT_DIGITS);
}

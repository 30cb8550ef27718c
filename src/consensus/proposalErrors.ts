/** Errors of proposals that were not accepted, or may not have been. */
import { createRefusal, getRefusal, RefusalError } from "../domain/resultCodes.js";

/**
 * Converts the failure of a call to the leader: `noMajority` if the proposal certainly did not reach it, `changeUnknown` if it
 * may have. Other errors are returned unchanged. `retryAfterMs`: when another leader may have been elected.
 */
export function convertForwardingError(error: unknown, retryAfterMs: number): unknown {
    const { code, ran } = getRefusal(error);
    if (code !== "peerGone" && code !== "peerTimeout") {
        return error;
    }
    const convertedCode = ran === "no" ? "noMajority" : "changeUnknown";
    return new RefusalError(createRefusal(convertedCode, "the leader could not be reached", ran, retryAfterMs));
}

/** Creates the error for a proposal that was certainly not accepted. */
export function createNoMajorityError(detail: string, retryAfterMs: number): RefusalError {
    return new RefusalError(createRefusal("noMajority", detail, "no", retryAfterMs));
}

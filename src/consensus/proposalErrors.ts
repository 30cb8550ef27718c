/** Errors of proposals that were not accepted, or may not have been. */
import { type Command, commandSchema } from "../domain/commands.js";
import { createRefusal, getRefusal, RefusalError, type ResultCodeName } from "../domain/resultCodes.js";

/**
 * Errors of the process that was called, or of the way to it, which say nothing about the proposal. A proposal is checked before it is
 * forwarded, so that a leader which finds it invalid is of another version.
 */
const PEER_ERRORS: ReadonlySet<ResultCodeName> = new Set([
    "objectInvalid",
    "peerUntrusted",
    "peerLineTooLong",
    "peerGone",
    "peerTimeout",
    "peerStalled",
    "peerStarting",
    "peerMalformed",
    "methodUnknown",
]);

/**
 * Converts the failure of a call to the leader: `noMajority` if the call certainly had no effect, `changeUnknown` if it
 * may have. Errors of the proposal itself are returned unchanged. `retryAfterMs`: when another leader may have been elected.
 */
export function convertForwardingError(error: unknown, retryAfterMs: number): unknown {
    const { code, ran, detail } = getRefusal(error);
    if (!PEER_ERRORS.has(code)) {
        return error;
    }
    const convertedCode = ran === "no" ? "noMajority" : "changeUnknown";
    const reason = `the leader did not take the call: ${code}${detail === undefined ? "" : ` ${detail}`}`;
    return new RefusalError(createRefusal(convertedCode, reason, ran, retryAfterMs));
}

/** Creates the error for a proposal that was certainly not accepted. */
export function createNoMajorityError(detail: string, retryAfterMs: number): RefusalError {
    return new RefusalError(createRefusal("noMajority", detail, "no", retryAfterMs));
}

/** Throws objectInvalid for a command that the other replicas would reject: its entry would stop the log. */
export function checkCommand(command: Command): void {
    const parsed = commandSchema.safeParse(command);
    if (!parsed.success) {
        const [issue] = parsed.error.issues;
        throw new RefusalError(
            createRefusal("objectInvalid", `${command.type}: ${issue!.path.join(".")} ${issue!.message}`),
        );
    }
}

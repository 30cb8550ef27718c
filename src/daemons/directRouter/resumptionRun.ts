/** Runs a request that resumes a stream, once it is known where the stream may go on. */
import type { BundleService } from "../../domain/bundle.js";
import { createRefusal, qualifyRefusal, type Refusal } from "../../domain/resultCodes.js";
import type { PassThroughSink } from "../../ports/answerSink.js";
import type { RelayContext } from "./relayContext.js";
import type { ResolvedRequest } from "./relayRequest.js";
import { RelayRun } from "./relayRun.js";
import type { StreamResumer } from "./streamResumer.js";

/** `tryGetService`: returns a service of the current bundle. */
export async function runResumption(
    context: RelayContext,
    resumer: StreamResumer,
    tryGetService: (name: string) => BundleService | undefined,
    resolved: ResolvedRequest,
    sink: PassThroughSink,
): Promise<void> {
    let isGone = false;
    sink.onDisconnect(() => isGone = true);
    const outcome = await resumer.resolve(resolved);
    if ("code" in outcome) {
        refuse(context, resolved, outcome, sink, isGone);
        return;
    }
    const service = tryGetService(outcome.service);
    if (service === undefined || isGone) {
        const detail = isGone ? "the caller disconnected" : "the service was removed";
        const refusal = createRefusal("versionUnavailable", detail, "no", context.options.retryAfterMs);
        refuse(context, resolved, refusal, sink, isGone);
        return;
    }
    await new RelayRun(context, { ...resolved, service }, sink, outcome).run();
}

function refuse(
    context: RelayContext,
    resolved: ResolvedRequest,
    originalRefusal: Refusal,
    sink: PassThroughSink,
    isGone: boolean,
): void {
    const refusal = qualifyRefusal(originalRefusal, resolved.request.mayHaveRun);
    context.recordRefused(resolved, refusal, { abortCause: isGone ? "gone" : undefined, overdueMs: undefined });
    if (!isGone) {
        sink.sendRefusal(refusal);
    }
}

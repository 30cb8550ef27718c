/**
 * Guards against requests that are refused, and against retries that are used up, because upstreams were replaced at their
 * addresses (status 421) without notice.
 */
import t from "tap";
import type { RelayContext } from "../../src/daemons/directRouter/relayContext.js";
import { RelayRun } from "../../src/daemons/directRouter/relayRun.js";
import type { Refusal } from "../../src/domain/resultCodes.js";
import type { PassThroughSink } from "../../src/ports/answerSink.js";
import type { DirectUpstreams, UpstreamCall, UpstreamListener } from "../../src/ports/directUpstream.js";
import { answer, createResolvedRequest, createRunContext } from "../tools/relayRunFixture.js";

const CLAIM = { trySend: () => true, release: () => undefined };

/** One retry, and repeats past replaced upstreams as `mayRepeat` says for their number. */
class FakeRepeats {
    retryCount = 1;
    private repeatCount = 0;

    constructor(private readonly mayRepeat: (count: number) => boolean) {}

    tryClaim(_service: string, keptCount: number) {
        if (keptCount > 0) {
            this.repeatCount += 1;
            return this.mayRepeat(this.repeatCount) ? CLAIM : undefined;
        }
        this.retryCount -= 1;
        return this.retryCount >= 0 ? CLAIM : undefined;
    }

    waitForClaim(service: string, keptCount: number) {
        return Promise.resolve(this.tryClaim(service, keptCount));
    }

    recordSent(): void {}
    recordRefused(): void {}
    recordSentPastReplaced(): void {}
}

/** `statuses`: what the upstreams answer to the sends, in order; the last one repeatedly. */
function createFixture(statuses: readonly number[], mayRepeat: (count: number) => boolean) {
    const sentTo: string[] = [];
    const repeats = new FakeRepeats(mayRepeat);
    const upstreams = {
        send: (call: UpstreamCall, listener: UpstreamListener) => {
            if (!call.mayStart()) {
                queueMicrotask(() =>
                    listener.onFailure({ wasSent: false, isWithheld: true, isClosed: false, reason: "withheld" })
                );
                return { resume: () => undefined, cancel: () => undefined };
            }
            sentTo.push(call.upstream.id);
            queueMicrotask(() => answer(listener, statuses[Math.min(sentTo.length, statuses.length) - 1]!));
            return { resume: () => undefined, cancel: () => undefined };
        },
    } as unknown as DirectUpstreams;
    return { context: createRunContext(upstreams, repeats), sentTo, repeats };
}

/** Resolves to the status of the answer, or the refusal. */
async function run(context: RelayContext): Promise<number | Refusal> {
    let result: number | Refusal = 0;
    const sink = {
        hasCallerLeft: () => false,
        onDisconnect: () => undefined,
        onDrain: () => undefined,
        confirmSend: () => undefined,
        sendHead: (status: number) => result = status,
        end: () => undefined,
        sendRefusal: (refusal: Refusal) => result = refusal,
    } as unknown as PassThroughSink;
    await new RelayRun(context, createResolvedRequest(), sink).run();
    return result;
}

void t.test("a request passes over replaced upstreams, each once, without an attempt or a retry", async t => {
    const { context, sentTo, repeats } = createFixture([421, 421, 421, 200], () => true);
    t.equal(await run(context), 200);
    t.equal(new Set(sentTo).size, 4);
    t.equal(repeats.retryCount, 1, "the retry is still there");
});

void t.test("the fourth replaced upstream ends it with status 503, not run, and the time to come back", async t => {
    const { context, sentTo, repeats } = createFixture([421], () => true);
    t.match(await run(context), { code: "queueFull", ran: "no", retryAfterMs: 300 });
    t.equal(sentTo.length, 4);
    t.equal(repeats.retryCount, 1);
});

void t.test("no repeat without leave: all requests together stay within the bound of the service", async t => {
    const { context, sentTo, repeats } = createFixture([421], count => count < 2);
    t.match(await run(context), { code: "queueFull", ran: "no", retryAfterMs: 300 });
    t.equal(sentTo.length, 2);
    t.equal(repeats.retryCount, 1);
});

void t.test("a full upstream still takes an attempt", async t => {
    const { context, sentTo } = createFixture([421, 503, 200], () => true);
    t.match(await run(context), { code: "queueFull", ran: "no" });
    t.equal(sentTo.length, 2);
});

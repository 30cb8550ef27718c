/** Guards against requests that run twice, or are called not run, after the router that served them was lost. */
import t from "tap";
import { RelayRun } from "../../src/daemons/directRouter/relayRun.js";
import type { Refusal } from "../../src/domain/resultCodes.js";
import type { PassThroughSink } from "../../src/ports/answerSink.js";
import type { DirectUpstreams, UpstreamCall, UpstreamListener } from "../../src/ports/directUpstream.js";
import { answer, createResolvedRequest, createRunContext } from "../tools/relayRunFixture.js";

const REPEATABLE = { kind: "repeatable", maxAttempts: 2 };
const NOT_REPEATABLE = { kind: "atMostOnce", maxAttempts: 2 };

interface Outcome {
    /** Status of the answer, or the refusal. */
    readonly result: number | Refusal;
    /** Sends and what preceded them, in order. */
    readonly events: readonly string[];
    readonly usedClaims: number;
}

/** Runs a request that may have run at a lost router. `status`: what upstreams answer. */
async function run(route: object, request: object, claims: number, status = 200): Promise<Outcome> {
    const events: string[] = [];
    let [usedClaims, result]: [number, number | Refusal] = [0, 0];
    const claim = { trySend: () => usedClaims++ < claims, release: () => undefined };
    const tryClaim = () => usedClaims < claims ? claim : undefined;
    const repeats = {
        tryClaim,
        waitForClaim: () => Promise.resolve(tryClaim()),
        recordSent: () => undefined,
        recordRefused: () => undefined,
    };
    const upstreams = {
        send: (call: UpstreamCall, listener: UpstreamListener) => {
            const mayStart = call.mayStart();
            events.push(mayStart ? "sent" : "withheld");
            queueMicrotask(() =>
                mayStart
                    ? answer(listener, status)
                    : listener.onFailure({ wasSent: false, isWithheld: true, isClosed: false, reason: "withheld" })
            );
            return { resume: () => undefined, cancel: () => undefined };
        },
    } as unknown as DirectUpstreams;
    const sink = {
        hasCallerLeft: () => false,
        onDisconnect: () => undefined,
        onDrain: () => undefined,
        confirmSend: () => events.push("confirmed"),
        sendHead: (head: number) => result = head,
        end: () => undefined,
        sendRefusal: (refusal: Refusal) => result = refusal,
    } as unknown as PassThroughSink;
    await new RelayRun(createRunContext(upstreams, repeats), createResolvedRequest(route, request), sink).run();
    return { result, events, usedClaims };
}

void t.test("a request that may not be repeated is not sent again, and is refused as possibly run", async t => {
    const { result, events } = await run(NOT_REPEATABLE, { mayHaveRun: true }, 9);
    t.match(result, { code: "routerLost", ran: "unknown" });
    t.same(events, []);
});

void t.test("a request that may be repeated is sent once more, as a repeat of which the lost router made the first attempt", async t => {
    t.same(await run(REPEATABLE, { mayHaveRun: true }, 9), {
        result: 200,
        events: ["confirmed", "sent"],
        usedClaims: 1,
    });
    const single = await run({ ...REPEATABLE, maxAttempts: 1 }, { mayHaveRun: true }, 9);
    t.match(single, { result: { code: "routerLost", ran: "unknown" }, events: [] });
    const withoutClaim = await run(REPEATABLE, { mayHaveRun: true }, 0);
    t.match(withoutClaim, { result: { code: "routerLost", ran: "unknown" }, events: [] });
});

void t.test("no refusal of it says that it has not run, and one past its time says so", async t => {
    const full = await run(REPEATABLE, { mayHaveRun: true }, 9, 503);
    t.match(full.result, { ran: "unknown" });
    const late = await run(NOT_REPEATABLE, { mayHaveRun: true, arrivedAt: performance.now() - 60_000 }, 9);
    t.match(late.result, { code: "deadlinePassed", ran: "unknown" });
});

void t.test("a request that is known not to have run is sent as a new one", async t => {
    t.same(await run(NOT_REPEATABLE, { mayHaveRun: false }, 0), {
        result: 200,
        events: ["confirmed", "sent"],
        usedClaims: 0,
    });
});

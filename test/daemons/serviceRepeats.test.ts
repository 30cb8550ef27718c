/** Guards against a call for each failed request, repeats that wait for nobody, and claims that are never returned. */
import t from "tap";
import type { ResolvedRequest } from "../../src/daemons/directRouter/relayRequest.js";
import { RequestRecorder } from "../../src/daemons/directRouter/requestRecorder.js";
import { RequestRepeats } from "../../src/daemons/directRouter/requestRepeats.js";
import { ServiceRepeats } from "../../src/daemons/directRouter/serviceRepeats.js";
import type { PermitAnswer } from "../../src/domain/repeatPermits.js";
import { SystemClock } from "../../src/ports/clock.js";
import { NoLog } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { ControllerNetwork } from "../tools/controllerNetwork.js";
import { wait } from "../tools/waiting.js";

const OPTIONS = { windowMs: 10_000, ratio: 0.2, permitWaitMs: 60, claimTimeoutMs: 200, minClaimIntervalMs: 1_000 };
/** Of requests that wait for `permitWaitMs`. */
const GOAL_MS = OPTIONS.permitWaitMs;
const RESOLVED = {
    service: { name: "s" },
    route: { goalMs: GOAL_MS },
    request: { forwarded: { id: "a1" } },
} as unknown as ResolvedRequest;
const NONE: PermitAnswer = { permits: 0, lifetimeMs: 2_000, retryAfterMs: 3_000 };

/** `answer`: undefined if controllers do not answer. */
function createFixture(answer: (params: { count: number; }) => Promise<PermitAnswer> | PermitAnswer | undefined) {
    const network = new ControllerNetwork((_controller, _method, params) => answer(params as { count: number; }));
    const log = new NoLog();
    const repeats = new ServiceRepeats(
        OPTIONS,
        new RequestRecorder(log, new NoMetrics()),
        network,
        new SystemClock(),
        log,
        () => 0,
        () => ["c1", "c2"],
    );
    return { network, repeats };
}

void t.test("a request without requests of its own router waits for a permit", async t => {
    const { repeats } = createFixture(() => ({ permits: 1, lifetimeMs: 2_000, retryAfterMs: 0 }));
    const claim = await repeats.waitForClaim("s", 0, GOAL_MS);
    t.equal(claim?.trySend(performance.now()), true);
});

void t.test("requests that wait together ask once, and each gets one permit at most", async t => {
    const { network, repeats } = createFixture(({ count }) => ({ permits: count, lifetimeMs: 2_000, retryAfterMs: 0 }));
    const claims = await Promise.all([1, 2, 3].map(() => repeats.waitForClaim("s", 0, GOAL_MS)));
    t.ok(claims.every(claim => claim !== undefined));
    t.ok(network.calls.length <= 3, `${network.calls.length} calls`);
});

void t.test("a hundred failed requests ask once while there are no permits, and are refused at once", async t => {
    const { network, repeats } = createFixture(() => NONE);
    t.equal(await repeats.waitForClaim("s", 0, GOAL_MS), undefined);
    const startedAt = performance.now();
    for (let i = 0; i < 100; i++) {
        t.equal(await repeats.waitForClaim("s", 0, GOAL_MS), undefined);
    }
    t.ok(performance.now() - startedAt < OPTIONS.permitWaitMs, "none waits");
    t.equal(network.calls.length, 1);
});

void t.test("a request does not wait for controllers that do not answer longer than it may, and others are asked", async t => {
    const { network, repeats } = createFixture(() => undefined);
    const startedAt = performance.now();
    t.equal(await repeats.waitForClaim("s", 0, GOAL_MS), undefined);
    t.ok(performance.now() - startedAt < 2 * OPTIONS.permitWaitMs);
    await wait(OPTIONS.claimTimeoutMs + OPTIONS.minClaimIntervalMs);
    await repeats.waitForClaim("s", 0, GOAL_MS);
    t.same(network.calls.map(call => call.split(" ")[0]), ["c1", "c2"]);
});

// Guards against requests that are refused early in their time because controllers on loaded boxes answer a little late.
void t.test("a request waits for a permit for a quarter of its latency goal", async t => {
    const { repeats } = createFixture(async () => {
        await wait(2 * OPTIONS.permitWaitMs);
        return { permits: 1, lifetimeMs: 2_000, retryAfterMs: 0 };
    });
    t.ok(await repeats.waitForClaim("s", 0, 4 * OPTIONS.claimTimeoutMs));
    t.equal(await repeats.waitForClaim("s", 0, GOAL_MS), undefined);
});

void t.test("a request whose event loop was late reads the answer that has arrived meanwhile", async t => {
    const { repeats } = createFixture(async () => {
        await new Promise(resolve => setImmediate(() => setImmediate(resolve)));
        return { permits: 1, lifetimeMs: 2_000, retryAfterMs: 0 };
    });
    const waiting = repeats.waitForClaim("s", 0, GOAL_MS);
    const startedAt = performance.now();
    while (performance.now() < startedAt + 2 * OPTIONS.permitWaitMs) {
        // Blocks the event loop.
    }
    t.ok(await waiting);
});

void t.test("a permit that was not used serves the next request, one that comes too late is void", async t => {
    const { repeats } = createFixture(() => ({ permits: 1, lifetimeMs: 50, retryAfterMs: 0 }));
    const claim = await repeats.waitForClaim("s", 0, GOAL_MS);
    claim!.release();
    t.ok(repeats.tryClaim("s", 0));
    t.equal(claim!.trySend(performance.now() + 50), false);
});

void t.test("permits and requests of before a suspension allow nothing", async t => {
    const { repeats } = createFixture(() => undefined);
    for (let i = 0; i < 100; i++) {
        repeats.recordRequest("s");
    }
    const claim = repeats.tryClaim("s", 0);
    repeats.reset();
    t.equal(claim!.trySend(performance.now()), false);
    t.equal(repeats.tryClaim("s", 0), undefined);
    const other = createFixture(() => ({ permits: 1, lifetimeMs: 2_000, retryAfterMs: 0 })).repeats;
    const permitted = await other.waitForClaim("s", 0, GOAL_MS);
    other.reset();
    t.equal(permitted!.trySend(performance.now()), false);
});

void t.test("no attempt after the first is sent without a claim, and a claim that comes after the end is returned", async t => {
    const { repeats } = createFixture(() => undefined);
    const request = new RequestRepeats(repeats, RESOLVED, performance.now() + 1_000);
    t.equal(request.mayStart(), true);
    t.equal(request.isClaimMissing(), true);
    t.equal(request.mayStart(), false);
    for (let i = 0; i < 10; i++) {
        repeats.recordRequest("s");
    }
    const waiting = request.waitForClaim();
    request.end();
    t.equal(await waiting, false);
    t.ok(repeats.tryClaim("s", 0), "the only repeat is free again");
});

// Guards against repeats that are refused because one controller has ended while others could grant them.
void t.test("a request waits for a permit of another controller if the one that is asked is gone", async t => {
    const { network, repeats } = createFixture(() => ({ permits: 1, lifetimeMs: 2_000, retryAfterMs: 0 }));
    network.unreachable.add("c1");
    t.ok(await repeats.waitForClaim("s", 0, GOAL_MS));
    t.same(network.calls.map(call => call.split(" ")[0]), ["c1", "c2"]);
    network.unreachable.add("c2");
    t.equal(await repeats.waitForClaim("s", 0, GOAL_MS), undefined);
    t.equal(network.calls.length, 4, "each of them is asked once");
});

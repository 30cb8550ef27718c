/** Guards against resumptions that wait for controllers without end, or that go on without certainty. */
import t from "tap";
import { ServiceVersionReader } from "../../src/daemons/directRouter/serviceVersionReader.js";
import { createOrigin, StreamOriginReporter } from "../../src/daemons/directRouter/streamOriginReporter.js";
import { StreamResumer } from "../../src/daemons/directRouter/streamResumer.js";
import { SystemClock } from "../../src/ports/clock.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { findOriginMethod, readVersionsMethod } from "../../src/protocol/streamMethods.js";
import { type ControllerAnswer, ControllerNetwork } from "../tools/controllerNetwork.js";
import { KeptLog } from "../tools/fakes.js";
import { createStreamRequest, createVersionedUpstream, STREAM_ORIGINS } from "../tools/streamRequests.js";

const CONTROLLERS = ["c1", "c2", "c3"];
const V1 = { service: "s", version: "v1" };
const RESUMPTION = createStreamRequest("a2", { resumedAttempt: "a1", resumeAfter: "3" });
/** A timer may fire late on a busy machine. */
const TIMER_SLACK_MS = 400;

/** `origins`: what each controller knows of the stream; undefined if it does not answer. */
function createAnswers(
    versions: readonly string[] | undefined,
    origins: Readonly<Record<string, object>>,
): ControllerAnswer {
    return (controller, method) => {
        switch (method) {
            case readVersionsMethod.name:
                return versions === undefined ? undefined : { versions };
            case findOriginMethod.name:
                return origins[controller];
            default:
                return undefined;
        }
    };
}

function createFixture(answers: ControllerAnswer, mixedServices: readonly string[] = []) {
    const network = new ControllerNetwork(answers);
    const log = new KeptLog();
    const clock = new SystemClock();
    const isMixed = (service: string): boolean => mixedServices.includes(service);
    const reporter = new StreamOriginReporter("r1:1", isMixed, network, clock, log, new NoMetrics(), STREAM_ORIGINS);
    const resumer = new StreamResumer(
        reporter,
        new ServiceVersionReader(network, () => CONTROLLERS),
        isMixed,
        () => CONTROLLERS,
        network,
        clock,
        log,
        new NoMetrics(),
        { lookupTimeoutMs: STREAM_ORIGINS.lookupTimeoutMs, retryAfterMs: 300, getEventLoopLagMs: () => 0 },
    );
    return { network, log, reporter, resumer };
}

void t.test("a stream that this router began goes on without a question to others", async t => {
    const { network, reporter, resumer } = createFixture(() => undefined, ["s"]);
    const upstream = createVersionedUpstream("u1", "v1");
    reporter.recordBegun(createStreamRequest("a1"), createOrigin(upstream), upstream);
    t.same(await resumer.resolve(RESUMPTION), V1);
    t.same(network.calls, []);
});

void t.test("a service with one version needs one confirmed list", async t => {
    const { network, resumer } = createFixture(createAnswers(["v1"], {}));
    t.same(await resumer.resolve(RESUMPTION), V1);
    t.same(network.calls.filter(call => call.includes(findOriginMethod.name)), []);
});

void t.test("streams that are resumed at the same time share the reads of versions", async t => {
    const { network, resumer } = createFixture(createAnswers(["v1"], {}));
    const outcomes = await Promise.all(Array.from({ length: 50 }, () => resumer.resolve(RESUMPTION)));
    t.ok(outcomes.every(outcome => !("code" in outcome)));
    t.ok(network.calls.length <= 4, `${network.calls.length} calls`);
});

void t.test("one controller that knows the stream is enough", async t => {
    const { resumer } = createFixture(createAnswers(undefined, { c3: { origin: V1 }, c1: {} }), ["s"]);
    t.same(await resumer.resolve(RESUMPTION), V1);
});

void t.test("a second version that the router has not heard of is found out", async t => {
    const { resumer, log } = createFixture(createAnswers(["v1", "v2"], { c1: {}, c2: {}, c3: {} }));
    t.match(await resumer.resolve(RESUMPTION), { code: "streamOriginUnknown", ran: "no", retryAfterMs: 300 });
    t.match(log.warnings, [{
        event: "stream_not_resumed",
        request: "a2",
        resumes: "a1",
        cause: "originUnknown",
        asked: 3,
        answered: 3,
    }]);
});

void t.test("a stream is refused in time when controllers do not answer", async t => {
    const { resumer, log } = createFixture(createAnswers(undefined, { c1: {} }));
    const startedAt = performance.now();
    t.match(await resumer.resolve(RESUMPTION), { code: "streamOriginUnknown", ran: "no" });
    t.ok(performance.now() - startedAt < STREAM_ORIGINS.lookupTimeoutMs + TIMER_SLACK_MS);
    t.match(log.warnings, [{ cause: "originUnreachable", asked: 3, answered: 1 }]);
});

void t.test("a stream is refused at once when no controller can be reached", async t => {
    const { resumer, network, log } = createFixture(() => undefined, ["s"]);
    CONTROLLERS.forEach(controller => network.unreachable.add(controller));
    t.match(await resumer.resolve(RESUMPTION), { code: "streamOriginUnknown" });
    t.match(log.warnings, [{ cause: "originUnreachable", answered: 0 }]);
});

void t.test("a resumption that names no attempt goes on only where there is one version", async t => {
    const unnamed = createStreamRequest("a2", { resumeAfter: "3" });
    t.same(await createFixture(createAnswers(["v1"], {})).resumer.resolve(unnamed), V1);
    const { resumer, log } = createFixture(createAnswers(["v1", "v2"], {}));
    t.match(await resumer.resolve(unnamed), { code: "streamOriginUnknown" });
    t.match(log.warnings, [{ cause: "originUnknown" }]);
});

void t.test("a stream whose route leads elsewhere now is refused", async t => {
    const { resumer } = createFixture(createAnswers(undefined, { c1: { origin: V1 } }), ["x"]);
    const moved = createStreamRequest("a2", { resumedAttempt: "a1" }, ["x"]);
    t.match(await resumer.resolve(moved), { code: "versionUnavailable", ran: "no" });
});

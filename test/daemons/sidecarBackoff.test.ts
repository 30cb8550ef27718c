/**
 * Guards against a sidecar that ignores the `Retry-After` of its upstream: queued requests then keep reaching the upstream
 * during its backoff and fail with 502, although another upstream of the service is free.
 */
import { createServer, type Server } from "node:http";
import t from "tap";
import { HttpUpstream } from "../../src/adapters/upstream/httpUpstream.js";
import { Run } from "../../src/daemons/sidecar/run.js";
import { UpstreamRunner } from "../../src/daemons/sidecar/upstreamRunner.js";
import { getRefusal, type Refusal } from "../../src/domain/resultCodes.js";
import { SystemClock } from "../../src/ports/clock.js";
import { NoLog } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { runEndMethod, type StartRunParams } from "../../src/protocol/runMethods.js";
import { FakeClock } from "../tools/fakes.js";
import { RecordingPeer } from "../tools/recordingPeer.js";

const RETRY_AFTER_S = 3;
const SLOTS = 1;
let server: Server;
let requestCount = 0;
/** The upstream's response to every request. */
let answer: { readonly status: number; readonly headers: Record<string, string>; };
let lastRun = 0;

function createParams(type: "chat" | "plain"): StartRunParams {
    lastRun += 1;
    const chat = { type: "chat", body: { messages: [] }, resumeFrom: 0, resumeText: "" } as const;
    const plain = { type: "plain", method: "GET", path: "/x", headers: {}, body: "" } as const;
    return {
        requestId: `q${lastRun}`,
        runId: `r${lastRun}`,
        listener: "l",
        digest: "d",
        account: "a",
        service: "s",
        upstream: "u",
        budget: "b",
        grant: "g",
        promptBound: 10,
        outputCap: 10,
        rank: 1,
        keptShare: 0,
        ageingMs: 1_000,
        deadlineMs: 10_000,
        uncertain: false,
        keep: false,
        cancelWhenLost: false,
        request: type === "chat" ? chat : plain,
    };
}

function createRunner(clock: FakeClock): UpstreamRunner {
    const { port } = server.address() as { port: number; };
    const upstream = {
        name: "u",
        service: "s",
        box: "b",
        sidecar: "127.0.0.1:1",
        zone: "z",
        url: `http://127.0.0.1:${port}`,
        slots: SLOTS,
        leaving: false,
    };
    const client = new HttpUpstream(upstream.url, SLOTS);
    t.teardown(() => client.close());
    return new UpstreamRunner(upstream, client, clock, new NoLog(), new NoMetrics(), () => undefined);
}

/** Returns the refusal of a new run, or undefined if it is admitted. */
function tryGetAdmissionRefusal(runner: UpstreamRunner): Refusal | undefined {
    try {
        runner.checkAdmission(createParams("chat"));
        return undefined;
    }
    catch (error) {
        return getRefusal(error);
    }
}

/** Executes a run and returns its refusal, if any. */
async function execute(runner: UpstreamRunner, type: "chat" | "plain", clock: FakeClock): Promise<Refusal | undefined> {
    const run = new Run(createParams(type), clock.getMonotonicMs());
    const peer = new RecordingPeer();
    run.addListener(peer, "l", 0);
    await runner.execute(run);
    return peer.getParams(runEndMethod).at(-1)?.refusal;
}

t.before(async () => {
    server = createServer((message, response) => {
        requestCount += 1;
        message.resume();
        response.writeHead(answer.status, answer.headers).end("{}");
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
});
t.teardown(() => server.close());

for (const type of ["chat", "plain"] as const) {
    void t.test(`a backoff requested for a ${type} run rejects queued and new runs`, async t => {
        const clock = new FakeClock();
        const runner = createRunner(clock);
        answer = { status: 503, headers: { "Retry-After": String(RETRY_AFTER_S) } };
        requestCount = 0;
        const waiting = execute(runner, type, clock);
        const second = execute(runner, type, clock);
        await waiting;
        const refusal = await second;
        t.equal(requestCount, 1, "the queued run does not reach the upstream");
        t.match(refusal, { code: "queueFull", ran: "no", retryAfterMs: RETRY_AFTER_S * 1_000 });
        t.match(tryGetAdmissionRefusal(runner), { code: "queueFull", ran: "no", retryAfterMs: RETRY_AFTER_S * 1_000 });
        clock.advance(RETRY_AFTER_S * 1_000 - 1);
        t.match(tryGetAdmissionRefusal(runner), { retryAfterMs: 1 });
        clock.advance(1);
        t.equal(tryGetAdmissionRefusal(runner), undefined, "the backoff has ended");
    });
}

void t.test("Retry-After may be a date; a failure without it requests no backoff", async t => {
    const clock = new FakeClock();
    const runner = createRunner(clock);
    answer = { status: 503, headers: {} };
    t.match(await execute(runner, "chat", clock), { code: "upstreamFailed" });
    t.equal(tryGetAdmissionRefusal(runner), undefined);
    const date = new Date(new SystemClock().getWallMs() + 60_000).toUTCString();
    answer = { status: 429, headers: { "Retry-After": date } };
    await execute(runner, "chat", clock);
    const refusal = tryGetAdmissionRefusal(runner);
    t.ok(refusal!.retryAfterMs! > 50_000 && refusal!.retryAfterMs! <= 60_000, `${refusal!.retryAfterMs} ms`);
});

void t.test("an unparsable Retry-After is ignored", async t => {
    const clock = new FakeClock();
    const runner = createRunner(clock);
    answer = { status: 503, headers: { "Retry-After": "soon" } };
    await execute(runner, "chat", clock);
    t.equal(tryGetAdmissionRefusal(runner), undefined);
});

/**
 * An upstream behind a sidecar that turns a request away and asks for rest.
 *
 * What users would see: requests that reach the upstream one after the other during its rest, each turned away with 502 after
 * it had waited for a slot, though another upstream of the service was free.
 *
 * The cause: the time of rest was not read; the caller was told 500 ms, whatever the upstream had asked for.
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
import { KeptPeer } from "../tools/keptPeer.js";

const REST_S = 3;
const SLOTS = 1;
let server: Server;
let arrivals = 0;
/** What the upstream answers every request with. */
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

/** Why a new run is refused; undefined where it is taken. */
function tryGetCheckRefusal(runner: UpstreamRunner): Refusal | undefined {
    try {
        runner.check(createParams("chat"));
        return undefined;
    }
    catch (error) {
        return getRefusal(error);
    }
}

/** Executes a run; answers how it ended. */
async function execute(runner: UpstreamRunner, type: "chat" | "plain", clock: FakeClock): Promise<Refusal | undefined> {
    const run = new Run(createParams(type), clock.getMonotonicMs());
    const peer = new KeptPeer();
    run.addListener(peer, "l", 0);
    await runner.execute(run);
    return peer.getParams(runEndMethod).at(-1)?.refusal;
}

t.before(async () => {
    server = createServer((message, response) => {
        arrivals += 1;
        message.resume();
        response.writeHead(answer.status, answer.headers).end("{}");
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
});
t.teardown(() => server.close());

for (const type of ["chat", "plain"] as const) {
    void t.test(`a ${type} run that was turned away keeps the next ones away from the upstream`, async t => {
        const clock = new FakeClock();
        const runner = createRunner(clock);
        answer = { status: 503, headers: { "Retry-After": String(REST_S) } };
        arrivals = 0;
        const waiting = execute(runner, type, clock);
        const second = execute(runner, type, clock);
        await waiting;
        const refusal = await second;
        t.equal(arrivals, 1, "the one that waited for a slot did not reach it");
        t.match(refusal, { code: "queueFull", ran: "no", retryAfterMs: REST_S * 1_000 });
        t.match(tryGetCheckRefusal(runner), { code: "queueFull", ran: "no", retryAfterMs: REST_S * 1_000 });
        clock.advance(REST_S * 1_000 - 1);
        t.match(tryGetCheckRefusal(runner), { retryAfterMs: 1 });
        clock.advance(1);
        t.equal(tryGetCheckRefusal(runner), undefined, "the rest is over");
    });
}

void t.test("a date is read, too; a failure without a time asks for no rest", async t => {
    const clock = new FakeClock();
    const runner = createRunner(clock);
    answer = { status: 503, headers: {} };
    t.match(await execute(runner, "chat", clock), { code: "upstreamFailed" });
    t.equal(tryGetCheckRefusal(runner), undefined);
    const date = new Date(new SystemClock().getWallMs() + 60_000).toUTCString();
    answer = { status: 429, headers: { "Retry-After": date } };
    await execute(runner, "chat", clock);
    const refusal = tryGetCheckRefusal(runner);
    t.ok(refusal!.retryAfterMs! > 50_000 && refusal!.retryAfterMs! <= 60_000, `${refusal!.retryAfterMs} ms`);
});

void t.test("what makes no sense counts as not said", async t => {
    const clock = new FakeClock();
    const runner = createRunner(clock);
    answer = { status: 503, headers: { "Retry-After": "soon" } };
    await execute(runner, "chat", clock);
    t.equal(tryGetCheckRefusal(runner), undefined);
});

/**
 * Delayed reads of streams: only events after the first are delayed, within the bound; ends, slow readers, cancelled requests
 * and reused connections are handled as without a delay; and nothing is delayed unless the settings ask for it.
 */
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import t, { type Test } from "tap";
import { parseBoxSettings } from "../../platform/boxSettings.js";
import { EngineClient } from "../../platform/engineClient.js";
import { createRouterSettings } from "../../platform/roleSettings.js";
import { ReadPacer } from "../../src/adapters/readPacer.js";
import { startDirectRouter } from "../../src/bundleWiring.js";
import { Attempt, type AttemptOutcome, ResponseProgress } from "../../src/daemons/directRouter/attempt.js";
import { LoopUtilization } from "../../src/daemons/loopUtilization.js";
import { createReadPacer } from "../../src/daemons/readPacing.js";
import { PassThroughSink } from "../../src/ports/answerSink.js";
import type { ReadSchedule } from "../../src/ports/directUpstream.js";
import { NoLog } from "../../src/ports/log.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { wait, waitUntil } from "../tools/waiting.js";

const PACING = { maxDelayMs: 100, minUtilization: 0.5, fullUtilization: 0.8 };
/** An event must reach the caller within this time after the engine produced it. */
const MAX_EVENT_DELAY_MS = 200;
/** Several times as long as a transfer over loopback and a few turns of an idle event loop. */
const TRANSFER_MS = 60;
const HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nInstance-Signature: s\r\n";
const STREAM_HEAD = `${HEAD}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;
const STREAM_END = "0\r\n\r\n";

/** Delays reads until `release`. */
class HeldSchedule implements ReadSchedule {
    readonly held: (() => void)[] = [];
    isActive(): boolean {
        return true;
    }
    scheduleResume(resume: () => void): void {
        this.held.push(resume);
    }
    release(): void {
        this.held.splice(0).forEach(resume => resume());
    }
}

/** Records what a caller would receive. The caller reads slowly while `isSlow`. */
class RecordingSink extends PassThroughSink {
    readonly writes: { readonly text: string; readonly at: number; }[] = [];
    isSlow = false;
    hasEnded = false;
    drain: () => void = () => undefined;
    get text(): string {
        return this.writes.map(({ text }) => text).join("");
    }
    override sendHead(): void {}
    override write(bytes: Buffer): boolean {
        this.writes.push({ text: bytes.toString(), at: performance.now() });
        return !this.isSlow;
    }
    override end(): void {
        this.hasEnded = true;
    }
    override abort(): void {}
    override sendRefusal(): void {}
    override onDrain(handler: () => void): void {
        this.drain = handler;
    }
    override hasCallerLeft(): boolean {
        return false;
    }
    override onDisconnect(): void {}
}

/** An engine whose connections the test writes to, and a client with the given schedule. */
class Harness {
    readonly client = new EngineClient();
    readonly connections: Socket[] = [];
    private requestCount = 0;
    private constructor(private readonly server: Server) {}

    static async open(t: Pick<Test, "teardown">, schedule: ReadSchedule | undefined): Promise<Harness> {
        const server = createServer({ noDelay: true });
        const harness = new Harness(server);
        server.on("connection", socket => {
            harness.connections.push(socket);
            socket.on("error", () => undefined);
            socket.on("data", () => harness.requestCount += 1);
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        if (schedule !== undefined) {
            harness.client.setReadSchedule(schedule);
        }
        t.teardown(() => {
            harness.client.close();
            harness.connections.forEach(socket => socket.destroy());
            server.close();
        });
        return harness;
    }

    /** Starts a request; resolves when the engine has received it. */
    async startRequest(isStream = true) {
        const sink = new RecordingSink();
        const attempt = new Attempt(this.client, {
            call: {
                upstream: {
                    id: "u1",
                    service: "s",
                    address: `127.0.0.1:${(this.server.address() as AddressInfo).port}`,
                    zone: "z",
                    slots: 4,
                    state: "ready",
                    sequence: 1,
                },
                request: { id: "a1", method: "GET", target: "/s", headers: [], body: Buffer.alloc(0) },
                account: undefined,
                getRemainingMs: () => 9_000,
                priority: 0,
                resumeAfter: undefined,
                maxConnections: 1,
                isStream,
                mayStart: () => true,
            },
            sink,
            progress: new ResponseProgress(),
            isStream,
            isResumable: false,
            isCharged: false,
            getRunEndWaitMs: () => 200,
            shouldRetryServerError: () => false,
            inactivityTimeoutMs: undefined,
            mayLeaveSilent: () => false,
            onSignals: () => undefined,
            onHeadForwarded: () => undefined,
            onFirstByte: () => undefined,
        });
        const receivedBefore = this.requestCount;
        const request = { sink, attempt, outcome: undefined as AttemptOutcome | undefined };
        void attempt.run().then(outcome => request.outcome = outcome);
        await waitUntil("the engine to receive the request", () => this.requestCount > receivedBefore);
        return request;
    }

    write(text: string): void {
        this.connections.at(-1)!.write(text);
    }

    /** Starts a stream, and waits until its first event has been delivered and the next read is delayed. */
    async startDelayedStream(schedule: HeldSchedule) {
        const request = await this.startRequest();
        this.write(STREAM_HEAD + encodeEvent("first"));
        await waitUntil("the first event", () => request.sink.text.includes("first"));
        await waitUntil("a delayed read", () => schedule.held.length === 1);
        this.write(encodeEvent("second"));
        return request;
    }
}

function encodeEvent(data: string): string {
    const event = `data: ${data}\n\n`;
    return `${event.length.toString(16)}\r\n${event}\r\n`;
}

function createLoop(lagMs: number) {
    return { arrivalEstimator: { getLagMs: () => lagMs } };
}

void t.test("the delay shrinks by the lag of the event loop, so that the sum stays within the bound", t => {
    const utilization = { get: () => 1, onSample: () => undefined };
    const common = { utilization, log: new NoLog(), metrics: new NoMetrics() };
    t.equal(createReadPacer(PACING, { ...common, loop: createLoop(0) }).isActive(), true);
    t.equal(createReadPacer(PACING, { ...common, loop: createLoop(95) }).isActive(), false);
    t.equal(createReadPacer(PACING, { ...common, loop: createLoop(500) }).isActive(), false);
    t.end();
});

void t.test("on a busy event loop, each event arrives within 200 ms and several share a read", async t => {
    const utilization = new LoopUtilization();
    utilization.start();
    const pacer = createReadPacer(PACING, {
        utilization,
        loop: createLoop(0),
        log: new NoLog(),
        metrics: new NoMetrics(),
    });
    const harness = await Harness.open(t, pacer);
    const busyTimer = setInterval(() => {
        const until = performance.now() + 9;
        while (performance.now() < until) {
            // Uses CPU time.
        }
    }, 10);
    t.teardown(() => {
        clearInterval(busyTimer);
        utilization.stop();
    });
    await waitUntil("a loaded event loop", () => utilization.get() > PACING.fullUtilization);
    const { sink } = await harness.startRequest();
    const eventCount = 60;
    harness.write(STREAM_HEAD);
    for (let i = 0; i < eventCount; i++) {
        harness.write(encodeEvent(`at ${performance.now()};`));
        await wait(20);
    }
    harness.write(STREAM_END);
    await waitUntil("the end of the stream", () => sink.hasEnded);
    const delays = sink.writes.flatMap(({ text, at }) =>
        [...text.matchAll(/at ([\d.]+);/g)].map(m => at - Number(m[1]))
    );
    t.equal(delays.length, eventCount);
    t.ok(Math.max(...delays) <= MAX_EVENT_DELAY_MS, `longest delay ${Math.max(...delays).toFixed(0)} ms`);
    t.ok(sink.writes.length <= eventCount / 2, `${sink.writes.length} writes`);
});

void t.test("the first event is not delayed; later ones wait for the tick and then arrive together", async t => {
    const schedule = new HeldSchedule();
    const harness = await Harness.open(t, schedule);
    const request = await harness.startDelayedStream(schedule);
    harness.write(encodeEvent("third"));
    await wait(TRANSFER_MS);
    t.notMatch(request.sink.text, /second/);
    const writeCount = request.sink.writes.length;
    schedule.release();
    await waitUntil("the third event", () => request.sink.text.includes("third"));
    t.match(request.sink.text, /second/);
    t.ok(request.sink.writes.length <= writeCount + 2);
    harness.write(encodeEvent("last") + STREAM_END);
    await waitUntil("another delayed read", () => schedule.held.length === 1);
    schedule.release();
    await waitUntil("the end", () => request.outcome?.type === "answered");
    t.ok(request.sink.hasEnded);
});

void t.test("plain answers are not delayed, neither on plain routes nor on those of streams", async t => {
    const schedule = new HeldSchedule();
    const harness = await Harness.open(t, schedule);
    for (const isStream of [true, false]) {
        const request = await harness.startRequest(isStream);
        harness.write(`${HEAD}Content-Length: 3\r\n\r\na`);
        await waitUntil("the first byte", () => request.sink.text === "a");
        harness.write("b");
        await waitUntil("the second byte", () => request.sink.text === "ab");
        harness.write("c");
        await waitUntil("the end", () => request.outcome?.type === "answered");
    }
    t.equal(schedule.held.length, 0);
});

void t.test("the end of a connection is noticed at the next tick: complete, or lost", async t => {
    for (const isComplete of [true, false]) {
        const schedule = new HeldSchedule();
        const harness = await Harness.open(t, schedule);
        const request = await harness.startDelayedStream(schedule);
        harness.connections[0]!.end(isComplete ? STREAM_END : "");
        await wait(TRANSFER_MS);
        schedule.release();
        // The client may need another read to reach the end.
        await waitUntil("an outcome", () => {
            schedule.release();
            return request.outcome !== undefined;
        });
        t.equal(request.outcome!.type, isComplete ? "answered" : "interrupted");
        t.match(request.sink.text, /second/);
    }
});

void t.test("a tick does not resume a stream whose caller reads slowly", async t => {
    const schedule = new HeldSchedule();
    const harness = await Harness.open(t, schedule);
    const { sink } = await harness.startDelayedStream(schedule);
    sink.isSlow = true;
    schedule.release();
    await waitUntil("the second event", () => sink.text.includes("second"));
    harness.write(encodeEvent("third"));
    await wait(TRANSFER_MS);
    schedule.release();
    harness.write(encodeEvent("fourth"));
    await wait(TRANSFER_MS);
    schedule.release();
    await wait(TRANSFER_MS);
    t.notMatch(sink.text, /third|fourth/);
    sink.isSlow = false;
    sink.drain();
    await waitUntil("the rest", () => {
        schedule.release();
        return sink.text.includes("fourth");
    });
    t.match(sink.text, /second[^]*third[^]*fourth/);
});

void t.test("a caller that reads again does not end the delay", async t => {
    const schedule = new HeldSchedule();
    const harness = await Harness.open(t, schedule);
    const { sink } = await harness.startDelayedStream(schedule);
    sink.drain();
    await wait(TRANSFER_MS);
    t.notMatch(sink.text, /second/);
    schedule.release();
    await waitUntil("the second event", () => sink.text.includes("second"));
});

void t.test("a cancelled request leaves no delayed read that uses its closed connection", async t => {
    const schedule = new HeldSchedule();
    const harness = await Harness.open(t, schedule);
    const request = await harness.startDelayedStream(schedule);
    request.attempt.stop();
    await waitUntil("the connection to close", () => harness.connections[0]!.destroyed);
    schedule.release();
    await wait(TRANSFER_MS);
    t.equal(request.outcome?.type, "stopped");
    t.notMatch(request.sink.text, /second/);
    const next = await harness.startRequest(false);
    harness.write(`${HEAD}Content-Length: 2\r\n\r\nok`);
    await waitUntil("the next answer", () => next.outcome?.type === "answered");
});

void t.test("a connection that is free again is read at once, also if the end was parsed while a read was delayed", async t => {
    const schedule = new HeldSchedule();
    const harness = await Harness.open(t, schedule);
    const request = await harness.startDelayedStream(schedule);
    request.sink.isSlow = true;
    schedule.release();
    await waitUntil(
        "the second event and a delayed read",
        () => /second/.test(request.sink.text) && schedule.held.length === 1,
    );
    harness.write(encodeEvent("third") + encodeEvent("fourth") + STREAM_END);
    await wait(TRANSFER_MS);
    schedule.release();
    await waitUntil("a delayed read while the parser is paused", () => schedule.held.length === 1);
    request.sink.isSlow = false;
    request.sink.drain();
    await waitUntil("the end", () => request.outcome?.type === "answered");
    t.match(request.sink.text, /second[^]*third[^]*fourth/);
    t.equal(schedule.held.length, 1, "a read was delayed when the end was parsed");
    const next = await harness.startRequest(false);
    harness.write(`${HEAD}Content-Length: 2\r\n\r\nok`);
    await waitUntil("the next answer", () => next.outcome?.type === "answered");
    t.equal(harness.connections.length, 1);
    schedule.release();
});

void t.test("a pacer without load, and a client without a schedule, delay nothing", async t => {
    for (const schedule of [new ReadPacer(() => 0), undefined]) {
        const harness = await Harness.open(t, schedule);
        const { sink } = await harness.startRequest();
        harness.write(STREAM_HEAD);
        for (let i = 1; i <= 5; i++) {
            harness.write(encodeEvent(`event ${i}`));
            await waitUntil(`event ${i}`, () => sink.text.includes(`event ${i}`));
            t.equal(sink.writes.length, i);
        }
    }
});

/** Settings of a router on a box with this quota, or without one. */
function createSettings(upstreams: EngineClient, quota: number | undefined) {
    process.env["LOOMWINCH_FLEET_SECRET"] = "test-fleet-secret";
    const box = parseBoxSettings(`
        node_name = "r1"
        ip = "127.0.0.1"
        zone = "z"
        port_range = [0, 0]
        seeds = []
        [listen]
        [limits]
        ${quota === undefined ? "" : `cpu_quota = ${quota}`}
        cores = 1.2
    `);
    return { ...createRouterSettings(box, upstreams), logLevel: "error" as const };
}

void t.test("the platform delays reads only on boxes with at most 0.6 cores", async t => {
    class RecordingClient extends EngineClient {
        scheduleCount = 0;
        override setReadSchedule(schedule: ReadSchedule): void {
            this.scheduleCount += 1;
            super.setReadSchedule(schedule);
        }
    }
    for (const [quota, isPaced] of [[0.5, true], [0.51, false], [undefined, false]] as const) {
        const client = new RecordingClient();
        const role = await startDirectRouter(createSettings(client, quota));
        await role.stop();
        t.equal(client.scheduleCount, isPaced ? 1 : 0, `quota ${quota}`);
    }
});

void t.test("invalid settings are rejected at start, with the name of the setting and its bound", async t => {
    for (
        const [part, message] of [
            [{ maxDelayMs: 500 }, /settingsInvalid.*readPacing\.maxDelayMs.*150/],
            [{ minUtilization: -1 }, /settingsInvalid.*readPacing\.minUtilization.*0/],
            [{ fullUtilization: 0.5 }, /settingsInvalid.*readPacing\.fullUtilization.*minUtilization/],
        ] as const
    ) {
        const settings = createSettings(new EngineClient(), undefined);
        await t.rejects(startDirectRouter({ ...settings, readPacing: { ...PACING, ...part } }), { message });
    }
});

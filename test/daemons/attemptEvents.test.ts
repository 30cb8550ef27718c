/** Guards against gaps between events that a slow caller causes and that are taken for those of the upstream. */
import t from "tap";
import { Attempt, type AttemptOptions, ResponseProgress } from "../../src/daemons/directRouter/attempt.js";
import { NO_SIGNALS } from "../../src/domain/upstreamSignals.js";
import { FakeSink, FakeUpstreams } from "../tools/attemptFakes.js";

function createAttempt(sink: FakeSink, isResumable: boolean, onEvents?: AttemptOptions["onEvents"]): Attempt {
    return new Attempt(new FakeUpstreams(), {
        call: {} as never,
        sink,
        progress: new ResponseProgress(),
        isStream: true,
        isResumable,
        isCharged: false,
        getRunEndWaitMs: () => 200,
        shouldRetryServerError: () => false,
        inactivityTimeoutMs: undefined,
        mayLeaveSilent: () => false,
        onSignals: () => undefined,
        onHeadForwarded: () => undefined,
        onFirstByte: () => undefined,
        onEvents,
    });
}

void t.test("an answer with a length that is no stream is not held in memory, also on the route of a stream", t => {
    const sink = new FakeSink();
    const attempt = createAttempt(sink, true);
    void attempt.run();
    attempt.onHead({
        status: 200,
        headers: ["Content-Type", "application/json", "Content-Length", "200000"],
        isNotRun: false,
        isMisdirected: false,
        hasMatchingId: true,
        isSigned: true,
        isFramed: true,
        signals: NO_SIGNALS,
    });
    t.ok(attempt.onData(Buffer.alloc(100_000)));
    t.equal(sink.writtenBytes, 100_000);
    t.end();
});

for (const isResumable of [false, true]) {
    void t.test(`events after a pause are marked, resumable: ${isResumable}`, t => {
        const events: [number, boolean][] = [];
        const sink = new FakeSink();
        const attempt = createAttempt(
            sink,
            isResumable,
            (count, _now, wasPaused) => events.push([count, wasPaused]),
        );
        void attempt.run();
        t.equal(attempt.onData(Buffer.from("data: 1\n\ndata: 2\n\nda")), true);
        sink.isFull = true;
        t.equal(attempt.onData(Buffer.from("ta: 3\n\n")), false);
        sink.isFull = false;
        t.equal(attempt.onData(Buffer.from("data: 4\n\n")), true);
        t.equal(attempt.onData(Buffer.from("data: 5\n\n")), true);
        t.same(events, [[2, false], [1, false], [1, true], [1, false]]);
        t.end();
    });
}

/** Guards against gaps between events that a slow caller causes and that are taken for those of the upstream. */
import t from "tap";
import { Attempt, ResponseProgress } from "../../src/daemons/directRouter/attempt.js";
import { FakeSink, FakeUpstreams } from "../tools/attemptFakes.js";

for (const isResumable of [false, true]) {
    void t.test(`events after a pause are marked, resumable: ${isResumable}`, t => {
        const events: [number, boolean][] = [];
        const sink = new FakeSink();
        const attempt = new Attempt(new FakeUpstreams(), {
            call: {} as never,
            sink,
            progress: new ResponseProgress(),
            isStream: true,
            isResumable,
            shouldRetryServerError: () => false,
            inactivityTimeoutMs: undefined,
            mayLeaveSilent: () => false,
            onSignals: () => undefined,
            onHeadForwarded: () => undefined,
            onFirstByte: () => undefined,
            onEvents: (count, _now, wasPaused) => events.push([count, wasPaused]),
        });
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

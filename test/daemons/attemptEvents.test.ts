/** Guards against gaps between events that a slow caller causes and that are taken for those of the upstream. */
import t from "tap";
import { Attempt, ResponseProgress } from "../../src/daemons/directRouter/attempt.js";
import { PassThroughSink } from "../../src/ports/answerSink.js";
import { DirectUpstreams, type UpstreamExchange } from "../../src/ports/directUpstream.js";

class FakeUpstreams extends DirectUpstreams {
    override send(): UpstreamExchange {
        return { resume: () => undefined, cancel: () => undefined };
    }
    override drainExcept(): void {}
    override drain(): void {}
    override isListening(): Promise<undefined> {
        return Promise.resolve(undefined);
    }
    override close(): void {}
    override setReadSchedule(): void {}
}

/** Takes nothing more while `isFull`. */
class FakeSink extends PassThroughSink {
    isFull = false;

    override sendHead(): void {}
    override write(): boolean {
        return !this.isFull;
    }
    override end(): void {}
    override abort(): void {}
    override sendRefusal(): void {}
    override onDrain(): void {}
    override onDisconnect(): void {}
}

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

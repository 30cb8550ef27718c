/** Fakes of both sides of an attempt: upstreams and the sink of its answer. */
import { PassThroughSink } from "../../src/ports/answerSink.js";
import { DirectUpstreams, type UpstreamExchange } from "../../src/ports/directUpstream.js";

/** Sends nothing. */
export class FakeUpstreams extends DirectUpstreams {
    override send(): UpstreamExchange {
        return { resume: () => undefined, tryEndSending: () => false, cancel: () => undefined };
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
export class FakeSink extends PassThroughSink {
    isFull = false;
    writtenBytes = 0;

    override sendHead(): void {}
    override write(bytes: Buffer): boolean {
        this.writtenBytes += bytes.length;
        return !this.isFull;
    }
    override end(): void {}
    override abort(): void {}
    override sendRefusal(): void {}
    override onDrain(): void {}
    override hasCallerLeft(): boolean {
        return false;
    }
    override onDisconnect(): void {}
}

/**
 * Guards against requests that are sent although their caller's close has arrived: tokens, permits, connections, refusals and failures
 * of upstreams come in any order with the close and with the moment at which it is read.
 */
import fc from "fast-check";
import t from "tap";
import { RelayRun } from "../../src/daemons/directRouter/relayRun.js";
import { PassThroughSink } from "../../src/ports/answerSink.js";
import type { DirectUpstreams, UpstreamCall, UpstreamListener } from "../../src/ports/directUpstream.js";
import { answer, createResolvedRequest, createRunContext } from "../tools/relayRunFixture.js";

/** `close`: the caller's close arrives; `read`: the event loop reads it. `connect`: a connection to an upstream is available. */
const EVENTS = ["close", "read", "connect", "refuse", "fail", "break", "replace", "permit", "deny"] as const;
type Event = typeof EVENTS[number];

class PlayedSink extends PassThroughSink {
    private disconnect: (closeAgeMs: number) => void = () => undefined;
    hasClosed = false;

    override hasCallerLeft(): boolean {
        return this.hasClosed;
    }
    override onDisconnect(handler: (closeAgeMs: number) => void): void {
        this.disconnect = handler;
    }
    readClose(): void {
        if (this.hasClosed) {
            this.disconnect(0);
        }
    }
    override sendHead(): void {}
    override write(): boolean {
        return true;
    }
    override end(): void {}
    override abort(): void {}
    override sendRefusal(): void {}
    override onDrain(): void {}
}

/** A request of which at most one attempt waits for a connection or for its answer. */
class Play {
    readonly sink = new PlayedSink();
    /** Sends after the close of the caller. */
    lateCount = 0;
    sentCount = 0;
    private waiting: { readonly call: UpstreamCall; readonly listener: UpstreamListener; } | undefined;
    private running: UpstreamListener | undefined;
    private readonly claims: ((claim: object | undefined) => void)[] = [];

    async run(events: readonly Event[]): Promise<void> {
        const upstreams = {
            send: (call: UpstreamCall, listener: UpstreamListener) => {
                this.waiting = { call, listener };
                const cancel = (): void => {
                    this.waiting = undefined;
                    this.running = undefined;
                };
                return { resume: () => undefined, tryEndSending: () => false, cancel };
            },
        } as unknown as DirectUpstreams;
        const repeats = {
            tryClaim: () => undefined,
            waitForClaim: () => new Promise(resolve => this.claims.push(resolve)),
            recordSent: () => undefined,
            recordRefused: () => undefined,
            recordSentPastReplaced: () => undefined,
        };
        const context = createRunContext(upstreams, repeats);
        const end = new RelayRun(context, createResolvedRequest({ kind: "repeatable", maxAttempts: 5 }), this.sink)
            .run();
        for (const event of events) {
            await new Promise(setImmediate);
            this.play(event);
        }
        this.sink.hasClosed = true;
        this.sink.readClose();
        this.claims.forEach(resolve => resolve(undefined));
        await end;
    }

    private play(event: Event): void {
        const { running } = this;
        switch (event) {
            case "close":
                this.sink.hasClosed = true;
                return;
            case "read":
                return this.sink.readClose();
            case "connect":
                return this.connect();
            case "permit":
                return this.claims.shift()?.({ trySend: () => true, release: () => undefined });
            case "deny":
                return this.claims.shift()?.(undefined);
            default:
                this.running = undefined;
                return running === undefined ? undefined : this.fail(event, running);
        }
    }

    private fail(event: "refuse" | "fail" | "break" | "replace", listener: UpstreamListener): void {
        if (event === "break") {
            listener.onFailure({ wasSent: true, isWithheld: false, isClosed: false, reason: "ECONNRESET" });
        }
        else {
            answer(listener, { refuse: 503, fail: 500, replace: 421 }[event], false);
        }
    }

    private connect(): void {
        const { waiting } = this;
        this.waiting = undefined;
        if (waiting === undefined) {
            return;
        }
        if (waiting.call.mayStart()) {
            this.sentCount += 1;
            this.lateCount += this.sink.hasClosed ? 1 : 0;
            this.running = waiting.listener;
            waiting.listener.onStart(1_000);
        }
        else {
            waiting.listener.onFailure({ wasSent: false, isWithheld: true, isClosed: false, reason: "withheld" });
        }
    }
}

void t.test("no send follows the arrival of a caller's close, in any order of what happens to its request", async t => {
    let [sent, repeated] = [0, 0];
    const orders = fc.array(fc.constantFrom<Event>(...EVENTS, "connect", "connect", "permit"), { maxLength: 16 });
    await fc.assert(
        fc.asyncProperty(orders, async events => {
            const play = new Play();
            await play.run(events);
            sent += play.sentCount;
            repeated += Math.max(0, play.sentCount - 1);
            if (play.lateCount > 0) {
                throw new Error(`${play.lateCount} sends after the close`);
            }
        }),
        { seed: 80, numRuns: 500 },
    );
    t.ok(sent > 0 && repeated > 0, `${sent} sends, ${repeated} of them repeats`);
});

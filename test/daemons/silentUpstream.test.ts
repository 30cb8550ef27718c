/** Guards against answers that are broken off because their upstream is silent, although nothing can go on elsewhere. */
import t from "tap";
import { Attempt, type AttemptOutcome, ResponseProgress } from "../../src/daemons/directRouter/attempt.js";
import { FakeSink, FakeUpstreams } from "../tools/attemptFakes.js";
import { wait } from "../tools/waiting.js";

const SILENCE_MS = 20;

/** Sends a request whose upstream begins its answer and falls silent. */
function startSilentAttempt(mayLeaveSilent: () => boolean | Promise<boolean>) {
    const attempt = new Attempt(new FakeUpstreams(), {
        call: {} as never,
        sink: new FakeSink(),
        progress: new ResponseProgress(),
        isStream: true,
        isResumable: true,
        isCharged: false,
        getRunEndWaitMs: () => 200,
        shouldRetryServerError: () => false,
        inactivityTimeoutMs: SILENCE_MS,
        mayLeaveSilent,
        onSignals: () => undefined,
        onHeadForwarded: () => undefined,
        onFirstByte: () => undefined,
    });
    let outcome: AttemptOutcome | undefined;
    void attempt.run().then(ended => outcome = ended);
    attempt.onStart(1_000);
    attempt.onData(Buffer.from("id: 1\ndata: 1\n\n"));
    return { attempt, getOutcome: () => outcome };
}

void t.test("an answer goes on at its silent upstream as long as it cannot go on elsewhere", async t => {
    let asked = 0;
    const { attempt, getOutcome } = startSilentAttempt(() => ++asked > 1_000);
    await wait(5 * SILENCE_MS);
    t.equal(getOutcome(), undefined);
    t.ok(asked >= 2, "asked repeatedly");
    attempt.onData(Buffer.from("id: 2\ndata: 2\n\n"));
    attempt.onEnd();
    await wait(0);
    t.match(getOutcome(), { type: "answered" });
});

void t.test("an answer leaves its silent upstream once it can go on elsewhere", async t => {
    let asked = 0;
    const { getOutcome } = startSilentAttempt(() => Promise.resolve(++asked === 2));
    await wait(6 * SILENCE_MS);
    t.match(getOutcome(), { type: "interrupted", cause: "silence" });
});

void t.test("an answer stays where it is if its upstream goes on while a repeat is claimed", async t => {
    const { attempt, getOutcome } = startSilentAttempt(async () => {
        attempt.onData(Buffer.from("id: 2\ndata: 2\n\n"));
        await wait(1);
        return true;
    });
    await wait(1.5 * SILENCE_MS);
    t.equal(getOutcome(), undefined);
    attempt.onEnd();
});

/** Guards against tokens that are given to others although a run, of which the caller has left, may go on to use them. */
import t from "tap";
import { Attempt, type AttemptOutcome, ResponseProgress, type RunEnd } from "../../src/daemons/directRouter/attempt.js";
import { PendingSettlements } from "../../src/daemons/directRouter/pendingSettlements.js";
import type { RelayContext, StoppedDetails } from "../../src/daemons/directRouter/relayContext.js";
import type { ResolvedRequest } from "../../src/daemons/directRouter/relayRequest.js";
import { TokenReservation } from "../../src/daemons/directRouter/tokenReservation.js";
import { LocalTokenBudget } from "../../src/domain/localTokenBudget.js";
import { computeRunEndWaitMs } from "../../src/domain/runEndWait.js";
import { NO_SIGNALS } from "../../src/domain/upstreamSignals.js";
import type { UpstreamExchange, UpstreamHead, UpstreamListener } from "../../src/ports/directUpstream.js";
import { FakeSink, FakeUpstreams } from "../tools/attemptFakes.js";
import { testTokenBudgetOptions } from "../tools/prepaidSimulation.js";

const PROMPT_TOKENS = 100;
const MAX_OUTPUT_TOKENS = 500;
const RESERVED = PROMPT_TOKENS + MAX_OUTPUT_TOKENS;
const TOKENS_PER_EVENT = 5;
/** Events that are charged beyond those received when a run has ended. */
const UNSENT_EVENTS = 4;
const UPSTREAM = "u1";
const ACCOUNT = "a";
const PREPAID = 10_000;
/** Within which an upstream has to learn that a caller has left, whatever it does. */
const MAX_CLOSE_MS = 500;

const HEAD: UpstreamHead = {
    status: 200,
    headers: ["Content-Type", "text/event-stream"],
    isNotRun: false,
    isMisdirected: false,
    hasMatchingId: true,
    isSigned: true,
    isFramed: true,
    signals: NO_SIGNALS,
};

/** Records what an attempt does with its exchange. */
class RecordingUpstreams extends FakeUpstreams {
    canEndSending = true;
    cancelCount = 0;
    listener: UpstreamListener | undefined;

    override send(_call?: unknown, listener?: UpstreamListener): UpstreamExchange {
        this.listener = listener;
        listener!.onStart(1_000);
        return {
            resume: () => undefined,
            tryEndSending: () => this.canEndSending,
            cancel: () => this.cancelCount += 1,
        };
    }
}

class Play {
    readonly upstreams = new RecordingUpstreams();
    readonly sink = new FakeSink();
    readonly budget = new LocalTokenBudget("r", "i", testTokenBudgetOptions);
    readonly reservation: TokenReservation;
    readonly stops: StoppedDetails[] = [];
    readonly settlements = new PendingSettlements();
    private readonly attempt: Attempt;
    private outcome: Promise<AttemptOutcome> | undefined;

    constructor(isCharged = true) {
        this.budget.setLimits([{ account: ACCOUNT, tokens: PREPAID }], 1);
        this.budget.addWaiting(ACCOUNT, RESERVED);
        const { sequence } = this.budget.createReport(0, 0, false);
        const answer = { granted: PREPAID, free: 0, prepaid: PREPAID, writtenOff: 0, burst: 0 };
        this.budget.applyAnswer(sequence, [{ account: ACCOUNT, ...answer }], 0);
        this.budget.addWaiting(ACCOUNT, -RESERVED);
        const resolved = {
            account: { name: ACCOUNT },
            route: { rank: 1, goalMs: 1_000 },
            request: { promptTokens: PROMPT_TOKENS, maxOutputTokens: MAX_OUTPUT_TOKENS, forwarded: { id: "r" } },
            service: { engine: { tokensPerEvent: TOKENS_PER_EVENT } },
        } as unknown as ResolvedRequest;
        const context = {
            tokenBudget: this.budget,
            options: { grantWaitMs: 1, grantRetryAfterMs: 1 },
            settlements: this.settlements,
            recordTokenDemand: () => undefined,
            recorder: { recordStopped: (_resolved: unknown, details: StoppedDetails) => this.stops.push(details) },
        } as unknown as RelayContext;
        this.reservation = new TokenReservation(context, resolved, Infinity, () => false);
        this.attempt = new Attempt(this.upstreams, {
            call: { upstream: { id: UPSTREAM } } as never,
            sink: this.sink,
            progress: new ResponseProgress(),
            isStream: true,
            isResumable: false,
            isCharged,
            getRunEndWaitMs: closeAgeMs => computeRunEndWaitMs(closeAgeMs, 0),
            shouldRetryServerError: () => false,
            inactivityTimeoutMs: undefined,
            mayLeaveSilent: () => false,
            onSignals: () => undefined,
            onHeadForwarded: () => undefined,
            onFirstByte: () => undefined,
        });
    }

    get listener(): UpstreamListener {
        return this.upstreams.listener!;
    }

    async start(): Promise<void> {
        await this.reservation.reserve(0, false);
        this.outcome = this.attempt.run();
    }

    sendEvents(count: number): void {
        this.listener.onData(Buffer.from("data: x\n\n".repeat(count)));
    }

    async stop(closeAgeMs?: number): Promise<void> {
        this.attempt.stop(closeAgeMs);
        this.reservation.settle(this.attempt, await this.outcome!);
    }

    /** Returns the tokens that count against the account. */
    getCharged(): number {
        return this.budget.tryGetState(ACCOUNT, 0)!.charged;
    }
}

const REASONS = /closed|in time|another request/;
const FAILURE = { wasSent: true, isWithheld: false, reason: "closed" };

/** `charged`: undefined for the whole reservation. */
const ends: readonly [string, (play: Play) => void, RunEnd, number | undefined][] = [
    ["the upstream closes the connection", play => play.listener.onFailure({ ...FAILURE, isClosed: true }), "ended", 3],
    ["the upstream completes the answer", play => play.listener.onEnd(), "ended", 3],
    [
        "events arrive before it closes the connection",
        play => {
            play.sendEvents(7);
            play.listener.onFailure({ ...FAILURE, isClosed: true });
        },
        "ended",
        10,
    ],
    ["the connection is reset", play => play.listener.onFailure({ ...FAILURE, isClosed: false }), "unknown", undefined],
    ["the connection stays silent", () => undefined, "unknown", undefined],
    [
        "events go on to arrive",
        play => {
            const timer = setInterval(() => play.sendEvents(1), 10);
            setTimeout(() => clearInterval(timer), MAX_CLOSE_MS);
        },
        "unknown",
        undefined,
    ],
    [
        "the answer belongs to another request",
        play => {
            play.listener.onHead({ ...HEAD, hasMatchingId: false });
        },
        "unknown",
        undefined,
    ],
];
for (const [what, act, end, charged] of ends) {
    void t.test(`a caller leaves, and ${what}`, async t => {
        const play = new Play();
        await play.start();
        play.listener.onHead(HEAD);
        play.sendEvents(3);
        const leftAt = performance.now();
        await play.stop();
        t.equal(play.getCharged(), RESERVED, "everything stays reserved until then");
        act(play);
        await play.settlements.wait();
        t.match(play.stops[0], { end, upstream: UPSTREAM, reason: end === "unknown" ? REASONS : undefined });
        const expected = charged === undefined
            ? RESERVED
            : PROMPT_TOKENS + (charged + UNSENT_EVENTS) * TOKENS_PER_EVENT;
        t.equal(play.getCharged(), expected);
        t.ok(play.upstreams.cancelCount > 0, "the connection is closed");
        t.ok(performance.now() - leftAt < MAX_CLOSE_MS, "in time");
    });
}

void t.test("an upstream that says after the stop that it did not run the request is not charged for it", async t => {
    const play = new Play();
    await play.start();
    await play.stop();
    play.listener.onHead({ ...HEAD, status: 503, isNotRun: true });
    await play.settlements.wait();
    t.equal(play.getCharged(), 0);
});

void t.test("a request is charged whole if its connection cannot be read on, or its caller was slow", async t => {
    const unreadable = new Play();
    unreadable.upstreams.canEndSending = false;
    const slow = new Play();
    const uncharged = new Play(false);
    for (const play of [unreadable, slow, uncharged]) {
        await play.start();
        play.listener.onHead(HEAD);
        play.sink.isFull = play === slow;
        play.sendEvents(3);
        await play.stop();
        await play.settlements.wait();
        t.equal(play.getCharged(), RESERVED);
        t.equal(play.upstreams.cancelCount, 1, "the connection is closed at once");
    }
});

void t.test("an upstream is reset at once, and its run charged whole, if the caller's close was read too late to wait for its end", async t => {
    const play = new Play();
    await play.start();
    play.listener.onHead(HEAD);
    play.sendEvents(3);
    await play.stop(MAX_CLOSE_MS);
    t.equal(play.upstreams.cancelCount, 1);
    await play.settlements.wait();
    t.match(play.stops[0], { end: "unknown", reason: /too late/, closeAgeMs: MAX_CLOSE_MS });
    t.equal(play.getCharged(), RESERVED);
});

void t.test("an answer whose events are not counted is charged whole", async t => {
    const play = new Play();
    await play.start();
    play.listener.onHead({ ...HEAD, headers: ["Content-Type", "application/json", "Content-Length", "9"] });
    play.listener.onData(Buffer.from("123456789"));
    play.listener.onEnd();
    await play.stop();
    t.equal(play.getCharged(), RESERVED);
});

/**
 * A router's event loop in simulated time, on a box with little processor time: turns of timers, poll and checks, in which
 * callers are taken and read, sendings are connected and answered, and versions of the bundle are decoded in parts. Arrivals,
 * rests and what is worth sending are decided by the product's own modules. Times in milliseconds.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ArrivalClock, type ConnectionArrival } from "../../src/domain/arrivalClock.js";
import { isWorthSending } from "../../src/domain/sendingTime.js";

export interface LoopLoad {
    readonly seed: number;
    readonly lengthMs: number;
    /** Callers' requests, half of them on connections of their own. */
    readonly requestsPerSecond: number;
    readonly timeoutMs: number;
    /** How long the upstream takes for one. */
    readonly upstreamMs: number;
    /** What each step of a request costs: taking a connection, reading it, connecting to the upstream, answering. */
    readonly stepMs: number;
    /** A version is there whenever the router asks. */
    readonly versionMs: number;
    /** Turns that a version is decoded in. */
    readonly versionParts: number;
    readonly computeRestMs: (tookMs: number) => number;
}

/** What callers got. */
export interface LoopOutcome {
    answeredInTime: number;
    refusedAtOnce: number;
    /** Final answers after the route's time-out, and how late the latest of them was. */
    late: number;
    latestOverMs: number;
    /** Runs whose caller got no answer in time. */
    runInVain: number;
    versions: number;
}

type Step = "connect" | "read" | "sendConnected" | "answer";

interface SimulatedRequest {
    readonly sentAt: number;
    connection: ConnectionArrival | undefined;
    arrivedAt: number;
    isDone: boolean;
    isSent: boolean;
}

interface PollEvent {
    readonly at: number;
    readonly step: Step;
    readonly request: SimulatedRequest;
}

const TICK_MS = 50;
const MS_PER_SECOND = 1_000;

class LoopWorld {
    readonly outcome: LoopOutcome = {
        answeredInTime: 0,
        refusedAtOnce: 0,
        late: 0,
        latestOverMs: 0,
        runInVain: 0,
        versions: 0,
    };
    private now = 0;
    private nextTickAt = TICK_MS;
    private events: PollEvent[] = [];
    private readonly open = new Set<SimulatedRequest>();
    private readonly clock = new ArrivalClock(TICK_MS, 0);
    private partsLeft = 0;
    private versionAt = 0;
    private versionBegunAt = 0;

    constructor(private readonly load: LoopLoad) {
        const random = xoroshiro128plus(load.seed);
        const draw = (): number => (random.next() >>> 0) / 2 ** 32;
        const gapMs = MS_PER_SECOND / load.requestsPerSecond;
        for (let at = 0; at < load.lengthMs; at += draw() * 2 * gapMs) {
            const request = { sentAt: at, connection: undefined, arrivedAt: 0, isDone: false, isSent: false };
            this.events.push({ at, step: draw() < 0.5 ? "connect" : "read", request });
        }
    }

    run(): LoopOutcome {
        while (this.now < this.load.lengthMs) {
            this.runTimers();
            this.runPoll();
            this.runChecks();
            this.waitForWork();
        }
        return this.outcome;
    }

    private runTimers(): void {
        if (this.now >= this.nextTickAt) {
            this.clock.recordTick(this.now);
            this.nextTickAt = this.now + TICK_MS;
        }
        for (const request of this.open) {
            if (this.now >= request.arrivedAt + this.load.timeoutMs) {
                this.finish(request, false);
            }
        }
    }

    private runPoll(): void {
        const found = this.events.filter(event => event.at <= this.now);
        this.events = this.events.filter(event => event.at > this.now);
        for (const { step, request } of found) {
            this.now += this.load.stepMs;
            this.runStep(step, request);
        }
    }

    private runStep(step: Step, request: SimulatedRequest): void {
        switch (step) {
            case "connect":
                request.connection = this.clock.createConnectionArrival(this.now);
                this.events.push({ at: this.now, step: "read", request });
                return;
            case "read":
                request.arrivedAt = request.connection === undefined
                    ? this.clock.estimateArrival(this.now)
                    : this.clock.estimateFirstArrival(request.connection, this.now);
                this.begin(request);
                return;
            case "sendConnected":
                request.isSent = true;
                this.events.push({ at: this.now + this.load.upstreamMs, step: "answer", request });
                return;
            case "answer":
                this.finish(request, true);
                return;
        }
    }

    private begin(request: SimulatedRequest): void {
        const leftMs = request.arrivedAt + this.load.timeoutMs - this.now;
        if (!isWorthSending(leftMs, this.clock.getLateMs())) {
            request.isDone = true;
            this.outcome.refusedAtOnce += 1;
            this.noteLate(request);
            return;
        }
        this.open.add(request);
        this.events.push({ at: this.now, step: "sendConnected", request });
    }

    private finish(request: SimulatedRequest, isAnswer: boolean): void {
        this.open.delete(request);
        if (request.isDone) {
            return;
        }
        request.isDone = true;
        const isInTime = this.now <= request.sentAt + this.load.timeoutMs;
        this.outcome.answeredInTime += isAnswer && isInTime ? 1 : 0;
        this.outcome.runInVain += request.isSent && !(isAnswer && isInTime) ? 1 : 0;
        this.noteLate(request);
    }

    private noteLate(request: SimulatedRequest): void {
        const overMs = this.now - request.sentAt - this.load.timeoutMs;
        this.outcome.late += overMs > 0 ? 1 : 0;
        this.outcome.latestOverMs = Math.max(this.outcome.latestOverMs, overMs);
    }

    private runChecks(): void {
        this.clock.recordPolled();
        if (this.partsLeft === 0 && this.now >= this.versionAt) {
            this.partsLeft = this.load.versionParts;
            this.versionBegunAt = this.now;
        }
        if (this.partsLeft > 0) {
            this.now += this.load.versionMs / this.load.versionParts;
            this.partsLeft -= 1;
            this.finishVersion();
        }
    }

    private finishVersion(): void {
        if (this.partsLeft === 0) {
            this.outcome.versions += 1;
            this.versionAt = this.now + this.load.computeRestMs(this.now - this.versionBegunAt);
        }
    }

    /** An idle loop sleeps until something comes. */
    private waitForWork(): void {
        if (this.partsLeft === 0) {
            const next = this.events.reduce((least, event) => Math.min(least, event.at), this.nextTickAt);
            this.now = Math.max(this.now, Math.min(next, this.versionAt));
        }
    }
}

/** Plays a load from an idle start. */
export function playLoopLoad(load: LoopLoad): LoopOutcome {
    return new LoopWorld(load).run();
}

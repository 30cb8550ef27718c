/**
 * Simulates the event loop of a router with little CPU: timers, poll and check phases, in which callers are accepted and read,
 * upstream requests are sent and answered, and bundle versions are decoded in slices. Uses the production code for arrival
 * estimates and for the decision whether to send. Times in milliseconds.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ArrivalEstimator, type ConnectionArrival } from "../../src/domain/arrivalEstimator.js";
import { hasTimeToSend } from "../../src/domain/sendingTime.js";

export interface EventLoopLoad {
    readonly seed: number;
    readonly durationMs: number;
    /** Half of the requests arrive on new connections. */
    readonly requestsPerSecond: number;
    readonly timeoutMs: number;
    /** Response time of the upstream. */
    readonly upstreamMs: number;
    /** Event loop time of each step of a request: accepting, reading, connecting to the upstream, answering. */
    readonly stepMs: number;
    /** Event loop time to decode a version. A new version is always available. */
    readonly versionDecodeMs: number;
    /** Event loop turns over which a version is decoded. */
    readonly versionSlices: number;
    readonly computeCooldownMs: (applyMs: number) => number;
}

export interface EventLoopOutcome {
    answeredInTime: number;
    refusedImmediately: number;
    /** Final answers after the route's time-out, and the lateness of the latest. */
    late: number;
    maxLatenessMs: number;
    /** Upstream runs whose caller got no answer in time. */
    wastedRuns: number;
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

class EventLoopSimulation {
    readonly outcome: EventLoopOutcome = {
        answeredInTime: 0,
        refusedImmediately: 0,
        late: 0,
        maxLatenessMs: 0,
        wastedRuns: 0,
        versions: 0,
    };
    private now = 0;
    private nextTickAt = TICK_MS;
    private events: PollEvent[] = [];
    private readonly openRequests = new Set<SimulatedRequest>();
    private readonly clock = new ArrivalEstimator(TICK_MS, 0);
    private slicesLeft = 0;
    private nextVersionAt = 0;
    private versionStartedAt = 0;

    constructor(private readonly load: EventLoopLoad) {
        const random = xoroshiro128plus(load.seed);
        const draw = (): number => (random.next() >>> 0) / 2 ** 32;
        const meanIntervalMs = MS_PER_SECOND / load.requestsPerSecond;
        for (let at = 0; at < load.durationMs; at += draw() * 2 * meanIntervalMs) {
            const request = { sentAt: at, connection: undefined, arrivedAt: 0, isDone: false, isSent: false };
            this.events.push({ at, step: draw() < 0.5 ? "connect" : "read", request });
        }
    }

    run(): EventLoopOutcome {
        while (this.now < this.load.durationMs) {
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
        for (const request of this.openRequests) {
            if (this.now >= request.arrivedAt + this.load.timeoutMs) {
                this.finishRequest(request, false);
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
                request.connection = this.clock.createConnectionArrival(this.now, this.clock.estimateArrival(this.now));
                this.events.push({ at: this.now, step: "read", request });
                return;
            case "read":
                request.arrivedAt = request.connection === undefined
                    ? this.clock.estimateArrival(this.now)
                    : this.clock.estimateFirstArrival(request.connection, this.now);
                this.handleRequest(request);
                return;
            case "sendConnected":
                request.isSent = true;
                this.events.push({ at: this.now + this.load.upstreamMs, step: "answer", request });
                return;
            case "answer":
                this.finishRequest(request, true);
                return;
        }
    }

    private handleRequest(request: SimulatedRequest): void {
        const remainingMs = request.arrivedAt + this.load.timeoutMs - this.now;
        if (!hasTimeToSend(remainingMs, this.clock.getLagMs())) {
            request.isDone = true;
            this.outcome.refusedImmediately += 1;
            this.recordLateness(request);
            return;
        }
        this.openRequests.add(request);
        this.events.push({ at: this.now, step: "sendConnected", request });
    }

    private finishRequest(request: SimulatedRequest, isAnswered: boolean): void {
        this.openRequests.delete(request);
        if (request.isDone) {
            return;
        }
        request.isDone = true;
        const isInTime = this.now <= request.sentAt + this.load.timeoutMs;
        this.outcome.answeredInTime += isAnswered && isInTime ? 1 : 0;
        this.outcome.wastedRuns += request.isSent && !(isAnswered && isInTime) ? 1 : 0;
        this.recordLateness(request);
    }

    private recordLateness(request: SimulatedRequest): void {
        const latenessMs = this.now - request.sentAt - this.load.timeoutMs;
        this.outcome.late += latenessMs > 0 ? 1 : 0;
        this.outcome.maxLatenessMs = Math.max(this.outcome.maxLatenessMs, latenessMs);
    }

    private runChecks(): void {
        this.clock.recordPollEnd();
        if (this.slicesLeft === 0 && this.now >= this.nextVersionAt) {
            this.slicesLeft = this.load.versionSlices;
            this.versionStartedAt = this.now;
        }
        if (this.slicesLeft > 0) {
            this.now += this.load.versionDecodeMs / this.load.versionSlices;
            this.slicesLeft -= 1;
            this.finishVersion();
        }
    }

    private finishVersion(): void {
        if (this.slicesLeft === 0) {
            this.outcome.versions += 1;
            this.nextVersionAt = this.now + this.load.computeCooldownMs(this.now - this.versionStartedAt);
        }
    }

    /** Advances the time of an idle loop to the next event. */
    private waitForWork(): void {
        if (this.slicesLeft === 0) {
            const next = this.events.reduce((least, event) => Math.min(least, event.at), this.nextTickAt);
            this.now = Math.max(this.now, Math.min(next, this.nextVersionAt));
        }
    }
}

/** Simulates a load from an idle start. */
export function simulateEventLoop(load: EventLoopLoad): EventLoopOutcome {
    return new EventLoopSimulation(load).run();
}

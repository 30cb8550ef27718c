/**
 * Watches how late the event loop of a process runs, and what it did meanwhile, so that an answer that came late can be told
 * from one that was made late. On a box with little processor time one turn of the loop may take hundreds of milliseconds,
 * in which no caller is read and no timer runs.
 */
import { performance } from "node:perf_hooks";
import { ArrivalEstimator } from "../domain/arrivalEstimator.js";
import { WallClockMonitor } from "../domain/wallClockMonitor.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { Metrics } from "../ports/metrics.js";

/** Work that is counted, where it may fill a turn: `calls` are those of the system's other processes. */
export type LoopWork = "requests" | "connections" | "calls" | "bundles";

/** How often the loop is looked at, in milliseconds: a small part of the shortest goal of a route. */
export const LOOP_TICK_MS = 50;
/**
 * A tick that is later than this is told to the metrics, in milliseconds. With all 20 a second told a router used 0.0796 cores
 * on a calm day, without 0.0775 (one run each, the machine otherwise busy).
 */
const TOLD_MS = 20;
/** A tick that is later than this gives a line, in milliseconds: a caller notices a third of the shortest goals. */
const LATE_MS = 100;
/** Time that the box was suspended for, from which on it is told, in milliseconds: shorter than connections stay idle. */
const LEAST_MISSED_MS = 500;
/** Least time between two lines, in milliseconds. */
const LINE_PERIOD_MS = 1_000;

/** What was seen since the last line. Times in milliseconds. */
interface LoopPeriod {
    readonly startedAt: number;
    longestLateMs: number;
    lateTicks: number;
    lateMs: number;
    readonly counts: Map<LoopWork, number>;
}

/** Runs from `start` until `stop`. */
export class LoopWatch {
    /** When what is read now probably came. */
    readonly arrivals: ArrivalEstimator;
    private timer: NodeJS.Timeout | undefined;
    private dueAt = 0;
    private period: LoopPeriod = createPeriod(0);
    private utilization = performance.eventLoopUtilization();
    private readonly timeOfDay = new WallClockMonitor();
    private missedMs = 0;
    private readonly missedHandlers: (() => void)[] = [];

    constructor(private readonly clock: Clock, private readonly log: Log, private readonly metrics: Metrics) {
        this.arrivals = new ArrivalEstimator(LOOP_TICK_MS, clock.getMonotonicMs());
    }

    start(): void {
        const now = this.clock.getMonotonicMs();
        this.dueAt = now + LOOP_TICK_MS;
        this.period = createPeriod(now);
        this.timer = setInterval(() => this.watchTurn(), LOOP_TICK_MS);
        this.timer.unref();
    }

    stop(): void {
        clearInterval(this.timer);
    }

    /** Calls back when the box has probably been suspended: what the process believes is older than it looks. */
    onTimeMissed(handler: () => void): void {
        this.missedHandlers.push(handler);
    }

    /** Counts one piece of work. */
    noteWork(work: LoopWork): void {
        const { counts } = this.period;
        counts.set(work, (counts.get(work) ?? 0) + 1);
    }

    /** Only a late turn needs the call after its poll, which costs another turn of the loop. */
    private watchTurn(): void {
        this.recordTick(this.clock.getMonotonicMs());
        if (this.arrivals.getLagMs() > 0) {
            setImmediate(() => this.arrivals.recordPollEnd());
        }
        else {
            this.arrivals.recordPollEnd();
        }
    }

    /** Called by the timer. */
    recordTick(now: number): void {
        this.arrivals.recordTick(now);
        this.watchMissedTime(now);
        const lateMs = Math.max(0, now - this.dueAt);
        this.dueAt = now + LOOP_TICK_MS;
        if (lateMs > TOLD_MS) {
            this.metrics.recordTiming("loop_late_ms", lateMs);
        }
        const { period } = this;
        if (lateMs > LATE_MS) {
            period.lateTicks += 1;
            period.lateMs += lateMs;
            period.longestLateMs = Math.max(period.longestLateMs, lateMs);
        }
        if (now - period.startedAt >= LINE_PERIOD_MS) {
            this.logPeriod(now);
            this.period = createPeriod(now);
        }
    }

    private watchMissedTime(now: number): void {
        const wallMs = this.clock.getWallMs();
        const missedMs = this.timeOfDay.getMissedMs(wallMs, now);
        this.timeOfDay.observe(wallMs, now);
        const newMs = missedMs - this.missedMs;
        this.missedMs = missedMs;
        if (newMs >= LEAST_MISSED_MS) {
            this.metrics.addCount("time_missed");
            this.log.warn("time_missed", { missed_ms: Math.round(newMs) });
            this.missedHandlers.forEach(handler => handler());
        }
    }

    private logPeriod(now: number): void {
        const { period } = this;
        const last = this.utilization;
        this.utilization = performance.eventLoopUtilization();
        if (period.lateTicks === 0) {
            return;
        }
        this.log.warn("loop_late", {
            longest_late_ms: Math.round(period.longestLateMs),
            late_turns: period.lateTicks,
            late_ms: Math.round(period.lateMs),
            period_ms: Math.round(now - period.startedAt),
            busy_ms: Math.round(performance.eventLoopUtilization(this.utilization, last).active),
            requests: period.counts.get("requests") ?? 0,
            connections: period.counts.get("connections") ?? 0,
            calls: period.counts.get("calls") ?? 0,
            bundles: period.counts.get("bundles") ?? 0,
        });
    }
}

function createPeriod(startedAt: number): LoopPeriod {
    return { startedAt, longestLateMs: 0, lateTicks: 0, lateMs: 0, counts: new Map() };
}

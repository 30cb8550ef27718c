/**
 * Measures the event loop lag of a process and the work done during it, to distinguish a slow response from one that was
 * read late. On a box short of CPU time a single turn may block reads and timers for hundreds of milliseconds.
 */
import { performance } from "node:perf_hooks";
import { ArrivalEstimator } from "../domain/arrivalEstimator.js";
import { WallClockMonitor } from "../domain/wallClockMonitor.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { Metrics } from "../ports/metrics.js";

/** Work that can occupy a turn. `calls` are RPCs from other daemons. */
export type LoopWorkType = "requests" | "connections" | "calls" | "bundles";

/** Short compared with the lowest latency goal of a route. */
export const LOOP_TICK_INTERVAL_MS = 50;
/** Lag up to this is not recorded as a metric, to save CPU time. */
const MIN_RECORDED_LAG_MS = 20;
/** Lag up to this is not logged. A third of the lowest latency goal. */
const MIN_LOGGED_LAG_MS = 100;
/** Shorter suspensions are not reported. Below the idle timeout of connections. */
const MIN_SUSPENSION_MS = 500;
/** Minimum time between log lines. */
const LOG_PERIOD_MS = 1_000;

/** Lag and work since `startedAt`. */
interface LagStatistics {
    readonly startedAt: number;
    maxLagMs: number;
    lateTickCount: number;
    totalLagMs: number;
    readonly workCounts: Map<LoopWorkType, number>;
}

export class EventLoopMonitor {
    /** Estimates when data that is read now arrived. */
    readonly arrivalEstimator: ArrivalEstimator;
    private timer: NodeJS.Timeout | undefined;
    private tickDueAt = 0;
    private statistics: LagStatistics = createLagStatistics(0);
    private lastUtilization = performance.eventLoopUtilization();
    private readonly wallClockMonitor = new WallClockMonitor();
    private lastMissedMs = 0;
    private readonly suspensionHandlers: (() => void)[] = [];

    constructor(private readonly clock: Clock, private readonly log: Log, private readonly metrics: Metrics) {
        this.arrivalEstimator = new ArrivalEstimator(LOOP_TICK_INTERVAL_MS, clock.getMonotonicMs());
    }

    start(): void {
        const now = this.clock.getMonotonicMs();
        this.tickDueAt = now + LOOP_TICK_INTERVAL_MS;
        this.statistics = createLagStatistics(now);
        this.timer = setInterval(() => this.handleTimer(), LOOP_TICK_INTERVAL_MS);
        this.timer.unref();
    }

    stop(): void {
        clearInterval(this.timer);
    }

    /** Registers a handler for suspensions of the box, after which the age of cached state is underestimated. */
    onSuspension(handler: () => void): void {
        this.suspensionHandlers.push(handler);
    }

    countWork(work: LoopWorkType): void {
        const { workCounts } = this.statistics;
        workCounts.set(work, (workCounts.get(work) ?? 0) + 1);
    }

    /** Schedules the callback after the poll only for a delayed turn, since it costs another turn of the loop. */
    private handleTimer(): void {
        this.recordTick(this.clock.getMonotonicMs());
        if (this.arrivalEstimator.getLagMs() > 0) {
            setImmediate(() => this.arrivalEstimator.recordPollEnd());
        }
        else {
            this.arrivalEstimator.recordPollEnd();
        }
    }

    /** Called by the timer. */
    recordTick(now: number): void {
        this.arrivalEstimator.recordTick(now);
        this.detectSuspension(now);
        const lagMs = Math.max(0, now - this.tickDueAt);
        this.tickDueAt = now + LOOP_TICK_INTERVAL_MS;
        if (lagMs > MIN_RECORDED_LAG_MS) {
            this.metrics.recordTiming("loop_late_ms", lagMs);
        }
        const { statistics } = this;
        if (lagMs > MIN_LOGGED_LAG_MS) {
            statistics.lateTickCount += 1;
            statistics.totalLagMs += lagMs;
            statistics.maxLagMs = Math.max(statistics.maxLagMs, lagMs);
        }
        if (now - statistics.startedAt >= LOG_PERIOD_MS) {
            this.logStatistics(now);
            this.statistics = createLagStatistics(now);
        }
    }

    private detectSuspension(now: number): void {
        const wallMs = this.clock.getWallMs();
        const missedMs = this.wallClockMonitor.getMissedMs(wallMs, now);
        this.wallClockMonitor.observe(wallMs, now);
        const suspendedMs = missedMs - this.lastMissedMs;
        this.lastMissedMs = missedMs;
        if (suspendedMs >= MIN_SUSPENSION_MS) {
            this.metrics.addCount("time_missed");
            this.log.warn("time_missed", { missed_ms: Math.round(suspendedMs) });
            this.suspensionHandlers.forEach(handler => handler());
        }
    }

    private logStatistics(now: number): void {
        const { statistics } = this;
        const previousUtilization = this.lastUtilization;
        this.lastUtilization = performance.eventLoopUtilization();
        if (statistics.lateTickCount === 0) {
            return;
        }
        this.log.warn("loop_late", {
            longest_late_ms: Math.round(statistics.maxLagMs),
            late_turns: statistics.lateTickCount,
            late_ms: Math.round(statistics.totalLagMs),
            period_ms: Math.round(now - statistics.startedAt),
            busy_ms: Math.round(performance.eventLoopUtilization(this.lastUtilization, previousUtilization).active),
            requests: statistics.workCounts.get("requests") ?? 0,
            connections: statistics.workCounts.get("connections") ?? 0,
            calls: statistics.workCounts.get("calls") ?? 0,
            bundles: statistics.workCounts.get("bundles") ?? 0,
        });
    }
}

function createLagStatistics(startedAt: number): LagStatistics {
    return { startedAt, maxLagMs: 0, lateTickCount: 0, totalLagMs: 0, workCounts: new Map() };
}

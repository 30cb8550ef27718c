/** Tells how much memory a process uses, and logs it while it is near the limit of its box. */
import type { Log } from "../ports/log.js";
import type { Metrics } from "../ports/metrics.js";

const PERIOD_MS = 1_000;
/** Minimum time between log lines. */
const LOG_PERIOD_MS = 5_000;
/** Fraction of the limit from which memory is logged. */
const HIGH_FRACTION = 0.8;
const BYTES_PER_MB = 1_000_000;

/** `limitMb`: memory of the process's box, in MB; nothing is logged if undefined. */
export function startMemoryMonitor(limitMb: number | undefined, log: Log, metrics: Metrics): void {
    let loggedAt = -Infinity;
    const check = (): void => {
        const { rss, heapUsed, external } = process.memoryUsage();
        metrics.setGauge("memory_bytes", rss);
        metrics.setGauge("heap_bytes", heapUsed);
        const now = performance.now();
        const isHigh = limitMb !== undefined && rss >= limitMb * BYTES_PER_MB * HIGH_FRACTION;
        if (isHigh && now - loggedAt >= LOG_PERIOD_MS) {
            loggedAt = now;
            const toMb = (bytes: number): number => Math.round(bytes / BYTES_PER_MB);
            const fields = { used_mb: toMb(rss), heap_mb: toMb(heapUsed), buffers_mb: toMb(external) };
            log.warn("memory_high", { ...fields, limit_mb: limitMb });
        }
    };
    setInterval(check, PERIOD_MS).unref();
}

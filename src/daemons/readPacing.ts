/** Delays reads of streams while the event loop is loaded, and reports the delay. */
import { ReadPacer } from "../adapters/readPacer.js";
import { computeReadDelayMs } from "../domain/readDelay.js";
import type { Log } from "../ports/log.js";
import type { Metrics } from "../ports/metrics.js";
import type { ReadPacingSettings } from "../settings/readPacingSettings.js";
import type { LoopUtilization } from "./loopUtilization.js";

/** Bounds the log lines while the utilization varies around the threshold. */
const MIN_LOG_INTERVAL_MS = 1_000;

/** What the pacing uses of a role. */
export interface ReadPacingBase {
    readonly utilization: Pick<LoopUtilization, "get" | "onSample">;
    readonly log: Log;
    readonly metrics: Metrics;
}

/** Creates the pacer of a process. */
export function createReadPacer(settings: ReadPacingSettings, base: ReadPacingBase): ReadPacer {
    const { utilization, log, metrics } = base;
    const getDelayMs = (): number => computeReadDelayMs(utilization.get(), settings);
    const pacer = new ReadPacer(getDelayMs);
    let wasActive = false;
    let loggedAt = -Infinity;
    utilization.onSample(current => {
        const delayMs = getDelayMs();
        metrics.setGauge("read_delay_ms", Math.round(delayMs));
        const isActive = pacer.isActive();
        const now = performance.now();
        if (isActive !== wasActive && now - loggedAt >= MIN_LOG_INTERVAL_MS) {
            wasActive = isActive;
            loggedAt = now;
            log.info("read_pacing", {
                active: isActive,
                delay_ms: Math.round(delayMs),
                utilization: current.toFixed(2),
            });
        }
    });
    return pacer;
}

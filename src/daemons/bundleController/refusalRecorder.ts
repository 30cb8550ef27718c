/**
 * Records refused calls of operators and upstreams in logs and metrics. Log lines are rate-limited for each kind of refusal,
 * because a client that sends malformed requests may repeat them many times per second. Metrics count every refusal.
 */
import { formatRefusal, type Refusal } from "../../domain/resultCodes.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";

/** Minimum interval between two log lines of the same kind. */
const MIN_LOG_INTERVAL_MS = 1_000;

/** The last logged refusal of a kind. */
interface LoggedRefusal {
    readonly loggedAt: number;
    /** Number of refusals since that were not logged. */
    suppressedCount: number;
}

export class RefusalRecorder {
    /** Keyed by method and result code, which keeps the map small. */
    private readonly lastLoggedByKind = new Map<string, LoggedRefusal>();

    constructor(private readonly log: Log, private readonly metrics: Metrics) {}

    /** `now`: monotonic clock, milliseconds. */
    record(method: string, path: string, refusal: Refusal, now: number): void {
        this.metrics.addCount("control_refused");
        this.metrics.addCount(`control_refused_${refusal.code}`);
        const kind = `${method} ${refusal.code}`;
        const lastLogged = this.lastLoggedByKind.get(kind);
        if (lastLogged !== undefined && now - lastLogged.loggedAt < MIN_LOG_INTERVAL_MS) {
            lastLogged.suppressedCount += 1;
            return;
        }
        this.lastLoggedByKind.set(kind, { loggedAt: now, suppressedCount: 0 });
        this.log.warn("control_refused", {
            method,
            path,
            refusal: formatRefusal(refusal),
            more: lastLogged?.suppressedCount,
        });
    }
}

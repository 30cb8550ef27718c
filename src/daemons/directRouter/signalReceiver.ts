/** Takes what upstreams say of themselves beside their answers: notes it where the choice looks, and logs each change. */
import type { UpstreamRegistration, UpstreamRegistry } from "../../domain/upstreamRegistry.js";
import type { UpstreamSignals } from "../../domain/upstreamSignals.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";

/** Least time between two lines about what one upstream says and nobody can read, in milliseconds. */
const UNREADABLE_LOG_MS = 10_000;

export class SignalReceiver {
    /** When something unreadable was logged last. Monotonic clock, milliseconds. */
    private unreadableLoggedAt = -Infinity;

    constructor(
        private readonly registry: UpstreamRegistry,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly metrics: Metrics,
    ) {}

    /** `sentAt`: when the request was sent that was answered so. Monotonic clock. */
    record(upstream: UpstreamRegistration, signals: UpstreamSignals, sentAt: number): void {
        this.recordLimit(upstream, signals, sentAt);
        this.logOthers(upstream, signals);
        if (signals.unreadable.length > 0) {
            this.logUnreadable(upstream, signals.unreadable);
        }
    }

    private recordLimit(
        upstream: UpstreamRegistration,
        { limitPerSecond, unreadable }: UpstreamSignals,
        sentAt: number,
    ): void {
        const before = this.registry.tryGetLimit(upstream);
        // An answer to a request from before the newest word may have been under way for long.
        const isLate = limitPerSecond === undefined && sentAt <= this.registry.getLimitSaidAt(upstream);
        const saysNothing = limitPerSecond === undefined && (before === undefined || unreadable.length > 0);
        if (isLate || saysNothing) {
            return;
        }
        if (this.registry.recordLimit(upstream, limitPerSecond, this.clock.getMonotonicMs())) {
            this.log.info("upstream_limit", {
                upstream: upstream.id,
                per_second: limitPerSecond,
                before,
                source: "answer",
            });
        }
    }

    private logOthers(upstream: UpstreamRegistration, { restMs, isLeaving }: UpstreamSignals): void {
        if (restMs !== undefined) {
            this.metrics.addCount("upstream_rests");
            this.log.info("upstream_rest", { upstream: upstream.id, rest_ms: restMs });
        }
        if (isLeaving) {
            this.log.info("upstream_leaving", {
                upstream: upstream.id,
                state: this.registry.getNewest(upstream).state,
            });
        }
    }

    private logUnreadable(upstream: UpstreamRegistration, unreadable: readonly string[]): void {
        this.metrics.addCount("upstream_signals_unreadable");
        const now = this.clock.getMonotonicMs();
        if (now - this.unreadableLoggedAt > UNREADABLE_LOG_MS) {
            this.unreadableLoggedAt = now;
            this.log.warn("upstream_signal_unreadable", { upstream: upstream.id, said: unreadable.join(" ") });
        }
    }
}

/** Applies the signals that upstreams attach to responses (rate limit, draining, back-off), and logs changes. */
import type { UpstreamBackoffs } from "../../domain/upstreamBackoffs.js";
import type { HeardRegistration, UpstreamRegistration, UpstreamRegistry } from "../../domain/upstreamRegistry.js";
import type { UpstreamSignals } from "../../domain/upstreamSignals.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";

const UNREADABLE_LOG_INTERVAL_MS = 10_000;

export class UpstreamSignalRecorder {
    /** Monotonic clock, milliseconds. */
    private unreadableLoggedAt = -Infinity;

    /** `notifyRouters`: forwards a change to the other routers. */
    constructor(
        private readonly registry: UpstreamRegistry,
        private readonly backoffs: UpstreamBackoffs,
        private readonly notifyRouters: (heard: HeardRegistration) => void,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly metrics: Metrics,
    ) {}

    /** `sentAt`: when the request was sent. Monotonic clock, milliseconds. */
    recordSignals(upstream: UpstreamRegistration, signals: UpstreamSignals, sentAt: number): void {
        this.recordLimit(upstream, signals, sentAt);
        if (signals.isLeaving) {
            this.recordLeaving(upstream);
        }
        if (signals.backoffMs !== undefined) {
            this.recordBackoff(upstream, signals.backoffMs);
        }
        if (signals.unparsed.length > 0) {
            this.logUnreadable(upstream, signals.unparsed);
        }
    }

    /** Applies a rate limit that an upstream announced to another router. */
    recordReportedLimit({ registration, limit }: HeardRegistration): void {
        if (limit === undefined) {
            return;
        }
        const previousLimit = this.registry.tryGetLimit(registration);
        const announcedAt = this.clock.getMonotonicMs() - limit.ageMs;
        if (this.registry.recordLimit(registration, limit.perSecond, announcedAt)) {
            this.log.info("upstream_limit", {
                upstream: registration.id,
                per_second: limit.perSecond,
                before: previousLimit,
                source: "controller",
                age_ms: limit.ageMs,
            });
        }
    }

    setGauges(): void {
        this.metrics.setGauge("upstreams_limited", this.registry.countLimited());
        this.metrics.setGauge("upstreams_leaving", this.registry.countLeaving());
        this.metrics.setGauge("upstreams_resting", this.backoffs.count(this.clock.getMonotonicMs()));
    }

    private recordLimit(
        upstream: UpstreamRegistration,
        { limitPerSecond, unparsed }: UpstreamSignals,
        sentAt: number,
    ): void {
        const previousLimit = this.registry.tryGetLimit(upstream);
        if (limitPerSecond === undefined) {
            // The response to a request sent before the newest announcement may predate it.
            const isOutdated = sentAt <= this.registry.getLimitReportedAt(upstream);
            // An unreadable signal may be a rate limit, so it does not lift one.
            if (previousLimit === undefined || isOutdated || unparsed.length > 0) {
                return;
            }
        }
        const now = this.clock.getMonotonicMs();
        if (this.registry.recordLimit(upstream, limitPerSecond, now)) {
            this.log.info("upstream_limit", {
                upstream: upstream.id,
                per_second: limitPerSecond,
                before: previousLimit,
                source: "answer",
            });
            this.notifyRouters(this.registry.tryGetHeard(upstream, now)!);
        }
    }

    private recordLeaving(upstream: UpstreamRegistration): void {
        const now = this.clock.getMonotonicMs();
        const previousState = this.registry.getLatest(upstream).state;
        if (this.registry.recordLeaving(upstream, now)) {
            this.log.info("upstream_leaving", { upstream: upstream.id, before: previousState });
            this.notifyRouters(this.registry.tryGetHeard(upstream, now)!);
        }
    }

    private recordBackoff(upstream: UpstreamRegistration, restMs: number): void {
        const now = this.clock.getMonotonicMs();
        const previousBackoffUntil = this.backoffs.getUntil(upstream);
        const backoffUntil = this.backoffs.record(upstream, restMs, now);
        this.metrics.addCount("upstream_rests");
        // Concurrent requests are rejected together, so only the first is logged.
        if (previousBackoffUntil <= now) {
            this.log.info("upstream_rest", {
                upstream: upstream.id,
                rest_ms: restMs,
                kept_ms: Math.round(backoffUntil - now),
            });
        }
    }

    private logUnreadable(upstream: UpstreamRegistration, unreadable: readonly string[]): void {
        this.metrics.addCount("upstream_signals_unreadable");
        const now = this.clock.getMonotonicMs();
        if (now - this.unreadableLoggedAt > UNREADABLE_LOG_INTERVAL_MS) {
            this.unreadableLoggedAt = now;
            this.log.warn("upstream_signal_unreadable", { upstream: upstream.id, said: unreadable.join(" ") });
        }
    }
}

/** Takes what upstreams say of themselves beside their answers: notes it where the choice looks, and logs each change. */
import type { HeardRegistration, UpstreamRegistration, UpstreamRegistry } from "../../domain/upstreamRegistry.js";
import type { UpstreamRests } from "../../domain/upstreamRests.js";
import type { UpstreamSignals } from "../../domain/upstreamSignals.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";

/** Least time between two lines about what cannot be read, in milliseconds. */
const UNREADABLE_LOG_MS = 10_000;

export class SignalReceiver {
    /** When something unreadable was logged last. Monotonic clock, milliseconds. */
    private unreadableLoggedAt = -Infinity;

    /** `tell`: tells the other routers. */
    constructor(
        private readonly registry: UpstreamRegistry,
        private readonly rests: UpstreamRests,
        private readonly tell: (heard: HeardRegistration) => void,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly metrics: Metrics,
    ) {}

    /** `sentAt`: when the request was sent that was answered so. Monotonic clock. */
    record(upstream: UpstreamRegistration, signals: UpstreamSignals, sentAt: number): void {
        this.recordLimit(upstream, signals, sentAt);
        if (signals.isLeaving) {
            this.recordLeaving(upstream);
        }
        if (signals.restMs !== undefined) {
            this.recordRest(upstream, signals.restMs);
        }
        if (signals.unreadable.length > 0) {
            this.logUnreadable(upstream, signals.unreadable);
        }
    }

    /** Takes what a controller tells that an upstream said to another router. */
    receive({ registration, limit }: HeardRegistration): void {
        if (limit === undefined) {
            return;
        }
        const before = this.registry.tryGetLimit(registration);
        const saidAt = this.clock.getMonotonicMs() - limit.ageMs;
        if (this.registry.recordLimit(registration, limit.perSecond, saidAt)) {
            this.log.info("upstream_limit", {
                upstream: registration.id,
                per_second: limit.perSecond,
                before,
                source: "controller",
                age_ms: limit.ageMs,
            });
        }
    }

    /** Sets the gauges of upstreams by what they say. */
    setGauges(): void {
        this.metrics.setGauge("upstreams_limited", this.registry.countLimited());
        this.metrics.setGauge("upstreams_leaving", this.registry.countLeaving());
        this.metrics.setGauge("upstreams_resting", this.rests.count(this.clock.getMonotonicMs()));
    }

    private recordLimit(
        upstream: UpstreamRegistration,
        { limitPerSecond, unreadable }: UpstreamSignals,
        sentAt: number,
    ): void {
        const before = this.registry.tryGetLimit(upstream);
        if (limitPerSecond === undefined) {
            // An answer to a request from before the newest word may have been under way for long.
            const isLate = sentAt <= this.registry.getLimitSaidAt(upstream);
            // What cannot be read may have been a limit, and does not end one.
            if (before === undefined || isLate || unreadable.length > 0) {
                return;
            }
        }
        const now = this.clock.getMonotonicMs();
        if (this.registry.recordLimit(upstream, limitPerSecond, now)) {
            this.log.info("upstream_limit", {
                upstream: upstream.id,
                per_second: limitPerSecond,
                before,
                source: "answer",
            });
            this.tell(this.registry.tryGetHeard(upstream, now)!);
        }
    }

    private recordLeaving(upstream: UpstreamRegistration): void {
        const now = this.clock.getMonotonicMs();
        const before = this.registry.getNewest(upstream).state;
        if (this.registry.recordLeaving(upstream, now)) {
            this.log.info("upstream_leaving", { upstream: upstream.id, before });
            this.tell(this.registry.tryGetHeard(upstream, now)!);
        }
    }

    private recordRest(upstream: UpstreamRegistration, restMs: number): void {
        const now = this.clock.getMonotonicMs();
        const restedUntil = this.rests.getUntil(upstream);
        const until = this.rests.record(upstream, restMs, now);
        this.metrics.addCount("upstream_rests");
        // Requests that were under way together are turned away together: one line says it.
        if (restedUntil <= now) {
            this.log.info("upstream_rest", {
                upstream: upstream.id,
                rest_ms: restMs,
                kept_ms: Math.round(until - now),
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

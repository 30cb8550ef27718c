/** Applies the reports of upstreams that controllers forward to what a router knows and does. */
import type { UpstreamLoad } from "../../domain/upstreamLoad.js";
import type { HeardRegistration, UpstreamRegistration, UpstreamRegistry } from "../../domain/upstreamRegistry.js";
import type { Clock } from "../../ports/clock.js";
import type { DirectUpstreams } from "../../ports/directUpstream.js";
import type { Log } from "../../ports/log.js";
import type { StreamOriginReporter } from "./streamOriginReporter.js";
import type { UpstreamSignalRecorder } from "./upstreamSignalRecorder.js";

export class UpstreamReceiver {
    constructor(
        private readonly registry: UpstreamRegistry,
        private readonly load: UpstreamLoad,
        private readonly upstreams: DirectUpstreams,
        private readonly signalRecorder: UpstreamSignalRecorder,
        private readonly streamOrigins: StreamOriginReporter,
        private readonly clock: Clock,
        private readonly log: Log,
    ) {}

    receive(upstreams: readonly HeardRegistration[]): void {
        const now = this.clock.getMonotonicMs();
        for (const heard of upstreams) {
            const { registration, ageMs } = heard;
            const previous = this.registry.tryGet(registration.id);
            if (this.registry.record(registration, now - ageMs) === "state") {
                this.applyChange(previous, this.registry.tryGet(registration.id));
                this.logState(heard);
            }
            this.signalRecorder.recordReportedLimit(heard);
            this.load.recordRegistered(registration, now);
        }
    }

    private applyChange(previous: UpstreamRegistration | undefined, current: UpstreamRegistration | undefined): void {
        if (previous?.bornAt !== undefined && previous.bornAt !== current?.bornAt) {
            // A request sent on a connection to an earlier process of an upstream may or may not run.
            this.upstreams.drain(previous.address);
        }
        if (previous !== undefined && previous.version !== current?.version) {
            this.streamOrigins.recordVersionChange(previous.id);
        }
    }

    private logState({ registration, ageMs }: HeardRegistration): void {
        this.log.info("upstream_state", {
            upstream: registration.id,
            service: registration.service,
            address: registration.address,
            version: registration.version,
            state: registration.state,
            born_at: registration.bornAt,
            age_ms: ageMs,
        });
    }
}

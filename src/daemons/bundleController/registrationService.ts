/**
 * Receives the reports of upstreams and forwards them to subscribed routers and to the other controllers. State changes are
 * forwarded immediately. Heartbeats are sent in batches to controllers only, because routers poll for upstreams that have
 * stopped reporting.
 */
import { createRandomId } from "../../domain/identifiers.js";
import { createRefusal, RefusalError } from "../../domain/resultCodes.js";
import { type ChangeCursor, UpstreamChanges, type UpstreamUpdate } from "../../domain/upstreamChanges.js";
import { type HeardRegistration, type UpstreamRegistration, UpstreamRegistry } from "../../domain/upstreamRegistry.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { PeerNetwork } from "../../ports/peer.js";
import { upstreamNoticeMethod } from "../../protocol/fleetMethods.js";
import type { SubscribedRouters } from "./subscribedRouters.js";

const HEARTBEAT_BATCH_PERIOD_MS = 400;

export class RegistrationService {
    readonly registry = new UpstreamRegistry();
    private readonly changes = new UpstreamChanges(this.registry, createRandomId());
    private readonly pendingHeartbeats = new Map<string, UpstreamRegistration>();
    private stopped = false;

    constructor(
        private readonly subscribers: SubscribedRouters,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly getOtherControllers: () => readonly string[],
        private readonly isServiceDeclared: (service: string) => Promise<boolean>,
        private readonly requireVersionRecorded: (service: string, version: string) => Promise<void>,
    ) {}

    /** Periodically forwards the collected heartbeats to the other controllers. */
    async runHeartbeatBatches(): Promise<void> {
        while (!this.stopped) {
            await this.clock.wait(HEARTBEAT_BATCH_PERIOD_MS);
            if (this.pendingHeartbeats.size > 0) {
                const batch = [...this.pendingHeartbeats.values()];
                this.pendingHeartbeats.clear();
                this.notifyControllers(batch);
            }
        }
    }

    stop(): void {
        this.stopped = true;
    }

    /**
     * Records a report of an upstream. Throws serviceUnknown if the bundle does not declare its service, unless the upstream
     * already belongs to it. Such a report could otherwise claim the address of another upstream. Throws noMajority or
     * changeUnknown if no majority knows its software version: no router may use a version that a majority does not know.
     */
    async register(registration: UpstreamRegistration): Promise<void> {
        const isKnown = this.registry.tryGet(registration.id)?.service === registration.service;
        if (!isKnown && !await this.isServiceDeclared(registration.service)) {
            throw new RefusalError(createRefusal("serviceUnknown", registration.service));
        }
        if (registration.state === "ready") {
            await this.requireVersionRecorded(registration.service, registration.version ?? "");
        }
        const change = this.registry.record(registration, this.clock.getMonotonicMs());
        // The newest registration also includes what routers have learned about the upstream.
        const newest = this.registry.getLatest(registration);
        if (change === "state") {
            this.logState(newest, "upstream");
            this.broadcast(newest);
        }
        else if (change === "beat") {
            this.pendingHeartbeats.set(newest.id, newest);
        }
    }

    /** Records that an upstream has ended. `bornAt`: start of the incarnation that has ended; undefined if unknown. */
    recordGone(id: string, bornAt: number | undefined): void {
        const gone = this.registry.recordGone(id, this.clock.getMonotonicMs(), bornAt);
        if (gone !== undefined) {
            this.logState(gone, "upstream");
            this.broadcast(gone);
        }
    }

    /** Records reports forwarded by another controller, which has notified its own routers already. */
    recordForwarded(upstreams: readonly HeardRegistration[]): void {
        const now = this.clock.getMonotonicMs();
        for (const heard of upstreams) {
            const { registration, ageMs } = heard;
            const hasNewState = this.registry.record(registration, now - ageMs) === "state";
            if (hasNewState) {
                this.logState(registration, "controller");
            }
            const hasNewLimit = this.recordLimit(heard, now);
            if (hasNewState || hasNewLimit) {
                // Routers that are disconnected from the other controller receive the change from this one.
                this.notifyRouters(heard);
            }
        }
    }

    /** Returns the changes since a router's cursor and the upstreams not heard from for `unheardMs`. */
    createNews(since: ChangeCursor | undefined, unheardMs: number): UpstreamUpdate {
        return this.changes.createUpdate(since, unheardMs, this.clock.getMonotonicMs());
    }

    /** Returns all upstreams, for routers of earlier versions that do not request incremental changes. */
    list(): HeardRegistration[] {
        const now = this.clock.getMonotonicMs();
        this.changes.evictExpired(now);
        return this.registry.list(now);
    }

    /** Records the limit that an upstream reported to a router. Returns whether it has changed. */
    private recordLimit({ registration, limit }: HeardRegistration, now: number): boolean {
        if (limit === undefined) {
            return false;
        }
        const hasChanged = this.registry.recordLimit(registration, limit.perSecond, now - limit.ageMs);
        if (hasChanged) {
            this.log.info("upstream_limit", {
                upstream: registration.id,
                per_second: limit.perSecond,
                source: "router",
                age_ms: limit.ageMs,
            });
        }
        return hasChanged;
    }

    private broadcast(registration: UpstreamRegistration): void {
        this.notifyRouters({ registration, ageMs: 0 });
        this.notifyControllers([registration]);
    }

    private notifyRouters(heard: HeardRegistration): void {
        this.changes.recordChange(heard.registration.id);
        this.subscribers.notifyAll(upstreamNoticeMethod, { upstreams: [heard] });
    }

    private notifyControllers(registrations: readonly UpstreamRegistration[]): void {
        const params = { upstreams: registrations.map(registration => ({ registration, ageMs: 0 })) };
        for (const address of this.getOtherControllers()) {
            this.network.connect(address).then(
                peer => peer.notify(upstreamNoticeMethod, params),
                error => this.log.info("controller_not_told", { controller: address, error: String(error) }),
            );
        }
    }

    private logState(registration: UpstreamRegistration, source: string): void {
        this.log.info("upstream_state", {
            upstream: registration.id,
            service: registration.service,
            address: registration.address,
            version: registration.version,
            state: registration.state,
            born_at: registration.bornAt,
            sequence: registration.sequence,
            source,
        });
    }
}

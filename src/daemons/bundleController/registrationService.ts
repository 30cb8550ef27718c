/**
 * Takes the reports of upstreams and spreads them to the routers that follow and to the other controllers. A change of
 * state goes out at once; that an upstream lives goes out in batches, and to controllers only: routers ask once a second
 * which are unheard.
 */
import { createRandomId } from "../../domain/identifiers.js";
import { createRefusal, RefusalError } from "../../domain/resultCodes.js";
import { type ChangeCursor, UpstreamChanges, type UpstreamUpdate } from "../../domain/upstreamChanges.js";
import { type HeardRegistration, type UpstreamRegistration, UpstreamRegistry } from "../../domain/upstreamRegistry.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { PeerNetwork } from "../../ports/peer.js";
import { upstreamNoticeMethod } from "../../protocol/fleetMethods.js";
import type { Followers } from "./followers.js";

/** How often other controllers hear that upstreams live, in milliseconds. */
const BATCH_PERIOD_MS = 400;

export class RegistrationService {
    readonly registry = new UpstreamRegistry();
    private readonly changes = new UpstreamChanges(this.registry, createRandomId());
    private readonly waiting = new Map<string, UpstreamRegistration>();
    private stopped = false;

    constructor(
        private readonly followers: Followers,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly getOtherControllers: () => readonly string[],
        private readonly isServiceDeclared: (service: string) => Promise<boolean>,
    ) {}

    /** The task that sends what has gathered. */
    async runBatches(): Promise<void> {
        while (!this.stopped) {
            await this.clock.wait(BATCH_PERIOD_MS);
            if (this.waiting.size > 0) {
                const batch = [...this.waiting.values()];
                this.waiting.clear();
                this.tellControllers(batch);
            }
        }
    }

    stop(): void {
        this.stopped = true;
    }

    /**
     * Takes what an upstream says of itself. Rejects with serviceUnknown where it names a service that the bundle does not
     * have and is not known for it: such a report would take the address of another upstream out of service.
     */
    async register(registration: UpstreamRegistration): Promise<void> {
        const isKnown = this.registry.tryGet(registration.id)?.service === registration.service;
        if (!isKnown && !await this.isServiceDeclared(registration.service)) {
            throw new RefusalError(createRefusal("serviceUnknown", registration.service));
        }
        const change = this.registry.record(registration, this.clock.getMonotonicMs());
        // What routers have found out stands beside what the upstream reports.
        const known = this.registry.getLatest(registration);
        if (change === "state") {
            this.logState(known, "upstream");
            this.spread(known);
        }
        else if (change === "beat") {
            this.waiting.set(known.id, known);
        }
    }

    /** Takes an upstream's word that it will not come back. `bornAt`: its life that ends, where it is told. */
    remove(id: string, bornAt: number | undefined): void {
        const gone = this.registry.recordGone(id, this.clock.getMonotonicMs(), bornAt);
        if (gone !== undefined) {
            this.logState(gone, "upstream");
            this.spread(gone);
        }
    }

    /** Takes what another controller has heard; it has told the routers itself. */
    receive(upstreams: readonly HeardRegistration[]): void {
        const now = this.clock.getMonotonicMs();
        for (const heard of upstreams) {
            const { registration, ageMs } = heard;
            const hasNewState = this.registry.record(registration, now - ageMs) === "state";
            if (hasNewState) {
                this.logState(registration, "controller");
            }
            const hasNewLimit = this.recordLimit(heard, now);
            if (hasNewState || hasNewLimit) {
                // A router that cannot hear the other controller hears it from this one.
                this.tellRouters(heard);
            }
        }
    }

    /** What a router is told that has been told as far as `since`. */
    createNews(since: ChangeCursor | undefined, unheardMs: number): UpstreamUpdate {
        return this.changes.createUpdate(since, unheardMs, this.clock.getMonotonicMs());
    }

    /** Everything known, for a router that asks for no news. */
    list(): HeardRegistration[] {
        const now = this.clock.getMonotonicMs();
        this.changes.evictExpired(now);
        return this.registry.list(now);
    }

    /** Takes what an upstream has told a router of its limit. Answers whether that is another one. */
    private recordLimit({ registration, limit }: HeardRegistration, now: number): boolean {
        if (limit === undefined) {
            return false;
        }
        const isNew = this.registry.recordLimit(registration, limit.perSecond, now - limit.ageMs);
        if (isNew) {
            this.log.info("upstream_limit", {
                upstream: registration.id,
                per_second: limit.perSecond,
                source: "router",
                age_ms: limit.ageMs,
            });
        }
        return isNew;
    }

    private spread(registration: UpstreamRegistration): void {
        this.tellRouters({ registration, ageMs: 0 });
        this.tellControllers([registration]);
    }

    private tellRouters(heard: HeardRegistration): void {
        this.changes.recordChange(heard.registration.id);
        this.followers.notifyAll(upstreamNoticeMethod, { upstreams: [heard] });
    }

    private tellControllers(registrations: readonly UpstreamRegistration[]): void {
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
            state: registration.state,
            born_at: registration.bornAt,
            sequence: registration.sequence,
            source,
        });
    }
}

/** Connects the connection relay's decisions with the measurements, notices and logs of a router. */
import type { Bundle } from "../../domain/bundle.js";
import { ConnectionRelayPolicy, type RouterLoad } from "../../domain/connectionRelayPolicy.js";
import { ConnectionShedding } from "../../domain/connectionShedding.js";
import { LoadShedding } from "../../domain/loadShedding.js";
import {
    type RelayedInConnection,
    RelayingRouters,
    type RelayNotice,
    REVISION_TOLERANCE_MS,
} from "../../domain/relayingRouters.js";
import { createRefusal, type Refusal } from "../../domain/resultCodes.js";
import type { RouterContact } from "../../domain/routerGroups.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import type { PeerHandlers } from "../../ports/peer.js";
import { relayNoticeMethod, routerLoadNoticeMethod } from "../../protocol/fleetMethods.js";
import type { ConnectionRelaySettings } from "../../settings/connectionRelaySettings.js";
import type { LoopUtilization } from "../loopUtilization.js";
import { RelayNotifier } from "./relayNotifier.js";
import type { RouterLinks } from "./routerLinks.js";
import { RouterLoadNotifier } from "./routerLoadNotifier.js";

/** Minimum time between log lines of the relay's state, and a change of the fraction that is logged. */
const LOG_PERIOD_MS = 1_000;
const MIN_LOGGED_CHANGE = 0.05;
/** Version of the preamble and of the confirmations on relayed connections (docs/design/connection-relay.md). Connections are relayed only to routers that know it. */
const RELAY_VERSION = 3;
/** Number of routers whose announcements are remembered: of their stop, and of the revision of their configuration. */
const MAX_ANNOUNCING_ROUTERS = 64;
/** Time after a change in which all connections are examined. Later, each is examined after its answer. */
const CLOSING_PERIOD_MS = 5_000;
/** Range of Retry-After for callers that are better served by another router, so that they do not all return at once. */
const MIN_UNSERVED_RETRY_AFTER_MS = 50;
const MAX_UNSERVED_RETRY_AFTER_MS = 250;
/** Refusals should be sent within a quarter of the latency goal. */
const MAX_LAG_GOAL_FRACTION = 0.25;

/** What the coordinator reads from the router. */
export interface RelayRouterState {
    getBundleRevision(): number | undefined;
    isStopping(): boolean;
    /** Returns the time until requests are refused, in milliseconds; undefined unless the router is stopping. */
    tryGetClosesInMs(now: number): number | undefined;
}

/** The relay of callers' connections, as far as the coordinator needs it. */
export interface CoordinatedRelay {
    listTargets(): readonly string[];
    handleLinkChange(): void;
}

export class RelayCoordinator {
    private readonly policy: ConnectionRelayPolicy;
    private readonly notifier: RouterLoadNotifier;
    private readonly shedding = new LoadShedding();
    private readonly connectionShedding: ConnectionShedding;
    /** Event loop lag above which requests are refused, in milliseconds; undefined if no route has a latency goal. */
    private maxLagMs: number | undefined;
    /** Number of routers with spare capacity at the last sample. */
    private spareCount = 0;
    /** Connections that other routers have relayed to this one, with the revision of the configuration at that time. */
    private readonly relayedIn = new WeakMap<object, RelayedInConnection>();
    private readonly relayingRouters = new RelayingRouters();
    private readonly relayNotifier: RelayNotifier;
    /** Peer addresses of routers that have announced their stop, the earliest first. */
    private readonly stoppingRouters = new Set<string>();
    /** Revisions of the configurations of other routers, by peer address, the one that was announced first at the beginning. */
    private readonly revisions = new Map<string, number>();
    private relay: CoordinatedRelay | undefined;
    private readonly closingHandlers: (() => void)[] = [];
    private readonly newerRevisionHandlers: ((router: string, revision: number) => void)[] = [];
    private loggedAt = -Infinity;
    /** Monotonic clock, milliseconds. */
    private revisionChangedAt = -Infinity;
    private loggedFraction = 0;
    private loggedSpareCount = 0;
    private loggedAdmitted = 1;

    /** `instance`: identifies this process to the routers that it relays connections to. */
    constructor(
        self: RouterContact,
        readonly instance: string,
        readonly settings: ConnectionRelaySettings,
        private readonly router: RelayRouterState,
        private readonly routerLinks: RouterLinks,
        private readonly utilization: Pick<LoopUtilization, "get" | "onSample">,
        private readonly getLagMs: () => number,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly metrics: Metrics,
        private readonly random: () => number = Math.random,
    ) {
        this.connectionShedding = new ConnectionShedding(settings.cores);
        this.policy = new ConnectionRelayPolicy(settings, address => this.isReachable(address));
        this.notifier = new RouterLoadNotifier(
            self,
            settings.targetUtilization,
            routerLinks,
            () => this.getLoad(self.address),
            (address, now) => this.policy.tryGetLoad(address, now)?.utilization,
        );
        this.relayNotifier = new RelayNotifier(
            routerLinks,
            now => this.createNotice(now),
            () => this.relay?.listTargets() ?? [],
        );
        routerLinks.onReachabilityChange(() => this.relay?.handleLinkChange());
    }

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(routerLoadNoticeMethod, load => this.receiveLoad(load));
        handlers.add(
            relayNoticeMethod,
            notice => this.relayingRouters.recordNotice(notice, this.clock.getMonotonicMs()),
        );
    }

    /** Sets the relay, whose connections other routers are told about. */
    setRelay(relay: CoordinatedRelay): void {
        this.relay = relay;
    }

    /** Registers a handler that is called repeatedly while relayed connections may have to be closed (`isClosed`). */
    onClosing(handler: () => void): void {
        this.closingHandlers.push(handler);
    }

    /** Registers a handler that is called when another router serves a newer configuration than this one. */
    onNewerRevision(handler: (router: string, revision: number) => void): void {
        this.newerRevisionHandlers.push(handler);
    }

    start(): void {
        this.utilization.onSample(utilization => this.recordSample(utilization));
    }

    /** Sets the other routers of the fleet. */
    setOthers(others: readonly RouterContact[]): void {
        this.notifier.setOthers(others);
    }

    /** Applies a new configuration, and notifies the other routers of its revision. */
    receiveBundle({ routes }: Pick<Bundle, "routes">): void {
        const goalsMs = routes.map(({ goalMs }) => goalMs).filter(goalMs => goalMs > 0);
        this.maxLagMs = goalsMs.length === 0 ? undefined : Math.min(...goalsMs) * MAX_LAG_GOAL_FRACTION;
        this.revisionChangedAt = this.clock.getMonotonicMs();
        this.notifyStateChange();
    }

    /** Sends a notice without waiting for the next sample, after a new configuration or the beginning of a stop. */
    notifyStateChange(): void {
        const now = this.clock.getMonotonicMs();
        this.notifier.sendDue(now);
        this.relayNotifier.sendDue(now);
    }

    /** Decides on a new connection; one that is not accepted is not served (`createUnservedRefusal`). */
    tryAccept(): boolean {
        return this.connectionShedding.tryAccept(this.clock.getMonotonicMs());
    }

    /** Creates the refusal of a request on a connection that is not accepted. Other routers have spare capacity. */
    createUnservedRefusal(): Refusal {
        const rangeMs = MAX_UNSERVED_RETRY_AFTER_MS - MIN_UNSERVED_RETRY_AFTER_MS;
        const retryAfterMs = Math.round(MIN_UNSERVED_RETRY_AFTER_MS + this.random() * rangeMs);
        return createRefusal("routerOverloaded", undefined, "no", retryAfterMs);
    }

    /** Chooses the router to relay a new connection to; undefined if it is to be served locally. */
    tryChooseRouter(): RouterLoad | undefined {
        return this.policy.tryChooseRouter(
            this.router.getBundleRevision(),
            this.clock.getMonotonicMs(),
            this.random,
            this.shedding.getAdmittedFraction(),
        );
    }

    /** Returns a refusal if the router cannot serve a request of this priority. */
    tryRefuse(priority: number): Refusal | undefined {
        const retryAfterMs = this.shedding.tryRefuse(priority, this.random);
        return retryAfterMs === undefined
            ? undefined
            : createRefusal("routerOverloaded", undefined, "no", retryAfterMs);
    }

    /** Whether callers should come back with new connections, because some of these are relayed. */
    isRelaying(): boolean {
        return this.spareCount > 0 && this.policy.getFraction() > 0;
    }

    /** Records a connection that another router has relayed to this one. `instance`: see `RelayedInConnection`. */
    recordRelayedIn(connection: object, instance: string | undefined): void {
        this.relayedIn.set(connection, {
            instance,
            revision: this.router.getBundleRevision(),
            acceptedAt: this.clock.getMonotonicMs(),
        });
    }

    /**
     * Whether a connection is closed after the answer. This applies to callers' connections while new ones are relayed, so
     * that they come back and may be relayed. A connection that was relayed to this router is kept, because the other router
     * would have to set it up again, unless the configuration has changed, this router is out of CPU time too, or the other
     * one is stopping.
     */
    shouldCloseAfterAnswer(connection: object): boolean {
        const relayedIn = this.relayedIn.get(connection);
        if (relayedIn === undefined) {
            return this.isRelaying();
        }
        return relayedIn.revision !== this.router.getBundleRevision()
            || this.utilization.get() > this.settings.targetUtilization
            || this.relayingRouters.isStopping(relayedIn);
    }

    /** Whether no further request is served over a connection that another router has relayed to this one. */
    isClosed(connection: object): boolean {
        const relayedIn = this.relayedIn.get(connection);
        return relayedIn !== undefined && this.relayingRouters.isClosed(
            relayedIn,
            this.router.getBundleRevision(),
            this.revisionChangedAt,
            this.clock.getMonotonicMs(),
        );
    }

    /** Whether a router has announced that its process is about to end. */
    isRouterStopping(address: string): boolean {
        return this.stoppingRouters.has(address);
    }

    /** Whether a router has last announced an older configuration than the one that this router's callers may have seen for a while. */
    isRouterOutdated(address: string): boolean {
        const announced = this.revisions.get(address);
        return announced !== undefined && announced < (this.router.getBundleRevision() ?? -1)
            && this.clock.getMonotonicMs() - this.revisionChangedAt >= REVISION_TOLERANCE_MS;
    }

    recordConnectFailure(address: string): void {
        this.policy.recordFailure(address, this.clock.getMonotonicMs());
    }

    /** Whether a router is connected, or no connection to it has been lost. */
    isReachable(address: string): boolean {
        return this.routerLinks.isReachable(address);
    }

    /** Whether there is a link to a router. */
    hasLink(address: string): boolean {
        return this.routerLinks.hasLink(address);
    }

    private receiveLoad(load: RouterLoad): void {
        this.stoppingRouters.delete(load.address);
        if (!load.isAccepting) {
            this.stoppingRouters.add(load.address);
            const [earliest] = this.stoppingRouters;
            if (this.stoppingRouters.size > MAX_ANNOUNCING_ROUTERS) {
                this.stoppingRouters.delete(earliest!);
            }
        }
        this.recordRevision(load);
        if (load.revision > (this.router.getBundleRevision() ?? -1)) {
            this.newerRevisionHandlers.forEach(handler => handler(load.address, load.revision));
        }
        if (load.relayVersion === RELAY_VERSION) {
            this.policy.recordLoad(load, this.clock.getMonotonicMs());
        }
    }

    private recordRevision({ address, revision }: RouterLoad): void {
        this.revisions.delete(address);
        this.revisions.set(address, revision);
        const [earliest] = this.revisions.keys();
        if (this.revisions.size > MAX_ANNOUNCING_ROUTERS) {
            this.revisions.delete(earliest!);
        }
    }

    private createNotice(now: number): RelayNotice {
        const closesInMs = this.router.tryGetClosesInMs(now);
        return {
            instance: this.instance,
            revision: this.router.getBundleRevision(),
            closesInMs: closesInMs === undefined ? undefined : Math.round(closesInMs),
        };
    }

    private recordSample(utilization: number): void {
        const now = this.clock.getMonotonicMs();
        this.policy.recordUtilization(utilization, now);
        const revision = this.router.getBundleRevision();
        this.spareCount = this.policy.countSpare(revision, now);
        const isShortOfSpare = this.policy.isShortOfSpare(revision, now);
        const { maxLagMs } = this;
        const lagMs = this.getLagMs();
        const isRelayExhausted = isShortOfSpare || this.policy.isAtMaxFraction();
        const hasSpareElsewhere = this.spareCount > 0;
        const load = { utilization, lagMs, maxLagMs, isRelayExhausted, hasSpareElsewhere };
        this.connectionShedding.recordSample(load, now);
        this.shedding.recordSample({
            utilization,
            lagMs,
            maxLagMs,
            isRelayExhausted,
            isShortOfSpare,
            relayedFraction: this.policy.getRelayedFraction(),
        }, now);
        this.notifier.sendDue(now);
        this.relayNotifier.sendDue(now);
        this.metrics.setGauge("loop_utilization", utilization);
        this.metrics.setGauge("relay_fraction", this.isRelaying() ? this.policy.getFraction() : 0);
        this.logState(utilization, now);
        if (now - Math.max(this.revisionChangedAt, this.relayingRouters.getChangedAt()) < CLOSING_PERIOD_MS) {
            this.closingHandlers.forEach(handler => handler());
        }
    }

    private logState(utilization: number, now: number): void {
        const fraction = this.policy.getFraction();
        const admitted = this.shedding.getAdmittedFraction();
        const hasChanged = Math.abs(fraction - this.loggedFraction) >= MIN_LOGGED_CHANGE
            || Math.abs(admitted - this.loggedAdmitted) >= MIN_LOGGED_CHANGE
            || (fraction === 0) !== (this.loggedFraction === 0)
            || (fraction > 0 && (this.spareCount === 0) !== (this.loggedSpareCount === 0));
        if (!hasChanged || now - this.loggedAt < LOG_PERIOD_MS) {
            return;
        }
        this.loggedAt = now;
        this.loggedFraction = fraction;
        this.loggedSpareCount = this.spareCount;
        this.loggedAdmitted = admitted;
        this.log.info("relay_state", {
            fraction: Number(fraction.toFixed(2)),
            utilization: Number(utilization.toFixed(2)),
            spare_routers: this.spareCount,
            admitted: Number(admitted.toFixed(2)),
            connections_per_s: this.connectionShedding.isLimiting()
                ? Math.round(this.connectionShedding.getLimitPerSecond())
                : undefined,
        });
    }

    private getLoad(address: string): RouterLoad | undefined {
        const revision = this.router.getBundleRevision();
        return revision === undefined ? undefined : {
            address,
            relayAddress: this.settings.relayAddress,
            revision,
            utilization: Math.min(1, Math.max(0, this.utilization.get())),
            cores: this.settings.cores,
            isAccepting: !this.router.isStopping(),
            relayVersion: RELAY_VERSION,
        };
    }
}

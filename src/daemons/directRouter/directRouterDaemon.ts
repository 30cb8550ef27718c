/** A router that connects directly to its upstreams: follows the controllers' configuration and handles callers' requests. */
import type { AdmissionPolicy } from "../../domain/admissionPolicy.js";
import { BodyMemory, type BodyMemoryOptions } from "../../domain/bodyMemory.js";
import { BundleIndex, type BundleRoute, type BundleService, listPrepaidLimits } from "../../domain/bundle.js";
import { DistributedRateLimiter, LIMIT_PROBE_FRACTION } from "../../domain/distributedRateLimiter.js";
import { EvacuatedZones } from "../../domain/evacuatedZones.js";
import type { EvacuationList } from "../../domain/evacuationStore.js";
import type { LocalTokenBudget } from "../../domain/localTokenBudget.js";
import { createRefusal, qualifyRefusal, type Refusal } from "../../domain/resultCodes.js";
import type { RouterContact } from "../../domain/routerGroups.js";
import type { StopSchedule } from "../../domain/stopSchedule.js";
import type { StreamOriginsOptions } from "../../domain/streamOrigins.js";
import type { TokenHolders } from "../../domain/tokenHolders.js";
import { UpstreamBackoffs } from "../../domain/upstreamBackoffs.js";
import { UpstreamCandidates } from "../../domain/upstreamCandidates.js";
import type { UpstreamUpdate } from "../../domain/upstreamChanges.js";
import type { Placement, UpstreamLoad } from "../../domain/upstreamLoad.js";
import type { ReportedEstimates } from "../../domain/upstreamModel.js";
import { getIncarnationKey, type UpstreamRegistration, UpstreamRegistry } from "../../domain/upstreamRegistry.js";
import type { UpstreamSignals } from "../../domain/upstreamSignals.js";
import type { PassThroughSink } from "../../ports/answerSink.js";
import type { BundleDecoder } from "../../ports/bundleDecoder.js";
import type { Clock } from "../../ports/clock.js";
import type { DirectUpstreams } from "../../ports/directUpstream.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import type { PeerHandlers, PeerNetwork } from "../../ports/peer.js";
import { evacuationNoticeMethod, type FollowAnswer, upstreamNoticeMethod } from "../../protocol/fleetMethods.js";
import type { RepeatsOptions } from "../../settings/repeatSettings.js";
import type { EventLoopMonitor } from "../eventLoopMonitor.js";
import { AdmissionMonitor } from "./admissionMonitor.js";
import type { BundleListener } from "./bundleFetcher.js";
import { ControllerContact } from "./controllerContact.js";
import type { FeedListener } from "./controllerFeed.js";
import { ControllerFeeds, type ControllerFeedsOptions } from "./controllerFeeds.js";
import { OtherRouters } from "./otherRouters.js";
import type { PlacementSharer } from "./placementSharer.js";
import type { PrepaidBorrower } from "./prepaidBorrower.js";
import type { PrepaidReporter } from "./prepaidReporter.js";
import { type RefusalDetails, REFUSED_BEFORE_RUN, RelayContext, type RelayOptions } from "./relayContext.js";
import type { RelayCoordinator } from "./relayCoordinator.js";
import { computePriority, type RelayRequest, type ResolvedRequest } from "./relayRequest.js";
import { RelayRun } from "./relayRun.js";
import type { RequestQuarantine } from "./requestQuarantine.js";
import { RequestRecorder } from "./requestRecorder.js";
import { resolveRequest } from "./requestResolution.js";
import { runResumption } from "./resumptionRun.js";
import { ServiceRepeats } from "./serviceRepeats.js";
import { StreamContinuity } from "./streamContinuity.js";
import type { StreamOriginReporter } from "./streamOriginReporter.js";
import { isResumption } from "./streamResumer.js";
import { UpstreamNotifier } from "./upstreamNotifier.js";
import { UpstreamReceiver } from "./upstreamReceiver.js";
import { UpstreamSignalRecorder } from "./upstreamSignalRecorder.js";
import type { UpstreamReportAge } from "./upstreamUpdateTracker.js";

/** Times in milliseconds. */
export interface DirectRouterOptions extends RelayOptions, ControllerFeedsOptions {
    /** Addresses of the controllers to contact first. */
    readonly seeds: readonly string[];
    /** An upstream without a report for this long counts as lost, as long as controllers can be reached. */
    readonly upstreamReportTimeoutMs: number;
    /** Fraction of a connection limit that is used; the rest is headroom for routers that start or stop. */
    readonly connectionFraction: number;
    /** How long a request waits for a grant from the controllers before it asks other routers. */
    readonly controllerGrantMs: number;
    readonly repeats: RepeatsOptions;
    readonly streamOrigins: StreamOriginsOptions;
    /** Bounds the memory of request bodies; without it, it is not bounded. */
    readonly bodyMemory?: BodyMemoryOptions | undefined;
    /** Number of routers to assume until the controllers report it; also the lower bound when limits are divided. */
    readonly assumedRouterCount: number;
}

/** Poll intervals without a controller's response after which contact counts as lost. */
const MISSED_POLLS_UNTIL_LOST = 2;
const CLEANUP_PERIOD_MS = 10_000;
const GAUGE_PERIOD_MS = 1_000;

/** A router process without its HTTP server. */
export class DirectRouterDaemon extends RelayContext implements FeedListener, BundleListener {
    override readonly registry = new UpstreamRegistry();
    override readonly candidates: UpstreamCandidates;
    override readonly bodyMemory: BodyMemory | undefined;
    override readonly streamOrigins: StreamOriginReporter;
    private readonly streamContinuity: StreamContinuity;
    private readonly evacuatedZones = new EvacuatedZones();
    private bundleIndex: BundleIndex | undefined;
    readonly recorder: RequestRecorder;
    private readonly admissionMonitor: AdmissionMonitor;
    private readonly controllerFeeds: ControllerFeeds;
    private readonly upstreamNotifier: UpstreamNotifier;
    private readonly signalReceiver: UpstreamSignalRecorder;
    private readonly upstreamReceiver: UpstreamReceiver;
    private readonly otherRouters: OtherRouters;
    override readonly repeats: ServiceRepeats;
    private activeRequestCount = 0;
    private stopSchedule: StopSchedule | undefined;
    private cleanupTimer: NodeJS.Timeout | undefined;
    private gaugeTimer: NodeJS.Timeout | undefined;
    private wasReady = false;
    private coordinator: RelayCoordinator | undefined;
    private readonly controllerContact: ControllerContact;

    constructor(
        override readonly options: DirectRouterOptions,
        override readonly load: UpstreamLoad,
        override readonly tokenBudget: LocalTokenBudget,
        override readonly upstreams: DirectUpstreams,
        override readonly log: Log,
        metrics: Metrics,
        private readonly decoder: BundleDecoder,
        private readonly prepaidReporter: PrepaidReporter,
        private readonly prepaidBorrower: PrepaidBorrower,
        tokenHolders: TokenHolders,
        private readonly placementSharer: PlacementSharer,
        override readonly quarantine: RequestQuarantine,
        network: PeerNetwork,
        private readonly clock: Clock,
        readonly loopMonitor: EventLoopMonitor,
        override readonly admission: AdmissionPolicy | undefined,
    ) {
        super();
        this.recorder = new RequestRecorder(log, metrics);
        this.repeats = new ServiceRepeats(
            options.repeats,
            this.recorder,
            network,
            clock,
            log,
            Math.random,
            () => this.getControllerAddresses(),
        );
        this.bodyMemory = options.bodyMemory === undefined
            ? undefined
            : new BodyMemory(options.bodyMemory, Math.random);
        this.admissionMonitor = new AdmissionMonitor(admission, load.model, log, metrics);
        this.controllerContact = new ControllerContact({
            contactGapMs: options.pollIntervalMs * MISSED_POLLS_UNTIL_LOST,
            upstreamReportTimeoutMs: options.upstreamReportTimeoutMs,
        });
        this.controllerFeeds = new ControllerFeeds(network, clock, log, this, options);
        const backoffs = new UpstreamBackoffs();
        const coldRateSharing = new DistributedRateLimiter(options.address, Math.random, 0);
        const limitRateSharing = new DistributedRateLimiter(options.address, Math.random, LIMIT_PROBE_FRACTION);
        this.upstreamNotifier = new UpstreamNotifier(network, log, () => this.getControllerAddresses());
        this.signalReceiver = new UpstreamSignalRecorder(
            this.registry,
            backoffs,
            heard => this.upstreamNotifier.notifyControllers(heard),
            clock,
            log,
            metrics,
        );
        this.candidates = new UpstreamCandidates(
            this.registry,
            this.evacuatedZones,
            backoffs,
            coldRateSharing,
            limitRateSharing,
        );
        this.streamContinuity = new StreamContinuity(
            { ...options, ...options.streamOrigins, getEventLoopLagMs: () => this.getEventLoopLagMs() },
            () => this.getControllerAddresses(),
            network,
            clock,
            log,
            metrics,
        );
        this.streamOrigins = this.streamContinuity.origins;
        this.upstreamReceiver = new UpstreamReceiver(
            this.registry,
            load,
            upstreams,
            this.signalReceiver,
            this.streamOrigins,
            clock,
            log,
        );
        this.otherRouters = new OtherRouters(
            options.address,
            options.assumedRouterCount,
            tokenBudget,
            tokenHolders,
            placementSharer,
            [
                coldRateSharing,
                limitRateSharing,
            ],
        );
    }

    /** Enables the relay of callers' connections. Called before `start`. */
    enableConnectionRelay(coordinator: RelayCoordinator, handlers: PeerHandlers): void {
        this.coordinator = coordinator;
        coordinator.addHandlers(handlers);
        this.controllerFeeds.enableRouterSources(coordinator, handlers);
        this.otherRouters.onMembershipChange(others => coordinator.setOthers(others));
    }

    /** Returns the decisions about relayed connections; undefined if the relay is disabled. */
    tryGetRelayCoordinator(): RelayCoordinator | undefined {
        return this.coordinator;
    }

    /** Registers handlers for notifications on the connections that this router opens. */
    addHandlers(handlers: PeerHandlers): void {
        this.controllerFeeds.addHandlers(handlers);
        this.prepaidBorrower.addHandlers(handlers);
        this.placementSharer.addHandlers(handlers);
        handlers.add(upstreamNoticeMethod, notice => this.upstreamReceiver.receive(notice.upstreams));
        handlers.add(evacuationNoticeMethod, list => this.receiveEvacuations(list));
        this.streamContinuity.addHandlers(handlers);
        this.quarantine.addHandlers(handlers);
    }

    start(): void {
        this.controllerFeeds.setSeeds(this.options.seeds);
        void this.prepaidReporter.run();
        this.quarantine.start();
        this.coordinator?.start();
        this.prepaidBorrower.start();
        this.streamOrigins.start();
        this.cleanupTimer = setInterval(() => this.removeStaleUpstreams(), CLEANUP_PERIOD_MS);
        this.gaugeTimer = setInterval(() => this.setGauges(), GAUGE_PERIOD_MS);
        // Upstreams have probably closed idle connections; a non-repeatable request sent on one could not be retried.
        this.loopMonitor.onSuspension(() => this.upstreams.drainExcept(new Set()));
        this.loopMonitor.onSuspension(() => this.repeats.reset());
    }

    setSeeds(seeds: readonly string[]): void {
        this.controllerFeeds.setSeeds(seeds);
    }

    /** Returns the controllers' addresses: those with a majority first, then by the most recent response. */
    getControllerAddresses(): string[] {
        return this.controllerFeeds.getAddresses();
    }

    /** Returns the number of requests without a final response. */
    getActiveRequestCount(): number {
        return this.activeRequestCount;
    }

    /** Returns the active limits on callers; undefined before the first bundle. */
    tryGetCallerLimits() {
        return this.bundleIndex?.bundle.limits;
    }

    /** Returns the route of a request; undefined if there is none. */
    tryGetRoute(host: string, target: string): BundleRoute | undefined {
        return this.bundleIndex?.tryGetRoute(host, target);
    }

    /** Whether load balancers should send requests to this router. */
    isReady(): boolean {
        const ready = !this.isStopping() && this.bundleIndex !== undefined && this.controllerFeeds.isReady();
        if (ready !== this.wasReady) {
            this.wasReady = ready;
            this.log.info("ready_changed", { ready, revision: this.bundleIndex?.bundle.revision });
        }
        return ready;
    }

    /** Starts a planned stop: the router is no longer ready but still accepts requests, until the schedule says that it closes. */
    startStop(schedule: StopSchedule): void {
        this.stopSchedule = schedule;
        this.log.info("router_stopping", { running: this.activeRequestCount });
        this.coordinator?.notifyStateChange();
    }

    isStopping(): boolean {
        return this.stopSchedule !== undefined;
    }

    /** Whether all further requests are refused, because they could not complete before the process exits. */
    isRefusingRequests(): boolean {
        return this.stopSchedule !== undefined
            && this.stopSchedule.getPhase(this.clock.getMonotonicMs()) !== "announcing";
    }

    /** Returns the time until all further requests are refused, in milliseconds; undefined unless the router is stopping. */
    tryGetClosesInMs(now: number): number | undefined {
        return this.stopSchedule?.getClosesInMs(now);
    }

    /** Returns the refusal of a request that would not be complete when its connection has to end. */
    createDrainingRefusal(): Refusal {
        return createRefusal("draining", undefined, "no", this.options.retryAfterMs);
    }

    /** Completes a planned stop and returns unused prepaid tokens. */
    async finishStop(): Promise<void> {
        await this.settlements.wait();
        clearInterval(this.cleanupTimer);
        clearInterval(this.gaugeTimer);
        this.prepaidBorrower.stop();
        this.controllerFeeds.stop();
        this.quarantine.stop();
        this.streamOrigins.stop();
        await this.prepaidReporter.stop();
        this.upstreams.close();
    }

    /** Handles one request. Resolves when the final response has been written or the caller has disconnected. */
    async handle(request: RelayRequest, sink: PassThroughSink): Promise<void> {
        const resolved = this.resolve(request);
        if ("code" in resolved) {
            this.refuse(request, resolved, sink);
            return;
        }
        const overloadRefusal = request.mayHaveRun ? undefined : this.coordinator?.tryRefuse(computePriority(resolved));
        if (overloadRefusal !== undefined) {
            this.recordRefused(resolved, overloadRefusal, REFUSED_BEFORE_RUN);
            sink.sendRefusal(overloadRefusal);
            return;
        }
        this.repeats.recordRequest(resolved.service.name);
        this.activeRequestCount += 1;
        try {
            await this.runRequest(resolved, sink);
        }
        finally {
            this.activeRequestCount -= 1;
        }
    }

    /** Refuses a request that no route was found for, or whose body was not read. */
    refuse(request: RelayRequest, originalRefusal: Refusal, sink: PassThroughSink): void {
        const refusal = qualifyRefusal(originalRefusal, request.mayHaveRun);
        this.logRefusal(request, "", refusal, REFUSED_BEFORE_RUN);
        sink.sendRefusal(refusal);
    }

    private resolve(request: RelayRequest): ResolvedRequest | Refusal {
        return this.isRefusingRequests()
            ? this.createDrainingRefusal()
            : resolveRequest(request, this.bundleIndex, this.options.startRetryAfterMs);
    }

    /** Runs a request; one that resumes a stream only at the software that began it. */
    private runRequest(resolved: ResolvedRequest, sink: PassThroughSink): Promise<void> {
        const tryGetService = (name: string) => this.bundleIndex?.tryGetService(name);
        return isResumption(resolved)
            ? runResumption(this, this.streamContinuity.resumer, tryGetService, resolved, sink)
            : new RelayRun(this, resolved, sink).run();
    }

    // RelayContext

    override getLongestWaitMs(service: string): number {
        return this.bundleIndex?.getLongestWaitMs(service) ?? Infinity;
    }

    override sharePlacement(
        placement: Placement,
        request: RelayRequest,
        estimates: ReportedEstimates | undefined,
    ): void {
        this.placementSharer.share(placement, request.parts, estimates);
    }

    override getRouterCount(): number {
        return this.otherRouters.getCount();
    }

    override getMaxUpstreamAgeMs(): number {
        return this.controllerContact.getMaxUpstreamAgeMs(this.clock.getMonotonicMs());
    }

    override getMaxConnections(service: BundleService): number {
        const { connectionFraction } = this.options;
        return Math.max(1, Math.floor(service.maxConnections * connectionFraction / this.getSharingRouterCount()));
    }

    override recordReplaced(upstream: UpstreamRegistration): void {
        const gone = this.registry.recordReplaced(upstream, this.clock.getMonotonicMs());
        if (gone === undefined) {
            return;
        }
        this.upstreams.drain(upstream.address);
        this.log.info("upstream_replaced", { upstream: upstream.id, address: upstream.address });
        this.upstreamNotifier.notifyControllers({ registration: gone, ageMs: 0 });
    }

    override recordSignals(upstream: UpstreamRegistration, signals: UpstreamSignals, sentAt: number): void {
        this.signalReceiver.recordSignals(upstream, signals, sentAt);
    }

    /** Number of routers among which fleet-wide limits are divided. */
    private getSharingRouterCount(): number {
        return Math.max(this.otherRouters.getCount(), this.options.assumedRouterCount);
    }

    override isInControllerContact(): boolean {
        return this.controllerContact.isInContact(this.clock.getMonotonicMs());
    }

    override recordTokenDemand(account: string, tokens: number, rank: number): void {
        this.prepaidBorrower.recordRequest(account, tokens, rank);
        if (this.tokenBudget.isOverdrawn(account)) {
            this.prepaidReporter.requestReport();
        }
    }

    override async waitForGrant(account: string, tokens: number, rank: number, timeoutMs: number): Promise<void> {
        const timeout = this.clock.wait(timeoutMs);
        if (await Promise.race([this.prepaidBorrower.borrowFromHolder(account, tokens, rank), timeout]) === true) {
            return;
        }
        if (this.prepaidReporter.isInContact()) {
            await this.prepaidReporter.waitForAnswer(Math.min(timeoutMs, this.options.controllerGrantMs));
            if (this.tokenBudget.hasEnough(account, tokens, rank, this.clock.getMonotonicMs())) {
                return;
            }
        }
        const isLent = await Promise.race([this.prepaidBorrower.borrowFromOtherGroups(account, tokens, rank), timeout]);
        if (isLent === false) {
            await Promise.race([this.prepaidReporter.waitForAnswer(timeoutMs), timeout]);
        }
    }

    override getEventLoopLagMs(): number {
        return this.loopMonitor.arrivalEstimator.getLagMs();
    }

    override recordRefused(resolved: ResolvedRequest, refusal: Refusal, details: RefusalDetails): void {
        this.logRefusal(resolved.request, resolved.route.name, refusal, details);
    }

    private logRefusal(request: RelayRequest, route: string, refusal: Refusal, details: RefusalDetails): void {
        this.recorder.recordRefused(request, refusal, {
            route,
            account: this.bundleIndex?.tryGetAccount(request.apiKey ?? "")?.name,
            revision: this.bundleIndex?.bundle.revision,
            ...details,
        });
    }

    // Messages from the controllers

    getBundleRevision(): number | undefined {
        return this.bundleIndex?.bundle.revision;
    }

    async receiveBundle(revision: number, text: string): Promise<void> {
        const startedAt = performance.now();
        this.loopMonitor.countWork("bundles");
        const bundle = await this.decoder.decode(text);
        if (this.bundleIndex !== undefined && bundle.revision <= this.bundleIndex.bundle.revision) {
            return;
        }
        this.bundleIndex = new BundleIndex(bundle);
        this.coordinator?.receiveBundle(bundle);
        this.repeats.retainOnly(new Set(bundle.services.map(({ name }) => name)));
        const durationMs = Math.round(performance.now() - startedAt);
        this.log.info("bundle_in_force", { revision, routes: bundle.routes.length, took_ms: durationMs });
        // Report only changed limits: a report per router and bundle would load the leader.
        if (this.tokenBudget.setLimits(listPrepaidLimits(bundle), bundle.revision)) {
            this.prepaidReporter.requestReport();
        }
    }

    receiveFollowAnswer(answer: FollowAnswer, routers: readonly RouterContact[]): void {
        const now = this.clock.getMonotonicMs();
        this.upstreamReceiver.receive(answer.upstreams);
        if (answer.evacuations !== undefined) {
            this.receiveEvacuations(answer.evacuations);
        }
        if (answer.serviceVersions !== undefined) {
            this.streamContinuity.receiveVersions(answer.serviceVersions);
        }
        if (answer.suspects !== undefined) {
            this.quarantine.receiveSuspects(answer.suspects);
        }
        this.controllerContact.recordResponse(now);
        if (answer.upstreams.length > 0) {
            this.controllerContact.recordUpstreamUpdate(now);
        }
        this.otherRouters.recordListed(
            routers,
            this.controllerContact.getReachableSince(),
            this.prepaidReporter.routerCount,
            now,
        );
        if (answer.hasMajority) {
            this.controllerFeeds.setMembers(answer.controllers);
        }
        this.streamOrigins.setControllers(this.controllerFeeds.getResponsiveAddresses());
    }

    receiveUpstreamUpdate(news: UpstreamUpdate, heard: readonly UpstreamReportAge[]): void {
        const now = this.clock.getMonotonicMs();
        this.upstreamReceiver.receive(news.changed);
        heard.forEach(({ id, ageMs }) => this.registry.recordHeard(id, now - ageMs));
        this.controllerContact.recordUpstreamUpdate(now);
    }

    private setGauges(): void {
        this.signalReceiver.setGauges();
        this.admissionMonitor.update();
        this.recorder.setBodyBytes(this.bodyMemory?.getHeldBytes());
    }

    private removeStaleUpstreams(): void {
        const now = this.clock.getMonotonicMs();
        this.registry.evictExpired(now);
        const known = this.registry.list(now).map(({ registration }) => registration);
        this.load.retainOnly(new Set(known.map(getIncarnationKey)));
        this.upstreams.drainExcept(new Set(known.map(registration => registration.address)));
    }

    private receiveEvacuations(list: EvacuationList): void {
        if (this.evacuatedZones.record(list, this.clock.getMonotonicMs())) {
            this.log.info("evacuations_in_force", { index: list.index, zones: this.evacuatedZones.list().join(",") });
        }
    }

    receiveReconnected(controller: string): void {
        this.streamOrigins.recordReconnected(controller);
    }
}

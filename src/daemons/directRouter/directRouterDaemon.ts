/** A router that reaches its upstreams itself: keeps what the controllers say in force and serves callers by it. */
import { BundleIndex, type BundleService, pickTarget } from "../../domain/bundle.js";
import { EvacuatedZones } from "../../domain/evacuatedZones.js";
import type { EvacuationList } from "../../domain/evacuationBook.js";
import type { PrepaidPurse } from "../../domain/prepaidPurse.js";
import { LIMIT_TRIAL_PART, RateSharing } from "../../domain/rateSharing.js";
import { createRefusal, type Refusal } from "../../domain/resultCodes.js";
import { RetryBudget } from "../../domain/retryBudget.js";
import type { RouterContact } from "../../domain/routerGroups.js";
import type { TokenHolders } from "../../domain/tokenHolders.js";
import { UpstreamCandidates } from "../../domain/upstreamCandidates.js";
import type { UpstreamNews } from "../../domain/upstreamChanges.js";
import type { Placement, UpstreamLoad } from "../../domain/upstreamLoad.js";
import {
    getLifeKey,
    type HeardRegistration,
    type UpstreamRegistration,
    UpstreamRegistry,
} from "../../domain/upstreamRegistry.js";
import { UpstreamRests } from "../../domain/upstreamRests.js";
import type { UpstreamSignals } from "../../domain/upstreamSignals.js";
import type { PassThroughSink } from "../../ports/answerSink.js";
import type { BundleDecoder } from "../../ports/bundleDecoder.js";
import type { Clock } from "../../ports/clock.js";
import type { DirectUpstreams } from "../../ports/directUpstream.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import type { PeerHandlers, PeerNetwork } from "../../ports/peer.js";
import {
    bundleNoticeMethod,
    evacuationNoticeMethod,
    type FollowAnswer,
    upstreamNoticeMethod,
} from "../../protocol/fleetMethods.js";
import type { LoopWatch } from "../loopWatch.js";
import type { BundleListener } from "./bundleFetcher.js";
import type { FeedListener } from "./controllerFeed.js";
import { ControllerFeeds, type ControllerFeedsOptions } from "./controllerFeeds.js";
import type { HeardUpstream } from "./followedUpstreams.js";
import { OtherRouters } from "./otherRouters.js";
import type { PlacementSharer } from "./placementSharer.js";
import type { PrepaidBorrower } from "./prepaidBorrower.js";
import type { PrepaidReporter } from "./prepaidReporter.js";
import { type RefusalDetails, RelayContext, type RelayOptions, type ResponseDetails } from "./relayContext.js";
import type { RelayRequest, ResolvedRequest } from "./relayRequest.js";
import { RelayRun } from "./relayRun.js";
import type { RequestQuarantine } from "./requestQuarantine.js";
import { RequestRecorder } from "./requestRecorder.js";
import { SignalReceiver } from "./signalReceiver.js";
import { UpstreamTeller } from "./upstreamTeller.js";

/** What a router goes by. Times in milliseconds. */
export interface DirectRouterOptions extends RelayOptions, ControllerFeedsOptions {
    /** Addresses of controllers to begin with. */
    readonly seeds: readonly string[];
    /** An upstream that has not been heard for so long, while controllers are heard, counts as lost. */
    readonly upstreamSilenceMs: number;
    /** Retries that all routers together may make for each request to a service, and beyond that in one window. */
    readonly retryRatio: number;
    readonly retrySlack: number;
    /** Part of a connection limit that is used; the rest is for routers that come and go. */
    readonly connectionPart: number;
    /** How long a request waits for a grant from the controllers before other routers are asked. */
    readonly controllerGrantMs: number;
    /** Routers to reckon with before the controllers have said how many there are. */
    readonly assumedRouters: number;
}

/** How often what belongs to upstreams that are long gone is forgotten, in milliseconds. */
const FORGET_PERIOD_MS = 10_000;

/** How often gauges are set, in milliseconds. */
const GAUGE_PERIOD_MS = 1_000;

/** One router's process, without its interface to callers. */
export class DirectRouterDaemon extends RelayContext implements FeedListener, BundleListener {
    override readonly registry = new UpstreamRegistry();
    override readonly candidates: UpstreamCandidates;
    private readonly evacuatedZones = new EvacuatedZones();
    private index: BundleIndex | undefined;
    private readonly recorder: RequestRecorder;
    private readonly feeds: ControllerFeeds;
    private readonly teller: UpstreamTeller;
    private readonly signals: SignalReceiver;
    private readonly others: OtherRouters;
    private readonly retryBudgets = new Map<string, RetryBudget>();
    private running = 0;
    private stopping = false;
    private forgetTimer: NodeJS.Timeout | undefined;
    private gaugeTimer: NodeJS.Timeout | undefined;
    private refusing = false;
    private wasReady = false;
    /** When a controller last answered, and since when they have done so without a gap. */
    private heardAt = -Infinity;
    private heardSince = -Infinity;

    constructor(
        override readonly options: DirectRouterOptions,
        override readonly load: UpstreamLoad,
        override readonly purse: PrepaidPurse,
        override readonly upstreams: DirectUpstreams,
        override readonly log: Log,
        metrics: Metrics,
        private readonly decoder: BundleDecoder,
        private readonly reporter: PrepaidReporter,
        private readonly borrower: PrepaidBorrower,
        holders: TokenHolders,
        private readonly sharer: PlacementSharer,
        override readonly quarantine: RequestQuarantine,
        network: PeerNetwork,
        private readonly clock: Clock,
        readonly loop: LoopWatch,
    ) {
        super();
        this.recorder = new RequestRecorder(log, metrics);
        this.feeds = new ControllerFeeds(network, clock, log, this, options);
        const rests = new UpstreamRests();
        const cold = new RateSharing(options.address, Math.random, 0);
        const limits = new RateSharing(options.address, Math.random, LIMIT_TRIAL_PART);
        this.teller = new UpstreamTeller(network, log, () => this.getControllers());
        this.signals = new SignalReceiver(this.registry, rests, heard => this.teller.tell(heard), clock, log, metrics);
        this.candidates = new UpstreamCandidates(this.registry, this.evacuatedZones, rests, cold, limits);
        this.others = new OtherRouters(options.address, options.assumedRouters, purse, holders, sharer, [cold, limits]);
    }

    /** Registers what controllers tell over the connections that this router opens. */
    addHandlers(handlers: PeerHandlers): void {
        handlers.add(bundleNoticeMethod, notice => this.feeds.fetchBundle(notice.controller, notice.revision));
        this.borrower.addHandlers(handlers);
        this.sharer.addHandlers(handlers);
        handlers.add(upstreamNoticeMethod, notice => this.receiveUpstreams(notice.upstreams));
        handlers.add(evacuationNoticeMethod, list => this.receiveEvacuations(list));
        this.quarantine.addHandlers(handlers);
    }

    start(): void {
        this.feeds.setSeeds(this.options.seeds);
        void this.reporter.run();
        this.quarantine.start();
        this.borrower.start();
        this.forgetTimer = setInterval(() => this.forgetUpstreams(), FORGET_PERIOD_MS);
        this.gaugeTimer = setInterval(() => this.signals.setGauges(), GAUGE_PERIOD_MS);
        // Idle connections have probably been closed meanwhile; a request that may run only once would be lost on one.
        this.loop.onTimeMissed(() => this.upstreams.forgetExcept(new Set()));
    }

    /** Takes new seeds from changed settings. */
    setSeeds(seeds: readonly string[]): void {
        this.feeds.setSeeds(seeds);
    }

    /** Addresses of the controllers that are followed, those that answer first. */
    getControllers(): string[] {
        return this.feeds.getAddresses();
    }

    /** Requests that have no final answer yet. */
    getRunningCount(): number {
        return this.running;
    }

    /** Limits on callers that are in force; undefined before the first bundle. */
    tryGetLimits() {
        return this.index?.bundle.limits;
    }

    /** Whether this router should be sent callers. */
    isReady(): boolean {
        const ready = !this.stopping && this.index !== undefined && this.feeds.isConfirmed();
        if (ready !== this.wasReady) {
            this.wasReady = ready;
            this.log.info("ready_changed", { ready, revision: this.index?.bundle.revision });
        }
        return ready;
    }

    /** Begins a planned stop: no longer ready, still serving. */
    beginStop(): void {
        this.stopping = true;
        this.log.info("router_stopping", { running: this.running });
    }

    /** From here on requests are refused as not run: there would not be the time to answer them whole. */
    refuseNew(): void {
        this.refusing = true;
    }

    isStopping(): boolean {
        return this.stopping;
    }

    /** Ends a planned stop: gives back what is left of the grants. */
    async finishStop(): Promise<void> {
        clearInterval(this.forgetTimer);
        clearInterval(this.gaugeTimer);
        this.borrower.stop();
        this.borrower.returnLoans();
        this.feeds.stop();
        this.quarantine.stop();
        await this.reporter.stop();
        this.upstreams.close();
    }

    /** Serves one request; resolves when its final answer has been given. */
    async handle(request: RelayRequest, sink: PassThroughSink): Promise<void> {
        const resolved = this.resolve(request);
        if ("code" in resolved) {
            this.logRefusal(request, "", resolved, { abortCause: undefined, overdueMs: undefined });
            sink.refuse(resolved);
            return;
        }
        this.getRetryBudget(resolved.service.name).recordRequest();
        this.running += 1;
        try {
            await new RelayRun(this, resolved, sink).run();
        }
        finally {
            this.running -= 1;
        }
    }

    private resolve(request: RelayRequest): ResolvedRequest | Refusal {
        const { index } = this;
        if (this.refusing) {
            return createRefusal("draining", undefined, "no", this.options.retryAfterMs);
        }
        if (index === undefined) {
            return createRefusal("notReady", "no bundle yet", "no", this.options.startRetryAfterMs);
        }
        const route = index.tryGetRoute(request.host, request.passed.target);
        if (route === undefined) {
            return createRefusal("routeUnknown");
        }
        const account = request.key === undefined ? undefined : index.tryGetAccount(request.key);
        if (!route.isPublic && account === undefined && index.hasAccounts()) {
            return createRefusal(request.key === undefined ? "keyMissing" : "keyWrong");
        }
        const service = index.tryGetService(pickTarget(route, Math.random()).service)!;
        return { request, route, service, account: route.isPublic ? undefined : account };
    }

    // What the requests ask for

    override getLongestWaitMs(service: string): number {
        return this.index?.getLongestWaitMs(service) ?? Infinity;
    }

    override sharePlacement(placement: Placement, request: RelayRequest): void {
        this.sharer.share(placement, request.parts);
    }

    override getRouterCount(): number {
        return this.others.getCount();
    }

    override getMaxUpstreamAgeMs(): number {
        const now = this.clock.getMonotonicMs();
        const { upstreamSilenceMs } = this.options;
        // Where no controller is heard, nothing can be heard of upstreams either: they count as they stand.
        const isHearing = now - this.heardAt < this.getGapMs();
        return isHearing && now - this.heardSince > upstreamSilenceMs ? upstreamSilenceMs : Infinity;
    }

    /** Pause between answers of controllers that counts as a gap. */
    private getGapMs(): number {
        return this.options.followPeriodMs * 2;
    }

    override getMaxConnections(service: BundleService): number {
        const { connectionPart } = this.options;
        return Math.max(1, Math.floor(service.maxConnections * connectionPart / this.getSharingCount()));
    }

    override recordReplaced(upstream: UpstreamRegistration): void {
        const gone = this.registry.recordReplaced(upstream, this.clock.getMonotonicMs());
        if (gone === undefined) {
            return;
        }
        this.upstreams.forget(upstream.address);
        this.log.info("upstream_replaced", { upstream: upstream.id, address: upstream.address });
        this.teller.tell({ registration: gone, ageMs: 0 });
    }

    override recordSignals(upstream: UpstreamRegistration, signals: UpstreamSignals, sentAt: number): void {
        this.signals.record(upstream, signals, sentAt);
    }

    override recordRateLimitedSend(): void {
        this.recorder.recordRateLimitedSend();
    }

    override getRetryBudget(service: string): RetryBudget {
        let budget = this.retryBudgets.get(service);
        if (budget === undefined) {
            budget = new RetryBudget(this.options.retryRatio, this.computeRetrySlack());
            this.retryBudgets.set(service, budget);
        }
        return budget;
    }

    /** This router's part of the retries that all routers together may save up. */
    private computeRetrySlack(): number {
        return Math.max(1, this.options.retrySlack / this.getSharingCount());
    }

    /** Routers that share what holds for all of them together. */
    private getSharingCount(): number {
        return Math.max(this.others.getCount(), this.options.assumedRouters);
    }

    override async waitForGrant(account: string, tokens: number, rank: number, timeoutMs: number): Promise<void> {
        const giveUp = this.clock.wait(timeoutMs);
        if (await Promise.race([this.borrower.borrowFromHolder(account, tokens, rank), giveUp]) === true) {
            return;
        }
        if (this.reporter.isInContact()) {
            await this.reporter.waitGrant(Math.min(timeoutMs, this.options.controllerGrantMs));
            if (this.purse.hasEnough(account, tokens, rank, this.clock.getMonotonicMs())) {
                return;
            }
        }
        const isLent = await Promise.race([this.borrower.borrow(account, tokens, rank), giveUp]);
        if (isLent === false) {
            await Promise.race([this.reporter.waitGrant(timeoutMs), giveUp]);
        }
    }

    override getEventLoopLagMs(): number {
        return this.loop.arrivals.getLateMs();
    }

    override recordAnswered(resolved: ResolvedRequest, story: ResponseDetails): void {
        this.recorder.recordAnswered(resolved, story);
    }

    override recordRefused(resolved: ResolvedRequest, refusal: Refusal, ending: RefusalDetails): void {
        this.logRefusal(resolved.request, resolved.route.name, refusal, ending);
    }

    private logRefusal(request: RelayRequest, route: string, refusal: Refusal, ending: RefusalDetails): void {
        this.recorder.recordRefused(request, refusal, {
            route,
            account: this.index?.tryGetAccount(request.key ?? "")?.name,
            revision: this.index?.bundle.revision,
            ...ending,
        });
    }

    // What the controllers say

    getBundleRevision(): number | undefined {
        return this.index?.bundle.revision;
    }

    async receiveBundle(revision: number, text: string): Promise<void> {
        const startedAt = performance.now();
        this.loop.noteWork("bundles");
        const bundle = await this.decoder.decode(text);
        if (this.index !== undefined && bundle.revision <= this.index.bundle.revision) {
            return;
        }
        this.index = new BundleIndex(bundle);
        const tookMs = Math.round(performance.now() - startedAt);
        this.log.info("bundle_in_force", { revision, routes: bundle.routes.length, took_ms: tookMs });
        const limits = bundle.accounts.filter(account => account.prepaidTokens !== undefined);
        // Most versions leave the limits alone; a report of each router for each version would be 30 a version at the leader.
        if (this.purse.setLimits(limits.map(account => ({ account: account.name, tokens: account.prepaidTokens! })))) {
            this.reporter.askReport();
        }
    }

    receiveFollowAnswer(answer: FollowAnswer, routers: readonly RouterContact[]): void {
        const now = this.clock.getMonotonicMs();
        this.receiveUpstreams(answer.upstreams);
        if (answer.evacuations !== undefined) {
            this.receiveEvacuations(answer.evacuations);
        }
        if (answer.suspects !== undefined) {
            this.quarantine.receiveSuspects(answer.suspects);
        }
        if (now - this.heardAt > this.getGapMs()) {
            this.heardSince = now;
        }
        this.heardAt = now;
        if (this.others.record(routers, this.heardSince, this.reporter.routers, now)) {
            this.retryBudgets.forEach(budget => budget.setMost(this.computeRetrySlack()));
        }
        if (answer.hasMajority) {
            this.feeds.setNamed(answer.controllers);
        }
    }

    receiveUpstreamNews(news: UpstreamNews, heard: readonly HeardUpstream[]): void {
        const now = this.clock.getMonotonicMs();
        this.receiveUpstreams(news.changed);
        heard.forEach(({ id, ageMs }) => this.registry.noteHeard(id, now - ageMs));
    }

    /** What was connected to an earlier life of an upstream is of no use: what is sent over it may have run or not. */
    private dropEarlierConnections(
        before: UpstreamRegistration | undefined,
        now: UpstreamRegistration | undefined,
    ): void {
        if (before?.bornAt !== undefined && before.bornAt !== now?.bornAt) {
            this.upstreams.forget(before.address);
        }
    }

    /** Forgets what belongs to upstreams that are long gone. */
    private forgetUpstreams(): void {
        const now = this.clock.getMonotonicMs();
        this.registry.forgetOld(now);
        const known = this.registry.list(now).map(({ registration }) => registration);
        this.load.forgetExcept(new Set(known.map(getLifeKey)));
        this.upstreams.forgetExcept(new Set(known.map(registration => registration.address)));
    }

    private receiveEvacuations(list: EvacuationList): void {
        if (this.evacuatedZones.record(list, this.clock.getMonotonicMs())) {
            this.log.info("evacuations_in_force", { index: list.index, zones: this.evacuatedZones.list().join(",") });
        }
    }

    private receiveUpstreams(upstreams: readonly HeardRegistration[]): void {
        const now = this.clock.getMonotonicMs();
        for (const heard of upstreams) {
            const { registration, ageMs } = heard;
            const before = this.registry.tryGet(registration.id);
            if (this.registry.record(registration, now - ageMs) === "state") {
                this.dropEarlierConnections(before, this.registry.tryGet(registration.id));
                this.log.info("upstream_state", {
                    upstream: registration.id,
                    service: registration.service,
                    address: registration.address,
                    state: registration.state,
                    born_at: registration.bornAt,
                    age_ms: ageMs,
                });
            }
            this.signals.receive(heard);
        }
    }
}

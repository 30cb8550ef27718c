/**
 * A controller for deployments that are configured by bundles. Stores the bundle and the prepaid token accounts in the
 * replicated log, receives the reports of upstreams and pushes changes to the routers that are subscribed to it.
 */
import type { ReplicaSetReconciler } from "../../consensus/replicaSetReconciler.js";
import type { ReplicatedLog } from "../../consensus/replicatedLog.js";
import type { Bundle } from "../../domain/bundle.js";
import type { BundleResult, StoredBundle } from "../../domain/bundleStore.js";
import { createRandomId } from "../../domain/identifiers.js";
import { createRefusal, RefusalError } from "../../domain/resultCodes.js";
import type { BundleDecoder } from "../../ports/bundleDecoder.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import type { Peer, PeerHandlers, PeerNetwork } from "../../ports/peer.js";
import {
    bundleNoticeMethod,
    type FollowAnswer,
    followMethod,
    type FollowParams,
    getBundleMethod,
    reportEndsMethod,
    reportPrepaidMethod,
    upstreamNoticeMethod,
} from "../../protocol/fleetMethods.js";
import { claimPermitsMethod } from "../../protocol/repeatMethods.js";
import { findOriginMethod, originNoticeMethod, readVersionsMethod } from "../../protocol/streamMethods.js";
import type { UpstreamEndsOptions } from "../../settings/crashSuspectSettings.js";
import type { RepeatPermitsOptions } from "../../settings/repeatSettings.js";
import type { EventLoopMonitor } from "../eventLoopMonitor.js";
import { BundlePublisher } from "./bundlePublisher.js";
import { EvacuationService } from "./evacuationService.js";
import { PrepaidService } from "./prepaidService.js";
import { RegistrationService } from "./registrationService.js";
import { RepeatPermitService } from "./repeatPermitService.js";
import { ServiceVersionService } from "./serviceVersionService.js";
import { StreamOriginService } from "./streamOriginService.js";
import { SubscribedRouters } from "./subscribedRouters.js";
import { UpstreamEndService } from "./upstreamEndService.js";

export interface BundleControllerOptions {
    readonly upstreamEnds: UpstreamEndsOptions;
    readonly repeatPermits: RepeatPermitsOptions;
    /** Address at which other controllers and routers reach this one. */
    readonly address: string;
    /** Addresses of the controllers that are asked to add this one to the replica set. */
    readonly seeds: readonly string[];
}

export class BundleControllerDaemon {
    readonly registrations: RegistrationService;
    readonly evacuations: EvacuationService;
    private readonly prepaid: PrepaidService;
    private readonly repeatPermits: RepeatPermitService;
    private readonly upstreamEnds: UpstreamEndService;
    private readonly serviceVersions: ServiceVersionService;
    private readonly streamOrigins: StreamOriginService;
    private readonly subscribers = new SubscribedRouters(createRandomId());
    private readonly publisher = new BundlePublisher();
    private seeds: readonly string[];
    /** Names of the services in the bundle that was decoded last. */
    private serviceNames: { readonly revision: number; readonly services: Promise<ReadonlySet<string>>; } | undefined;

    constructor(
        private readonly replica: ReplicatedLog,
        private readonly reconciler: ReplicaSetReconciler,
        private readonly decoder: BundleDecoder,
        network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        metrics: Metrics,
        private readonly loop: EventLoopMonitor,
        private readonly options: BundleControllerOptions,
    ) {
        this.seeds = options.seeds;
        this.prepaid = new PrepaidService(replica, network, clock, log);
        this.repeatPermits = new RepeatPermitService(replica, network, clock, log, metrics, options.repeatPermits);
        this.upstreamEnds = new UpstreamEndService(
            replica,
            this.subscribers,
            network,
            clock,
            log,
            metrics,
            options.upstreamEnds,
        );
        this.evacuations = new EvacuationService(replica, this.subscribers, log);
        this.serviceVersions = new ServiceVersionService(replica, this.subscribers, clock, log);
        this.streamOrigins = new StreamOriginService(clock, log);
        this.registrations = new RegistrationService(
            this.subscribers,
            network,
            clock,
            log,
            () => replica.replicas.getPeers().map(other => other.address),
            service => this.isServiceDeclared(service),
            (service, version) => this.serviceVersions.requireRecorded(service, version),
        );
        replica.onApplied((entry, result) => {
            if (entry.command.type === "putBundle" && (result as BundleResult).changed) {
                this.publishBundle(entry.command);
            }
        });
        replica.onSnapshotLoaded(() => this.publishSnapshotBundle());
        this.publishSnapshotBundle();
    }

    addHandlers(handlers: PeerHandlers): void {
        this.replica.addHandlers(handlers);
        this.reconciler.addHandlers(handlers);
        handlers.add(followMethod, (params, peer) => this.handleFollow(params, peer));
        handlers.add(getBundleMethod, async ({ held }) => ({ bundle: await this.publisher.tryGetEncoded(held) }));
        handlers.add(upstreamNoticeMethod, notice => this.registrations.recordForwarded(notice.upstreams));
        handlers.add(reportEndsMethod, ({ report }) => this.upstreamEnds.handleReport(report));
        handlers.add(originNoticeMethod, ({ streams }) => this.streamOrigins.recordReports(streams));
        handlers.add(findOriginMethod, ({ key }) => ({ origin: this.streamOrigins.tryFind(key) }));
        handlers.add(readVersionsMethod, async ({ service }) => ({
            versions: await this.serviceVersions.readVersions(service),
        }));
        handlers.add(claimPermitsMethod, claim => this.repeatPermits.handleClaim(claim));
        handlers.add(reportPrepaidMethod, ({ report }) => this.prepaid.handleReport(report));
    }

    start(): void {
        this.replica.start();
        void this.reconciler.runReconciliation();
        void this.reconciler.runJoinRequests(() => this.seeds);
        void this.registrations.runHeartbeatBatches();
        void this.prepaid.runLogging();
        void this.repeatPermits.runEviction();
        void this.upstreamEnds.runEviction();
        void this.serviceVersions.runEviction(() => this.registrations.list());
        this.streamOrigins.start();
    }

    /** Replaces the seeds when the settings have changed. */
    setSeeds(seeds: readonly string[]): void {
        this.seeds = seeds;
    }

    /** Announces the stop of this controller, so that another one may vote in its place; it goes on serving until `stop`. */
    startLeaving(): void {
        void this.reconciler.runLeave();
    }

    async stop(): Promise<void> {
        this.registrations.stop();
        this.streamOrigins.stop();
        await this.replica.stop();
    }

    /**
     * Stores a bundle. Resolves once a majority has persisted it or a newer one. Throws malformedBody or objectInvalid,
     * noMajority if it was not stored, and changeUnknown if it may have been stored.
     */
    async putBundle(text: string): Promise<BundleResult> {
        const bundle = await this.decoder.decode(text);
        this.loop.countWork("bundles");
        const proposal = await this.replica.propose({
            type: "putBundle",
            revision: bundle.revision,
            text,
            prepaid: getPrepaidLimits(bundle),
        });
        const result = proposal.result as BundleResult;
        this.log.info("bundle_taken", {
            revision: bundle.revision,
            changed: result.changed,
            in_force: result.revision,
            index: proposal.index,
        });
        return result;
    }

    /** Returns the current bundle, confirmed by a majority. Throws noMajority, and notReady before the first bundle. */
    async readBundle(): Promise<StoredBundle> {
        await this.replica.confirmReadIndex();
        const bundle = this.replica.state.bundle.tryGet();
        if (bundle === undefined) {
            throw new RefusalError(createRefusal("notReady", "no bundle yet"));
        }
        return bundle;
    }

    /** Returns the names of the voting replicas known to this one. */
    listReplicas(): string[] {
        return [...this.replica.replicas.getVoters()];
    }

    private handleFollow(
        { address, wantsUpstreams, since, unheardMs, routersSince, suspectIndex }: FollowParams,
        peer: Peer,
    ): FollowAnswer {
        if (this.subscribers.add(peer, address)) {
            this.log.info("router_follows", { router: address });
        }
        const wantsChanges = wantsUpstreams && unheardMs !== undefined;
        return {
            bundleRevision: this.replica.state.bundle.tryGet()?.revision,
            upstreams: wantsUpstreams && !wantsChanges ? this.registrations.list() : [],
            news: wantsChanges ? this.registrations.createNews(since, unheardMs) : undefined,
            controllers: [this.options.address, ...this.replica.replicas.getPeers().map(other => other.address)],
            routers: this.subscribers.isUnchangedSince(routersSince) ? undefined : this.subscribers.list(),
            routersCursor: this.subscribers.getCursor(),
            hasMajority: this.replica.isConnectedToMajority(),
            suspects: this.upstreamEnds.tryCreateChangedList(suspectIndex),
            evacuations: this.evacuations.createEvacuationList(),
            serviceVersions: this.serviceVersions.createList(),
        };
    }

    /** Accepts every service before the first bundle, because upstreams may register before it is stored. */
    private async isServiceDeclared(service: string): Promise<boolean> {
        const bundle = this.replica.state.bundle.tryGet();
        if (bundle === undefined) {
            return true;
        }
        if (this.serviceNames?.revision !== bundle.revision) {
            this.loop.countWork("bundles");
            const services = this.decoder.decode(bundle.text).then(({ services }) =>
                new Set(services.map(s => s.name))
            );
            this.serviceNames = { revision: bundle.revision, services };
        }
        return (await this.serviceNames.services).has(service);
    }

    /** Publishes the bundle of a snapshot that was received or loaded from disk. */
    private publishSnapshotBundle(): void {
        const bundle = this.replica.state.bundle.tryGet();
        if (bundle !== undefined) {
            this.publishBundle(bundle);
        }
    }

    private publishBundle({ revision, text }: StoredBundle): void {
        this.publisher.setNewest({ revision, text });
        this.subscribers.notifyAll(bundleNoticeMethod, { controller: this.options.address, revision });
    }
}

function getPrepaidLimits(bundle: Bundle): { account: string; tokens: number; }[] {
    return bundle.accounts.flatMap(({ name, prepaidTokens }) =>
        prepaidTokens === undefined ? [] : [{ account: name, tokens: prepaidTokens }]
    );
}

/**
 * A controller of deployments whose operator declares bundles: keeps the bundle and the prepaid tokens in the
 * replicated log, hears the upstreams, and tells the routers that follow it.
 */
import type { ReplicaSetKeeper } from "../../consensus/replicaSetKeeper.js";
import type { ReplicatedLog } from "../../consensus/replicatedLog.js";
import type { Bundle } from "../../domain/bundle.js";
import type { BundleResult, StoredBundle } from "../../domain/bundleStore.js";
import { createRandomId } from "../../domain/identifiers.js";
import { createRefusal, RefusalError } from "../../domain/resultCodes.js";
import type { BundleDecoder } from "../../ports/bundleDecoder.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
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
import type { LoopWatch } from "../loopWatch.js";
import { BundlePublisher } from "./bundlePublisher.js";
import { EvacuationService } from "./evacuationService.js";
import { Followers } from "./followers.js";
import { PrepaidService } from "./prepaidService.js";
import { RegistrationService } from "./registrationService.js";
import { UpstreamEndService } from "./upstreamEndService.js";

export interface BundleControllerOptions {
    /** Where other controllers and routers reach this one. */
    readonly address: string;
    /** Addresses of controllers to ask to be added to the log. */
    readonly seeds: readonly string[];
}

export class BundleControllerDaemon {
    readonly registrations: RegistrationService;
    readonly evacuations: EvacuationService;
    private readonly prepaid: PrepaidService;
    private readonly upstreamEnds: UpstreamEndService;
    private readonly followers = new Followers(createRandomId());
    private readonly publisher = new BundlePublisher();
    private seeds: readonly string[];
    /** Names of the services of the newest bundle that was decoded here. */
    private declared: { readonly revision: number; readonly services: Promise<ReadonlySet<string>>; } | undefined;

    constructor(
        private readonly replica: ReplicatedLog,
        private readonly keeper: ReplicaSetKeeper,
        private readonly decoder: BundleDecoder,
        network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly loop: LoopWatch,
        private readonly options: BundleControllerOptions,
    ) {
        this.seeds = options.seeds;
        this.prepaid = new PrepaidService(replica, network, log);
        this.upstreamEnds = new UpstreamEndService(replica, this.followers, network, clock, log);
        this.evacuations = new EvacuationService(replica, this.followers, log);
        this.registrations = new RegistrationService(
            this.followers,
            network,
            clock,
            log,
            () => replica.replicas.getOthers().map(other => other.address),
            service => this.isServiceDeclared(service),
        );
        replica.onApplied((entry, result) => {
            if (entry.command.type === "putBundle" && (result as BundleResult).changed) {
                this.publishBundle(entry.command);
            }
        });
        replica.onSnapshotLoaded(() => this.publishLoaded());
        this.publishLoaded();
    }

    addHandlers(handlers: PeerHandlers): void {
        this.replica.addHandlers(handlers);
        this.keeper.addHandlers(handlers);
        handlers.add(followMethod, (params, peer) => this.follow(params, peer));
        handlers.add(getBundleMethod, async ({ held }) => ({ bundle: await this.publisher.tryGetEncoded(held) }));
        handlers.add(upstreamNoticeMethod, notice => this.registrations.receive(notice.upstreams));
        handlers.add(reportEndsMethod, ({ report }) => this.upstreamEnds.takeReport(report));
        handlers.add(reportPrepaidMethod, ({ report }) => this.prepaid.handleReport(report));
    }

    start(): void {
        this.replica.start();
        void this.keeper.runKeeping();
        void this.keeper.runJoining(() => this.seeds);
        void this.registrations.runBatches();
        void this.prepaid.runLogging(this.clock);
        void this.upstreamEnds.runForgetting();
    }

    /** Takes new seeds from changed settings. */
    setSeeds(seeds: readonly string[]): void {
        this.seeds = seeds;
    }

    async stop(): Promise<void> {
        this.registrations.stop();
        await this.replica.stop();
    }

    /**
     * Takes a declared bundle. Resolves once a majority holds it, or a newer one, on disk. Throws malformedBody or objectInvalid,
     * noMajority where it was certainly not taken, changeUnknown where it may have been.
     */
    async putBundle(text: string): Promise<BundleResult> {
        const bundle = await this.decoder.decode(text);
        this.loop.noteWork("bundles");
        const answer = await this.replica.propose({
            type: "putBundle",
            revision: bundle.revision,
            text,
            prepaid: getPrepaidLimits(bundle),
        });
        const result = answer.result as BundleResult;
        this.log.info("bundle_taken", {
            revision: bundle.revision,
            changed: result.changed,
            in_force: result.revision,
            index: answer.index,
        });
        return result;
    }

    /** The bundle in force, read through a majority. Throws noMajority, and notReady before the first bundle. */
    async readBundle(): Promise<StoredBundle> {
        await this.replica.readThroughMajority();
        const bundle = this.replica.state.bundle.tryGet();
        if (bundle === undefined) {
            throw new RefusalError(createRefusal("notReady", "no bundle yet"));
        }
        return bundle;
    }

    /** Names of the replicas that vote, as this one knows them. */
    listReplicas(): string[] {
        return [...this.replica.replicas.getVoters()];
    }

    private follow(
        { address, wantsUpstreams, since, unheardMs, routersSince }: FollowParams,
        peer: Peer,
    ): FollowAnswer {
        if (this.followers.add(peer, address)) {
            this.log.info("router_follows", { router: address });
        }
        const wantsNews = wantsUpstreams && unheardMs !== undefined;
        return {
            bundleRevision: this.replica.state.bundle.tryGet()?.revision,
            upstreams: wantsUpstreams && !wantsNews ? this.registrations.list() : [],
            news: wantsNews ? this.registrations.createNews(since, unheardMs) : undefined,
            controllers: [this.options.address, ...this.replica.replicas.getOthers().map(other => other.address)],
            routers: this.followers.isUnchangedSince(routersSince) ? undefined : this.followers.list(),
            routersCursor: this.followers.getCursor(),
            hasMajority: this.replica.isConnectedToMajority(),
            suspects: this.upstreamEnds.createList(),
            evacuations: this.evacuations.createList(),
        };
    }

    /** Before the first bundle every service counts as declared: upstreams register earlier. */
    private async isServiceDeclared(service: string): Promise<boolean> {
        const bundle = this.replica.state.bundle.tryGet();
        if (bundle === undefined) {
            return true;
        }
        if (this.declared?.revision !== bundle.revision) {
            this.loop.noteWork("bundles");
            const services = this.decoder.decode(bundle.text).then(({ services }) =>
                new Set(services.map(s => s.name))
            );
            this.declared = { revision: bundle.revision, services };
        }
        return (await this.declared.services).has(service);
    }

    /** Publishes the bundle that a snapshot brought, also one that was loaded from the disk. */
    private publishLoaded(): void {
        const bundle = this.replica.state.bundle.tryGet();
        if (bundle !== undefined) {
            this.publishBundle(bundle);
        }
    }

    private publishBundle({ revision, text }: StoredBundle): void {
        this.publisher.setNewest({ revision, text });
        this.followers.notifyAll(bundleNoticeMethod, { controller: this.options.address, revision });
    }
}

function getPrepaidLimits(bundle: Bundle): { account: string; tokens: number; }[] {
    return bundle.accounts.flatMap(({ name, prepaidTokens }) =>
        prepaidTokens === undefined ? [] : [{ account: name, tokens: prepaidTokens }]
    );
}

/** Composition root of the roles that serve bundles. The other roles are composed in wiring.ts. */
import { mkdir } from "node:fs/promises";
import { join } from "node:path";
import { openJournalFile } from "./adapters/disk/journalFile.js";
import type { LogOutput } from "./adapters/keyValueLog.js";
import type { ReadPacer } from "./adapters/readPacer.js";
import { LogStorage } from "./consensus/logStorage.js";
import { ReplicaSetMonitor } from "./consensus/replicaSetMonitor.js";
import { ReplicaSetReconciler } from "./consensus/replicaSetReconciler.js";
import { ReplicatedLog } from "./consensus/replicatedLog.js";
import { BundleControllerDaemon } from "./daemons/bundleController/bundleControllerDaemon.js";
import { DirectRouterDaemon, type DirectRouterOptions } from "./daemons/directRouter/directRouterDaemon.js";
import { FairShareControl } from "./daemons/directRouter/fairShareControl.js";
import { PlacementSharer, type PlacementSharerOptions } from "./daemons/directRouter/placementSharer.js";
import { PrepaidBorrower, type PrepaidBorrowerOptions } from "./daemons/directRouter/prepaidBorrower.js";
import { PrepaidReporter, type PrepaidReporterOptions } from "./daemons/directRouter/prepaidReporter.js";
import { RelayCoordinator } from "./daemons/directRouter/relayCoordinator.js";
import { RequestQuarantine } from "./daemons/directRouter/requestQuarantine.js";
import { RouterLinks } from "./daemons/directRouter/routerLinks.js";
import { Survivors } from "./daemons/directRouter/survivors.js";
import { UpstreamEndReporter } from "./daemons/directRouter/upstreamEndReporter.js";
import { UpstreamEndWatch } from "./daemons/directRouter/upstreamEndWatch.js";
import { createReadPacer } from "./daemons/readPacing.js";
import { type AdmissionOptions, AdmissionPolicy, admissionSchema } from "./domain/admissionPolicy.js";
import { checkBodyMemoryOptions } from "./domain/bodyMemory.js";
import { type FairSharesOptions, fairSharesSchema } from "./domain/fairShares.js";
import { LocalTokenBudget } from "./domain/localTokenBudget.js";
import type { LocalTokenBudgetOptions } from "./domain/localTokenBudgetOptions.js";
import { createRefusal, RefusalError } from "./domain/resultCodes.js";
import { streamOriginsSchema } from "./domain/streamOrigins.js";
import { TokenHolders } from "./domain/tokenHolders.js";
import { UpstreamLoad, type UpstreamLoadOptions } from "./domain/upstreamLoad.js";
import { UpstreamModel, type UpstreamModelOptions, upstreamModelSchema } from "./domain/upstreamModel.js";
import type { BundleDecoder } from "./ports/bundleDecoder.js";
import type { DirectUpstreams } from "./ports/directUpstream.js";
import type { Log } from "./ports/log.js";
import type { Metrics } from "./ports/metrics.js";
import { closeRoleBase, createRoleBase, type RoleBase } from "./roleBase.js";
import { checkSection, parseSection } from "./settings/checkSection.js";
import { type ConnectionRelaySettingsInput, parseConnectionRelaySettings } from "./settings/connectionRelaySettings.js";
import {
    type SurvivorsOptions,
    survivorsSchema,
    type UpstreamEndsOptions,
    upstreamEndsSchema,
} from "./settings/crashSuspectSettings.js";
import { checkReadPacingSettings, type ReadPacingSettings } from "./settings/readPacingSettings.js";
import { type RepeatPermitsOptions, repeatPermitsSchema, repeatsSchema } from "./settings/repeatSettings.js";
import { type ReplicaSetOptions, replicaSetSchema } from "./settings/replicaSetSettings.js";

/**
 * Time at the end of a planned stop in which other processes receive what this one has sent. It and the last report of prepaid tokens
 * fit into the part of the grace period that is reserved for closing.
 */
const FINISH_TIMEOUT_MS = 100;

/** Settings common to the roles that serve bundles. */
export interface BundleRoleSettings {
    readonly name: string;
    readonly zone: string;
    readonly fleetSecret: string;
    readonly logLevel: "info" | "warn" | "error";
    /** Peer addresses of the controllers to contact first. */
    readonly seeds: readonly string[];
    readonly decoder: BundleDecoder;
    readonly metrics?: Metrics;
    /** Where log lines are written; standard output by default. */
    readonly logOutput?: LogOutput | undefined;
}

/** Settings of a controller that stores bundles. */
export interface BundleControllerSettings extends BundleRoleSettings {
    /** HOST:PORT on which other processes connect to this one. */
    readonly peerAddress: string;
    readonly dataFolder: string;
    /** Whether to create a new replicated log whose first voters are the controllers in `seeds`. */
    readonly isFirstStart: boolean;
    readonly electionTimeoutMs: number;
    readonly heartbeatMs: number;
    readonly proposeTimeoutMs: number;
    /** Number of entries applied between snapshots. */
    readonly snapshotEvery: number;
    /** Delay before a failed disk write is retried. */
    readonly retryWriteMs: number;
    readonly replicaSet: ReplicaSetOptions;
    readonly upstreamEnds: UpstreamEndsOptions;
    readonly repeatPermits: RepeatPermitsOptions;
}

/** Settings of a router that connects to its upstreams directly, grouped by component. */
export interface DirectRouterSettings extends BundleRoleSettings {
    readonly router: DirectRouterOptions;
    readonly load: UpstreamLoadOptions;
    readonly purse: LocalTokenBudgetOptions;
    readonly reporter: PrepaidReporterOptions;
    readonly borrower: PrepaidBorrowerOptions;
    readonly sharer: PlacementSharerOptions;
    readonly survivors: SurvivorsOptions;
    /** Disabled if undefined. */
    readonly connectionRelay?: ConnectionRelaySettingsInput | undefined;
    readonly upstreams: DirectUpstreams;
    /** Delays reads of streams while the router is loaded; undefined to pass on each event as it arrives. */
    readonly readPacing?: ReadPacingSettings | undefined;
    /** Whether upstreams are chosen by when they can serve a request; undefined for the choice by counts. */
    readonly upstreamModel?: UpstreamModelOptions | undefined;
    /** Whether requests that cannot be served in time are refused at once. Needs `upstreamModel`. */
    readonly admission?: AdmissionOptions | undefined;
    /** Whether accounts beyond their shares come last while upstreams are short. Needs `admission`. */
    readonly fairShares?: FairSharesOptions | undefined;
}

/** A running role and its daemon. */
export interface RunningBundleRole<T> {
    readonly daemon: T;
    readonly log: Log;
    readonly metrics: Metrics;
    /** Delays reads of streams while the router is loaded; undefined if reads are not delayed. */
    readonly readPacer?: ReadPacer | undefined;
    /** Shuts down gracefully; resolves when all resources are released. */
    stop(): Promise<void>;
}

/** Starts a controller that stores bundles, without its server for upstreams and operators. */
export async function startBundleController(
    settings: BundleControllerSettings,
): Promise<RunningBundleRole<BundleControllerDaemon>> {
    parseSection("upstreamEnds", upstreamEndsSchema, settings.upstreamEnds);
    parseSection("repeatPermits", repeatPermitsSchema, settings.repeatPermits);
    parseSection("replicaSet", replicaSetSchema, settings.replicaSet);
    await mkdir(settings.dataFolder, { recursive: true });
    const base = await createRoleBase({ ...settings, role: "controller", listen: settings.peerAddress });
    const { clock, log, metrics, network, handlers, loop, peerAddress } = base;
    const journal = await openJournalFile(join(settings.dataFolder, "log.journal"), {
        retryWriteMs: settings.retryWriteMs,
        onWriteError: error => log.warn("disk_refused_write", { error: String(error) }),
    });
    const initialReplicas = settings.isFirstStart ? settings.seeds : [];
    const replica = createReplica(new LogStorage(journal), initialReplicas, settings, base);
    const reconciler = createReplicaSetReconciler(replica, settings, base);
    const { seeds, decoder } = settings;
    const daemon = new BundleControllerDaemon(replica, reconciler, decoder, network, clock, log, metrics, loop, {
        address: peerAddress,
        seeds,
        upstreamEnds: settings.upstreamEnds,
        repeatPermits: settings.repeatPermits,
    });
    daemon.addHandlers(handlers);
    handlers.markComplete();
    daemon.start();
    log.info("controller_started", {
        peer: peerAddress,
        torn_bytes: journal.tornBytes,
        founder: initialReplicas.length > 0,
    });
    return {
        daemon,
        log,
        metrics,
        stop: async () => {
            await daemon.stop();
            await closeRoleBase(base, FINISH_TIMEOUT_MS);
        },
    };
}

/** `initialReplicas`: addresses of the first voters of a new log; empty when joining an existing one. */
function createReplica(
    storage: LogStorage,
    initialReplicas: readonly string[],
    settings: BundleControllerSettings,
    { clock, log, network, peerAddress }: RoleBase,
): ReplicatedLog {
    return new ReplicatedLog(storage, network, clock, log, {
        // Replicas are identified by address, so a replacement box counts as a new replica.
        name: peerAddress,
        address: peerAddress,
        others: initialReplicas.filter(address => address !== peerAddress).map(address => ({ name: address, address })),
        isInitialReplica: initialReplicas.includes(peerAddress),
        isFirstStart: initialReplicas.includes(peerAddress),
        electionTimeoutMs: settings.electionTimeoutMs,
        heartbeatMs: settings.heartbeatMs,
        proposeTimeoutMs: settings.proposeTimeoutMs,
        snapshotEvery: settings.snapshotEvery,
        random: Math.random,
    });
}

function createReplicaSetReconciler(
    replica: ReplicatedLog,
    settings: BundleControllerSettings,
    { clock, log, metrics, network, peerAddress }: RoleBase,
): ReplicaSetReconciler {
    return new ReplicaSetReconciler(
        replica,
        network,
        clock,
        log,
        new ReplicaSetMonitor(log, metrics, settings.replicaSet),
        {
            self: { name: peerAddress, address: peerAddress },
            periodMs: settings.electionTimeoutMs / 2,
            callTimeoutMs: settings.electionTimeoutMs,
            replicaSet: settings.replicaSet,
        },
    );
}

/** Starts a router that connects to its upstreams directly, without its server for callers. */
export async function startDirectRouter(
    settings: DirectRouterSettings,
): Promise<RunningBundleRole<DirectRouterDaemon>> {
    if (settings.router.bodyMemory !== undefined) {
        checkBodyMemoryOptions(settings.router.bodyMemory);
    }
    parseSection("survivors", survivorsSchema, settings.survivors);
    parseSection("repeats", repeatsSchema, settings.router.repeats);
    parseSection("streamOrigins", streamOriginsSchema, settings.router.streamOrigins);
    const relaySettings = settings.connectionRelay && parseConnectionRelaySettings(settings.connectionRelay);
    checkReadPacingSettings(settings.readPacing);
    const model = createUpstreamModel(settings);
    const admissionOptions = checkSection("admission", admissionSchema, settings.admission);
    if (admissionOptions !== undefined && model === undefined) {
        throw new RefusalError(createRefusal("settingsInvalid", "admission: needs the section upstreamModel"));
    }
    const admission = admissionOptions === undefined ? undefined : new AdmissionPolicy(admissionOptions, Math.random);
    const shareOptions = checkSection("fairShares", fairSharesSchema, settings.fairShares);
    if (shareOptions !== undefined && admission === undefined) {
        throw new RefusalError(createRefusal("settingsInvalid", "fairShares: needs the section admission"));
    }
    const base = await createRoleBase({ ...settings, role: "router", listen: settings.router.address });
    const { clock, log, metrics, network, handlers, loop, identity } = base;
    const readPacer = settings.readPacing && createReadPacer(settings.readPacing, base);
    if (readPacer !== undefined) {
        settings.upstreams.setReadSchedule(readPacer);
    }
    const self = { address: settings.router.address, zone: settings.zone };
    const holders = new TokenHolders(self);
    const routerLinks = new RouterLinks(network, log);
    const tokenBudget = new LocalTokenBudget(settings.name, identity.incarnation, settings.purse);
    const load = new UpstreamLoad(settings.zone, settings.load, model);
    const reporter = new PrepaidReporter(
        tokenBudget,
        network,
        clock,
        log,
        () => daemon.getControllerAddresses(),
        settings.reporter,
    );
    const endReporter = new UpstreamEndReporter(network, clock, log, () => daemon.getControllerAddresses(), {
        callTimeoutMs: settings.router.callTimeoutMs,
        retryMs: settings.router.reconnectDelayMs,
    });
    const endWatch = new UpstreamEndWatch(settings.upstreams, clock, log, end => endReporter.addEnd(end));
    const daemon: DirectRouterDaemon = new DirectRouterDaemon(
        settings.router,
        load,
        tokenBudget,
        settings.upstreams,
        log,
        metrics,
        settings.decoder,
        reporter,
        new PrepaidBorrower(tokenBudget, holders, network, routerLinks, log, metrics, settings.borrower),
        holders,
        new PlacementSharer(self, load, routerLinks, clock, log, settings.sharer),
        new RequestQuarantine(endWatch, endReporter, new Survivors(settings.survivors.maxAttributes), clock),
        network,
        clock,
        loop,
        admission,
    );
    daemon.addHandlers(handlers);
    if (shareOptions !== undefined && admission !== undefined) {
        const countRouters = () => daemon.getRouterCount();
        daemon.fairShares = new FairShareControl(
            shareOptions,
            admission,
            tokenBudget,
            countRouters,
            Math.random,
            log,
            metrics,
        );
        daemon.fairShares.start();
    }
    if (relaySettings !== undefined) {
        daemon.enableConnectionRelay(
            new RelayCoordinator(
                self,
                identity.incarnation,
                relaySettings,
                daemon,
                routerLinks,
                base.utilization,
                () => daemon.getEventLoopLagMs(),
                clock,
                log,
                metrics,
            ),
            handlers,
        );
    }
    handlers.markComplete();
    daemon.start();
    log.info("router_started", { incarnation: identity.incarnation });
    return {
        daemon,
        log,
        metrics,
        readPacer,
        stop: async () => {
            daemon.fairShares?.stop();
            await daemon.finishStop();
            await closeRoleBase(base, FINISH_TIMEOUT_MS);
        },
    };
}

function createUpstreamModel({ upstreamModel, sharer }: DirectRouterSettings): UpstreamModel | undefined {
    const options = checkSection("upstreamModel", upstreamModelSchema, upstreamModel);
    return options === undefined ? undefined : new UpstreamModel(options, sharer.minTokens, Math.random);
}

/** Makes the running roles that serve declared bundles out of settings; the other roles' wiring is in wiring.ts. */
import { mkdir } from "node:fs/promises";
import { join } from "node:path";
import { openJournalFile } from "./adapters/disk/journalFile.js";
import { LogStorage } from "./consensus/logStorage.js";
import { ReplicaSetKeeper } from "./consensus/replicaSetKeeper.js";
import { ReplicatedLog } from "./consensus/replicatedLog.js";
import { BundleControllerDaemon } from "./daemons/bundleController/bundleControllerDaemon.js";
import { DirectRouterDaemon, type DirectRouterOptions } from "./daemons/directRouter/directRouterDaemon.js";
import { PlacementSharer, type PlacementSharerOptions } from "./daemons/directRouter/placementSharer.js";
import { PrepaidBorrower, type PrepaidBorrowerOptions } from "./daemons/directRouter/prepaidBorrower.js";
import { PrepaidReporter, type PrepaidReporterOptions } from "./daemons/directRouter/prepaidReporter.js";
import { RequestQuarantine } from "./daemons/directRouter/requestQuarantine.js";
import { RouterLinks } from "./daemons/directRouter/routerLinks.js";
import { UpstreamEndReporter } from "./daemons/directRouter/upstreamEndReporter.js";
import { UpstreamEndWatch } from "./daemons/directRouter/upstreamEndWatch.js";
import { LocalTokenBudget } from "./domain/localTokenBudget.js";
import type { LocalTokenBudgetOptions } from "./domain/localTokenBudgetOptions.js";
import { TokenHolders } from "./domain/tokenHolders.js";
import { UpstreamLoad, type UpstreamLoadOptions } from "./domain/upstreamLoad.js";
import type { BundleDecoder } from "./ports/bundleDecoder.js";
import type { DirectUpstreams } from "./ports/directUpstream.js";
import type { Log } from "./ports/log.js";
import type { Metrics } from "./ports/metrics.js";
import { closeBase, createBase, type RoleBase } from "./roleBase.js";

/** What a process needs to know to run a role that serves bundles. Times in milliseconds. */
export interface BundleRoleSettings {
    readonly name: string;
    readonly zone: string;
    readonly fleetSecret: string;
    readonly logLevel: "info" | "warn" | "error";
    /** Peer addresses of controllers to begin with. */
    readonly seeds: readonly string[];
    readonly decoder: BundleDecoder;
    readonly metrics?: Metrics;
}

/** Settings of a controller that keeps bundles. Times in milliseconds. */
export interface BundleControllerSettings extends BundleRoleSettings {
    /** Where the system's other processes reach this one. */
    readonly peerAddress: string;
    readonly dataFolder: string;
    /** The whole fleet starts for the first time; the controllers at the seeds found the log. */
    readonly isFirstStart: boolean;
    readonly electionTimeoutMs: number;
    readonly heartbeatMs: number;
    readonly proposeTimeoutMs: number;
    /** Entries applied between snapshots. */
    readonly snapshotEvery: number;
    /** Pause before a write that the disk refused is tried again. */
    readonly retryWriteMs: number;
    /** A replica that has been silent for so long may be removed. */
    readonly removeReplicaAfterMs: number;
    /** Voting replicas that must answer for a silent one to be removed. */
    readonly minimumLiveReplicas: number;
}

/** Settings of a router that reaches its upstreams itself, by the part that goes by them. */
export interface DirectRouterSettings extends BundleRoleSettings {
    readonly router: DirectRouterOptions;
    readonly load: UpstreamLoadOptions;
    readonly purse: LocalTokenBudgetOptions;
    readonly reporter: PrepaidReporterOptions;
    readonly borrower: PrepaidBorrowerOptions;
    readonly sharer: PlacementSharerOptions;
    readonly upstreams: DirectUpstreams;
}

/** A running role and its daemon, for whoever serves it to the outside. */
export interface RunningBundleRole<T> {
    readonly daemon: T;
    readonly log: Log;
    /** A planned stop: resolves when what it held has been given back and closed. */
    stop(): Promise<void>;
}

/** Starts a controller that keeps bundles. Its interface to upstreams and operators is the caller's to open. */
export async function startBundleController(
    settings: BundleControllerSettings,
): Promise<RunningBundleRole<BundleControllerDaemon>> {
    await mkdir(settings.dataFolder, { recursive: true });
    const base = await createBase({ ...settings, role: "controller", listen: settings.peerAddress });
    const { clock, log, network, handlers, loop, peerAddress } = base;
    const journal = await openJournalFile(join(settings.dataFolder, "log.journal"), {
        retryWriteMs: settings.retryWriteMs,
        onRefused: error => log.warn("disk_refused_write", { error: String(error) }),
    });
    const founders = settings.isFirstStart ? settings.seeds : [];
    const replica = createReplica(new LogStorage(journal), founders, settings, base);
    const keeper = createReplicaSetKeeper(replica, settings, base);
    const { seeds, decoder } = settings;
    const daemon = new BundleControllerDaemon(replica, keeper, decoder, network, clock, log, loop, {
        address: peerAddress,
        seeds,
    });
    daemon.addHandlers(handlers);
    daemon.start();
    log.info("controller_started", { peer: peerAddress, torn_bytes: journal.tornBytes, founder: founders.length > 0 });
    return {
        daemon,
        log,
        stop: async () => {
            await daemon.stop();
            closeBase(base);
        },
    };
}

/** `founders`: addresses of the replicas that the log begins with; empty where there is a log to join. */
function createReplica(
    storage: LogStorage,
    founders: readonly string[],
    settings: BundleControllerSettings,
    { clock, log, network, peerAddress }: RoleBase,
): ReplicatedLog {
    return new ReplicatedLog(storage, network, clock, log, {
        // The address names a replica: a box that takes another's place has an address of its own.
        name: peerAddress,
        address: peerAddress,
        others: founders.filter(address => address !== peerAddress).map(address => ({ name: address, address })),
        isFounder: founders.includes(peerAddress),
        isFirstStart: founders.includes(peerAddress),
        electionTimeoutMs: settings.electionTimeoutMs,
        heartbeatMs: settings.heartbeatMs,
        proposeTimeoutMs: settings.proposeTimeoutMs,
        snapshotEvery: settings.snapshotEvery,
        random: Math.random,
    });
}

function createReplicaSetKeeper(
    replica: ReplicatedLog,
    settings: BundleControllerSettings,
    { clock, log, network, peerAddress }: RoleBase,
): ReplicaSetKeeper {
    return new ReplicaSetKeeper(replica, network, clock, log, {
        self: { name: peerAddress, address: peerAddress },
        periodMs: settings.electionTimeoutMs / 2,
        removeAfterMs: settings.removeReplicaAfterMs,
        minimumLive: settings.minimumLiveReplicas,
        callTimeoutMs: settings.electionTimeoutMs,
    });
}

/** Starts a router that reaches its upstreams itself. Its interface to callers is the caller's to open. */
export async function startDirectRouter(
    settings: DirectRouterSettings,
): Promise<RunningBundleRole<DirectRouterDaemon>> {
    const base = await createBase({ ...settings, role: "router", listen: settings.router.address });
    const { clock, log, metrics, network, handlers, loop, identity } = base;
    const self = { address: settings.router.address, zone: settings.zone };
    const holders = new TokenHolders(self);
    const routerLinks = new RouterLinks(network, log);
    const purse = new LocalTokenBudget(settings.name, identity.incarnation, settings.purse);
    const load = new UpstreamLoad(settings.zone, settings.load);
    const reporter = new PrepaidReporter(
        purse,
        network,
        clock,
        log,
        () => daemon.getControllerAddresses(),
        settings.reporter,
    );
    const endReporter = new UpstreamEndReporter(network, clock, log, () => daemon.getControllerAddresses(), {
        callTimeoutMs: settings.router.callTimeoutMs,
        retryMs: settings.router.redialMs,
    });
    const endWatch = new UpstreamEndWatch(settings.upstreams, clock, log, end => endReporter.addEnd(end));
    const daemon: DirectRouterDaemon = new DirectRouterDaemon(
        settings.router,
        load,
        purse,
        settings.upstreams,
        log,
        metrics,
        settings.decoder,
        reporter,
        new PrepaidBorrower(purse, holders, network, routerLinks, log, settings.borrower),
        holders,
        new PlacementSharer(self, load, routerLinks, clock, log, settings.sharer),
        new RequestQuarantine(endWatch, endReporter, clock),
        network,
        clock,
        loop,
    );
    daemon.addHandlers(handlers);
    daemon.start();
    log.info("router_started", { incarnation: identity.incarnation });
    return {
        daemon,
        log,
        stop: async () => {
            await daemon.finishStop();
            closeBase(base);
        },
    };
}

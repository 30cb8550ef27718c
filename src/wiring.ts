/**
 * The one module that constructs: makes running roles out of settings. What only some roles need (nestjs and fastify,
 * some 45 MB) is imported where it is used, so that a sidecar's slot does not pay for it.
 */
import { mkdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import { openJournalFile } from "./adapters/disk/journalFile.js";
import { KeyValueLog } from "./adapters/keyValueLog.js";
import { parseAddress, TcpNetwork } from "./adapters/rpc/tcpNetwork.js";
import { LogStorage } from "./consensus/logStorage.js";
import { ReplicaSetKeeper } from "./consensus/replicaSetKeeper.js";
import { ReplicatedLog } from "./consensus/replicatedLog.js";
import { BundleControllerDaemon } from "./daemons/bundleController/bundleControllerDaemon.js";
import { ConfigClient } from "./daemons/configClient.js";
import { AuditTrail } from "./daemons/controller/auditTrail.js";
import { ControllerDaemon } from "./daemons/controller/controllerDaemon.js";
import type { ControllerContext } from "./daemons/controller/fleetView.js";
import { openLedger } from "./daemons/controller/ledgerFile.js";
import { sortByZone } from "./daemons/controllerAddress.js";
import { DirectRouterDaemon, type DirectRouterOptions } from "./daemons/directRouter/directRouterDaemon.js";
import { PrepaidBorrower, type PrepaidBorrowerOptions } from "./daemons/directRouter/prepaidBorrower.js";
import { PrepaidReporter, type PrepaidReporterOptions } from "./daemons/directRouter/prepaidReporter.js";
import { CallerRequests } from "./daemons/router/callerRequests.js";
import { ClaimClient } from "./daemons/router/claimClient.js";
import { IntentClient } from "./daemons/router/intentClient.js";
import { LedgerClient } from "./daemons/router/ledgerClient.js";
import { RequestRunner } from "./daemons/router/requestRunner.js";
import { RouterDaemon } from "./daemons/router/routerDaemon.js";
import { RunClient } from "./daemons/router/runClient.js";
import { UsageWitness } from "./daemons/router/usageWitness.js";
import { SidecarDaemon } from "./daemons/sidecar/sidecarDaemon.js";
import { UsageOutbox } from "./daemons/usageOutbox.js";
import { ConfigView } from "./domain/configView.js";
import { createRandomId } from "./domain/identifiers.js";
import { IntentBook } from "./domain/intentBook.js";
import { PrepaidPurse, type PrepaidPurseOptions } from "./domain/prepaidPurse.js";
import { createRefusal, RefusalError } from "./domain/resultCodes.js";
import { UpstreamChooser } from "./domain/upstreamChooser.js";
import { UpstreamLoad, type UpstreamLoadOptions } from "./domain/upstreamLoad.js";
import type { BundleDecoder } from "./ports/bundleDecoder.js";
import { SystemClock } from "./ports/clock.js";
import type { DirectUpstreams } from "./ports/directUpstream.js";
import type { Log } from "./ports/log.js";
import { type MembershipSource, NoMembership } from "./ports/membership.js";
import { type Metrics, NoMetrics } from "./ports/metrics.js";
import { PeerHandlers, type PeerIdentity } from "./ports/peer.js";
import type { CommonSettings, ControllerSettings, RouterSettings, SidecarSettings } from "./settings/schemas.js";

/** A role that is running in this process. */
export interface RunningRole {
    /** Where other processes reach it. */
    readonly peerAddress: string;
    /** Where callers or operators reach it; empty for a role that they do not. */
    readonly httpAddress: string;
    /** A planned stop: resolves when everything in flight has ended. */
    stop(): Promise<void>;
}

/** What every role of the fleet is built on. */
interface RoleBase {
    readonly identity: PeerIdentity;
    readonly clock: SystemClock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly handlers: PeerHandlers;
    readonly network: TcpNetwork;
    readonly peerAddress: string;
}

/** Starts a controller. */
export async function startController(settings: ControllerSettings): Promise<RunningRole> {
    await mkdir(settings.dataFolder, { recursive: true });
    const base = await createBase(settings);
    const { clock, log, metrics, network, handlers } = base;
    const journals = await openControllerJournals(settings.dataFolder, log);
    const storage = new LogStorage(journals.log);
    const replicated = new ReplicatedLog(storage, network, clock, log, {
        name: settings.name,
        others: settings.controllers.filter(controller => controller.name !== settings.name),
        electionTimeoutMs: settings.electionTimeoutMs,
        heartbeatMs: settings.heartbeatMs,
        proposeTimeoutMs: settings.proposeTimeoutMs,
        snapshotEvery: settings.snapshotEvery,
        random: Math.random,
    });
    const opened = await openLedger(journals.ledger, settings.name, replicated);
    const context: ControllerContext = {
        name: settings.name,
        zone: settings.zone,
        controllers: settings.controllers,
        log: replicated,
        ledger: opened.ledger,
        network,
        clock,
        events: log,
        metrics,
    };
    const intents = new IntentBook(journals.intents.journal, journals.intents.records as never);
    const audit = new AuditTrail(journals.audit, log);
    const daemon = new ControllerDaemon(context, handlers, intents, audit, {
        ...settings,
        startedEmpty: opened.startedEmpty,
        membership: await createMembership(settings.membershipUrl),
    });
    const { startHttpApp } = await import("./adapters/http/httpApp.js");
    const { OPERATOR_SERVICE, OperatorApi, OPERATORS } = await import("./adapters/http/operatorApi.js");
    const http = await startHttpApp(settings.operatorListen, {
        controllers: [OperatorApi],
        providers: [
            { provide: OPERATOR_SERVICE, useValue: daemon.operators },
            { provide: OPERATORS, useValue: settings.operators },
        ],
        log,
    });
    daemon.start();
    log.info("controller_started", {
        peer: base.peerAddress,
        operators: http.address,
        ledger: opened.ledger.id,
        started_empty: opened.startedEmpty,
    });
    return {
        peerAddress: base.peerAddress,
        httpAddress: http.address,
        stop: async () => {
            daemon.closeWatches();
            await http.close();
            await daemon.stop();
            closeBase(base);
        },
    };
}

async function createMembership(url: string | undefined): Promise<MembershipSource> {
    if (url === undefined) {
        return new NoMembership();
    }
    const { HttpMembership } = await import("./adapters/http/membershipList.js");
    return new HttpMembership(url);
}

async function openControllerJournals(
    folder: string,
    log: Log,
): Promise<Record<"log" | "ledger" | "intents" | "audit", Awaited<ReturnType<typeof openJournalFile>>>> {
    const open = async (name: string): ReturnType<typeof openJournalFile> => {
        const opened = await openJournalFile(join(folder, `${name}.journal`));
        if (opened.tornBytes > 0) {
            log.warn("journal_tail_cut", { journal: name, bytes: opened.tornBytes });
        }
        return opened;
    };
    return {
        log: await open("log"),
        ledger: await open("ledger"),
        intents: await open("intents"),
        audit: await open("audit"),
    };
}

/** Starts a router. */
export async function startRouter(settings: RouterSettings): Promise<RunningRole> {
    const base = await createBase(settings);
    const { clock, log, metrics, network, handlers, identity } = base;
    const controllers = sortByZone(settings.controllers, settings.zone);
    const view = new ConfigView();
    const config = createConfigClient(base, settings, view, () => daemon.getFigures());
    const outbox = new UsageOutbox(settings.controllers, network);
    const ledgers = new LedgerClient(network, clock, log, metrics, {
        router: settings.name,
        controllers,
        drawAheadMs: settings.drawAheadMs,
        settleWaitMs: settings.settleWaitMs,
    });
    const runs = new RunClient(network);
    const runner = new RequestRunner({
        view,
        clock,
        log,
        metrics,
        chooser: new UpstreamChooser(Math.random),
        ledgers,
        runs,
        claims: new ClaimClient(view, network, clock),
        intents: new IntentClient(network, controllers),
        witness: new UsageWitness(outbox, clock),
    });
    const requests = new CallerRequests(view, clock, identity);
    const daemon: RouterDaemon = new RouterDaemon(
        requests,
        runner,
        ledgers,
        outbox,
        config,
        runs,
        handlers,
        clock,
        log,
        metrics,
        settings,
    );
    daemon.start();
    config.start();
    const { startHttpApp } = await import("./adapters/http/httpApp.js");
    const { CallerApi, ROUTER_DAEMON } = await import("./adapters/http/callerApi.js");
    const http = await startHttpApp(settings.callerListen, {
        controllers: [CallerApi],
        providers: [{ provide: ROUTER_DAEMON, useValue: daemon }],
        log,
    });
    log.info("router_started", { peer: base.peerAddress, callers: http.address });
    return {
        peerAddress: base.peerAddress,
        httpAddress: http.address,
        stop: async () => {
            await daemon.prepareStop();
            await http.close();
            await daemon.finishStop();
            config.stop();
            closeBase(base);
        },
    };
}

/** Starts a sidecar. */
export async function startSidecar(settings: SidecarSettings): Promise<RunningRole> {
    const { HttpUpstream } = await import("./adapters/upstream/httpUpstream.js");
    const base = await createBase(settings);
    const { clock, log, metrics, network, handlers, identity } = base;
    const config = createConfigClient(base, settings, new ConfigView(), () => daemon.getFigures());
    const daemon: SidecarDaemon = new SidecarDaemon(config, network, handlers, clock, log, metrics, {
        box: settings.box,
        incarnation: identity.incarnation,
        controllers: settings.controllers,
        keepAnswersMs: settings.keepAnswersMs,
        indexKeepMs: settings.indexKeepMs,
        drainMs: settings.drainMs,
        createClient: upstream => new HttpUpstream(upstream.url, upstream.slots),
    });
    daemon.start();
    config.start();
    log.info("sidecar_started", { peer: base.peerAddress, box: settings.box });
    return {
        peerAddress: base.peerAddress,
        httpAddress: "",
        stop: async () => {
            await daemon.stop();
            config.stop();
            closeBase(base);
        },
    };
}

async function createMetrics({ statsd, metrics, role, name, zone }: BaseSettings): Promise<Metrics> {
    if (statsd === undefined) {
        return metrics ?? new NoMetrics();
    }
    const { StatsdMetrics } = await import("./adapters/statsdMetrics.js");
    return new StatsdMetrics(statsd, { role, name, zone });
}

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

export interface BundleControllerSettings extends BundleRoleSettings {
    /** Where the system's other processes reach this one. */
    readonly peerAddress: string;
    readonly dataFolder: string;
    /** The whole fleet starts for the first time; the controllers at the seeds found the log. */
    readonly isFirstStart: boolean;
    readonly electionTimeoutMs: number;
    readonly heartbeatMs: number;
    readonly proposeTimeoutMs: number;
    readonly snapshotEvery: number;
    readonly retryWriteMs: number;
    readonly removeReplicaAfterMs: number;
    readonly minimumLiveReplicas: number;
}

export interface DirectRouterSettings extends BundleRoleSettings {
    readonly router: DirectRouterOptions;
    readonly load: UpstreamLoadOptions;
    readonly purse: PrepaidPurseOptions;
    readonly reporter: PrepaidReporterOptions;
    readonly borrower: PrepaidBorrowerOptions;
    readonly upstreams: DirectUpstreams;
}

/** A running role and its daemon, for whoever serves it to the outside. */
export interface RunningBundleRole<T> {
    readonly daemon: T;
    readonly log: Log;
    stop(): Promise<void>;
}

/** Starts a controller that keeps bundles. Its interface to upstreams and operators is the caller's to open. */
export async function startBundleController(
    settings: BundleControllerSettings,
): Promise<RunningBundleRole<BundleControllerDaemon>> {
    await mkdir(settings.dataFolder, { recursive: true });
    const base = await createBase({ ...settings, role: "controller", listen: settings.peerAddress });
    const { clock, log, network, handlers, peerAddress } = base;
    const journal = await openJournalFile(join(settings.dataFolder, "log.journal"), {
        retryWriteMs: settings.retryWriteMs,
        onRefused: error => log.warn("disk_refused_write", { error: String(error) }),
    });
    const founders = settings.isFirstStart ? settings.seeds : [];
    const replica = new ReplicatedLog(new LogStorage(journal), network, clock, log, {
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
    const keeper = new ReplicaSetKeeper(replica, network, clock, log, {
        self: { name: peerAddress, address: peerAddress },
        periodMs: settings.electionTimeoutMs / 2,
        removeAfterMs: settings.removeReplicaAfterMs,
        minimumLive: settings.minimumLiveReplicas,
        callTimeoutMs: settings.electionTimeoutMs,
    });
    const { seeds, decoder } = settings;
    const daemon = new BundleControllerDaemon(replica, keeper, decoder, network, clock, log, {
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

/** Starts a router that reaches its upstreams itself. Its interface to callers is the caller's to open. */
export async function startDirectRouter(
    settings: DirectRouterSettings,
): Promise<RunningBundleRole<DirectRouterDaemon>> {
    const base = await createBase({ ...settings, role: "router", listen: settings.router.address });
    const { clock, log, metrics, network, handlers, identity } = base;
    const purse = new PrepaidPurse(settings.name, identity.incarnation, settings.purse);
    const reporter = new PrepaidReporter(
        purse,
        network,
        clock,
        log,
        () => daemon.getControllers(),
        settings.reporter,
    );
    const daemon: DirectRouterDaemon = new DirectRouterDaemon(
        settings.router,
        new UpstreamLoad(settings.zone, settings.load),
        purse,
        settings.upstreams,
        log,
        metrics,
        settings.decoder,
        reporter,
        new PrepaidBorrower(purse, network, log, settings.borrower),
        network,
        clock,
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

/** What the base of a role needs from its settings. */
type BaseSettings = Pick<CommonSettings, "name" | "zone" | "role" | "logLevel" | "listen"> & Partial<CommonSettings> & {
    readonly metrics?: Metrics;
};

async function createBase(settings: BaseSettings): Promise<RoleBase> {
    const { name, zone, role } = settings;
    const identity: PeerIdentity = { name, role, zone, incarnation: createRandomId() };
    const log = new KeyValueLog({ role, name, zone }, settings.logLevel);
    const metrics = await createMetrics(settings);
    const handlers = new PeerHandlers();
    const secret = await readFleetSecret(settings);
    const network = new TcpNetwork({ identity, secret, handlers, log, addressMap: settings.addressMap ?? {} });
    const { host, port: asked } = parseAddress(settings.listen);
    const port = await network.listen(host, asked);
    const peerAddress = `${settings.listen.slice(0, settings.listen.lastIndexOf(":"))}:${port}`;
    return { identity, clock: new SystemClock(), log, metrics, handlers, network, peerAddress };
}

function closeBase(base: RoleBase): void {
    base.network.close();
    base.metrics.close();
}

function createConfigClient(
    base: RoleBase,
    settings: RouterSettings | SidecarSettings,
    view: ConfigView,
    getFigures: () => Record<string, number>,
): ConfigClient {
    const { network, clock, log, peerAddress, handlers } = base;
    const config = new ConfigClient(
        view,
        settings.controllers,
        settings.zone,
        peerAddress,
        network,
        clock,
        log,
        getFigures,
        settings.unconfirmedReadyMs,
    );
    config.addHandlers(handlers);
    return config;
}

async function readFleetSecret(settings: Partial<CommonSettings>): Promise<string> {
    if (settings.fleetSecret !== undefined) {
        return settings.fleetSecret;
    }
    if (settings.fleetSecretFile === undefined) {
        throw new RefusalError(createRefusal("settingsInvalid", "fleetSecret or fleetSecretFile is needed"));
    }
    return (await readFile(settings.fleetSecretFile, "utf8")).trim();
}

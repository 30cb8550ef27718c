/**
 * Composition root of the roles. Those that serve bundles are composed in bundleWiring.ts. Modules that only some roles
 * need, such as nestjs and fastify (about 45 MB), are imported dynamically to keep the memory footprint of a sidecar small.
 */
import { mkdir } from "node:fs/promises";
import { join } from "node:path";
import { openJournalFile } from "./adapters/disk/journalFile.js";
import { LogStorage } from "./consensus/logStorage.js";
import { ReplicatedLog } from "./consensus/replicatedLog.js";
import { ConfigClient } from "./daemons/configClient.js";
import { AuditTrail } from "./daemons/controller/auditTrail.js";
import type { ControllerContext } from "./daemons/controller/controllerContext.js";
import { ControllerDaemon } from "./daemons/controller/controllerDaemon.js";
import { openLedger } from "./daemons/controller/openLedger.js";
import { sortByZone } from "./daemons/controllerAddress.js";
import { ClaimClient } from "./daemons/router/claimClient.js";
import { IntentClient } from "./daemons/router/intentClient.js";
import { JobFactory } from "./daemons/router/jobFactory.js";
import { LedgerClient } from "./daemons/router/ledgerClient.js";
import { RelayedUsageReporter } from "./daemons/router/relayedUsageReporter.js";
import { RequestRunner } from "./daemons/router/requestRunner.js";
import { RouterDaemon } from "./daemons/router/routerDaemon.js";
import { RunClient } from "./daemons/router/runClient.js";
import { SidecarDaemon } from "./daemons/sidecar/sidecarDaemon.js";
import { UsageOutbox } from "./daemons/usageOutbox.js";
import { ConfigView } from "./domain/configView.js";
import { IntentStore } from "./domain/intentStore.js";
import { UpstreamChooser } from "./domain/upstreamChooser.js";
import type { Log } from "./ports/log.js";
import { type MembershipSource, NoMembership } from "./ports/membership.js";
import { closeRoleBase, createRoleBase, type RoleBase } from "./roleBase.js";
import type { ControllerSettings, RouterSettings, SidecarSettings } from "./settings/schemas.js";

/** Maximum time that a controller's planned stop waits for operators' requests; longer than any of them takes. */
const OPERATOR_DRAIN_MS = 10_000;
/** Time at the end of a planned stop in which other processes receive what this one has sent. */
const FINISH_TIMEOUT_MS = 1_000;

export interface RunningRole {
    readonly log: Log;
    /** HOST:PORT on which other processes connect; empty for stand-ins. */
    readonly peerAddress: string;
    /** HOST:PORT of the HTTP server for callers or operators; empty for a role without one. */
    readonly httpAddress: string;
    /** Shuts down gracefully; resolves when all requests in flight have ended. */
    stop(): Promise<void>;
}

export async function startController(settings: ControllerSettings): Promise<RunningRole> {
    await mkdir(settings.dataFolder, { recursive: true });
    const base = await createRoleBase(settings);
    const { clock, log, metrics, network, handlers } = base;
    const journals = await openControllerJournals(settings.dataFolder, log);
    const storage = new LogStorage(journals.log);
    const replicatedLog = new ReplicatedLog(storage, network, clock, log, {
        name: settings.name,
        others: settings.controllers.filter(controller => controller.name !== settings.name),
        electionTimeoutMs: settings.electionTimeoutMs,
        heartbeatMs: settings.heartbeatMs,
        proposeTimeoutMs: settings.proposeTimeoutMs,
        snapshotEvery: settings.snapshotEvery,
        random: Math.random,
    });
    const openedLedger = await openLedger(journals.ledger, settings.name, replicatedLog);
    const context: ControllerContext = {
        name: settings.name,
        zone: settings.zone,
        controllers: settings.controllers,
        log: replicatedLog,
        ledger: openedLedger.ledger,
        network,
        clock,
        events: log,
        metrics,
    };
    const intents = new IntentStore(journals.intents.journal, journals.intents.records as never);
    const audit = new AuditTrail(journals.audit, log);
    const daemon = new ControllerDaemon(context, handlers, intents, audit, {
        ...settings,
        startedEmpty: openedLedger.startedEmpty,
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
        metrics,
    });
    handlers.markComplete();
    daemon.start();
    log.info("controller_started", {
        peer: base.peerAddress,
        operators: http.address,
        ledger: openedLedger.ledger.id,
        started_empty: openedLedger.startedEmpty,
    });
    return {
        log,
        peerAddress: base.peerAddress,
        httpAddress: http.address,
        stop: async () => {
            daemon.closeWatches();
            await http.close(OPERATOR_DRAIN_MS);
            await daemon.stop();
            await closeRoleBase(base, FINISH_TIMEOUT_MS);
        },
    };
}

async function createMembership(url: string | undefined): Promise<MembershipSource> {
    if (url === undefined) {
        return new NoMembership();
    }
    const { HttpMembership } = await import("./adapters/http/httpMembership.js");
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

export async function startRouter(settings: RouterSettings): Promise<RunningRole> {
    const base = await createRoleBase(settings);
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
        intents: new IntentClient(network, clock, log, controllers),
        relayedUsageReporter: new RelayedUsageReporter(outbox, clock),
    });
    const requests = new JobFactory(view, clock, identity);
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
    handlers.markComplete();
    daemon.start();
    config.start();
    const { startHttpApp } = await import("./adapters/http/httpApp.js");
    const { CallerApi, ROUTER_DAEMON } = await import("./adapters/http/callerApi.js");
    const http = await startHttpApp(settings.callerListen, {
        controllers: [CallerApi],
        providers: [{ provide: ROUTER_DAEMON, useValue: daemon }],
        log,
        metrics,
    });
    log.info("router_started", { peer: base.peerAddress, callers: http.address });
    return {
        log,
        peerAddress: base.peerAddress,
        httpAddress: http.address,
        stop: async () => {
            http.announceClose();
            await daemon.startShutdown();
            await http.close(settings.drainMs);
            await daemon.finishShutdown();
            config.stop();
            await closeRoleBase(base, FINISH_TIMEOUT_MS);
        },
    };
}

export async function startSidecar(settings: SidecarSettings): Promise<RunningRole> {
    const { HttpUpstream } = await import("./adapters/upstream/httpUpstream.js");
    const base = await createRoleBase(settings);
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
    handlers.markComplete();
    daemon.start();
    config.start();
    log.info("sidecar_started", { peer: base.peerAddress, box: settings.box });
    return {
        log,
        peerAddress: base.peerAddress,
        httpAddress: "",
        stop: async () => {
            await daemon.stop();
            config.stop();
            await closeRoleBase(base, FINISH_TIMEOUT_MS);
        },
    };
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

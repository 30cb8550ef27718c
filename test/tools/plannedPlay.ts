/**
 * A play of planned work: controllers and routers of one zone as separate processes, engines in this one, and callers that
 * keep connections, some of which a router has relayed to others while it was short of CPU time.
 */
import { type CallerHabits, DEADLINE_MS, KeptConnection } from "./keptConnection.js";
import { LossAudit } from "./lossAudit.js";
import { getVersionPath, PlayEngine, type PlayPath, PlayPaths } from "./playEngine.js";
import { type ProcessEnd, ProcessFleet, type ProcessFleetOptions } from "./processFleet.js";
import { ReadinessProbes } from "./readinessProbes.js";
import type { PlayAnswer } from "./versionAudit.js";
import { wait, waitUntil } from "./waiting.js";
import { createLargeWireBundle } from "./wireBundle.js";

/** A configuration in the wire format. */
export type WireBundle = ReturnType<typeof createBundle>;

const GRACE_S = 8;
export const GRACE_MS = GRACE_S * 1_000;
const LIMITS = { graceMs: GRACE_MS, settingsMs: 2_000, bundleMs: 2_000, lossSlackMs: 200 } as const;
/** Relays all connections that it may, and still serves. */
const BUSY_FRACTION = 0.8;
const MIN_RELAYED_FRACTION = 0.5;
const MAX_OPENED_CONNECTIONS = 200;

/** How a planned stop went. */
export interface PlannedStop {
    readonly code: number | undefined;
    readonly tookMs: number;
}

/** What a request of a play may cost: sends in all, whether a stream may go on at another engine, and the length of its body. */
export interface PlayRepeats {
    readonly attempts: number;
    readonly resumable: boolean;
    readonly maxBodyBytes?: number;
}

/** A stream that may be resumed goes on at another engine after a silence. */
export const NO_REPEATS: PlayRepeats = { attempts: 1, resumable: false };

export async function startPlay(
    network: number,
    routers: number,
    repeats: PlayRepeats = NO_REPEATS,
    fleetOptions: Partial<ProcessFleetOptions> = {},
): Promise<PlannedPlay> {
    const play = new PlannedPlay(network, routers, repeats, fleetOptions);
    try {
        await play.start();
        return play;
    }
    catch (error) {
        await play.close();
        throw error;
    }
}

export class PlannedPlay {
    readonly fleet: ProcessFleet;
    audit = new LossAudit(LIMITS);
    readonly probes: ReadinessProbes;
    /** Answers by status; "none" where there was no whole one. */
    outcomes: Record<string, number> = {};
    /** Whole answers. */
    answers: PlayAnswer[] = [];
    private readonly engines: readonly PlayEngine[];
    private readonly connections = new Set<KeptConnection>();
    /** Routes that configurations have beside those of the requests. */
    extraRoutes = 0;
    private revision = 1;
    private lastId = 0;

    constructor(
        network: number,
        routers: number,
        private readonly repeats: PlayRepeats,
        fleetOptions: Partial<ProcessFleetOptions> = {},
    ) {
        this.fleet = new ProcessFleet({
            network,
            controllers: 3,
            routers,
            retryRatio: 0.2,
            retrySlack: 50,
            hasSmallRouters: true,
            graceS: GRACE_S,
            ...fleetOptions,
        });
        this.probes = new ReadinessProbes(this.fleet);
        this.engines = ["engines", "engines", "plain"].map((service, i) =>
            new PlayEngine(this.fleet, i + 1, service, this)
        );
    }

    async start(): Promise<void> {
        await this.fleet.start(createBundle(this.revision, this.repeats, 0));
        await Promise.all(this.engines.map(engine => engine.start()));
        this.probes.start();
        for (const router of this.fleet.listRouters()) {
            await this.waitServing(router);
        }
    }

    async close(): Promise<void> {
        this.probes.stop();
        this.closeConnections();
        this.engines.forEach(engine => engine.stop());
        await this.fleet.close();
    }

    /** Opens connections to a router that it relays to others. The router is at rest when they are returned. */
    async openRelayed(router: string, count: number): Promise<KeptConnection[]> {
        this.fleet.setBusyFraction(router, BUSY_FRACTION);
        const readFraction = async () => await this.fleet.readMetric(router, "relay_fraction") ?? 0;
        await waitUntil(`${router} to relay`, async () => await readFraction() >= MIN_RELAYED_FRACTION);
        const opened: KeptConnection[] = [];
        for (let i = 0; i < MAX_OPENED_CONNECTIONS && opened.length < count; i++) {
            const connection = this.open(router);
            const status = await this.send(connection, PlayPaths.short);
            // A router that relays closes the connections that it serves itself.
            if (status === 200 && connection.isOpen()) {
                opened.push(connection);
            }
        }
        this.fleet.setBusyFraction(router, 0);
        await waitUntil(`${router} to be at rest`, async () => await readFraction() === 0);
        if (opened.length < count) {
            throw new Error(`${router} relayed ${opened.length} of ${count} connections`);
        }
        return opened;
    }

    /** Opens connections to a router that serves them itself. */
    async openServed(router: string, count: number): Promise<KeptConnection[]> {
        const connections = Array.from({ length: count }, () => this.open(router));
        await Promise.all(connections.map(connection => this.send(connection, PlayPaths.short)));
        return connections;
    }

    open(router: string): KeptConnection {
        const connection = new KeptConnection(router, this.fleet.getCallerUrl(router));
        this.connections.add(connection);
        return connection;
    }

    closeConnections(): void {
        this.connections.forEach(connection => connection.close());
        this.connections.clear();
    }

    /** Sends a request and records it. Resolves to the status of its answer; undefined if that is not whole. */
    async send(connection: KeptConnection, path: PlayPath, habits: CallerHabits = {}): Promise<number | undefined> {
        this.lastId += 1;
        const id = `a${this.lastId}`;
        this.audit.recordDeadline(id, DEADLINE_MS);
        let sentAt = performance.now();
        const onSent = (): void => {
            sentAt = performance.now();
            this.audit.recordSent(id, connection.router, sentAt);
            habits.onSent?.();
        };
        const answer = await connection.send(id, path, { ...habits, onSent });
        const isOwn = answer.status !== 200 || this.engines.some(engine => engine.tryGetBody(id) === answer.body);
        const isWhole = answer.isComplete && isOwn;
        const endedAt = performance.now();
        this.audit.recordAnswerEnd(id, endedAt, isWhole, answer.cause ?? (isOwn ? undefined : "other body"));
        const outcome = isWhole ? String(answer.status) : "none";
        this.outcomes[outcome] = (this.outcomes[outcome] ?? 0) + 1;
        if (!isWhole) {
            return undefined;
        }
        this.answers.push({ id, router: connection.router, path, status: answer.status!, sentAt, endedAt });
        return answer.status;
    }

    /** Forgets what was recorded, before a play of its own. */
    resetRecords(): void {
        this.audit = new LossAudit(LIMITS);
        this.outcomes = {};
        this.answers = [];
    }

    /** Stops a router as planned; resolves when its process has ended. */
    async stop(router: string): Promise<PlannedStop> {
        const end: Promise<ProcessEnd> = this.fleet.waitEnd(router);
        const startedAt = performance.now();
        this.audit.recordStop(router, startedAt);
        this.fleet.signal(router, "SIGTERM");
        const { code, at } = await end;
        return { code, tookMs: at - startedAt };
    }

    /** Starts a router that has ended; resolves when callers use it again. */
    async startAgain(router: string): Promise<void> {
        this.fleet.startBox(router);
        await this.waitReady(router);
        await this.waitServing(router);
    }

    async waitReady(router: string): Promise<void> {
        await waitUntil(`${router} to be ready`, () => this.fleet.isReady(router));
    }

    /** Sends a router SIGHUP. */
    reload(router: string): void {
        this.audit.recordSettingsChange(router, performance.now());
        this.fleet.signal(router, "SIGHUP");
    }

    /** Returns the path of the route that the configuration put last has added. */
    getNewestPath(): PlayPath {
        return getVersionPath(this.revision);
    }

    /** Puts a configuration that adds a route; resolves when it is acknowledged. */
    async putNextBundle(): Promise<void> {
        const bundle = this.createNextBundle();
        const sentAt = performance.now();
        await waitUntil("the configuration", () => this.fleet.putBundle(bundle));
        this.audit.recordBundle(sentAt, performance.now());
    }

    /** Creates a configuration that adds a route, which is the newest path from now on. */
    createNextBundle(): WireBundle {
        this.revision += 1;
        return createBundle(this.revision, this.repeats, this.extraRoutes);
    }

    getRevision(): number {
        return this.revision;
    }

    /** Uses a connection, and then new ones to routers that are ready, until told to stop. */
    async runCaller(
        first: KeptConnection,
        choosePath: () => PlayPath,
        getPauseMs: () => number,
        isOver: () => boolean,
    ): Promise<void> {
        let connection = first;
        while (!isOver()) {
            if (!connection.isOpen()) {
                connection.close();
                connection = this.open(this.probes.chooseUsable());
            }
            await this.send(connection, choosePath());
            await wait(getPauseMs());
        }
    }

    /** Waits until a router serves both services. */
    private async waitServing(router: string): Promise<void> {
        for (const path of [PlayPaths.short, PlayPaths.steady]) {
            await waitUntil(`${router} to serve`, async () => {
                const connection = this.open(router);
                const status = await this.send(connection, path);
                connection.close();
                this.connections.delete(connection);
                return status === 200;
            });
        }
    }
}

/** Creates a configuration whose routes and tokens outlast a stop. */
function createBundle(revision: number, repeats: PlayRepeats, extraRoutes: number) {
    const bundle = createLargeWireBundle(revision, extraRoutes);
    const engines = { ...bundle.backends[0]!, engine: { slots: 64, kv_capacity: 500_000, stride: 5 } };
    const plain = bundle.routes.find(({ backend }) => backend === "plain")!;
    const versions = Array.from({ length: revision }, (_, i) => ({
        ...plain,
        name: `version-${i + 1}`,
        path_prefix: getVersionPath(i + 1),
    }));
    return {
        ...bundle,
        limits: { ...bundle.limits, max_body_bytes: repeats.maxBodyBytes ?? bundle.limits.max_body_bytes },
        routes: [...bundle.routes, ...versions].map(route => ({
            ...route,
            timeout_ms: DEADLINE_MS,
            attempts: repeats.attempts,
            resumable: repeats.resumable && route.type === "stream",
        })),
        backends: [engines, bundle.backends[1]],
        tenants: bundle.tenants.map(tenant => ({ ...tenant, prepaid: 10_000_000 })),
    };
}

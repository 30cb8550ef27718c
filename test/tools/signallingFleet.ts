/** A direct fleet with signalling engines and callers that send requests continuously. */
import { DirectCallers } from "./directCallers.js";
import { DirectFleet } from "./directFleet.js";
import { SignallingEngine } from "./signallingEngine.js";
import { waitUntil } from "./waiting.js";
import { createWireBundle } from "./wireBundle.js";

const CALLERS_PER_ROUTER = 4;
const CALL_PAUSE_MS = 30;
const CONTROLLERS = ["c1", "c2", "c3"];

export interface SignallingFleetOptions {
    /** See the constructor of `DirectFleet`. */
    readonly network: number;
    readonly routers: readonly string[];
    readonly engines: readonly string[];
    /** Path of the callers' requests. */
    readonly path?: string;
    /** Connection limit of all routers together to one engine; defaults to that of the wire bundle. */
    readonly maxConnections?: number;
}

export class SignallingFleet {
    readonly fleet: DirectFleet;
    readonly callers: DirectCallers;
    readonly engines: readonly SignallingEngine[];
    /** Statuses received by callers, in order. */
    readonly statuses: number[] = [];

    constructor(private readonly options: SignallingFleetOptions) {
        this.fleet = new DirectFleet(options.network);
        this.callers = new DirectCallers(this.fleet, options.path);
        this.engines = options.engines.map((id, i) => new SignallingEngine(this.fleet, id, `r${11 + i}`));
    }

    /** Starts controllers and routers and uploads the configuration; engines are started separately. */
    async open(): Promise<void> {
        const { maxConnections, routers } = this.options;
        await this.fleet.open();
        await Promise.all(CONTROLLERS.map(box => this.fleet.startController(box, true)));
        const bundle = createWireBundle(1);
        bundle.backends.forEach(backend => backend.max_conns = maxConnections ?? backend.max_conns);
        await this.fleet.putBundle("c1", bundle);
        await Promise.all(routers.map(box => this.fleet.startRouter(box)));
    }

    async close(): Promise<void> {
        await this.callers.stop();
        this.engines.forEach(engine => engine.close());
        await this.fleet.close();
    }

    /** Starts an engine and waits until every router answers with status 200. */
    async startEngine(engine: SignallingEngine): Promise<void> {
        await engine.start("c1");
        for (const router of this.options.routers) {
            await waitUntil(
                "status 200 from every router",
                async () => (await this.callers.call(router)).status === 200,
            );
        }
    }

    /** Starts all engines and callers and waits until every router has sent requests to every engine. */
    async startCallers(): Promise<void> {
        const { routers } = this.options;
        for (const engine of this.engines) {
            await this.startEngine(engine);
        }
        for (const router of routers) {
            for (let i = 0; i < CALLERS_PER_ROUTER; i++) {
                this.callers.startCaller(router, CALL_PAUSE_MS, status => this.statuses.push(status));
            }
        }
        await waitUntil(
            "requests from every router at every engine",
            () => this.engines.every(engine => this.isUsedByAllSince(engine, 0)),
        );
    }

    async stopControllers(): Promise<void> {
        await Promise.all(CONTROLLERS.map(box => this.fleet.stopController(box)));
    }

    /** Whether every router has sent the engine a request after `since` (monotonic clock). */
    isUsedByAllSince(engine: SignallingEngine, since: number): boolean {
        const arrivals = engine.arrivals.filter(({ at }) => at > since);
        return this.options.routers.every(name => arrivals.some(({ router }) => router === name));
    }

    getDaemon(router: string) {
        return this.fleet.routers.get(router)!.role.daemon;
    }

    /** Lists the statuses other than 200 that callers received. */
    listFailedStatuses(): number[] {
        return this.statuses.filter(status => status !== 200);
    }
}

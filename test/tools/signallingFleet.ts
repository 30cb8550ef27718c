/** A direct fleet before engines that say of themselves what a test wants, with callers that go on calling. */
import { DirectCallers } from "./directCallers.js";
import { DirectFleet } from "./directFleet.js";
import { SignallingEngine } from "./signallingEngine.js";
import { waitUntil } from "./waiting.js";
import { createWireBundle } from "./wireBundle.js";

/** How many callers each router has, and how long each pauses after an answer. */
const CALLERS = 4;
const CALL_PAUSE_MS = 30;
const CONTROLLERS = ["c1", "c2", "c3"];

export interface SignallingFleetOptions {
    /** The second part of the fleet's addresses, so that fleets of several files do not meet. */
    readonly network: number;
    readonly routers: readonly string[];
    readonly engines: readonly string[];
    /** What callers ask for. */
    readonly path?: string;
    /** Connections of all routers to one engine; as the configuration says where it is left out. */
    readonly maxConnections?: number;
}

export class SignallingFleet {
    readonly fleet: DirectFleet;
    readonly callers: DirectCallers;
    readonly engines: readonly SignallingEngine[];
    /** What callers got, in order. */
    readonly statuses: number[] = [];

    constructor(private readonly options: SignallingFleetOptions) {
        this.fleet = new DirectFleet(options.network);
        this.callers = new DirectCallers(this.fleet, options.path);
        this.engines = options.engines.map((id, i) => new SignallingEngine(this.fleet, id, `r${11 + i}`));
    }

    /** Starts everything but the engines. */
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

    /** Starts an engine, and waits until every router answers callers. */
    async startEngine(engine: SignallingEngine): Promise<void> {
        await engine.start("c1");
        for (const router of this.options.routers) {
            await waitUntil("callers are answered", async () => (await this.callers.call(router)).status === 200);
        }
    }

    /** Starts all engines and has every router called again and again, until all routers use all engines. */
    async startCallers(): Promise<void> {
        const { routers } = this.options;
        for (const engine of this.engines) {
            await this.startEngine(engine);
        }
        for (const router of routers) {
            for (let i = 0; i < CALLERS; i++) {
                this.callers.start(router, CALL_PAUSE_MS, status => this.statuses.push(status));
            }
        }
        await waitUntil("all are used by all", () => this.engines.every(engine => this.hasAllSince(engine, 0)));
    }

    async stopControllers(): Promise<void> {
        await Promise.all(CONTROLLERS.map(box => this.fleet.stopController(box)));
    }

    /** Whether an engine was sent something by each router after a moment. Monotonic clock. */
    hasAllSince(engine: SignallingEngine, since: number): boolean {
        const arrivals = engine.arrivals.filter(({ at }) => at > since);
        return this.options.routers.every(name => arrivals.some(({ router }) => router === name));
    }

    getDaemon(router: string) {
        return this.fleet.routers.get(router)!.role.daemon;
    }

    /** What callers got that were not answered. */
    listRefused(): number[] {
        return this.statuses.filter(status => status !== 200);
    }
}

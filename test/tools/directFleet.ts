/**
 * Runs controllers, routers and HTTP engines of a direct fleet in one process. Every box has its own loopback address in
 * 127.0.0.0/8.
 */
import { mkdtemp, rm } from "node:fs/promises";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { type BoxSettings, parseBoxSettings } from "../../platform/boxSettings.js";
import { startCallerServer } from "../../platform/callerServer.js";
import { startControlServer } from "../../platform/controlServer.js";
import { EngineClient } from "../../platform/engineClient.js";
import { createControllerSettings, createRouterSettings } from "../../platform/roleSettings.js";
import {
    type DirectRouterSettings,
    type RunningBundleRole,
    startBundleController,
    startDirectRouter,
} from "../../src/bundleWiring.js";
import type { BundleControllerDaemon } from "../../src/daemons/bundleController/bundleControllerDaemon.js";
import type { DirectRouterDaemon, DirectRouterOptions } from "../../src/daemons/directRouter/directRouterDaemon.js";
import { NoMetrics } from "../../src/ports/metrics.js";
import { ADMIN_PORT, CALLER_PORT, formatBoxSettings } from "./boxSettingsText.js";
import { tryOpenLogOutput } from "./testLogs.js";

const ENGINE_PORT = 8028;

interface RunningBox<T> {
    readonly role: RunningBundleRole<T>;
    readonly server: { close(): void; closeAllConnections(): void; };
}

/** A request received by an engine of the fleet. */
export interface EngineRequest {
    readonly method: string;
    readonly url: string;
    readonly headers: IncomingMessage["headers"];
}

export type EngineHandler = (message: IncomingMessage, response: ServerResponse) => void;

/** Interval at which upstreams report; routers take one that falls silent for lost. Milliseconds. */
const UPSTREAM_REPORT_MS = 400;

export class DirectFleet {
    readonly controllers = new Map<string, RunningBox<BundleControllerDaemon>>();
    readonly routers = new Map<string, RunningBox<DirectRouterDaemon>>();
    readonly engineRequests: EngineRequest[] = [];
    private readonly engines: Server[] = [];
    /** Functions that end the reports of each upstream, by its id. */
    private readonly reportStops = new Map<string, () => Promise<void>>();
    private readonly logOutput = tryOpenLogOutput("fleet");
    /** Everything is logged if logs are kept, and errors alone to standard output otherwise. */
    private readonly logSettings = this.logOutput === undefined
        ? { logLevel: "error" as const }
        : { logLevel: "info" as const, logOutput: this.logOutput };
    private folder = "";

    /** `network`: second octet of the fleet's addresses; unique to a test file, since files run in parallel. */
    constructor(private readonly network: number) {
        process.env["LOOMWINCH_FLEET_SECRET"] = "test-fleet-secret";
    }

    async open(): Promise<void> {
        this.folder = await mkdtemp(join(tmpdir(), "loomwinch-direct-"));
    }

    async close(): Promise<void> {
        await Promise.all([...this.reportStops.keys()].map(id => this.stopReporting(id)));
        await Promise.all([...this.routers.keys()].map(box => this.stopRouter(box)));
        await Promise.all([...this.controllers.keys()].map(box => this.stopController(box)));
        this.engines.forEach(engine => {
            engine.closeAllConnections();
            engine.close();
        });
        await rm(this.folder, { recursive: true });
        this.logOutput?.close();
    }

    getIp(box: string): string {
        return `127.${this.network}.${box.startsWith("c") ? 1 : 2}.${box.slice(1)}`;
    }

    getOperatorUrl(box: string, path: string): string {
        return `http://${this.getIp(box)}:${ADMIN_PORT}${path}`;
    }

    getCallerUrl(box: string, path: string): string {
        return `http://${this.getIp(box)}:${CALLER_PORT}${path}`;
    }

    /** Starts a controller. `disk`: name of its data folder; a restarted box may be given another one. */
    async startController(box: string, isFirstStart: boolean, disk = box): Promise<void> {
        const settings = this.createSettings(box, isFirstStart, disk);
        const role = await startBundleController({ ...createControllerSettings(settings), ...this.logSettings });
        const server = await startControlServer(role.daemon, settings.operatorListen!, role.log, new NoMetrics());
        this.controllers.set(box, { role, server });
    }

    async stopController(box: string): Promise<void> {
        await stopBox(this.controllers, box);
    }

    /**
     * Starts a router. `options` and `sections`: replace those of the platform's settings. `limits`: further settings of its box.
     */
    async startRouter(
        box: string,
        options: Partial<DirectRouterOptions> = {},
        limits = "",
        sections: Partial<DirectRouterSettings> = {},
    ): Promise<void> {
        const settings = this.createSettings(box, false, box, limits);
        const routerSettings = createRouterSettings(settings, new EngineClient());
        const role = await startDirectRouter({
            ...routerSettings,
            ...sections,
            router: { ...routerSettings.router, ...options },
            ...this.logSettings,
        });
        const server = await startCallerServer(role, settings.callerListen!);
        this.routers.set(box, { role, server });
    }

    async stopRouter(box: string): Promise<void> {
        await stopBox(this.routers, box);
    }

    /** Starts an engine and returns its address. */
    async startEngine(box: string, handle: EngineHandler): Promise<string> {
        const server = createServer((message, response) => {
            this.engineRequests.push({ method: message.method!, url: message.url!, headers: message.headers });
            message.resume();
            handle(message, response);
        });
        await new Promise<void>(resolve => server.listen(ENGINE_PORT, this.getIp(box), resolve));
        this.engines.push(server);
        return `${this.getIp(box)}:${ENGINE_PORT}`;
    }

    /** Reports an upstream to a controller until `stopReporting` or `close`. Resolves to the status of the first report. */
    async startReporting(controller: string, id: string, registration: object): Promise<number> {
        const url = this.getOperatorUrl(controller, `/loomwinch/instances/${id}`);
        let seqno = 1;
        const { status } = await this.sendRequest("PUT", url, { ...registration, seqno });
        let lastReport: Promise<unknown> = Promise.resolve();
        const timer = setInterval(() => {
            seqno += 1;
            // The next report makes up for a lost one.
            lastReport = this.sendRequest("PUT", url, { ...registration, seqno }).catch(() => undefined);
        }, UPSTREAM_REPORT_MS);
        this.reportStops.set(id, async () => {
            clearInterval(timer);
            await lastReport;
        });
        return status;
    }

    /** Ends the reports of an upstream; resolves when the last one has arrived. */
    async stopReporting(id: string): Promise<void> {
        await this.reportStops.get(id)?.();
        this.reportStops.delete(id);
    }

    /** Sends an HTTP request, such as a registration or an operator command, and returns status and body. */
    async sendRequest(
        method: "GET" | "PUT" | "POST" | "DELETE",
        url: string,
        body?: unknown,
    ): Promise<{ status: number; text: string; }> {
        const text = typeof body === "string" ? body : JSON.stringify(body);
        const answer = await request(url, { method, ...(body === undefined ? {} : { body: text }) });
        return { status: answer.statusCode, text: await answer.body.text() };
    }

    /** Uploads a configuration bundle; retries while the controller answers 5xx. */
    async putBundle(box: string, bundle: unknown): Promise<void> {
        for (;;) {
            const answer = await this.sendRequest("PUT", this.getOperatorUrl(box, "/loomwinch/config"), bundle);
            if (answer.status === 200) {
                return;
            }
            if (answer.status < 500) {
                throw new Error(`${answer.status} ${answer.text}`);
            }
            await new Promise(resolve => setTimeout(resolve, 100));
        }
    }

    private createSettings(box: string, isFirstStart: boolean, disk: string, limits = ""): BoxSettings {
        const seeds = ["c1", "c2", "c3"].map(seed => `${this.getIp(seed)}:${ADMIN_PORT}`);
        return parseBoxSettings(formatBoxSettings({
            name: box,
            ip: this.getIp(box),
            seeds,
            isFirstStart,
            dataFolder: join(this.folder, disk),
            sections: limits,
        }));
    }
}

async function stopBox<T>(boxes: Map<string, RunningBox<T>>, box: string): Promise<void> {
    const { role, server } = boxes.get(box)!;
    boxes.delete(box);
    server.closeAllConnections();
    server.close();
    await role.stop();
}

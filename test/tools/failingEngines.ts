/** Upstreams of a plain service that misbehave as a scene says, and callers that send at a constant rate. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Agent, request } from "undici";
import { ENGINE_REPORT_MS, type ProcessFleet } from "./processFleet.js";
import { registerUpstream } from "./registerUpstream.js";
import type { Arrival, UpstreamAudit } from "./upstreamAudit.js";
import { wait } from "./waiting.js";

const ENGINE_PORT = 8028;
const HOST = "api.example";
/** Callers wait a little longer than they say, so that they see late answers. */
const CALLER_PATIENCE_MS = 500;

/** What an engine does with a request. */
export type Behaviour =
    | { readonly type: "serve" | "fail"; readonly afterMs: number; }
    /** Rejects without running; `backoffMs`: sent as Retry-After. */
    | { readonly type: "shed"; readonly backoffMs?: number; }
    | { readonly type: "misdirect" | "reset" | "hang"; }
    /** `isByRequest`: whether the request ends every upstream that runs it. */
    | { readonly type: "end"; readonly isByRequest: boolean; };

export type ChooseBehaviour = (engine: number, count: number, message: IncomingMessage) => Behaviour;

export class FailingEngine {
    behave: ChooseBehaviour = () => ({ type: "serve", afterMs: 5 });
    /** Whether connections are reset as they are accepted. */
    resetsConnections = false;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private count = 0;
    private incarnation = 0;
    private sequence = 0;
    private isUp = true;
    private stopped = false;

    constructor(
        private readonly fleet: ProcessFleet,
        private readonly number: number,
        private readonly service: string,
        private readonly audit: UpstreamAudit,
        private readonly restartMs: number,
    ) {
        this.server = createServer((message, response) => this.answer(message, response));
        this.server.keepAliveTimeout = 15_000;
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
            socket.on("error", () => undefined);
            if (this.resetsConnections) {
                socket.resetAndDestroy();
            }
        });
    }

    async start(): Promise<void> {
        await this.listen();
        await this.report();
        void this.runReports();
    }

    stop(): void {
        this.stopped = true;
        this.closeServer();
    }

    getId(): string {
        return `e${this.number}-${this.incarnation}`;
    }

    private listen(): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(ENGINE_PORT, this.fleet.getIp(`e${this.number}`), resolve);
        });
    }

    private closeServer(): void {
        this.sockets.forEach(socket => socket.destroy());
        this.server.close();
    }

    private async runReports(): Promise<void> {
        while (!this.stopped) {
            await wait(ENGINE_REPORT_MS);
            if (this.isUp && !this.stopped) {
                await this.report();
            }
        }
    }

    private async report(): Promise<void> {
        this.sequence += 1;
        const controllers = this.fleet.listControllers().map(box => this.fleet.getControlUrl(box));
        await registerUpstream(controllers, this.getId(), {
            backend: this.service,
            address: `${this.fleet.getIp(`e${this.number}`)}:${ENGINE_PORT}`,
            zone: "z",
            slots: 64,
            state: "ready",
            seqno: this.sequence,
            config_rev: "v1",
        });
    }

    /** Ends as a process does, and comes back as a new incarnation. */
    private end(): void {
        this.isUp = false;
        this.closeServer();
        setTimeout(() => void this.startAgain(), this.restartMs);
    }

    private async startAgain(): Promise<void> {
        if (!this.stopped) {
            await this.listen().catch(() => undefined);
            this.incarnation += 1;
            this.sequence = 0;
            this.isUp = true;
        }
    }

    private answer(message: IncomingMessage, response: ServerResponse): void {
        message.resume();
        const id = String(message.headers["attempt-id"]);
        const deadline = message.headers["deadline-ms"];
        const arrival = this.audit.recordArrival({
            id,
            service: this.service,
            upstream: this.getId(),
            at: performance.now(),
            deadlineMs: deadline === undefined ? undefined : Number(deadline),
            isNotRun: false,
            isCutOff: false,
        });
        const expected = message.headers["expect-instance"];
        this.count += 1;
        const behaviour = expected !== undefined && expected !== this.getId()
            ? { type: "misdirect" } as const
            : this.behave(this.number, this.count, message);
        response.on("error", () => undefined);
        this.applyBehaviour(behaviour, arrival, message, response);
    }

    private applyBehaviour(
        behaviour: Behaviour,
        arrival: Arrival,
        message: IncomingMessage,
        response: ServerResponse,
    ): void {
        const identity = { "Attempt-Id": arrival.id };
        const signed = { ...identity, "Instance-Signature": `${this.getId()}.${arrival.id}` };
        switch (behaviour.type) {
            case "serve":
                setTimeout(() => response.writeHead(200, signed).end(`answer ${arrival.id}`), behaviour.afterMs);
                return;
            case "fail":
                setTimeout(() => response.writeHead(500, signed).end("failed"), behaviour.afterMs);
                return;
            case "shed": {
                arrival.isNotRun = true;
                const { backoffMs } = behaviour;
                const retryAfter = backoffMs === undefined ? {} : { "Retry-After": String(backoffMs / 1_000) };
                if (backoffMs !== undefined) {
                    arrival.backoffMs = backoffMs;
                }
                response.writeHead(503, { ...identity, "Not-Executed": "1", ...retryAfter }).end();
                return;
            }
            case "misdirect":
                arrival.isNotRun = true;
                response.writeHead(421, { ...identity, "Not-Executed": "1" }).end();
                return;
            case "reset":
                arrival.isCutOff = true;
                (message.socket as Socket).resetAndDestroy();
                return;
            case "hang":
                return;
            case "end":
                arrival.isCutOff = true;
                if (behaviour.isByRequest) {
                    this.audit.recordEnd(performance.now());
                }
                this.end();
        }
    }
}

export interface CallerAnswer {
    /** Undefined if the connection failed. */
    readonly status: number | undefined;
    readonly sentAt: number;
}

export interface CallerLoad {
    readonly service: string;
    readonly path: string;
    readonly perSecond: number;
    readonly deadlineMs: number;
    readonly maxAttempts: number;
    /** The same for each request; different ones by default. */
    readonly body?: string;
}

/** Sends requests at a constant rate to each router in turn, whether or not earlier ones have been answered. */
export class ConstantRateCallers {
    readonly answers: CallerAnswer[] = [];
    private readonly agent = new Agent({ connections: 64, connect: { timeout: 1_000 } });
    private readonly running = new Set<Promise<void>>();
    private lastId = 0;

    constructor(
        private readonly fleet: ProcessFleet,
        private readonly audit: UpstreamAudit,
        private readonly prefix: string,
    ) {}

    async run(load: CallerLoad, durationMs: number): Promise<void> {
        const routers = this.fleet.listRouters();
        const startedAt = performance.now();
        for (let count = 0; performance.now() < startedAt + durationMs; count++) {
            const dueAt = startedAt + count * 1_000 / load.perSecond;
            const waitMs = dueAt - performance.now();
            if (waitMs > 0) {
                await wait(waitMs);
            }
            this.start(load, routers[count % routers.length]!);
        }
        await Promise.all(this.running);
    }

    close(): Promise<void> {
        return this.agent.destroy();
    }

    private start(load: CallerLoad, router: string): void {
        const exchange = this.send(load, router);
        this.running.add(exchange);
        void exchange.finally(() => this.running.delete(exchange));
    }

    private async send(load: CallerLoad, router: string): Promise<void> {
        this.lastId += 1;
        const id = `${this.prefix}${this.lastId}`;
        const { service, deadlineMs, maxAttempts } = load;
        const sentAt = performance.now();
        this.audit.recordSent({ id, service, router, at: sentAt, deadlineMs, maxAttempts });
        let status: number | undefined;
        try {
            const answer = await request(`${this.fleet.getCallerUrl(router)}${load.path}`, {
                method: "POST",
                dispatcher: this.agent,
                headers: {
                    "Host": HOST,
                    "Attempt-Id": id,
                    "Credential": "key-1",
                    "Deadline-Ms": String(deadlineMs),
                },
                body: load.body ?? `question ${id}`,
                signal: AbortSignal.timeout(deadlineMs + CALLER_PATIENCE_MS),
            });
            await answer.body.dump();
            status = answer.statusCode;
        }
        catch {
            // The connection failed or the caller gave up.
        }
        this.answers.push({ status, sentAt });
    }
}

/** An upstream that records when requests reach it and how long it works on them, and answers as it is told. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { ENGINE_REPORT_MS, type ProcessFleet } from "./processFleet.js";
import { registerUpstream } from "./registerUpstream.js";
import { wait } from "./waiting.js";

/**
 * `run`: works until its caller leaves. `hang`: the same, without an answer. `hold`: answers at `releaseHeld`. `refuse`: says at
 * `releaseHeld` that it has not run the request.
 */
export type EngineMode = "answer" | "run" | "hang" | "hold" | "refuse";

/** One arrival of a request. Monotonic clock, milliseconds. */
export interface EngineArrival {
    readonly id: string;
    readonly at: number;
    /** Time that the upstream was given, in milliseconds. */
    readonly givenMs: number;
    /** Undefined while the upstream is at work. */
    endedAt: number | undefined;
}

const PORT = 8028;
const EVENT_MS = 20;

export class ArrivalEngine {
    mode: EngineMode = "answer";
    arrivals: EngineArrival[] = [];
    private readonly server: Server;
    private readonly held = new Set<() => void>();
    private sequence = 0;
    private isStopped = false;

    constructor(
        private readonly fleet: ProcessFleet,
        private readonly box: string,
        private readonly service: string,
    ) {
        this.server = createServer((message, response) => void this.answer(message, response));
        this.server.keepAliveTimeout = 60_000;
    }

    async start(): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(PORT, this.fleet.getIp(this.box), resolve);
        });
        void this.runReports();
    }

    stop(): void {
        this.isStopped = true;
        this.server.closeAllConnections();
        this.server.close();
    }

    /** Whether runs go on when their router has closed the connection for sending, as is usual for half-closed ones. */
    setHalfOpen(isHalfOpen: boolean): void {
        (this.server as unknown as { httpAllowHalfOpen: boolean; }).httpAllowHalfOpen = isHalfOpen;
    }

    /** Answers the requests that were held. */
    releaseHeld(): void {
        this.held.forEach(release => release());
        this.held.clear();
    }

    private async runReports(): Promise<void> {
        const controllers = this.fleet.listControllers().map(box => this.fleet.getControlUrl(box));
        while (!this.isStopped) {
            this.sequence += 1;
            await registerUpstream(controllers, this.box, {
                backend: this.service,
                address: `${this.fleet.getIp(this.box)}:${PORT}`,
                zone: "z",
                slots: 64,
                state: "ready",
                seqno: this.sequence,
                config_rev: "v1",
            });
            await wait(ENGINE_REPORT_MS);
        }
    }

    private answer(message: IncomingMessage, response: ServerResponse): void {
        message.resume();
        const id = String(message.headers["attempt-id"]);
        const arrival: EngineArrival = {
            id,
            at: performance.now(),
            givenMs: Number(message.headers["deadline-ms"]),
            endedAt: undefined,
        };
        this.arrivals.push(arrival);
        response.once("close", () => arrival.endedAt = performance.now());
        const signed = { "Attempt-Id": id, "Instance-Signature": `${this.box}.${id}` };
        switch (this.mode) {
            case "answer":
                response.writeHead(200, signed).end("answer");
                return;
            case "run":
                void this.runStream(response, signed);
                return;
            case "hang":
                return;
            case "hold":
                this.held.add(() => response.writeHead(200, signed).end("answer"));
                return;
            case "refuse":
                this.held.add(() => response.writeHead(503, { "Attempt-Id": id, "Not-Executed": "1" }).end());
        }
    }

    private async runStream(response: ServerResponse, signed: Record<string, string>): Promise<void> {
        response.writeHead(200, { ...signed, "Content-Type": "text/event-stream" });
        for (let number = 1; !response.closed; number++) {
            response.write(`id: ${number}\ndata: x\n\n`);
            await wait(EVENT_MS);
        }
        response.end();
    }
}

/**
 * An engine that ends as soon as it begins to run a request of a certain body, and starts again after a while with another
 * life. What else it runs then breaks off.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { DirectFleet } from "./directFleet.js";

/** The body that ends whatever runs it. */
export const DEADLY_BODY = "deadly";
const ENGINE_PORT = 8028;
/** How long it takes to start again, between the pieces of an answer, and between two reports. Milliseconds. */
const RESTART_MS = 600;
const PIECE_MS = 10;
const REPORT_MS = 300;
const PIECES = 4;

export class MortalEngine {
    /** Requests of the deadly body that it began to run. */
    deadlyRuns = 0;
    /** How often it has ended. */
    ends = 0;
    private server: Server | undefined;
    private bornAt = 1_700_000_000_000;
    private sequence = 0;
    private restart: NodeJS.Timeout | undefined;
    private reports: NodeJS.Timeout | undefined;
    private closed = false;
    /** It answers the deadly body by a failure of its own and does not end. */
    isFailing = false;

    constructor(
        private readonly fleet: DirectFleet,
        private readonly id: string,
        private readonly box: string,
        private readonly service = "engines",
    ) {}

    /** Listens and registers itself. */
    async start(): Promise<void> {
        const server = createServer((message, response) => void this.serve(message, response));
        this.server = server;
        await new Promise<void>(resolve => server.listen(ENGINE_PORT, this.fleet.getIp(this.box), resolve));
        this.bornAt += 1_000;
        this.sequence = 0;
        this.reports = setInterval(() => void this.report(), REPORT_MS);
        await this.report();
    }

    close(): void {
        this.closed = true;
        clearTimeout(this.restart);
        this.stopServer();
    }

    /** Registers at all controllers; one that is down hears the next report. */
    private async report(): Promise<void> {
        this.sequence += 1;
        const body = {
            backend: this.service,
            address: `${this.fleet.getIp(this.box)}:${ENGINE_PORT}`,
            zone: "z",
            slots: 8,
            state: "ready",
            seqno: this.sequence,
            born: this.bornAt,
        };
        const urls = [...this.fleet.controllers.keys()].map(controller =>
            this.fleet.getOperatorUrl(controller, `/loomwinch/instances/${this.id}`)
        );
        await Promise.allSettled(urls.map(url => this.fleet.call("PUT", url, body)));
    }

    private async serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
        response.on("error", () => undefined);
        const body = await readText(message);
        const head = { "Attempt-Id": message.headers["attempt-id"], "Instance-Signature": "sig" };
        const isDeadly = body === DEADLY_BODY;
        if (isDeadly && this.isFailing) {
            response.writeHead(500, { ...head, "Content-Length": 0 }).end();
            return;
        }
        response.writeHead(200, { ...head, "Content-Type": "text/event-stream" });
        this.deadlyRuns += isDeadly ? 1 : 0;
        for (let id = Number(message.headers["last-event-id"] ?? 0) + 1; id <= PIECES; id++) {
            response.write(`id: ${id}\ndata: piece ${id}\n\n`);
            await new Promise(resolve => setTimeout(resolve, PIECE_MS));
            if (isDeadly) {
                this.end();
                return;
            }
        }
        response.end();
    }

    private end(): void {
        if (this.server !== undefined && !this.closed) {
            this.ends += 1;
            this.stopServer();
            this.restart = setTimeout(() => void this.start(), RESTART_MS);
        }
    }

    private stopServer(): void {
        clearInterval(this.reports);
        this.server?.close();
        this.server?.closeAllConnections();
        this.server = undefined;
    }
}

async function readText(message: IncomingMessage): Promise<string> {
    const parts: Buffer[] = [];
    try {
        for await (const part of message) {
            parts.push(part as Buffer);
        }
    }
    catch {
        // The sender has left; what came of its request does not matter.
    }
    return Buffer.concat(parts).toString();
}

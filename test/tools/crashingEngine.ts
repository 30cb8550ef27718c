/**
 * An engine that crashes when it begins to answer a poison request, by its body or by a part of its prompt, or before, and restarts
 * under the same id as a new incarnation.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { DirectFleet } from "./directFleet.js";

/** Body of a request that crashes the engine running it. */
export const POISON_BODY = "poison";
const ENGINE_PORT = 8028;
const DEFAULT_RESTART_MS = 600;
const PIECE_MS = 10;
const REPORT_MS = 300;
const PIECES = 4;

export class CrashingEngine {
    /** Number of poison requests that it started to run. */
    poisonRuns = 0;
    /** When poison requests began to run, by part. Monotonic clock, milliseconds. */
    readonly poisonArrivals: { readonly at: number; readonly part: string; }[] = [];
    crashes = 0;
    private server: Server | undefined;
    private bornAt = 1_700_000_000_000;
    private sequence = 0;
    private restartTimer: NodeJS.Timeout | undefined;
    private reportTimer: NodeJS.Timeout | undefined;
    private closed = false;
    /** Answers poison requests with status 500 instead of crashing. */
    isFailing = false;
    /** Answers only when it has finished, as a plain service does, and crashes before. */
    isPlain = false;

    constructor(
        private readonly fleet: DirectFleet,
        private readonly id: string,
        private readonly box: string,
        private readonly service = "engines",
        private readonly poisonParts: ReadonlySet<string> = new Set(),
        private readonly restartMs = DEFAULT_RESTART_MS,
    ) {}

    /** Starts listening and registers with all controllers. */
    async start(): Promise<void> {
        const server = createServer((message, response) => void this.serve(message, response));
        this.server = server;
        await new Promise<void>(resolve => server.listen(ENGINE_PORT, this.fleet.getIp(this.box), resolve));
        this.bornAt += 1_000;
        this.sequence = 0;
        this.reportTimer = setInterval(() => void this.report(), REPORT_MS);
        await this.report();
    }

    close(): void {
        this.closed = true;
        clearTimeout(this.restartTimer);
        this.stopServer();
    }

    /** Registers with all controllers; one that is down receives a later report. */
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
        await Promise.allSettled(urls.map(url => this.fleet.sendRequest("PUT", url, body)));
    }

    private async serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
        response.on("error", () => undefined);
        const body = await readText(message);
        const head = { "Attempt-Id": message.headers["attempt-id"], "Instance-Signature": "sig" };
        const poisonPart = this.tryGetPoisonPart(message);
        if (poisonPart !== undefined) {
            this.poisonArrivals.push({ at: performance.now(), part: poisonPart });
        }
        const isPoison = body === POISON_BODY || poisonPart !== undefined;
        if (isPoison && this.isFailing) {
            response.writeHead(500, { ...head, "Content-Length": 0 }).end();
            return;
        }
        this.poisonRuns += isPoison ? 1 : 0;
        if (this.isPlain) {
            await new Promise(resolve => setTimeout(resolve, PIECES * PIECE_MS));
            if (isPoison) {
                this.crash();
                return;
            }
            response.writeHead(200, { ...head, "Content-Length": body.length }).end(body);
            return;
        }
        response.writeHead(200, { ...head, "Content-Type": "text/event-stream" });
        for (let id = Number(message.headers["last-event-id"] ?? 0) + 1; id <= PIECES; id++) {
            response.write(`id: ${id}\ndata: piece ${id}\n\n`);
            await new Promise(resolve => setTimeout(resolve, PIECE_MS));
            if (isPoison) {
                this.crash();
                return;
            }
        }
        response.end();
    }

    /** The last part is the request's own. */
    private tryGetPoisonPart(message: IncomingMessage): string | undefined {
        const header = message.headers["prefix-hash"] as string | undefined;
        const parts = header?.split(",").map(part => part.split(":")[0]!) ?? [];
        return parts.slice(0, -1).find(part => this.poisonParts.has(part));
    }

    /** Crashes now, whatever it runs. */
    crash(): void {
        if (this.server !== undefined && !this.closed) {
            this.crashes += 1;
            this.stopServer();
            this.restartTimer = setTimeout(() => void this.start(), this.restartMs);
        }
    }

    private stopServer(): void {
        clearInterval(this.reportTimer);
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
        // The sender disconnected; the incomplete body is harmless.
    }
    return Buffer.concat(parts).toString();
}

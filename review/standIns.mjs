/** Stand-ins for clients, engines and the link to an engine. They do only what PROTOCOL.md allows them. */
import { once } from "node:events";
import http from "node:http";
import net from "node:net";

export const ENGINE_PORT = 8228;
export const HEARTBEAT_MS = 1_200;
const CONTROL_PORT = 8229;

export const wait = ms => new Promise(resolve => setTimeout(resolve, ms));
export const now = () => performance.now();

/** Thrown if a case could not be set up, so that it neither passes nor fails. */
export class SetupError extends Error {}

/** Creates an id of 16 hexadecimal digits, as clients do for each attempt. */
export function createId() {
    return Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join("");
}

/**
 * Sends one HTTP request, on a connection of its own unless `agent` is given. Never rejects: resolves to the status, headers
 * and body, with `error` if the answer is missing or incomplete.
 */
export function sendHttp(
    { host, port, method = "GET", path, headers = {}, body, timeoutMs = 5_000, signal, onData, agent = false },
) {
    return new Promise(resolve => {
        const chunks = [];
        let answer;
        const finish = error =>
            resolve({
                status: answer?.statusCode,
                headers: answer?.headers ?? {},
                body: Buffer.concat(chunks).toString(),
                isComplete: answer?.complete === true,
                error,
            });
        const request = http.request({ host, port, method, path, headers, agent }, response => {
            answer = response;
            response.on("data", chunk => {
                chunks.push(chunk);
                onData?.(chunk);
            });
            response.on("end", () => finish());
            response.on("error", error => finish(error.code ?? error.message));
            response.on("close", () => finish("closed"));
        });
        request.on("error", error => finish(error.code ?? error.message));
        request.setTimeout(timeoutMs, () => request.destroy(new Error("timeout")));
        signal?.addEventListener("abort", () => request.destroy(new Error("gave up")));
        request.end(body);
    });
}

/**
 * An engine. Registers itself and sends heartbeats; answers 421 to a request that names another engine and passes the others
 * to `handle(request, response, id)` once the body has been read.
 */
export class Engine {
    /** `host`: where it listens. `address`: what it registers, if it is reached through something else. */
    constructor({ host, service, controllers, handle, address = `${host}:${ENGINE_PORT}` }) {
        this.id = `i-${createId().slice(0, 8)}`;
        this.host = host;
        this.service = service;
        this.controllers = controllers;
        this.handle = handle;
        this.address = address;
        this.sequence = 0;
        this.isBeating = false;
        /** Whether no controller can be reached. */
        this.isCutOff = false;
        this.server = http.createServer((request, response) => void this.serve(request, response));
    }

    /** Listens, registers itself and begins to send heartbeats. */
    async start() {
        await new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(ENGINE_PORT, this.host, resolve);
        });
        await this.startBeats();
    }

    /** Registers itself and begins to send heartbeats. */
    async startBeats() {
        for (let i = 0; !await this.beat(); i++) {
            if (i === 100) {
                throw new SetupError(`engine ${this.id} was not registered`);
            }
            await wait(100);
        }
        this.isBeating = true;
        void this.runBeats();
    }

    async runBeats() {
        while (this.isBeating) {
            await wait(HEARTBEAT_MS);
            if (!this.isCutOff) {
                await this.beat();
            }
        }
    }

    /** Sends a heartbeat to the first controller that answers 2xx within a second; resolves to whether one did. */
    async beat() {
        this.sequence += 1;
        const body = JSON.stringify({
            backend: this.service,
            address: this.address,
            zone: "lima-miraflores",
            config_rev: "v1",
            slots: 64,
            state: "ready",
            cold_left_ms: 0,
            seqno: this.sequence,
        });
        for (const host of this.controllers) {
            const { status } = await sendHttp({
                host,
                port: CONTROL_PORT,
                method: "PUT",
                path: `/loomwinch/instances/${this.id}`,
                headers: { "Content-Type": "application/json" },
                body,
                timeoutMs: 1_000,
            });
            if (status === 200) {
                return true;
            }
        }
        return false;
    }

    async serve(request, response) {
        try {
            // The body has no meaning to a stand-in.
            request.resume();
            await once(request, "end");
        }
        catch {
            return;
        }
        const id = request.headers["attempt-id"] ?? "";
        response.sendDate = false;
        if ((request.headers["expect-instance"] ?? this.id) !== this.id) {
            response.writeHead(421, { "Attempt-Id": id, "Content-Length": 0 }).end();
            return;
        }
        await this.handle(request, response, id);
    }

    close() {
        this.isBeating = false;
        this.server.close();
        this.server.closeAllConnections();
    }
}

/** Returns an event of a stream, of about the mean length in the site file. */
export function formatEvent(number) {
    return `id: ${number}\ndata: ${"x".repeat(45)}\n\n`;
}

/** A proxy that stands for the network between the routers and one engine. A cut loses nothing and says nothing. */
export class Link {
    isCut = false;
    held = [];

    /** `host`: where it listens, at the port of engines. `target`: the host of the engine. */
    constructor(host, target) {
        this.host = host;
        this.target = target;
        this.server = net.createServer({ allowHalfOpen: true }, near => this.join(near));
    }

    listen() {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(ENGINE_PORT, this.host, resolve);
        });
    }

    cut() {
        this.isCut = true;
    }

    /** What was held up by the cut arrives now. */
    heal() {
        this.isCut = false;
        this.held.splice(0).forEach(pass => pass());
    }

    close() {
        this.server.close();
    }

    join(near) {
        const far = net.connect({ host: this.target, port: ENGINE_PORT, allowHalfOpen: true });
        this.forward(near, far);
        this.forward(far, near);
    }

    forward(from, to) {
        from.on("data", bytes => this.pass(() => to.write(bytes)));
        from.on("end", () => this.pass(() => to.end()));
        from.on("error", () => this.pass(() => to.destroy()));
    }

    pass(action) {
        if (this.isCut) {
            this.held.push(action);
        }
        else {
            action();
        }
    }
}

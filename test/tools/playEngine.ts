/** An engine of the plays of planned work, which answers as the path of a request says and records what it runs. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { LossAudit } from "./lossAudit.js";
import { ENGINE_REPORT_MS, type ProcessFleet } from "./processFleet.js";
import { registerUpstream } from "./registerUpstream.js";
import { wait } from "./waiting.js";

/** What a request asks for, by its path. */
export const PlayPaths = {
    /** A stream that is silent in its middle, as when it is preempted. */
    silent: "/s/silent",
    /** A stream without a long pause. */
    steady: "/s/steady",
    /** A stream whose first event comes late, as when its prompt is read. */
    lateStream: "/s/late",
    /** A short answer. */
    short: "/l/short",
    /** A short answer that comes late, to a request that may be repeated. */
    lateLookup: "/l/late",
    /** The same to a request that may not be repeated. */
    lateChange: "/c/late",
} as const;
const STREAM_PATH_PREFIX = "/s/";
const LATE_PATHS: ReadonlySet<PlayPath> = new Set([
    PlayPaths.lateStream,
    PlayPaths.lateLookup,
    PlayPaths.lateChange,
]);
const LARGE_PATH_PREFIX = "/l/large/";
export const VERSION_PATH_PREFIX = "/v/";
export type PlayPath =
    | typeof PlayPaths[keyof typeof PlayPaths]
    | `${typeof LARGE_PATH_PREFIX}${number}`
    | `${typeof VERSION_PATH_PREFIX}${number}/`;

/** Returns the path of an answer of a given size, in bytes. */
export function getLargePath(bytes: number): PlayPath {
    return `${LARGE_PATH_PREFIX}${bytes}`;
}

/** Returns the path of a short answer, on a route that configurations have from a revision on. */
export function getVersionPath(revision: number): PlayPath {
    return `${VERSION_PATH_PREFIX}${revision}/`;
}

/** Returns the first revision whose configuration has a route for a path; undefined if all have one. */
export function tryGetVersion(path: PlayPath): number | undefined {
    return path.startsWith(VERSION_PATH_PREFIX) ? Number(path.split("/")[2]) : undefined;
}

/** Longer than the silence after which a relayed connection was taken for idle, and than the announced part of a stop. */
export const SILENCE_MS = 3_000;
const EVENTS = 20;
const SILENT_GAP_MS = 20;
const STEADY_GAP_MS = 75;
const SHORT_ANSWER_MS = 20;
/** Time until an answer begins that comes late. */
export const LATE_ANSWER_MS = 1_500;
const ENGINE_PORT = 8028;

export class PlayEngine {
    private readonly server: Server;
    private readonly bodies = new Map<string, string>();
    private sequence = 0;
    private isStopped = false;

    constructor(
        private readonly fleet: ProcessFleet,
        private readonly number: number,
        private readonly service: string,
        private readonly records: { readonly audit: LossAudit; },
    ) {
        this.server = createServer((message, response) => void this.answer(message, response));
        this.server.keepAliveTimeout = 60_000;
    }

    async start(): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(ENGINE_PORT, this.getIp(), resolve);
        });
        void this.runReports();
    }

    stop(): void {
        this.isStopped = true;
        this.server.closeAllConnections();
        this.server.close();
    }

    /** Returns the whole body of the answer to a request; undefined if the engine has not made it. */
    tryGetBody(id: string): string | undefined {
        return this.bodies.get(id);
    }

    private async runReports(): Promise<void> {
        const controllers = this.fleet.listControllers().map(box => this.fleet.getControlUrl(box));
        while (!this.isStopped) {
            this.sequence += 1;
            await registerUpstream(controllers, this.getId(), {
                backend: this.service,
                address: `${this.getIp()}:${ENGINE_PORT}`,
                zone: "z",
                slots: 64,
                state: "ready",
                seqno: this.sequence,
                config_rev: "v1",
            });
            await wait(ENGINE_REPORT_MS);
        }
    }

    private getId(): string {
        return `e${this.number}`;
    }

    private getIp(): string {
        return this.fleet.getIp(this.getId());
    }

    private async answer(message: IncomingMessage, response: ServerResponse): Promise<void> {
        message.resume();
        const id = String(message.headers["attempt-id"]);
        const identity = { "Attempt-Id": id };
        if ((message.headers["expect-instance"] ?? this.getId()) !== this.getId()) {
            response.writeHead(421, { ...identity, "Not-Executed": "1" }).end();
            return;
        }
        this.records.audit.recordRun(id, performance.now());
        response.once("close", () => {
            if (!response.writableEnded) {
                this.records.audit.recordRunEnd(id, performance.now(), "callerLeft");
            }
        });
        const signed = { ...identity, "Instance-Signature": `${this.getId()}.${id}` };
        const path = message.url as PlayPath;
        const isLate = LATE_PATHS.has(path);
        if (path.startsWith(STREAM_PATH_PREFIX)) {
            await wait(isLate ? LATE_ANSWER_MS : 0);
            response.writeHead(200, { ...signed, "Content-Type": "text/event-stream" });
            await this.answerStream(id, path, response);
        }
        else {
            await wait(isLate ? LATE_ANSWER_MS : SHORT_ANSWER_MS);
            response.writeHead(200, signed);
            this.end(id, createBody(id, path), response);
        }
    }

    private async answerStream(id: string, path: PlayPath, response: ServerResponse): Promise<void> {
        const gapMs = path === PlayPaths.silent ? SILENT_GAP_MS : STEADY_GAP_MS;
        let body = "";
        for (let number = 1; number < EVENTS && !response.destroyed; number++) {
            const event = `id: ${number}\ndata: ${id}\n\n`;
            body += event;
            response.write(event);
            await wait(path === PlayPaths.silent && number === EVENTS / 2 ? SILENCE_MS : gapMs);
        }
        if (!response.destroyed) {
            const event = `id: ${EVENTS}\ndata: ${id}\n\n`;
            this.bodies.set(id, body + event);
            this.records.audit.recordRunEnd(id, performance.now(), "whole");
            response.end(event);
        }
    }

    private end(id: string, body: string, response: ServerResponse): void {
        if (!response.destroyed) {
            this.bodies.set(id, body);
            this.records.audit.recordRunEnd(id, performance.now(), "whole");
            response.end(body);
        }
    }
}

function createBody(id: string, path: PlayPath): string {
    return path.startsWith(LARGE_PATH_PREFIX)
        ? id.padEnd(Number(path.slice(LARGE_PATH_PREFIX.length)), "x")
        : `answer ${id}`;
}

/** A caller's connection to a router, which is used until either side closes it. */
import { Agent, type IncomingMessage, request as startRequest } from "node:http";
import type { Socket } from "node:net";
import type { PlayPath } from "./playEngine.js";

/** Time that a caller grants, which is that of the routes. */
export const DEADLINE_MS = 10_000;
/** Callers wait a little longer than they say, so that they see late answers. */
const PATIENCE_MS = 500;
const HOST = "api.example";

/** How a caller sends and reads; at once if undefined. */
export interface CallerHabits {
    /** When the answer is read after its head. */
    readonly readsAfter?: Promise<unknown>;
    /** When the second part of the body is sent. */
    readonly bodyEndsAfter?: Promise<unknown>;
    /** Called when the last byte of the request was handed to the socket. */
    readonly onSent?: () => void;
}

export interface CallerAnswer {
    /** Undefined if none came. */
    readonly status: number | undefined;
    readonly body: string;
    readonly isComplete: boolean;
    /** Why it is not complete. */
    readonly cause: string | undefined;
}

export class KeptConnection {
    private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });
    private socket: Socket | undefined;
    /** Whether the router has announced that it closes the connection. */
    private isEnding = false;

    /** `router`: the one that it leads to; `url`: where that serves callers. */
    constructor(readonly router: string, private readonly url: string) {}

    /** Whether a further request may be sent. */
    isOpen(): boolean {
        return !this.isEnding && this.socket?.destroyed !== true;
    }

    close(): void {
        this.agent.destroy();
    }

    /** Resolves when the answer or the connection has ended. */
    send(id: string, path: PlayPath, habits: CallerHabits = {}): Promise<CallerAnswer> {
        return new Promise(resolve => {
            let answer: IncomingMessage | undefined;
            let body = "";
            const finish = (cause?: string): void =>
                resolve({ status: answer?.statusCode, body, isComplete: answer?.complete === true, cause });
            const request = startRequest(`${this.url}${path}`, {
                method: "POST",
                agent: this.agent,
                headers: {
                    "Host": HOST,
                    "Attempt-Id": id,
                    "Credential": "key-1",
                    "Deadline-Ms": String(DEADLINE_MS),
                    "Token-Usage": "10,25",
                },
            }, response => {
                answer = response;
                this.isEnding ||= response.headers.connection === "close";
                response.setEncoding("utf8").on("end", () => finish());
                response.on("error", (error: NodeJS.ErrnoException) => finish(error.code ?? error.message));
                const read = (): void => void response.on("data", (text: string) => body += text);
                void (habits.readsAfter === undefined ? read() : habits.readsAfter.then(read));
            });
            request.once("socket", socket => this.socket = socket);
            request.once("finish", () => habits.onSent?.());
            request.on("error", (error: NodeJS.ErrnoException) => finish(error.code ?? error.message));
            request.setTimeout(DEADLINE_MS + PATIENCE_MS, () => request.destroy(new Error("timeout")));
            if (habits.bodyEndsAfter === undefined) {
                request.end("{}");
            }
            else {
                request.write("{");
                void habits.bodyEndsAfter.then(() => request.end("}"));
            }
        });
    }
}

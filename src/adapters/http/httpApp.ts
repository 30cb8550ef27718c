/** An HTTP server on NestJS and Fastify that does not parse request bodies and maps refusals to error responses. */
import {
    type ArgumentsHost,
    Catch,
    type ExceptionFilter,
    HttpException,
    type Provider,
    type Type,
} from "@nestjs/common";
import { NestFactory } from "@nestjs/core";
import { FastifyAdapter, type NestFastifyApplication } from "@nestjs/platform-fastify";
import { fastify, type FastifyReply, type FastifyRequest } from "fastify";
import type { Socket } from "node:net";
import "reflect-metadata";
import { createRefusal, getRefusal, type Refusal, RefusalError, ResultCodes } from "../../domain/resultCodes.js";
import type { Log } from "../../ports/log.js";
import type { Metrics } from "../../ports/metrics.js";
import { parseAddress } from "../rpc/tcpNetwork.js";
import { AppConnections, MAX_HEADER_BYTES } from "./appConnections.js";

export const MAX_BODY_BYTES = 2 * 1024 * 1024;

class RootModule {}

/** The NestJS controllers of a server, and the providers injected into them. */
export interface HttpAppOptions {
    readonly controllers: readonly Type[];
    readonly providers: readonly Provider[];
    readonly log: Log;
    readonly metrics: Metrics;
}

/** A running server. */
export interface HttpApp {
    readonly address: string;
    /** Serves on; each answer from here on tells its caller that the connection closes. */
    announceClose(): void;
    /**
     * Stops listening. Resolves when every answer is handed to the operating system, or after `limitMs`, when connections with a
     * request are reset.
     */
    close(limitMs: number): Promise<void>;
}

/** Starts a server at `address`, such as 127.0.0.1:8080. With port 0 the system chooses a free port. */
export async function startHttpApp(address: string, options: HttpAppOptions): Promise<HttpApp> {
    const connections = new AppConnections(options.log, options.metrics);
    const server = fastify({
        bodyLimit: MAX_BODY_BYTES,
        serverFactory: handler => connections.createServer(handler),
        return503OnClosing: false,
        clientErrorHandler: handleClientError,
        frameworkErrors: (error, _request, reply) => sendRefusal(reply, getHttpRefusal(error)),
    });
    server.removeAllContentTypeParsers();
    server.addContentTypeParser("*", { parseAs: "buffer" }, (_request, body, done) => done(null, body));
    const module = { module: RootModule, controllers: [...options.controllers], providers: [...options.providers] };
    const adapter = new FastifyAdapter(server as never);
    const app = await NestFactory.create<NestFastifyApplication>(module, adapter, {
        bodyParser: false,
        logger: false,
        abortOnError: false,
    });
    app.useGlobalFilters(new RefusalFilter(options.log));
    const { host, port } = parseAddress(address);
    await app.listen(port, host);
    const bound = server.server.address() as { address: string; port: number; };
    return {
        address: `${bound.address}:${bound.port}`,
        announceClose: () => connections.startAnnouncing(),
        close: async limitMs => {
            await connections.drain(server.server, limitMs);
            await app.close();
        },
    };
}

/** Sends a refusal with the status of its result code and a body that chat-completions clients accept as an error. */
export function sendRefusal(reply: FastifyReply, refusal: Refusal): void {
    const resultCode = ResultCodes[refusal.code];
    if (refusal.retryAfterMs !== undefined) {
        void reply.header("Retry-After", String(Math.max(1, Math.ceil(refusal.retryAfterMs / 1000))));
    }
    void reply.header("x-loomwinch-ran", refusal.ran);
    void reply.status(resultCode.status).send(createErrorBody(refusal));
}

export function createErrorBody(refusal: Refusal): { error: Record<string, unknown>; } {
    const resultCode = ResultCodes[refusal.code];
    return {
        error: {
            message: refusal.detail === undefined ? resultCode.message : `${resultCode.message} (${refusal.detail})`,
            type: refusal.code,
            code: `LW${resultCode.number}`,
            ran: refusal.ran,
            ...(refusal.retryAfterMs === undefined ? {} : { retry_after_ms: Math.ceil(refusal.retryAfterMs) }),
        },
    };
}

@Catch()
class RefusalFilter implements ExceptionFilter {
    constructor(private readonly log: Log) {}

    catch(error: unknown, host: ArgumentsHost): void {
        const reply = host.switchToHttp().getResponse<FastifyReply>();
        const refusal = getHttpRefusal(error);
        if (refusal.code === "internal") {
            this.log.error("internal_error", { detail: refusal.detail });
        }
        if (!reply.sent) {
            sendRefusal(reply, refusal);
        }
    }
}

function getHttpRefusal(error: unknown): Refusal {
    if (error instanceof RefusalError) {
        return error.refusal;
    }
    const status = error instanceof HttpException ? error.getStatus() : (error as { statusCode?: number; }).statusCode;
    switch (status) {
        case 404:
            return createRefusal("notFound");
        case 413:
            return createRefusal("bodyTooLarge");
        case 400:
        case 414:
        case 415:
            return createRefusal("malformedRequest", (error as Error).message);
        default:
            return getRefusal(error);
    }
}

/** Answers a request that is not valid HTTP with a result code as well. */
function handleClientError(error: { code?: string; }, socket: Socket): void {
    if (!socket.writable) {
        socket.destroy();
        return;
    }
    const isHeaderOverflow = error.code === "HPE_HEADER_OVERFLOW";
    const refusal = isHeaderOverflow
        ? createRefusal("badHeader", `headers exceed ${MAX_HEADER_BYTES} bytes`)
        : createRefusal("malformedRequest");
    const body = JSON.stringify(createErrorBody(refusal));
    const status = isHeaderOverflow ? "431 Request Header Fields Too Large" : "400 Bad Request";
    const head = [`HTTP/1.1 ${status}`, "Content-Type: application/json", `Content-Length: ${Buffer.byteLength(body)}`];
    socket.end(`${head.join("\r\n")}\r\nx-loomwinch-ran: no\r\nConnection: close\r\n\r\n${body}`);
}

/** Parses the body as JSON. Throws malformedBody, with the parser's message. */
export function parseJsonBody(request: FastifyRequest): unknown {
    const body = request.body;
    if (!Buffer.isBuffer(body) || body.length === 0) {
        throw new RefusalError(createRefusal("malformedBody", "JSON body required"));
    }
    try {
        return JSON.parse(body.toString("utf8")) as unknown;
    }
    catch (error) {
        throw new RefusalError(createRefusal("malformedBody", (error as Error).message));
    }
}

/** Returns the token of an `Authorization: Bearer` header, or undefined if there is none. */
export function tryGetBearer(request: FastifyRequest): string | undefined {
    return /^Bearer ([\x21-\x7e]{1,256})$/i.exec(request.headers.authorization ?? "")?.[1];
}

/** A router's HTTP API for callers and the platform's load balancer. docs/API.md lists the paths. */
import { All, Controller, Get, Inject, Post, Req, Res } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import type { CallerHeaders } from "../../daemons/router/jobFactory.js";
import type { RouterDaemon } from "../../daemons/router/routerDaemon.js";
import { ChatJsonSink, ChatStreamSink, PlainSink } from "./answerSinks.js";
import { parseJsonBody, tryGetBearer } from "./httpApp.js";

export const ROUTER_DAEMON = Symbol("RouterDaemon");

const FORWARDED_REQUEST_HEADERS = ["content-type", "accept", "accept-language", "if-none-match", "if-modified-since"];

@Controller()
export class CallerApi {
    constructor(@Inject(ROUTER_DAEMON) private readonly router: RouterDaemon) {}

    @Get("healthz")
    getHealth(): unknown {
        return { status: "ok" };
    }

    /** Readiness probe for the load balancer: 200 only while the router accepts new requests. */
    @Get("readyz")
    getReadiness(@Res({ passthrough: true }) reply: FastifyReply): unknown {
        const state = this.router.getReadiness();
        void reply.status(state === "ready" || state === "stale" ? 200 : 503);
        return { status: state };
    }

    @Post("v1/chat/completions")
    async completeChat(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
        this.router.checkAcceptsRequests();
        const { job, body } = this.router.jobFactory.createChatJob(getCallerHeaders(request), parseJsonBody(request));
        const sink = body.stream === true
            ? new ChatStreamSink(reply, job.requestId, body.model, body.stream_options?.include_usage === true)
            : new ChatJsonSink(reply, job.requestId, body.model);
        await this.router.handleRequest(job, sink);
    }

    @All("services/:service/*")
    async callService(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
        this.router.checkAcceptsRequests();
        const service = (request.params as { service: string; }).service;
        const job = this.router.jobFactory.createPlainServiceJob(getCallerHeaders(request), service, {
            method: request.method,
            path: request.url.slice(`/services/${service}`.length),
            headers: getForwardedHeaders(request),
            body: Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0),
        });
        await this.router.handleRequest(job, new PlainSink(reply, job.requestId));
    }
}

function getCallerHeaders(request: FastifyRequest): CallerHeaders {
    return {
        bearer: tryGetBearer(request),
        idempotencyKey: getHeader(request, "idempotency-key"),
        repeatable: getHeader(request, "x-loomwinch-repeatable"),
        deadlineMs: getHeader(request, "x-loomwinch-deadline-ms"),
    };
}

function getForwardedHeaders(request: FastifyRequest): Record<string, string> {
    const headers: Record<string, string> = {};
    for (const name of FORWARDED_REQUEST_HEADERS) {
        const value = getHeader(request, name);
        if (value !== undefined) {
            headers[name] = value;
        }
    }
    return headers;
}

function getHeader(request: FastifyRequest, name: string): string | undefined {
    const value = request.headers[name];
    return Array.isArray(value) ? value.join(", ") : value;
}

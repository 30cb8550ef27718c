/** The operators' resource API over HTTP and JSON. docs/API.md lists the paths. */
import { Controller, Delete, Get, Inject, Param, Post, Put, Query, Req, Res } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import { OperatorService } from "../../daemons/controller/operatorService.js";
import { isKeyValid } from "../../domain/keys.js";
import { createRefusal, RefusalError } from "../../domain/resultCodes.js";
import { parseJsonBody, tryGetBearer } from "./httpApp.js";

/** An operator in the controller's settings. */
export interface OperatorEntry {
    readonly name: string;
    readonly tokenHash: string;
}

export const OPERATOR_SERVICE = Symbol("OperatorService");
export const OPERATORS = Symbol("Operators");

const DEFAULT_ITEM_LIMIT = 100;
const MAX_ITEM_LIMIT = 10_000;

@Controller("api/v1")
export class OperatorApi {
    constructor(
        @Inject(OPERATOR_SERVICE) private readonly service: OperatorService,
        @Inject(OPERATORS) private readonly operators: readonly OperatorEntry[],
    ) {}

    @Get("status")
    async getStatus(@Req() request: FastifyRequest): Promise<unknown> {
        this.checkOperator(request);
        return this.service.getStatus();
    }

    @Get("audit")
    getAudit(@Req() request: FastifyRequest, @Query("limit") limit?: string): unknown {
        this.checkOperator(request);
        return { items: this.service.getAuditRecords(parseCount("limit", limit, DEFAULT_ITEM_LIMIT)) };
    }

    @Get("bills")
    getBills(@Req() request: FastifyRequest, @Query("limit") limit?: string): unknown {
        this.checkOperator(request);
        return { items: this.service.getBills(parseCount("limit", limit, DEFAULT_ITEM_LIMIT)) };
    }

    @Get("watch")
    async watch(
        @Req() request: FastifyRequest,
        @Res() reply: FastifyReply,
        @Query("from") from?: string,
    ): Promise<void> {
        this.checkOperator(request);
        const revision = parseCount("from", from, 0, Number.MAX_SAFE_INTEGER);
        reply.hijack();
        reply.raw.writeHead(200, { "Content-Type": "application/jsonl" });
        const isConnected = (): boolean => !reply.raw.destroyed && !reply.raw.writableEnded;
        await this.service.watch(revision, isConnected, (type, changes, at) => {
            reply.raw.write(`${JSON.stringify({ type, revision: at, changes })}\n`);
        });
        reply.raw.end();
    }

    @Post("top-ups")
    async topUp(@Req() request: FastifyRequest, @Res({ passthrough: true }) reply: FastifyReply): Promise<unknown> {
        const operator = this.checkOperator(request);
        const result = await this.service.topUp(operator, parseJsonBody(request));
        void reply.status(200);
        return result;
    }

    @Post("release")
    async release(@Req() request: FastifyRequest, @Res({ passthrough: true }) reply: FastifyReply): Promise<unknown> {
        const operator = this.checkOperator(request);
        const body = parseJsonBody(request) as { budget?: unknown; tokens?: unknown; };
        if (typeof body.budget !== "string" || !Number.isSafeInteger(body.tokens) || (body.tokens as number) <= 0) {
            throw new RefusalError(
                createRefusal("badTokenCount", "budget and a positive integer of tokens are required"),
            );
        }
        void reply.status(200);
        return this.service.releaseUnaccounted(operator, body.budget, body.tokens as number);
    }

    @Get("objects/:kind")
    async list(
        @Req() request: FastifyRequest,
        @Param("kind") kind: string,
        @Query("stale") stale?: string,
    ): Promise<unknown> {
        this.checkOperator(request);
        return { items: await this.service.list(kind, stale === "true") };
    }

    @Get("objects/:kind/:name")
    async get(
        @Req() request: FastifyRequest,
        @Param("kind") kind: string,
        @Param("name") name: string,
        @Query("stale") stale?: string,
    ): Promise<unknown> {
        this.checkOperator(request);
        return this.service.get(kind, name, stale === "true");
    }

    @Put("objects/:kind/:name")
    async put(
        @Req() request: FastifyRequest,
        @Param("kind") kind: string,
        @Param("name") name: string,
    ): Promise<unknown> {
        const operator = this.checkOperator(request);
        return this.service.put(operator, kind, name, parseJsonBody(request));
    }

    @Delete("objects/:kind/:name")
    async delete(
        @Req() request: FastifyRequest,
        @Param("kind") kind: string,
        @Param("name") name: string,
        @Query("revision") revision?: string,
        @Query("operationId") operationId?: string,
    ): Promise<unknown> {
        const operator = this.checkOperator(request);
        const expected = revision === undefined
            ? undefined
            : parseCount("revision", revision, 0, Number.MAX_SAFE_INTEGER);
        return this.service.delete(operator, kind, name, expected, operationId);
    }

    /** Compares the token with every operator's hash, so that the response time does not reveal a match. */
    private checkOperator(request: FastifyRequest): string {
        const token = tryGetBearer(request) ?? "";
        const matches = this.operators.filter(operator => isKeyValid(token, [operator.tokenHash]));
        if (matches.length === 0) {
            throw new RefusalError(createRefusal("operatorUnknown"));
        }
        return matches[0]!.name;
    }
}

function parseCount(name: string, text: string | undefined, defaultValue: number, max = MAX_ITEM_LIMIT): number {
    if (text === undefined) {
        return defaultValue;
    }
    const count = Number(text);
    if (!Number.isSafeInteger(count) || count < 0 || count > max) {
        throw new RefusalError(createRefusal("badTokenCount", `${name} must be an integer from 0 to ${max}`));
    }
    return count;
}

/** Writes an answer to an HTTP response: as server-sent events, as one JSON body, or passed through unchanged. */
import type { FastifyReply } from "fastify";
import { AnswerSink, type AnswerUsage } from "../../daemons/router/job.js";
import { createRefusal, type Refusal } from "../../domain/resultCodes.js";
import type { AnswerPiece } from "../../protocol/runMethods.js";
import { waitForNextPoll } from "../nextPoll.js";
import { createErrorBody, sendRefusal } from "./httpApp.js";

/** How long a write may block on a caller that does not read before its connection is closed. */
const CALLER_STALL_TIMEOUT_MS = 30_000;

/** Response header with the request id, by which a caller can fetch the answer again. */
export const REQUEST_ID_HEADER = "x-request-id";

abstract class HttpSink extends AnswerSink {
    private disconnected = false;
    private readonly finished: Promise<void>;
    private resolveFinished: () => void = () => undefined;

    constructor(protected readonly reply: FastifyReply, protected readonly requestId: string) {
        super();
        this.finished = new Promise(resolve => {
            this.resolveFinished = resolve;
        });
        reply.raw.on("close", () => {
            this.disconnected = !reply.raw.writableFinished;
            this.resolveFinished();
        });
    }

    override isDisconnected(): boolean {
        return this.disconnected;
    }

    override async hasCallerLeft(): Promise<boolean> {
        await waitForNextPoll();
        const { socket } = this.reply.raw;
        return this.disconnected || socket?.destroyed === true || socket?.readableEnded === true;
    }

    /** Resolves when the response is fully written or the caller has disconnected. */
    waitFinished(): Promise<void> {
        return this.finished;
    }

    /** Writes with backpressure. Closes the connection if the caller stops reading. */
    protected async write(text: string | Buffer): Promise<void> {
        if (this.disconnected || this.reply.raw.write(text)) {
            return;
        }
        const timer = setTimeout(() => this.reply.raw.destroy(), CALLER_STALL_TIMEOUT_MS);
        await new Promise<void>(resolve => {
            this.reply.raw.once("drain", resolve);
            this.reply.raw.once("close", resolve);
        });
        clearTimeout(timer);
    }

    protected sendRefusal(refusal: Refusal): void {
        if (!this.disconnected) {
            void this.reply.header(REQUEST_ID_HEADER, this.requestId);
            sendRefusal(this.reply, refusal);
        }
    }
}

/** `stream: true`: sends each piece as a server-sent event as it arrives. */
export class ChatStreamSink extends HttpSink {
    private headSent = false;
    private readonly chunkPrefix: string;
    private finishReason = "stop";

    constructor(
        reply: FastifyReply,
        requestId: string,
        private readonly model: string,
        private readonly includeUsage: boolean,
    ) {
        super(reply, requestId);
        this.chunkPrefix = `data: ${
            JSON.stringify(createChatEnvelope(requestId, model, "chat.completion.chunk")).slice(0, -1)
        },"choices":[{"index":0,"delta":`;
    }

    override hasStarted(): boolean {
        return this.headSent;
    }

    override async writePieces(pieces: readonly AnswerPiece[]): Promise<void> {
        this.sendHead();
        let text = "";
        for (const piece of pieces) {
            if ("delta" in piece) {
                this.finishReason = piece.finish ?? this.finishReason;
                text += `${this.chunkPrefix}${JSON.stringify(piece.delta)},"finish_reason":null}]}\n\n`;
            }
        }
        await this.write(text);
    }

    /** Sends the finish reason and the usage last, once the answer is known to be complete. */
    override end(usage: AnswerUsage): void {
        if (this.isDisconnected()) {
            return;
        }
        this.sendHead();
        const usageJson = JSON.stringify(createUsageBody(usage));
        const finishChunk = `${this.chunkPrefix}{},"finish_reason":${
            JSON.stringify(this.finishReason)
        }}],"usage":${usageJson}}\n\n`;
        const usageChunk = this.includeUsage
            ? `data: ${
                JSON.stringify({
                    ...createChatEnvelope(this.requestId, this.model, "chat.completion.chunk"),
                    choices: [],
                    usage: createUsageBody(usage),
                })
            }\n\n`
            : "";
        this.reply.raw.end(`${finishChunk}${usageChunk}data: [DONE]\n\n`);
    }

    override fail(refusal: Refusal): void {
        if (!this.headSent) {
            this.sendRefusal(refusal);
        }
        else if (!this.isDisconnected()) {
            this.reply.raw.end(`data: ${JSON.stringify(createErrorBody({ ...refusal, ran: "yes" }))}\n\n`);
        }
    }

    private sendHead(): void {
        if (!this.headSent) {
            this.headSent = true;
            this.reply.hijack();
            this.reply.raw.writeHead(200, {
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-cache",
                [REQUEST_ID_HEADER]: this.requestId,
            });
        }
    }
}

/** `stream: false`: sends the answer as one JSON body once it is complete. */
export class ChatJsonSink extends HttpSink {
    private readonly message: Record<string, unknown> = { role: "assistant", content: "" };
    private readonly toolCalls: Record<string, unknown>[] = [];
    private finishReason = "stop";

    constructor(reply: FastifyReply, requestId: string, private readonly model: string) {
        super(reply, requestId);
    }

    override hasStarted(): boolean {
        return false;
    }

    override async writePieces(pieces: readonly AnswerPiece[]): Promise<void> {
        for (const piece of pieces) {
            if ("delta" in piece) {
                this.finishReason = piece.finish ?? this.finishReason;
                this.mergeDelta(piece.delta);
            }
        }
    }

    override end(usage: AnswerUsage): void {
        const message = this.toolCalls.length === 0 ? this.message : { ...this.message, tool_calls: this.toolCalls };
        const body = {
            ...createChatEnvelope(this.requestId, this.model, "chat.completion"),
            choices: [{ index: 0, message, finish_reason: this.finishReason }],
            usage: createUsageBody(usage),
        };
        if (!this.isDisconnected()) {
            void this.reply.header(REQUEST_ID_HEADER, this.requestId).header("content-type", "application/json").status(
                200,
            ).send(JSON.stringify(body));
        }
    }

    override fail(refusal: Refusal): void {
        this.sendRefusal(refusal);
    }

    private mergeDelta(delta: Readonly<Record<string, unknown>>): void {
        for (const [key, value] of Object.entries(delta)) {
            if (key === "tool_calls") {
                (value as { index: number; }[]).forEach(call => this.mergeToolCall(call));
            }
            else if (typeof value === "string" && key !== "role") {
                this.message[key] = String(this.message[key] ?? "") + value;
            }
        }
    }

    private mergeToolCall(call: { index: number; function?: { name?: string; arguments?: string; }; }): void {
        const { index, ...rest } = call;
        const existing = this.toolCalls[index] as { function: { arguments: string; }; } | undefined;
        if (existing === undefined) {
            this.toolCalls[index] = rest;
        }
        else {
            existing.function.arguments += call.function?.arguments ?? "";
        }
    }
}

/** Passes the response of a plain service through. */
export class PlainSink extends HttpSink {
    private headSent = false;

    override hasStarted(): boolean {
        return this.headSent;
    }

    override async writePieces(pieces: readonly AnswerPiece[]): Promise<void> {
        for (const piece of pieces) {
            if ("status" in piece) {
                this.headSent = true;
                this.reply.hijack();
                this.reply.raw.writeHead(piece.status, { ...piece.headers, [REQUEST_ID_HEADER]: this.requestId });
            }
            else if ("data" in piece) {
                await this.write(Buffer.from(piece.data, "base64"));
            }
        }
    }

    override end(): void {
        if (!this.headSent) {
            this.fail(createRefusal("upstreamFailed", "upstream sent no response", "unknown"));
        }
        else if (!this.isDisconnected()) {
            this.reply.raw.end();
        }
    }

    /** Closes the connection of a response that has started, so that the caller can detect the truncation. */
    override fail(refusal: Refusal): void {
        if (!this.headSent) {
            this.sendRefusal(refusal);
        }
        else {
            this.reply.raw.destroy();
        }
    }
}

function createChatEnvelope(requestId: string, model: string, object: string): Record<string, unknown> {
    return { id: requestId, object, created: Math.floor(Date.now() / 1000), model };
}

function createUsageBody(usage: AnswerUsage): Record<string, number> {
    const { promptTokens, outputTokens } = usage;
    return { prompt_tokens: promptTokens, completion_tokens: outputTokens, total_tokens: promptTokens + outputTokens };
}

/** The ways an answer reaches its caller: server-sent events, one JSON body, or a plain response. */
import type { FastifyReply } from "fastify";
import { AnswerSink, type AnswerUsage } from "../../daemons/router/job.js";
import { createRefusal, type Refusal } from "../../domain/resultCodes.js";
import type { AnswerPiece } from "../../protocol/runMethods.js";
import { createErrorBody, sendRefusal } from "./httpApp.js";

/** How long a caller may take nothing before its answer is given up, in milliseconds. */
const CALLER_STALL_MS = 30_000;

/** Marks an answer with its request id, so that a caller can come back for it. */
export const REQUEST_ID_HEADER = "x-request-id";

abstract class HttpSink extends AnswerSink {
    private gone = false;
    private readonly finished: Promise<void>;
    private finish: () => void = () => undefined;

    constructor(protected readonly reply: FastifyReply, protected readonly requestId: string) {
        super();
        this.finished = new Promise(resolve => {
            this.finish = resolve;
        });
        reply.raw.on("close", () => {
            this.gone = !reply.raw.writableFinished;
            this.finish();
        });
    }

    override isGone(): boolean {
        return this.gone;
    }

    /** Resolves when the last byte is out or the caller is gone. */
    waitFinished(): Promise<void> {
        return this.finished;
    }

    /** Writes, and waits while the caller is slower than the answer. A caller that takes nothing is cut off. */
    protected async write(text: string | Buffer): Promise<void> {
        if (this.gone || this.reply.raw.write(text)) {
            return;
        }
        const timer = setTimeout(() => this.reply.raw.destroy(), CALLER_STALL_MS);
        await new Promise<void>(resolve => {
            this.reply.raw.once("drain", resolve);
            this.reply.raw.once("close", resolve);
        });
        clearTimeout(timer);
    }

    protected sendRefusal(refusal: Refusal): void {
        if (!this.gone) {
            void this.reply.header(REQUEST_ID_HEADER, this.requestId);
            sendRefusal(this.reply, refusal);
        }
    }
}

/** `stream: true`: each piece as an event, as it comes. */
export class ChatStreamSink extends HttpSink {
    private begun = false;
    private readonly prefix: string;
    private finishReason = "stop";

    constructor(
        reply: FastifyReply,
        requestId: string,
        private readonly model: string,
        private readonly includeUsage: boolean,
    ) {
        super(reply, requestId);
        this.prefix = `data: ${
            JSON.stringify(createChatHead(requestId, model, "chat.completion.chunk")).slice(0, -1)
        },"choices":[{"index":0,"delta":`;
    }

    override hasBegun(): boolean {
        return this.begun;
    }

    override async writePieces(pieces: readonly AnswerPiece[]): Promise<void> {
        this.begin();
        let text = "";
        for (const piece of pieces) {
            if ("delta" in piece) {
                this.finishReason = piece.finish ?? this.finishReason;
                text += `${this.prefix}${JSON.stringify(piece.delta)},"finish_reason":null}]}\n\n`;
            }
        }
        await this.write(text);
    }

    /** The reason of the end and the usage come last, once it is certain that the answer is whole. */
    override end(usage: AnswerUsage): void {
        if (this.isGone()) {
            return;
        }
        this.begin();
        const body = JSON.stringify(createUsageBody(usage));
        const finish = `${this.prefix}{},"finish_reason":${JSON.stringify(this.finishReason)}}],"usage":${body}}\n\n`;
        const extra = this.includeUsage
            ? `data: ${
                JSON.stringify({
                    ...createChatHead(this.requestId, this.model, "chat.completion.chunk"),
                    choices: [],
                    usage: createUsageBody(usage),
                })
            }\n\n`
            : "";
        this.reply.raw.end(`${finish}${extra}data: [DONE]\n\n`);
    }

    override fail(refusal: Refusal): void {
        if (!this.begun) {
            this.sendRefusal(refusal);
        }
        else if (!this.isGone()) {
            this.reply.raw.end(`data: ${JSON.stringify(createErrorBody({ ...refusal, ran: "yes" }))}\n\n`);
        }
    }

    private begin(): void {
        if (!this.begun) {
            this.begun = true;
            this.reply.hijack();
            this.reply.raw.writeHead(200, {
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-cache",
                [REQUEST_ID_HEADER]: this.requestId,
            });
        }
    }
}

/** `stream: false`: the whole answer as one body, once it is whole. */
export class ChatJsonSink extends HttpSink {
    private readonly message: Record<string, unknown> = { role: "assistant", content: "" };
    private readonly toolCalls: Record<string, unknown>[] = [];
    private finishReason = "stop";

    constructor(reply: FastifyReply, requestId: string, private readonly model: string) {
        super(reply, requestId);
    }

    override hasBegun(): boolean {
        return false;
    }

    override async writePieces(pieces: readonly AnswerPiece[]): Promise<void> {
        for (const piece of pieces) {
            if ("delta" in piece) {
                this.finishReason = piece.finish ?? this.finishReason;
                this.addDelta(piece.delta);
            }
        }
    }

    override end(usage: AnswerUsage): void {
        const message = this.toolCalls.length === 0 ? this.message : { ...this.message, tool_calls: this.toolCalls };
        const body = {
            ...createChatHead(this.requestId, this.model, "chat.completion"),
            choices: [{ index: 0, message, finish_reason: this.finishReason }],
            usage: createUsageBody(usage),
        };
        if (!this.isGone()) {
            void this.reply.header(REQUEST_ID_HEADER, this.requestId).header("content-type", "application/json").status(
                200,
            ).send(JSON.stringify(body));
        }
    }

    override fail(refusal: Refusal): void {
        this.sendRefusal(refusal);
    }

    private addDelta(delta: Readonly<Record<string, unknown>>): void {
        for (const [key, value] of Object.entries(delta)) {
            if (key === "tool_calls") {
                (value as { index: number; }[]).forEach(call => this.addToolCall(call));
            }
            else if (typeof value === "string" && key !== "role") {
                this.message[key] = String(this.message[key] ?? "") + value;
            }
        }
    }

    private addToolCall(call: { index: number; function?: { name?: string; arguments?: string; }; }): void {
        const { index, ...rest } = call;
        const known = this.toolCalls[index] as { function: { arguments: string; }; } | undefined;
        if (known === undefined) {
            this.toolCalls[index] = rest;
        }
        else {
            known.function.arguments += call.function?.arguments ?? "";
        }
    }
}

/** A plain service's response, passed through. */
export class PlainSink extends HttpSink {
    private begun = false;

    override hasBegun(): boolean {
        return this.begun;
    }

    override async writePieces(pieces: readonly AnswerPiece[]): Promise<void> {
        for (const piece of pieces) {
            if ("status" in piece) {
                this.begun = true;
                this.reply.hijack();
                this.reply.raw.writeHead(piece.status, { ...piece.headers, [REQUEST_ID_HEADER]: this.requestId });
            }
            else if ("data" in piece) {
                await this.write(Buffer.from(piece.data, "base64"));
            }
        }
    }

    override end(): void {
        if (!this.begun) {
            this.fail(createRefusal("upstreamFailed", "no answer came", "unknown"));
        }
        else if (!this.isGone()) {
            this.reply.raw.end();
        }
    }

    /** A response that breaks off is cut, never ended as if it were whole. */
    override fail(refusal: Refusal): void {
        if (!this.begun) {
            this.sendRefusal(refusal);
        }
        else {
            this.reply.raw.destroy();
        }
    }
}

function createChatHead(requestId: string, model: string, object: string): Record<string, unknown> {
    return { id: requestId, object, created: Math.floor(Date.now() / 1000), model };
}

function createUsageBody(usage: AnswerUsage): Record<string, number> {
    const { promptTokens, outputTokens } = usage;
    return { prompt_tokens: promptTokens, completion_tokens: outputTokens, total_tokens: promptTokens + outputTokens };
}

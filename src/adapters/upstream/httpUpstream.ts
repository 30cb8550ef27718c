/** Client of an upstream over HTTP: chat completions with server-sent events, and plain calls. */
import { type Dispatcher, errors, Pool } from "undici";
import { createRefusal, RefusalError } from "../../domain/resultCodes.js";
import { type ChatRequest, type PlainRequest, UpstreamClient, type UpstreamEvent } from "../../ports/upstream.js";
import type { AnswerPiece, EngineOrder } from "../../protocol/runMethods.js";
import { isRetryAfterStatus, tryParseRetryAfterMs } from "../http/retryAfter.js";
import { readServerSentEvents } from "./sseReader.js";

const CONNECT_TIMEOUT_MS = 1_000;
const HEADERS_TIMEOUT_MS = 60_000;
const BODY_IDLE_TIMEOUT_MS = 30_000;
const ORDER_TIMEOUT_MS = 10_000;
const MAX_ERROR_DETAIL_LENGTH = 300;
const DEFAULT_RETRY_AFTER_MS = 500;

const NOT_SENT_ERROR_CODES = new Set([
    "UND_ERR_CONNECT_TIMEOUT",
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
]);

interface ChatEvent {
    readonly choices?: readonly { readonly delta?: Record<string, unknown>; readonly finish_reason?: unknown; }[];
    readonly usage?: { readonly prompt_tokens?: number; readonly completion_tokens?: number; };
    readonly error?: { readonly message?: string; };
}

export class HttpUpstream extends UpstreamClient {
    private readonly pool: Pool;
    private readonly basePath: string;

    constructor(url: string, connections: number) {
        super();
        const parsed = new URL(url);
        this.basePath = parsed.pathname.replace(/\/$/, "");
        this.pool = new Pool(parsed.origin, {
            connections,
            connect: { timeout: CONNECT_TIMEOUT_MS },
            headersTimeout: HEADERS_TIMEOUT_MS,
            bodyTimeout: BODY_IDLE_TIMEOUT_MS,
        });
    }

    async close(): Promise<void> {
        await this.pool.destroy();
    }

    override async *runChat(
        request: ChatRequest,
        requestId: string,
        outputCap: number,
        priority: number,
        signal: AbortSignal,
    ): AsyncGenerator<UpstreamEvent> {
        const response = await this.send({
            method: "POST",
            path: `${this.basePath}/v1/chat/completions`,
            headers: { "content-type": "application/json", "x-request-id": requestId },
            body: JSON.stringify(createChatBody(request, outputCap, priority)),
            signal,
        });
        if (response.statusCode !== 200) {
            throw await createStatusError(response, this.handleRetryAfter(response));
        }
        let isComplete = false;
        try {
            for await (const events of readServerSentEvents(response.body)) {
                isComplete ||= events.includes("[DONE]");
                const event = parseChatEvents(events);
                if (event !== undefined) {
                    yield event;
                }
            }
        }
        catch (error) {
            throw convertToRefusalError(error, "yes");
        }
        if (!isComplete) {
            throw new RefusalError(createRefusal("upstreamFailed", "event stream ended before [DONE]", "yes"));
        }
    }

    override async *runPlain(
        request: PlainRequest,
        requestId: string,
        signal: AbortSignal,
    ): AsyncGenerator<UpstreamEvent> {
        const response = await this.send({
            method: request.method as Dispatcher.HttpMethod,
            path: `${this.basePath}${request.path}`,
            headers: { ...request.headers, "x-request-id": requestId },
            body: request.body === "" ? null : Buffer.from(request.body, "base64"),
            signal,
        });
        this.handleRetryAfter(response);
        yield { pieces: [{ status: response.statusCode, headers: getForwardedHeaders(response.headers) }] };
        try {
            for await (const bytes of response.body as AsyncIterable<Buffer>) {
                yield { pieces: [{ data: bytes.toString("base64") }] };
            }
        }
        catch (error) {
            throw convertToRefusalError(error, "yes");
        }
    }

    override async sendOrder(order: EngineOrder): Promise<void> {
        const response = await this.send({
            method: "POST",
            path: `${this.basePath}/orders`,
            headers: { "content-type": "application/json" },
            body: JSON.stringify(order),
            headersTimeout: ORDER_TIMEOUT_MS,
        });
        if (response.statusCode >= 300) {
            throw await createStatusError(response);
        }
        await response.body.dump();
    }

    /** Reports a Retry-After header to the listener and returns its delay in milliseconds, if there is a valid one. */
    private handleRetryAfter({ statusCode, headers }: Dispatcher.ResponseData): number | undefined {
        const headerValue = headers["retry-after"];
        if (typeof headerValue !== "string" || !isRetryAfterStatus(statusCode)) {
            return undefined;
        }
        const retryAfterMs = tryParseRetryAfterMs(headerValue, Date.now());
        this.notifyRetryAfter({ retryAfterMs, headerValue });
        return retryAfterMs;
    }

    private async send(options: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData> {
        try {
            return await this.pool.request(options);
        }
        catch (error) {
            throw convertToRefusalError(error, isNotSentError(error) ? "no" : "unknown");
        }
    }
}

function isNotSentError(error: unknown): boolean {
    return NOT_SENT_ERROR_CODES.has((error as { code?: string; }).code ?? "");
}

function convertToRefusalError(error: unknown, ran: "no" | "unknown" | "yes"): RefusalError {
    if (error instanceof RefusalError) {
        return error;
    }
    if (error instanceof errors.RequestAbortedError || (error as Error).name === "AbortError") {
        return new RefusalError(createRefusal("runCancelled", undefined, ran));
    }
    return new RefusalError(createRefusal("upstreamFailed", (error as Error).message, ran, DEFAULT_RETRY_AFTER_MS));
}

/** `retryAfterMs`: the delay that the upstream requested, if any. */
async function createStatusError(response: Dispatcher.ResponseData, retryAfterMs?: number): Promise<RefusalError> {
    const text = await readErrorDetail(response.body);
    const detail = `${response.statusCode} ${text}`;
    if (response.statusCode >= 500 || response.statusCode === 429) {
        return new RefusalError(
            createRefusal("upstreamFailed", detail, "unknown", retryAfterMs ?? DEFAULT_RETRY_AFTER_MS),
        );
    }
    return new RefusalError(createRefusal("upstreamRefused", detail, "no"));
}

/** Reads the beginning of an error response and closes its connection if there is more: the upstream may send without end. */
async function readErrorDetail(body: Dispatcher.ResponseData["body"]): Promise<string> {
    let text = "";
    for await (const bytes of body as AsyncIterable<Buffer>) {
        text += bytes.toString("utf8");
        if (text.length >= MAX_ERROR_DETAIL_LENGTH) {
            break;
        }
    }
    return text.slice(0, MAX_ERROR_DETAIL_LENGTH);
}

/**
 * Creates the body for the engine, which always streams and limits the output. A run that resumes another passes the text
 * so far as the beginning of the answer (`continue_final_message`).
 */
function createChatBody(request: ChatRequest, outputCap: number, priority: number): Record<string, unknown> {
    const body: Record<string, unknown> = {
        ...request.body,
        stream: true,
        stream_options: { include_usage: true, continuous_usage_stats: true },
        max_tokens: outputCap,
        priority,
    };
    delete body["max_completion_tokens"];
    if (request.resumeFrom > 0) {
        const messages = request.body["messages"] as unknown[];
        body["messages"] = [...messages, { role: "assistant", content: request.resumeText }];
        body["continue_final_message"] = true;
        body["add_generation_prompt"] = false;
    }
    return body;
}

function parseChatEvents(events: readonly string[]): UpstreamEvent | undefined {
    const pieces: AnswerPiece[] = [];
    let promptTokens: number | undefined;
    let outputTokens: number | undefined;
    for (const data of events) {
        if (data === "[DONE]") {
            continue;
        }
        const event = JSON.parse(data) as ChatEvent;
        if (event.error !== undefined) {
            throw new RefusalError(createRefusal("upstreamFailed", event.error.message, "yes"));
        }
        const choice = event.choices?.[0];
        if (choice !== undefined) {
            pieces.push({
                delta: choice.delta ?? {},
                ...(typeof choice.finish_reason === "string" ? { finish: choice.finish_reason } : {}),
            });
        }
        promptTokens = event.usage?.prompt_tokens ?? promptTokens;
        outputTokens = event.usage?.completion_tokens ?? outputTokens;
    }
    if (pieces.length === 0 && outputTokens === undefined) {
        return undefined;
    }
    return { pieces, promptTokens, outputTokens };
}

const FORWARDED_RESPONSE_HEADERS = ["content-type", "etag", "last-modified", "cache-control", "location"];

function getForwardedHeaders(headers: Record<string, string | string[] | undefined>): Record<string, string> {
    const forwarded: Record<string, string> = {};
    for (const name of FORWARDED_RESPONSE_HEADERS) {
        const value = headers[name];
        if (typeof value === "string") {
            forwarded[name] = value;
        }
    }
    return forwarded;
}

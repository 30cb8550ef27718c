/** Client for the chat completions API. Sends each request once and never rejects. */
import { request } from "undici";

/** Outcome of a chat request as seen by the client. */
export interface ChatResult {
    /** HTTP status; 0 if no response was received. */
    readonly status: number;
    /** Response text received, possibly truncated. */
    readonly text: string;
    /** Whether the response was received completely. */
    readonly isComplete: boolean;
    readonly usage: { readonly prompt_tokens: number; readonly completion_tokens: number; } | undefined;
    readonly error: {
        readonly type: string;
        readonly code: string;
        readonly ran: string;
        readonly retry_after_ms?: number;
    } | undefined;
    readonly retryAfter: string | undefined;
    readonly requestId: string;
    /** Milliseconds until the response headers, or until the request failed. */
    readonly firstMs: number;
}

export interface ChatRequest {
    /** Base URL of a router. */
    readonly url: string;
    readonly key: string;
    readonly model: string;
    readonly messages: readonly { readonly role: string; readonly content: string; }[];
    readonly maxTokens: number;
    readonly stream: boolean;
    readonly headers?: Record<string, string>;
    /** Called with the text received so far after each chunk of a streaming response. */
    readonly onText?: ((text: string) => void) | undefined;
}

const HEADERS_TIMEOUT_MS = 120_000;

type ResponseContent = Pick<ChatResult, "text" | "isComplete" | "usage" | "error">;

/** Sends a chat request. A lost connection yields an incomplete result instead of an error. */
export async function sendChatRequest(call: ChatRequest): Promise<ChatResult> {
    const body = { model: call.model, messages: call.messages, max_tokens: call.maxTokens, stream: call.stream };
    const startedAt = performance.now();
    try {
        const response = await request(`${call.url}/v1/chat/completions`, {
            method: "POST",
            headers: { "authorization": `Bearer ${call.key}`, "content-type": "application/json", ...call.headers },
            body: JSON.stringify(body),
            headersTimeout: HEADERS_TIMEOUT_MS,
            bodyTimeout: HEADERS_TIMEOUT_MS,
        });
        const head = {
            status: response.statusCode,
            retryAfter: response.headers["retry-after"] as string | undefined,
            requestId: String(response.headers["x-request-id"] ?? ""),
            firstMs: performance.now() - startedAt,
        };
        if (response.statusCode !== 200 || !call.stream) {
            return { ...head, ...parseJsonResponse(await response.body.text()) };
        }
        return { ...head, ...await readEventStream(response.body, call.onText) };
    }
    catch {
        const firstMs = performance.now() - startedAt;
        return {
            status: 0,
            text: "",
            isComplete: false,
            usage: undefined,
            error: undefined,
            retryAfter: undefined,
            requestId: "",
            firstMs,
        };
    }
}

function parseJsonResponse(text: string): ResponseContent {
    const body = JSON.parse(text) as {
        choices?: { message: { content: string; }; }[];
        usage?: ChatResult["usage"];
        error?: ChatResult["error"];
    };
    return {
        text: body.choices?.[0]?.message.content ?? "",
        isComplete: body.choices !== undefined,
        usage: body.usage,
        error: body.error,
    };
}

interface StreamEvent {
    readonly choices?: readonly { readonly delta: { readonly content?: string; }; }[];
    readonly usage?: ChatResult["usage"];
    readonly error?: ChatResult["error"];
}

async function readEventStream(body: AsyncIterable<Buffer>, onText?: (text: string) => void): Promise<ResponseContent> {
    let partialEvent = "";
    let text = "";
    let isComplete = false;
    let usage: ChatResult["usage"];
    let error: ChatResult["error"];
    try {
        for await (const bytes of body) {
            partialEvent += bytes.toString();
            const events = partialEvent.split("\n\n");
            partialEvent = events.pop()!;
            for (const event of events) {
                if (event === "data: [DONE]") {
                    isComplete = true;
                    continue;
                }
                const data = JSON.parse(event.slice("data: ".length)) as StreamEvent;
                text += data.choices?.[0]?.delta.content ?? "";
                usage = data.usage ?? usage;
                error = data.error ?? error;
            }
            onText?.(text);
        }
    }
    catch {
        // The connection was lost: return the partial response.
    }
    return { text, isComplete, usage, error };
}

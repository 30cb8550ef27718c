/** A caller of the chat-completions protocol: asks once and takes the answer apart. Never rejects. */
import { request } from "undici";

/** How a request ended for its caller. */
export interface CallResult {
    /** HTTP status; 0 where no answer came at all. */
    readonly status: number;
    /** The answer's text, as far as it came. */
    readonly text: string;
    /** Whether the end was reached. */
    readonly whole: boolean;
    readonly usage: { readonly prompt_tokens: number; readonly completion_tokens: number; } | undefined;
    readonly error: {
        readonly type: string;
        readonly code: string;
        readonly ran: string;
        readonly retry_after_ms?: number;
    } | undefined;
    readonly retryAfter: string | undefined;
    readonly requestId: string;
    /** Milliseconds until the first part of the answer, or the refusal. */
    readonly firstMs: number;
}

export interface ChatCall {
    /** Base URL of a router. */
    readonly url: string;
    readonly key: string;
    readonly model: string;
    readonly messages: readonly { readonly role: string; readonly content: string; }[];
    readonly maxTokens: number;
    readonly stream: boolean;
    readonly headers?: Record<string, string>;
    /** Called with the text so far at each piece of a streamed answer. */
    readonly onText?: ((text: string) => void) | undefined;
}

const HEADERS_TIMEOUT_MS = 120_000;

type AnswerParts = Pick<CallResult, "text" | "whole" | "usage" | "error">;

/** Asks for a chat answer; a lost connection is an answer that is not whole. */
export async function askChatAt(call: ChatCall): Promise<CallResult> {
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
            return { ...head, ...parseWhole(await response.body.text()) };
        }
        return { ...head, ...await readStream(response.body, call.onText) };
    }
    catch {
        const firstMs = performance.now() - startedAt;
        return {
            status: 0,
            text: "",
            whole: false,
            usage: undefined,
            error: undefined,
            retryAfter: undefined,
            requestId: "",
            firstMs,
        };
    }
}

function parseWhole(text: string): AnswerParts {
    const body = JSON.parse(text) as {
        choices?: { message: { content: string; }; }[];
        usage?: CallResult["usage"];
        error?: CallResult["error"];
    };
    return {
        text: body.choices?.[0]?.message.content ?? "",
        whole: body.choices !== undefined,
        usage: body.usage,
        error: body.error,
    };
}

interface StreamEvent {
    readonly choices?: readonly { readonly delta: { readonly content?: string; }; }[];
    readonly usage?: CallResult["usage"];
    readonly error?: CallResult["error"];
}

async function readStream(body: AsyncIterable<Buffer>, onText?: (text: string) => void): Promise<AnswerParts> {
    let rest = "";
    let text = "";
    let whole = false;
    let usage: CallResult["usage"];
    let error: CallResult["error"];
    try {
        for await (const bytes of body) {
            rest += bytes.toString();
            const events = rest.split("\n\n");
            rest = events.pop()!;
            for (const event of events) {
                if (event === "data: [DONE]") {
                    whole = true;
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
        // The connection was lost: what came so far is all there is.
    }
    return { text, whole, usage, error };
}

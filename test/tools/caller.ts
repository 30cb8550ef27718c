/** A caller for tests: asks a router and takes the answer apart. */
import { request } from "undici";
import { countPromptTokens, getStandInAnswer } from "../../src/daemons/standIn/standInAnswers.js";
import type { FleetProcess } from "./fleet.js";

/** How a request ended for its caller. */
export interface CallResult {
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
}

export interface ChatOptions {
    readonly content?: string;
    readonly model?: string;
    readonly maxTokens?: number;
    readonly stream?: boolean;
    readonly idempotencyKey?: string;
    readonly headers?: Record<string, string>;
    readonly signal?: AbortSignal;
    /** Called with the text so far at each piece of a streamed answer. */
    readonly onText?: (text: string) => void;
}

const DEFAULT_CONTENT = "a briefing, please out=20";

/** Asks for a chat answer. Never rejects: a lost connection is an answer that is not whole. */
export async function askChat(router: FleetProcess, key: string, options: ChatOptions = {}): Promise<CallResult> {
    const stream = options.stream ?? true;
    const body = {
        model: options.model ?? "wetterwort",
        messages: createMessages(options.content),
        max_tokens: options.maxTokens ?? 64,
        stream,
    };
    const headers = {
        "authorization": `Bearer ${key}`,
        "content-type": "application/json",
        ...(options.idempotencyKey === undefined ? {} : { "idempotency-key": options.idempotencyKey }),
        ...options.headers,
    };
    try {
        const response = await request(`${router.getUrl()}/v1/chat/completions`, {
            method: "POST",
            headers,
            body: JSON.stringify(body),
            headersTimeout: 60_000,
            ...(options.signal === undefined ? {} : { signal: options.signal }),
        });
        const head = {
            status: response.statusCode,
            retryAfter: response.headers["retry-after"] as string | undefined,
            requestId: String(response.headers["x-request-id"] ?? ""),
        };
        if (response.statusCode !== 200 || !stream) {
            return { ...head, ...parseWhole(await response.body.text()) };
        }
        return { ...head, ...await readStream(response.body, options.onText) };
    }
    catch {
        return {
            status: 0,
            text: "",
            whole: false,
            usage: undefined,
            error: undefined,
            retryAfter: undefined,
            requestId: "",
        };
    }
}

/** Calls a plain service. */
export async function callPlain(
    router: FleetProcess,
    key: string,
    path: string,
    headers: Record<string, string> = {},
): Promise<{ status: number; body: Record<string, unknown>; }> {
    const response = await request(`${router.getUrl()}${path}`, {
        method: "POST",
        headers: { authorization: `Bearer ${key}`, ...headers },
        body: "x",
    });
    return { status: response.statusCode, body: await response.body.json() as Record<string, unknown> };
}

/** The messages a test's request has. */
export function createMessages(content = DEFAULT_CONTENT): { role: string; content: string; }[] {
    return [{ role: "user", content }];
}

/** What the stand-in engine answers to such a request. */
export function getExpectedAnswer(content = DEFAULT_CONTENT, cap = 64): string {
    return getStandInAnswer(createMessages(content), cap);
}

/** What such a request is billed. */
export function getExpectedBill(content = DEFAULT_CONTENT, cap = 64): number {
    return countPromptTokens(createMessages(content)) + getExpectedAnswer(content, cap).split(" ").length - 1;
}

/** How often each request id ran, over some stand-ins. */
export async function getRunCounts(standIns: readonly FleetProcess[]): Promise<Map<string, number>> {
    const counts = new Map<string, number>();
    for (const standIn of standIns.filter(process => process.isRunning())) {
        const response = await request(`${standIn.getUrl()}/runs`);
        for (const [id, count] of Object.entries(await response.body.json() as Record<string, number>)) {
            counts.set(id, (counts.get(id) ?? 0) + count);
        }
    }
    return counts;
}

function parseWhole(text: string): Pick<CallResult, "text" | "whole" | "usage" | "error"> {
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

async function readStream(
    body: AsyncIterable<Buffer>,
    onText?: (text: string) => void,
): Promise<Pick<CallResult, "text" | "whole" | "usage" | "error">> {
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
                const data = JSON.parse(event.slice("data: ".length)) as {
                    choices?: { delta: { content?: string; }; }[];
                    usage?: CallResult["usage"];
                    error?: CallResult["error"];
                };
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

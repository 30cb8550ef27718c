/** A caller for tests: asks a router and takes the answer apart. */
import { request } from "undici";
import { countPromptTokens, getStandInAnswer } from "../../src/daemons/standIn/standInAnswers.js";
import { type ChatResult, sendChatRequest } from "../../src/replay/chatClient.js";
import type { FleetProcess } from "./fleet.js";

export type { ChatResult };

export interface ChatOptions {
    readonly content?: string;
    readonly model?: string;
    readonly maxTokens?: number;
    readonly stream?: boolean;
    readonly idempotencyKey?: string;
    readonly headers?: Record<string, string>;
    /** Called with the text so far at each piece of a streamed answer. */
    readonly onText?: (text: string) => void;
}

const DEFAULT_CONTENT = "a briefing, please out=20";

/** Asks for a chat answer. Never rejects: a lost connection is an answer that is not whole. */
export function askChat(router: FleetProcess, key: string, options: ChatOptions = {}): Promise<ChatResult> {
    return sendChatRequest({
        url: router.getUrl(),
        key,
        model: options.model ?? "wetterwort",
        messages: createMessages(options.content),
        maxTokens: options.maxTokens ?? 64,
        stream: options.stream ?? true,
        headers: {
            ...(options.idempotencyKey === undefined ? {} : { "idempotency-key": options.idempotencyKey }),
            ...options.headers,
        },
        onText: options.onText,
    });
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

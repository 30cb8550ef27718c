/** Bounds on what a request can consume, known before it runs. A tokenizer is not ours, so the bounds are safe ones. */
import type { RankRule } from "./configView.js";

/** Tokens that a chat template may add for each message, and once for the whole. */
const TOKENS_PER_MESSAGE = 16;
const TOKENS_PER_REQUEST = 32;

/**
 * Most tokens a prompt can have. Every tokenizer in use takes at least one byte a token, so the bytes of the messages
 * and tools, and what a template adds, cannot be exceeded.
 */
export function computePromptBound(body: Readonly<Record<string, unknown>>): number {
    const messages = body["messages"] as unknown[];
    const tools = body["tools"] === undefined ? "" : JSON.stringify(body["tools"]);
    const bytes = Buffer.byteLength(JSON.stringify(messages)) + Buffer.byteLength(tools);
    return bytes + messages.length * TOKENS_PER_MESSAGE + TOKENS_PER_REQUEST;
}

/** How a request is ranked. */
export interface Ranking {
    readonly rank: number;
    readonly keptShare: number;
    readonly ageingMs: number;
}

/** For services without rules, and requests that none matches: after everything that a rule ranks. */
export const DEFAULT_RANKING: Ranking = { rank: 9, keptShare: 0, ageingMs: 5_000 };

/** The ranking by the first rule that matches. */
export function resolveRanking(rules: readonly RankRule[], promptTokens: number, outputTokens: number): Ranking {
    const rule = rules.find(candidate =>
        outputTokens >= (candidate.minOutputTokens ?? 0)
        && outputTokens <= (candidate.maxOutputTokens ?? Infinity)
        && promptTokens >= (candidate.minPromptTokens ?? 0)
        && promptTokens <= (candidate.maxPromptTokens ?? Infinity)
    );
    return rule === undefined
        ? DEFAULT_RANKING
        : { rank: rule.rank, keptShare: rule.keptShare, ageingMs: rule.ageingMs };
}

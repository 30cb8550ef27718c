/** Conservative bounds on a request's token consumption, computed without a tokenizer before the request runs. */
import type { RankRule } from "./configView.js";

/** Upper bounds on the tokens that a chat template adds. */
const TEMPLATE_TOKENS_PER_MESSAGE = 16;
const TEMPLATE_TOKENS_PER_REQUEST = 32;

/**
 * Computes an upper bound on the prompt's tokens: the size of messages and tools in bytes, since a token covers at least
 * one byte, plus the tokens added by the chat template.
 */
export function computePromptBound(body: Readonly<Record<string, unknown>>): number {
    const messages = body["messages"] as unknown[];
    const tools = body["tools"] === undefined ? "" : JSON.stringify(body["tools"]);
    const bytes = Buffer.byteLength(JSON.stringify(messages)) + Buffer.byteLength(tools);
    return bytes + messages.length * TEMPLATE_TOKENS_PER_MESSAGE + TEMPLATE_TOKENS_PER_REQUEST;
}

/** Queueing parameters of a request. */
export interface Ranking {
    readonly rank: number;
    readonly keptShare: number;
    readonly ageingMs: number;
}

/** Used for requests that match no rule; has the lowest priority. */
export const DEFAULT_RANKING: Ranking = { rank: 9, keptShare: 0, ageingMs: 5_000 };

/** Returns the ranking of the first matching rule. */
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

/** What the stand-in engine answers: worked out from the prompt alone, so that a test can tell the whole answer. */
import { computeHash32 } from "../../domain/identifiers.js";

/** A chat message as the stand-in reads it. */
export interface StandInMessage {
    readonly role: string;
    readonly content?: unknown;
}

const SHORTEST_ANSWER = 8;
const ANSWER_SPREAD = 56;

/** The token at `index` of the answer to `messages`. Each token is one word and a space. */
export function getStandInToken(messages: readonly StandInMessage[], index: number): string {
    return `w${computeHash32(`${JSON.stringify(messages)}:${index}`) % 10_000} `;
}

/** Tokens the answer has, unless a cap ends it: `out=N` in the last message, or a number worked out from the prompt. */
export function getStandInLength(messages: readonly StandInMessage[]): number {
    const last = String(messages[messages.length - 1]?.content ?? "");
    const asked = /\bout=(\d{1,5})\b/.exec(last)?.[1];
    return asked === undefined
        ? SHORTEST_ANSWER + computeHash32(JSON.stringify(messages)) % ANSWER_SPREAD
        : Number(asked);
}

/** The whole answer. */
export function getStandInAnswer(messages: readonly StandInMessage[], cap: number): string {
    const length = Math.min(cap, getStandInLength(messages));
    let text = "";
    for (let i = 0; i < length; i++) {
        text += getStandInToken(messages, i);
    }
    return text;
}

/** Tokens of a prompt as the stand-in counts them: one for each four bytes. */
export function countPromptTokens(messages: readonly StandInMessage[]): number {
    return Math.max(1, Math.ceil(Buffer.byteLength(JSON.stringify(messages)) / 4));
}

/** Tokens of a text that the stand-in made. */
export function countAnswerTokens(text: string): number {
    return text.split(" ").length - 1;
}

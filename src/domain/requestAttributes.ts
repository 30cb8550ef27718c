/**
 * Attributes that several requests may have in common, so that a failure can be traced to what its requests share. An attribute
 * is written `kind:value`, the same at every router.
 */
import { createHash } from "node:crypto";

/** What the attributes of a request are derived from. */
export interface AttributedRequest {
    /** Hash of the whole request, see requestFingerprint.ts. */
    readonly fingerprint: string;
    /** Undefined on public routes. */
    readonly account: string | undefined;
    readonly route: string;
    /** Undefined if the request names none. */
    readonly model: string | undefined;
    /** Ids of the parts of the prompt, in order. */
    readonly parts: readonly string[];
}

const KINDS = ["content", "account", "route", "model", "part"] as const;
type AttributeKind = typeof KINDS[number];

/** Longer prompts are represented by their first parts. */
const MAX_PARTS = 32;
/** Bounds the attributes of one request. */
export const MAX_ATTRIBUTES = KINDS.length - 1 + MAX_PARTS;
/** Values of other forms are replaced by a hash, which bounds their length and keeps logs readable. */
const PLAIN_VALUE = /^[\w.@-]{1,64}$/;
const VALUE_HASH_DIGITS = 16;
export const ATTRIBUTE_PATTERN = new RegExp(`^(${KINDS.join("|")}):[\\w.@-]{1,64}$`);

/** Whether any of the attributes identifies a whole request, which is the only kind that costs a hash of its body. */
export function isContentAttribute(attribute: string): boolean {
    return attribute.startsWith("content:");
}

export function isRouteAttribute(attribute: string): boolean {
    return attribute.startsWith("route:");
}

export function createContentAttribute(fingerprint: string): string {
    return createAttribute("content", fingerprint);
}

/** Lists the attributes of a request, each once. */
export function listAttributes(request: AttributedRequest): string[] {
    return [createContentAttribute(request.fingerprint), ...listSharedAttributes(request)];
}

/** Lists the attributes that requests of different content can have in common, each once. */
export function listSharedAttributes(
    { account, route, model, parts }: Omit<AttributedRequest, "fingerprint">,
): string[] {
    const attributes = [createAttribute("route", route)];
    if (account !== undefined) {
        attributes.push(createAttribute("account", account));
    }
    if (model !== undefined) {
        attributes.push(createAttribute("model", model));
    }
    const partAttributes = parts.slice(0, MAX_PARTS).map(part => createAttribute("part", part));
    return [...new Set([...attributes, ...partAttributes])];
}

function createAttribute(kind: AttributeKind, value: string): string {
    const plain = PLAIN_VALUE.test(value)
        ? value
        : createHash("sha256").update(value).digest("hex").slice(0, VALUE_HASH_DIGITS);
    return `${kind}:${plain}`;
}

/** How identifiers are made and taken apart. */
import { createHash, randomBytes } from "node:crypto";

/** Identifier of one ledger: a controller and the incarnation of its disk. */
export function getLedgerId(controller: string, incarnation: string): string {
    return `${controller}#${incarnation}`;
}

/** The controller named in a ledger id. */
export function getLedgerController(ledgerId: string): string {
    return ledgerId.slice(0, ledgerId.indexOf("#"));
}

/** A random identifier of 96 bits. */
export function createRandomId(): string {
    return randomBytes(12).toString("hex");
}

/** A request id: unique for each (client account, idempotency key). */
export function createRequestId(account: string, key: string): string {
    return `${account}/${key}`;
}

/** Digest of a request's body, to tell a resend from a reused key. 128 bits are enough for that. */
export function computeDigest(body: string | Buffer): string {
    return createHash("sha256").update(body).digest("hex").slice(0, 32);
}

/** JSON with the keys of every object sorted: the same for equal values, whatever order their keys came in. */
export function formatCanonicalJson(value: unknown): string {
    return JSON.stringify(value, (_key, part: unknown) => {
        if (part === undefined || typeof part !== "object" || Array.isArray(part) || !part) {
            return part;
        }
        return Object.fromEntries(Object.entries(part).sort(([a], [b]) => (a < b ? -1 : 1)));
    });
}

/** A 32-bit hash (FNV-1a) for spreading keys. Not for secrets. */
export function computeHash32(text: string): number {
    let hash = 0x811c9dc5;
    for (let i = 0; i < text.length; i++) {
        hash ^= text.charCodeAt(i);
        hash = Math.imul(hash, 0x01000193);
    }
    hash ^= hash >>> 16;
    hash = Math.imul(hash, 0x85ebca6b);
    hash ^= hash >>> 13;
    return hash >>> 0;
}

/** The `count` members that win `key` by rendezvous hashing, best first. */
export function chooseByRendezvous(key: string, members: readonly string[], count: number): string[] {
    const scored = members.map(member => ({ member, score: computeHash32(`${key}|${member}`) }));
    scored.sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1));
    return scored.slice(0, count).map(entry => entry.member);
}

/** Identifier of a grant; it names its ledger, so that whoever holds it knows where its usage belongs. */
export function createGrantId(ledgerId: string, router: string): string {
    return `${ledgerId}/${router}/${createRandomId()}`;
}

/** The ledger that gave a grant. */
export function getGrantLedger(grantId: string): string {
    return grantId.slice(0, grantId.indexOf("/"));
}

/** How the claims and intents of one start of a router begin. */
export function getOwnerPrefix(router: { readonly name: string; readonly incarnation: string; }): string {
    return `${router.name}#${router.incarnation}/`;
}

/** Creates and parses identifiers. */
import { createHash, randomBytes } from "node:crypto";

/** A ledger is identified by its controller and the incarnation of its disk. */
export function createLedgerId(controller: string, incarnation: string): string {
    return `${controller}#${incarnation}`;
}

export function getLedgerController(ledgerId: string): string {
    return ledgerId.slice(0, ledgerId.indexOf("#"));
}

/** 96 bits. */
export function createRandomId(): string {
    return randomBytes(12).toString("hex");
}

/** Unique for each pair of client account and idempotency key. */
export function createRequestId(account: string, key: string): string {
    return `${account}/${key}`;
}

/** 128-bit digest of a request body, to distinguish a retry from a reused idempotency key. */
export function computeDigest(body: string | Buffer): string {
    return createHash("sha256").update(body).digest("hex").slice(0, 32);
}

/** Serializes with sorted keys, so that equal values give equal text. */
export function formatCanonicalJson(value: unknown): string {
    return JSON.stringify(value, (_key, part: unknown) => {
        if (part === undefined || typeof part !== "object" || Array.isArray(part) || !part) {
            return part;
        }
        return Object.fromEntries(Object.entries(part).sort(([a], [b]) => (a < b ? -1 : 1)));
    });
}

/** FNV-1a with a final mix, for distributing keys. Not cryptographic. */
export function computeHash32(text: string): number {
    return mixHash(addToHash(FNV_OFFSET_BASIS, text));
}

const FNV_OFFSET_BASIS = 0x811c9dc5;

function addToHash(hash: number, text: string): number {
    for (let i = 0; i < text.length; i++) {
        hash ^= text.charCodeAt(i);
        hash = Math.imul(hash, 0x01000193);
    }
    return hash;
}

function mixHash(hash: number): number {
    hash ^= hash >>> 16;
    hash = Math.imul(hash, 0x85ebca6b);
    hash ^= hash >>> 13;
    return hash >>> 0;
}

/** Returns the member with the highest rendezvous hashing score for `key`, as `chooseByRendezvous` does. */
export function tryChooseFirstByRendezvous(key: string, members: Iterable<string>): string | undefined {
    // Hashing the key once makes this several times faster where there are many members.
    const keyHash = addToHash(FNV_OFFSET_BASIS, `${key}|`);
    let best: string | undefined;
    let bestScore = -1;
    for (const member of members) {
        const score = mixHash(addToHash(keyHash, member));
        if (score > bestScore || (score === bestScore && member < best!)) {
            best = member;
            bestScore = score;
        }
    }
    return best;
}

/** Returns the `count` members with the highest rendezvous hashing scores for `key`, best first. */
export function chooseByRendezvous(key: string, members: readonly string[], count: number): string[] {
    const scored = members.map(member => ({ member, score: computeHash32(`${key}|${member}`) }));
    scored.sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1));
    return scored.slice(0, count).map(entry => entry.member);
}

/** Includes the ledger, so that usage can be attributed without a lookup. */
export function createGrantId(ledgerId: string, router: string): string {
    return `${ledgerId}/${router}/${createRandomId()}`;
}

export function getGrantLedger(grantId: string): string {
    return grantId.slice(0, grantId.indexOf("/"));
}

/** Prefix of the owner ids of all claims and intents that one incarnation of a router creates. */
export function getOwnerPrefix(router: { readonly name: string; readonly incarnation: string; }): string {
    return `${router.name}#${router.incarnation}/`;
}

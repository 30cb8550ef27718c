/** Creates, hashes and verifies client account keys and operator tokens. Only salted hashes are stored. */
import { createHash, randomBytes, timingSafeEqual } from "node:crypto";

const SALT_BYTES = 16;
const SECRET_BYTES = 24;

/** The key includes the account name, so that the account is found without a search. */
export function createAccountKey(account: string): string {
    return `lw_${account}_${randomBytes(SECRET_BYTES).toString("base64url")}`;
}

/** Parses the account name; undefined if `key` is malformed. */
export function tryGetKeyAccount(key: string): string | undefined {
    return /^lw_([a-z0-9][a-z0-9.-]{0,62})_[A-Za-z0-9_-]{8,128}$/.exec(key)?.[1];
}

/** A fast hash is sufficient: keys have 192 random bits. */
export function createKeyHash(key: string, salt = randomBytes(SALT_BYTES).toString("hex")): string {
    return `sha256$${salt}$${createHash("sha256").update(salt).update(key).digest("hex")}`;
}

/** Whether `key` matches any of `hashes`, compared in constant time. */
export function isKeyValid(key: string, hashes: readonly string[]): boolean {
    let valid = false;
    for (const hash of hashes) {
        const salt = hash.split("$")[1] ?? "";
        const expected = Buffer.from(hash);
        const actual = Buffer.from(createKeyHash(key, salt));
        if (expected.length === actual.length && timingSafeEqual(expected, actual)) {
            valid = true;
        }
    }
    return valid;
}

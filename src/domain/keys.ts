/** Keys of client accounts and tokens of operators: made, hashed, checked. Only salted hashes are stored. */
import { createHash, randomBytes, timingSafeEqual } from "node:crypto";

const SALT_BYTES = 16;
const SECRET_BYTES = 24;

/** A new bearer key. It names its account, so that finding the account needs no search. */
export function createAccountKey(account: string): string {
    return `lw_${account}_${randomBytes(SECRET_BYTES).toString("base64url")}`;
}

/** The account a bearer key names, if it has the shape of one. */
export function tryGetKeyAccount(key: string): string | undefined {
    return /^lw_([a-z0-9][a-z0-9.-]{0,62})_[A-Za-z0-9_-]{8,128}$/.exec(key)?.[1];
}

/** Salted hash of a key. A plain hash suffices: keys are 192 random bits, not words that people choose. */
export function createKeyHash(key: string, salt = randomBytes(SALT_BYTES).toString("hex")): string {
    return `sha256$${salt}$${createHash("sha256").update(salt).update(key).digest("hex")}`;
}

/** Whether `key` is the one behind any of `hashes`; the comparison takes the same time either way. */
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

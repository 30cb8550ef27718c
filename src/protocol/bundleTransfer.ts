/**
 * Compressed transfer of a bundle's text to routers, either in full or as a delta from a revision that the router has. The text
 * of 1,700 routes has 0.4 MB; compressed it takes about a tenth, and the delta of one route some hundred bytes.
 */
import { promisify } from "node:util";
import { deflateRaw, inflateRawSync } from "node:zlib";
import * as z from "zod";
import { MAX_BUNDLE_LENGTH } from "../domain/bundleCommands.js";
import { type StoredBundle } from "../domain/bundleStore.js";
import { createRefusal, RefusalError } from "../domain/resultCodes.js";
import { applyTextDelta, computeTextDelta, textDeltaSchema } from "../domain/textDelta.js";

const deflate = promisify(deflateRaw);

/** UTF-8 takes at most four bytes per character. */
const MAX_INFLATED_BYTES = 4 * MAX_BUNDLE_LENGTH;

const nonNegativeInt = z.int().min(0);

export const encodedBundleSchema = z.object({
    revision: nonNegativeInt,
    /** Revision that `packed` is a delta from; omitted if it is the full text. */
    base: nonNegativeInt.optional(),
    /** Length of the text in characters, to detect a delta that was applied to the wrong text. */
    length: nonNegativeInt,
    /** The text, or the delta as JSON, compressed with raw deflate and encoded in base64. */
    packed: z.string(),
});
export type EncodedBundle = z.infer<typeof encodedBundleSchema>;

/** Encodes a bundle as a delta from `base`, or in full without one. */
export async function encodeBundle(bundle: StoredBundle, base: StoredBundle | undefined): Promise<EncodedBundle> {
    const content = base === undefined ? bundle.text : JSON.stringify(computeTextDelta(base.text, bundle.text));
    const packed = (await deflate(content)).toString("base64");
    return { revision: bundle.revision, base: base?.revision, length: bundle.text.length, packed };
}

/** Decodes a bundle; `held` is the one that the router has. Throws peerMalformed. */
export function decodeBundle(answer: unknown, held: StoredBundle | undefined): StoredBundle {
    const parsed = encodedBundleSchema.safeParse(answer);
    if (!parsed.success) {
        throw createMalformedError(parsed.error.issues[0]!.message);
    }
    const { revision, base, length, packed } = parsed.data;
    const content = inflateRawSync(Buffer.from(packed, "base64"), { maxOutputLength: MAX_INFLATED_BYTES }).toString();
    const text = base === undefined ? content : applyChange(content, base, held);
    if (text.length !== length) {
        throw createMalformedError(`decoded to ${text.length} characters, expected ${length}`);
    }
    return { revision, text };
}

function applyChange(content: string, base: number, held: StoredBundle | undefined): string {
    if (held?.revision !== base) {
        throw createMalformedError(`delta from revision ${base}, which is not held`);
    }
    return applyTextDelta(held.text, textDeltaSchema.parse(JSON.parse(content)));
}

function createMalformedError(detail: string): RefusalError {
    return new RefusalError(createRefusal("peerMalformed", `bundle: ${detail}`));
}

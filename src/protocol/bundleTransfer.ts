/**
 * How a bundle's text travels to routers: whole, or as its change from one that the router has, and compressed. A text of
 * 1,700 routes is 0.4 MB long; compressed it is about a tenth of that, and the change of one route some hundred bytes.
 */
import { promisify } from "node:util";
import { deflateRaw, inflateRawSync } from "node:zlib";
import * as z from "zod";
import { MAX_BUNDLE_LENGTH } from "../domain/bundleCommands.js";
import { type StoredBundle } from "../domain/bundleStore.js";
import { createRefusal, RefusalError } from "../domain/resultCodes.js";
import { applyTextDelta, computeTextDelta, textDeltaSchema } from "../domain/textDelta.js";

const deflate = promisify(deflateRaw);

/** Most bytes that are unpacked: every character of the longest text in four bytes. */
const MAX_UNPACKED_BYTES = 4 * MAX_BUNDLE_LENGTH;

const count = z.int().min(0);

/** A bundle on its way. */
export const encodedBundleSchema = z.object({
    revision: count,
    /** Revision of the bundle that `packed` is a change from; left out where it is the whole text. */
    base: count.optional(),
    /** Length of the text, in characters: a change that was made from another text is noticed by it. */
    length: count,
    /** The text, or its change as JSON, in raw deflate and base64. */
    packed: z.string(),
});
export type EncodedBundle = z.infer<typeof encodedBundleSchema>;

/** Makes a bundle ready to be sent to a router that has `base`, or none. */
export async function encodeBundle(bundle: StoredBundle, base: StoredBundle | undefined): Promise<EncodedBundle> {
    const content = base === undefined ? bundle.text : JSON.stringify(computeTextDelta(base.text, bundle.text));
    const packed = (await deflate(content)).toString("base64");
    return { revision: bundle.revision, base: base?.revision, length: bundle.text.length, packed };
}

/** Reads a bundle that was sent to a router which has `held`. Throws peerMalformed. */
export function decodeBundle(answer: unknown, held: StoredBundle | undefined): StoredBundle {
    const parsed = encodedBundleSchema.safeParse(answer);
    if (!parsed.success) {
        throw createMalformed(parsed.error.issues[0]!.message);
    }
    const { revision, base, length, packed } = parsed.data;
    const content = inflateRawSync(Buffer.from(packed, "base64"), { maxOutputLength: MAX_UNPACKED_BYTES }).toString();
    const text = base === undefined ? content : applyChange(content, base, held);
    if (text.length !== length) {
        throw createMalformed(`${text.length} characters instead of ${length}`);
    }
    return { revision, text };
}

function applyChange(content: string, base: number, held: StoredBundle | undefined): string {
    if (held?.revision !== base) {
        throw createMalformed(`a change from revision ${base}`);
    }
    return applyTextDelta(held.text, textDeltaSchema.parse(JSON.parse(content)));
}

function createMalformed(detail: string): RefusalError {
    return new RefusalError(createRefusal("peerMalformed", `bundle: ${detail}`));
}

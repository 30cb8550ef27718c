/** Parses the text of a declared bundle, whose format the operator defines. */
import type { Bundle } from "../domain/bundle.js";

export abstract class BundleDecoder {
    /**
     * Parses the bundle in `text`. Rejects with malformedBody if `text` has a syntax error, and with objectInvalid if it
     * violates the format or is inconsistent. Yields to the event loop while it parses a large bundle.
     */
    abstract decode(text: string): Promise<Bundle>;
}

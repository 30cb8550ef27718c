/** Reads the text of a declared bundle, whose format is the operator's. */
import type { Bundle } from "../domain/bundle.js";

export abstract class BundleDecoder {
    /**
     * The bundle in `text`. Rejects with malformedBody where it cannot be read at all, objectInvalid where it does not fit
     * its format or its parts do not fit together. Lets the event loop go on between parts of a large one.
     */
    abstract decode(text: string): Promise<Bundle>;
}

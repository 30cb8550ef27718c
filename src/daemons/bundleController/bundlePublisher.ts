/** Encodes the bundle for routers that request it, in full or as a diff against an earlier bundle that is retained. */
import type { StoredBundle } from "../../domain/bundleStore.js";
import { encodeBundle, type EncodedBundle } from "../../protocol/bundleTransfer.js";

/** Maximum number of earlier bundles retained for diffs. A router that is further behind receives the full bundle. */
const MAX_EARLIER_BUNDLES = 4;
/** Maximum total length of the earlier bundles, in characters. Ten bundles of 1,700 routes; bounds memory to a few MB. */
const MAX_EARLIER_CHARACTERS = 4 * 1024 * 1024;

export class BundlePublisher {
    private newest: StoredBundle | undefined;
    /** Newest first. */
    private earlierBundles: StoredBundle[] = [];
    /** Encodings of the newest bundle, shared by all routers. Keyed by the base revision; undefined for the full bundle. */
    private encodingsByBase = new Map<number | undefined, Promise<EncodedBundle>>();

    /** Sets the current bundle and retains the previous one as a base for diffs. */
    setNewest(bundle: StoredBundle): void {
        if (this.newest !== undefined) {
            this.earlierBundles = selectRetained([this.newest, ...this.earlierBundles]);
        }
        this.newest = bundle;
        this.encodingsByBase = new Map();
    }

    /** Encodes the newest bundle for a router that has `heldRevision`. Returns undefined if there is no bundle yet. */
    async tryGetEncoded(heldRevision: number | undefined): Promise<EncodedBundle | undefined> {
        const { newest, encodingsByBase } = this;
        if (newest === undefined) {
            return undefined;
        }
        const base = this.earlierBundles.find(({ revision }) => revision === heldRevision);
        let encoding = encodingsByBase.get(base?.revision);
        if (encoding === undefined) {
            encoding = encodeBundle(newest, base);
            encodingsByBase.set(base?.revision, encoding);
        }
        return encoding;
    }
}

function selectRetained(bundles: readonly StoredBundle[]): StoredBundle[] {
    let length = 0;
    return bundles.slice(0, MAX_EARLIER_BUNDLES).filter(({ text }) => {
        length += text.length;
        return length <= MAX_EARLIER_CHARACTERS;
    });
}

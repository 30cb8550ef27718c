/** What a controller gives to routers that ask for the bundle: the whole of it, or the change from one that it remembers. */
import type { StoredBundle } from "../../domain/bundleStore.js";
import { encodeBundle, type EncodedBundle } from "../../protocol/bundleTransfer.js";

/** Earlier bundles that changes are computed from: a router that takes longer than so many versions gets the whole. */
const MOST_EARLIER = 4;
/** Most characters of earlier bundles that are remembered: ten of 1,700 routes each, a few MB of memory. */
const MOST_EARLIER_LENGTH = 4 * 1024 * 1024;

export class BundlePublisher {
    private newest: StoredBundle | undefined;
    /** Newest first. */
    private earlier: StoredBundle[] = [];
    /** What was made ready of the newest bundle, by the revision it is a change from: all routers ask for the same. */
    private encoded = new Map<number | undefined, Promise<EncodedBundle>>();

    /** Takes the bundle that is in force now. */
    setNewest(bundle: StoredBundle): void {
        if (this.newest !== undefined) {
            this.earlier = selectRecent([this.newest, ...this.earlier]);
        }
        this.newest = bundle;
        this.encoded = new Map();
    }

    /** The newest bundle for a router that has `heldRevision`; undefined where there is none yet. */
    async tryGetFor(heldRevision: number | undefined): Promise<EncodedBundle | undefined> {
        const { newest, encoded } = this;
        if (newest === undefined) {
            return undefined;
        }
        const base = this.earlier.find(({ revision }) => revision === heldRevision);
        let answer = encoded.get(base?.revision);
        if (answer === undefined) {
            answer = encodeBundle(newest, base);
            encoded.set(base?.revision, answer);
        }
        return answer;
    }
}

function selectRecent(bundles: readonly StoredBundle[]): StoredBundle[] {
    let length = 0;
    return bundles.slice(0, MOST_EARLIER).filter(({ text }) => {
        length += text.length;
        return length <= MOST_EARLIER_LENGTH;
    });
}

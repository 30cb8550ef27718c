/**
 * Fetches the newest announced bundle, from one controller or other router at a time: parallel downloads of one bundle would compete
 * with responses to callers for bandwidth. Fetching 1,700 routes in full from each of five controllers occupies a link of
 * 7 Mbit/s for 2.6 s per version. Pauses after applying a version (see `versionCooldown.ts`).
 */
import { setTimeout } from "node:timers/promises";
import type { StoredBundle } from "../../domain/bundleStore.js";
import { computeCooldownMs } from "../../domain/versionCooldown.js";
import type { Log } from "../../ports/log.js";
import type { PeerNetwork } from "../../ports/peer.js";
import { decodeBundle, encodeBundle, type EncodedBundle } from "../../protocol/bundleTransfer.js";
import { getBundleMethod } from "../../protocol/fleetMethods.js";

/** Bounds the exponential growth of the fetch timeout after consecutive failures. */
const MAX_TIMEOUT_DOUBLINGS = 3;

/** Receives fetched bundles. */
export interface BundleListener {
    /** Receives the text of a bundle as the operator submitted it. Resolves once the bundle has been applied. */
    receiveBundle(revision: number, text: string): Promise<void> | void;
}

export class BundleFetcher {
    /** The newest revision announced by each controller or other router, if newer than the current one, in order of announcement. */
    private readonly announced = new Map<string, number>();
    private current: StoredBundle | undefined;
    private isFetching = false;
    private consecutiveFailures = 0;
    /** Set when a delta could not be decoded or applied, so that the next fetch requests the full bundle. */
    private needsFullBundle = false;
    /** The current bundle in full, for other routers. */
    private encoding: { readonly revision: number; readonly bundle: Promise<EncodedBundle>; } | undefined;

    /** `callTimeoutMs`: initial timeout of a fetch, after which another controller is tried. */
    constructor(
        private readonly network: PeerNetwork,
        private readonly log: Log,
        private readonly listener: BundleListener,
        private readonly callTimeoutMs: number,
    ) {}

    /**
     * Records that a controller or another router has a bundle, and fetches it. Resolves when no announced bundle is left to fetch, or
     * immediately if another call is already fetching.
     */
    async fetchAnnouncement(source: string, revision: number): Promise<void> {
        if (revision > this.getCurrentRevision()) {
            this.announced.set(source, Math.max(revision, this.announced.get(source) ?? revision));
        }
        if (this.isFetching) {
            return;
        }
        this.isFetching = true;
        try {
            await this.fetchAnnounced();
        }
        finally {
            this.isFetching = false;
        }
    }

    /** Encodes the current bundle for another router that has `heldRevision`; undefined if it is not newer. */
    async tryGetEncoded(heldRevision: number | undefined): Promise<EncodedBundle | undefined> {
        const { current } = this;
        if (current === undefined || current.revision <= (heldRevision ?? -1)) {
            return undefined;
        }
        if (this.encoding?.revision !== current.revision) {
            this.encoding = { revision: current.revision, bundle: encodeBundle(current, undefined) };
        }
        return this.encoding.bundle;
    }

    private async fetchAnnounced(): Promise<void> {
        for (;;) {
            const source = this.trySelectSource();
            if (source === undefined) {
                return;
            }
            await this.fetchFrom(source);
        }
    }

    /** Returns the first that announced the newest revision. */
    private trySelectSource(): string | undefined {
        const newestRevision = Math.max(...this.announced.values());
        return [...this.announced.keys()].find(source => this.announced.get(source) === newestRevision);
    }

    /** Fetches once. A source that fails or has no newer bundle is not retried until it announces a bundle again. */
    private async fetchFrom(source: string): Promise<void> {
        const startedAt = performance.now();
        let restMs = 0;
        const revision = this.announced.get(source);
        this.announced.delete(source);
        try {
            const answer = await this.network.call(
                source,
                getBundleMethod,
                { held: this.needsFullBundle ? undefined : this.current?.revision },
                this.computeTimeoutMs(),
            );
            this.consecutiveFailures = 0;
            if (answer.bundle !== undefined && answer.bundle.revision > this.getCurrentRevision()) {
                const fetchedAt = performance.now();
                await this.applyBundle(answer.bundle);
                restMs = computeCooldownMs(performance.now() - fetchedAt);
                this.log.info("bundle_fetched", {
                    source,
                    revision: answer.bundle.revision,
                    base: answer.bundle.base,
                    packed_length: answer.bundle.packed.length,
                    took_ms: Math.round(fetchedAt - startedAt),
                });
            }
        }
        catch (error) {
            this.consecutiveFailures += 1;
            this.log.warn("bundle_not_fetched", { source, revision, error: String(error) });
        }
        if (restMs > 0) {
            await setTimeout(restMs);
        }
    }

    private async applyBundle(encodedBundle: EncodedBundle): Promise<void> {
        this.needsFullBundle = true;
        const bundle = decodeBundle(encodedBundle, this.current);
        this.needsFullBundle = false;
        await this.listener.receiveBundle(bundle.revision, bundle.text);
        this.current = bundle;
        for (const [source, revision] of this.announced) {
            if (revision <= bundle.revision) {
                this.announced.delete(source);
            }
        }
    }

    /** Doubles the timeout after each failure: on a slow link, the response to a timed-out call still uses bandwidth. */
    private computeTimeoutMs(): number {
        return this.callTimeoutMs * 2 ** Math.min(this.consecutiveFailures, MAX_TIMEOUT_DOUBLINGS);
    }

    private getCurrentRevision(): number {
        return this.current?.revision ?? -1;
    }
}

/**
 * Fetches bundles for a router: from one controller at a time, however many tell of a bundle, and always the newest that
 * the controller has. Several copies at once would hold up the answers to callers on a thin link: fetched whole from each of
 * five controllers, 1,700 routes kept 7 Mbit/s busy for 2.6 s a version. After each version it rests (`versionRest.ts`).
 */
import { setTimeout } from "node:timers/promises";
import type { StoredBundle } from "../../domain/bundleStore.js";
import { computeCooldownMs } from "../../domain/versionCooldown.js";
import type { Log } from "../../ports/log.js";
import type { PeerNetwork } from "../../ports/peer.js";
import { decodeBundle, type EncodedBundle } from "../../protocol/bundleTransfer.js";
import { getBundleMethod } from "../../protocol/fleetMethods.js";

/** After so many fetches in a row that came to nothing, the time that one may take grows no more. */
const MOST_DOUBLINGS = 3;

/** Told of bundles. */
export interface BundleListener {
    /** Takes a bundle as the operator sent it; resolves when it is in force. */
    receiveBundle(revision: number, text: string): Promise<void> | void;
}

export class BundleFetcher {
    /** The newest revision that a controller has told of, where it is newer than what is held; who told first is first. */
    private readonly told = new Map<string, number>();
    private held: StoredBundle | undefined;
    private fetching = false;
    private failures = 0;
    /** A change could not be read or did not fit: the whole is asked for. */
    private needsWhole = false;

    /** `callTimeoutMs`: how long a controller may take to answer before another one is asked, in milliseconds. */
    constructor(
        private readonly network: PeerNetwork,
        private readonly log: Log,
        private readonly listener: BundleListener,
        private readonly callTimeoutMs: number,
    ) {}

    /** Notes that a controller has a bundle. Resolves when nothing is left to fetch, or another call is fetching. */
    async fetch(controller: string, revision: number): Promise<void> {
        if (revision > this.getHeldRevision()) {
            this.told.set(controller, Math.max(revision, this.told.get(controller) ?? revision));
        }
        if (this.fetching) {
            return;
        }
        this.fetching = true;
        try {
            await this.fetchAll();
        }
        finally {
            this.fetching = false;
        }
    }

    private async fetchAll(): Promise<void> {
        for (;;) {
            const source = this.trySelectSource();
            if (source === undefined) {
                return;
            }
            await this.fetchFrom(source);
        }
    }

    /** The controller that told of the newest bundle, the first of them. */
    private trySelectSource(): string | undefined {
        const newest = Math.max(...this.told.values());
        return [...this.told.keys()].find(controller => this.told.get(controller) === newest);
    }

    /** A controller that has nothing newer, or does not answer, is asked again when it tells of a bundle again. */
    private async fetchFrom(controller: string): Promise<void> {
        const startedAt = performance.now();
        let restMs = 0;
        const revision = this.told.get(controller);
        this.told.delete(controller);
        try {
            const answer = await this.network.call(
                controller,
                getBundleMethod,
                { held: this.needsWhole ? undefined : this.held?.revision },
                this.getTimeoutMs(),
            );
            this.failures = 0;
            if (answer.bundle !== undefined && answer.bundle.revision > this.getHeldRevision()) {
                const fetchedAt = performance.now();
                await this.take(answer.bundle);
                restMs = computeCooldownMs(performance.now() - fetchedAt);
                this.log.info("bundle_fetched", {
                    controller,
                    revision: answer.bundle.revision,
                    base: answer.bundle.base,
                    packed_length: answer.bundle.packed.length,
                    took_ms: Math.round(fetchedAt - startedAt),
                });
            }
        }
        catch (error) {
            this.failures += 1;
            this.log.warn("bundle_not_fetched", { controller, revision, error: String(error) });
        }
        if (restMs > 0) {
            await setTimeout(restMs);
        }
    }

    private async take(encoded: EncodedBundle): Promise<void> {
        this.needsWhole = true;
        const bundle = decodeBundle(encoded, this.held);
        this.needsWhole = false;
        await this.listener.receiveBundle(bundle.revision, bundle.text);
        this.held = bundle;
        for (const [controller, revision] of this.told) {
            if (revision <= bundle.revision) {
                this.told.delete(controller);
            }
        }
    }

    /** An answer that was given up is still on its way on a link that is too thin for it: the next gets twice the time. */
    private getTimeoutMs(): number {
        return this.callTimeoutMs * 2 ** Math.min(this.failures, MOST_DOUBLINGS);
    }

    private getHeldRevision(): number {
        return this.held?.revision ?? -1;
    }
}

/** The controllers that a router follows: those it begins with, and those that a controller with a majority names. */
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { PeerNetwork } from "../../ports/peer.js";
import { BundleFetcher, type BundleListener } from "./bundleFetcher.js";
import { ControllerFeed, type ControllerFeedOptions, type FeedListener } from "./controllerFeed.js";

/** Times in milliseconds. */
export interface ControllerFeedsOptions extends ControllerFeedOptions {
    /** A controller that has not answered for so long is asked no more, unless it was just named. */
    readonly forgetControllerMs: number;
    /** Without a majority of the controllers a router calls itself ready after so long. */
    readonly unconfirmedReadyMs: number;
}

export class ControllerFeeds {
    private readonly feeds = new Map<string, ControllerFeed>();
    /** Monotonic clock, milliseconds. */
    private readonly startedAt: number;
    private readonly fetcher: BundleFetcher;
    private named: readonly string[] = [];

    constructor(
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly listener: FeedListener & BundleListener,
        private readonly options: ControllerFeedsOptions,
    ) {
        this.startedAt = clock.getMonotonicMs();
        this.fetcher = new BundleFetcher(network, log, listener, options.callTimeoutMs);
    }

    /** Follows the seeds beside the controllers that were named. */
    setSeeds(seeds: readonly string[]): void {
        this.update([...seeds, ...this.named]);
    }

    /** Follows the controllers that one with a majority names. */
    setNamed(addresses: readonly string[]): void {
        this.named = addresses;
        this.update(addresses);
    }

    /** Addresses of the controllers that are followed, those that answer first. */
    getAddresses(): string[] {
        const feeds = [...this.feeds.values()];
        feeds.sort((a, b) => Number(b.hasMajority) - Number(a.hasMajority) || b.heardAt - a.heardAt);
        return feeds.map(feed => feed.address);
    }

    /** Fetches the bundle from a controller that told of it, if that one is followed. */
    async fetchBundle(address: string, revision: number): Promise<void> {
        if (this.feeds.has(address)) {
            await this.fetcher.fetch(address, revision);
        }
    }

    /** Whether enough controllers have been heard that no newer bundle can be in force. */
    isConfirmed(): boolean {
        const feeds = [...this.feeds.values()];
        return feeds.some(feed => feed.hasMajority)
            || this.clock.getMonotonicMs() - this.startedAt > this.options.unconfirmedReadyMs;
    }

    /** Follows nobody any more. */
    stop(): void {
        this.feeds.forEach(feed => feed.stop());
    }

    /**
     * About once a period one controller is asked for all upstreams, the one that was not for longest, since a controller
     * that is cut off from upstreams knows nothing new. Asking each of five in each period costs a router five times the
     * bytes: by reckoning 60 KB a second for 60 upstreams, 7 in 100 of a link of 7 Mbit/s.
     */
    private isUpstreamTurn(feed: ControllerFeed): boolean {
        const now = this.clock.getMonotonicMs();
        const { followPeriodMs } = this.options;
        const live = [...this.feeds.values()].filter(other => now - other.heardAt < 2 * followPeriodMs);
        const newestAskedAt = Math.max(...live.map(other => other.upstreamsAskedAt));
        return now - newestAskedAt >= followPeriodMs / 2
            && live.every(other => other.upstreamsAskedAt >= feed.upstreamsAskedAt);
    }

    private update(addresses: readonly string[]): void {
        for (const address of addresses) {
            if (!this.feeds.has(address)) {
                const feed = new ControllerFeed(
                    address,
                    this.network,
                    this.clock,
                    this.log,
                    this.listener,
                    this.fetcher,
                    feed => this.isUpstreamTurn(feed),
                    this.options,
                );
                this.feeds.set(address, feed);
                void feed.run();
            }
        }
        this.forgetSilent(addresses);
    }

    private forgetSilent(wanted: readonly string[]): void {
        const now = this.clock.getMonotonicMs();
        for (const [address, feed] of this.feeds) {
            const silentMs = now - Math.max(feed.heardAt, this.startedAt);
            if (!wanted.includes(address) && silentMs > this.options.forgetControllerMs) {
                feed.stop();
                this.feeds.delete(address);
            }
        }
    }
}

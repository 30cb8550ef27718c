/** Follows the seed controllers and the members reported by a controller that has a majority. */
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { PeerHandlers, PeerNetwork } from "../../ports/peer.js";
import { bundleNoticeMethod, getBundleMethod } from "../../protocol/fleetMethods.js";
import { BundleFetcher, type BundleListener } from "./bundleFetcher.js";
import { ControllerFeed, type ControllerFeedOptions, type FeedListener } from "./controllerFeed.js";

/** Times in milliseconds. */
export interface ControllerFeedsOptions extends ControllerFeedOptions {
    /** Time without a response after which a controller is dropped, unless the list being applied includes it. */
    readonly controllerRetentionMs: number;
    /** Time after which a router reports ready even if no controller with a majority has responded. */
    readonly readinessTimeoutMs: number;
}

/** Calls back when another router serves a newer bundle than this one. */
export interface RouterRevisionSource {
    onNewerRevision(handler: (router: string, revision: number) => void): void;
}

export class ControllerFeeds {
    private readonly feeds = new Map<string, ControllerFeed>();
    /** Monotonic clock, milliseconds. */
    private readonly startedAt: number;
    private readonly fetcher: BundleFetcher;
    private members: readonly string[] = [];

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

    /** Follows the seeds in addition to the current members. */
    setSeeds(seeds: readonly string[]): void {
        this.follow([...seeds, ...this.members]);
    }

    /** Follows the members reported by a controller that has a majority. */
    setMembers(addresses: readonly string[]): void {
        this.members = addresses;
        this.follow(addresses);
    }

    /** Lists the followed controllers: those with a majority first, then by most recent response. */
    getAddresses(): string[] {
        const feeds = [...this.feeds.values()];
        feeds.sort((a, b) => Number(b.hasMajority) - Number(a.hasMajority) || b.lastAnsweredAt - a.lastAnsweredAt);
        return feeds.map(feed => feed.address);
    }

    /** Lists the controllers that have responded within two poll intervals. */
    getResponsiveAddresses(): string[] {
        return this.listResponsive(this.clock.getMonotonicMs()).map(({ address }) => address);
    }

    /** Fetches a bundle that a controller announced. Ignores controllers that are not followed. */
    async handleBundleNotice(address: string, revision: number): Promise<void> {
        if (this.feeds.has(address)) {
            await this.fetcher.fetchAnnouncement(address, revision);
        }
    }

    /** Registers handlers for notifications on the connections that this router opens. */
    addHandlers(handlers: PeerHandlers): void {
        handlers.add(bundleNoticeMethod, notice => this.handleBundleNotice(notice.controller, notice.revision));
    }

    /** Fetches bundles from other routers too, as this one may be cut off from the controllers, and passes on its own. */
    enableRouterSources(source: RouterRevisionSource, handlers: PeerHandlers): void {
        source.onNewerRevision((router, revision) => void this.fetcher.fetchAnnouncement(router, revision));
        handlers.add(getBundleMethod, async ({ held }) => ({ bundle: await this.fetcher.tryGetEncoded(held) }));
    }

    /** Whether a controller with a majority has responded, or `unconfirmedReadyMs` has elapsed without one. */
    isReady(): boolean {
        const feeds = [...this.feeds.values()];
        return feeds.some(feed => feed.hasMajority)
            || this.clock.getMonotonicMs() - this.startedAt > this.options.readinessTimeoutMs;
    }

    stop(): void {
        this.feeds.forEach(feed => feed.stop());
    }

    /**
     * Polls one controller for upstream changes about once per period, in least-recently-polled order. Rotating limits
     * traffic, and ensures that a controller partitioned from the upstreams is not the only source. Polling all of five
     * controllers in each period would take about 60 KB/s for 60 upstreams, 7 % of a link of 7 Mbit/s.
     */
    private isUpstreamPollDue(feed: ControllerFeed): boolean {
        const now = this.clock.getMonotonicMs();
        const { pollIntervalMs } = this.options;
        const responsive = this.listResponsive(now);
        const lastPolledAt = Math.max(...responsive.map(other => other.upstreamsPolledAt));
        return now - lastPolledAt >= pollIntervalMs / 2
            && responsive.every(other => other.upstreamsPolledAt >= feed.upstreamsPolledAt);
    }

    private listResponsive(now: number): ControllerFeed[] {
        return [...this.feeds.values()].filter(feed => now - feed.lastAnsweredAt < 2 * this.options.pollIntervalMs);
    }

    private follow(addresses: readonly string[]): void {
        for (const address of addresses) {
            if (!this.feeds.has(address)) {
                const feed = new ControllerFeed(
                    address,
                    this.network,
                    this.clock,
                    this.log,
                    this.listener,
                    this.fetcher,
                    feed => this.isUpstreamPollDue(feed),
                    this.options,
                );
                this.feeds.set(address, feed);
                void feed.run();
            }
        }
        this.removeUnresponsive(addresses);
    }

    private removeUnresponsive(retained: readonly string[]): void {
        const now = this.clock.getMonotonicMs();
        for (const [address, feed] of this.feeds) {
            const unansweredMs = now - Math.max(feed.lastAnsweredAt, this.startedAt);
            if (!retained.includes(address) && unansweredMs > this.options.controllerRetentionMs) {
                feed.stop();
                this.feeds.delete(address);
            }
        }
    }
}

/**
 * Follows one controller: a task that keeps a connection to it, hears of bundles and upstreams, and asks again
 * regularly, so that a notice that was lost is made good.
 */
import type { RouterContact } from "../../domain/routerGroups.js";
import type { ChangeCursor, UpstreamUpdate } from "../../domain/upstreamChanges.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { Peer, PeerNetwork } from "../../ports/peer.js";
import { type FollowAnswer, followMethod } from "../../protocol/fleetMethods.js";
import type { BundleFetcher } from "./bundleFetcher.js";
import { type UpstreamReportAge, UpstreamUpdateTracker } from "./followedUpstreams.js";

/** Times in milliseconds. */
export interface ControllerFeedOptions {
    /** Where other routers reach this one. */
    readonly address: string;
    /** Pause between questions to one controller. */
    readonly followPeriodMs: number;
    readonly callTimeoutMs: number;
    /** Pause after a connection that was lost or not made. */
    readonly redialMs: number;
    /** Silence from which controllers name an upstream as unheard: longer than the pause between its reports. */
    readonly upstreamUnheardMs: number;
}

/** Told of what a controller answers. */
export interface FeedListener {
    /** Takes a controller's answer to the regular question. `routers`: those that follow it, as it last told. */
    receiveFollowAnswer(answer: FollowAnswer, routers: readonly RouterContact[]): void;
    /** Takes what a controller says of upstreams since its last word. `heard`: when it heard each that it knows. */
    receiveUpstreamUpdate(news: UpstreamUpdate, heard: readonly UpstreamReportAge[]): void;
}

/** Decides whether a controller is asked for all upstreams with the next question. */
export type UpstreamTurn = (feed: ControllerFeed) => boolean;

/** What this router hears from one controller. */
export class ControllerFeed {
    /** When the controller last answered. Monotonic clock, milliseconds. */
    heardAt = -Infinity;
    /** Whether the controller said that it reaches a majority of the others. */
    hasMajority = false;
    /** When the controller was last asked for all upstreams. Monotonic clock, milliseconds. */
    upstreamsAskedAt = -Infinity;
    private readonly upstreams: UpstreamUpdateTracker;
    /** The routers that follow the controller, and which of its lists that was. */
    private routers: readonly RouterContact[] = [];
    private routersCursor: ChangeCursor | undefined;
    private stopped = false;

    constructor(
        readonly address: string,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly listener: FeedListener,
        private readonly fetcher: BundleFetcher,
        private readonly isUpstreamTurn: UpstreamTurn,
        private readonly options: ControllerFeedOptions,
    ) {
        this.upstreams = new UpstreamUpdateTracker(options.upstreamUnheardMs);
    }

    /** The controller's one task. */
    async run(): Promise<void> {
        let wasConnected = false;
        while (!this.stopped) {
            try {
                const peer = await this.network.connect(this.address);
                await this.follow(peer, () => {
                    if (!wasConnected) {
                        wasConnected = true;
                        this.log.info("controller_connected", { controller: this.address });
                    }
                });
            }
            catch (error) {
                if (wasConnected) {
                    wasConnected = false;
                    this.log.warn("controller_lost", { controller: this.address, error: String(error) });
                }
                this.hasMajority = false;
            }
            await this.clock.wait(this.options.redialMs);
        }
    }

    stop(): void {
        this.stopped = true;
    }

    private async follow(peer: Peer, onAnswer: () => void): Promise<void> {
        const { address, callTimeoutMs, followPeriodMs } = this.options;
        // What was told while there was no connection is made good by the first answer.
        let wantsUpstreams = true;
        while (!this.stopped) {
            if (wantsUpstreams) {
                this.upstreamsAskedAt = this.clock.getMonotonicMs();
            }
            const { unheardMs } = this.upstreams;
            const since = this.upstreams.tryGetCursor();
            const params = { address, wantsUpstreams, since, unheardMs, routersSince: this.routersCursor };
            const answer = await peer.call(followMethod, params, callTimeoutMs);
            this.heardAt = this.clock.getMonotonicMs();
            this.hasMajority = answer.hasMajority;
            onAnswer();
            this.routers = answer.routers ?? this.routers;
            this.routersCursor = answer.routersCursor;
            this.listener.receiveFollowAnswer(answer, this.routers);
            if (answer.news !== undefined) {
                this.listener.receiveUpstreamUpdate(answer.news, this.upstreams.applyUpdate(answer.news));
            }
            if (answer.bundleRevision !== undefined) {
                void this.fetcher.fetch(this.address, answer.bundleRevision);
            }
            await this.clock.wait(followPeriodMs);
            wantsUpstreams = this.isUpstreamTurn(this);
        }
    }
}

/**
 * Follows one controller: keeps a connection open and polls it for bundles, upstreams and members. Polling also recovers
 * from lost notifications.
 */
import type { RouterContact } from "../../domain/routerGroups.js";
import type { ChangeCursor, UpstreamUpdate } from "../../domain/upstreamChanges.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { Peer, PeerNetwork } from "../../ports/peer.js";
import { type FollowAnswer, followMethod } from "../../protocol/fleetMethods.js";
import type { BundleFetcher } from "./bundleFetcher.js";
import { type UpstreamReportAge, UpstreamUpdateTracker } from "./upstreamUpdateTracker.js";

/** Times in milliseconds. */
export interface ControllerFeedOptions {
    /** The address at which other routers reach this one. */
    readonly address: string;
    /** Interval between polls of one controller. */
    readonly pollIntervalMs: number;
    readonly callTimeoutMs: number;
    /** Delay before reconnecting after a connection is lost or cannot be established. */
    readonly reconnectDelayMs: number;
    /** Age of an upstream's last report from which controllers list it as unheard. Must exceed the report interval. */
    readonly upstreamStaleMs: number;
}

/** Receives the responses of controllers. */
export interface FeedListener {
    /** Handles the response to a poll. `routers`: the routers that follow the controller, from its latest list. */
    receiveFollowAnswer(answer: FollowAnswer, routers: readonly RouterContact[]): void;
    /** Handles the first response over a new connection, after which the controller may have missed notifications. */
    receiveReconnected(controller: string): void;
    /** Handles upstream changes. `heard`: upper bounds on the age of each known upstream's last report. */
    receiveUpstreamUpdate(news: UpstreamUpdate, heard: readonly UpstreamReportAge[]): void;
}

/** Decides whether the next poll of a controller requests upstream changes. */
export type UpstreamPollPredicate = (feed: ControllerFeed) => boolean;

export class ControllerFeed {
    /** Time of the last response. Monotonic clock, milliseconds. */
    lastAnsweredAt = -Infinity;
    /** Whether the controller reported that it can reach a majority of the controllers. */
    hasMajority = false;
    /** Time of the last poll that requested upstream changes. Monotonic clock, milliseconds. */
    upstreamsPolledAt = -Infinity;
    private readonly followedUpstreams: UpstreamUpdateTracker;
    /** The routers that follow the controller; `routersCursor` identifies the version of this list. */
    private routers: readonly RouterContact[] = [];
    private routersCursor: ChangeCursor | undefined;
    private suspectIndex: number | undefined;
    private isStopped = false;

    constructor(
        readonly address: string,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly listener: FeedListener,
        private readonly fetcher: BundleFetcher,
        private readonly isUpstreamPollDue: UpstreamPollPredicate,
        private readonly options: ControllerFeedOptions,
    ) {
        this.followedUpstreams = new UpstreamUpdateTracker(options.upstreamStaleMs);
    }

    /** Connects and polls until stopped, reconnecting after failures. */
    async run(): Promise<void> {
        let wasConnected = false;
        while (!this.isStopped) {
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
            await this.clock.wait(this.options.reconnectDelayMs);
        }
    }

    stop(): void {
        this.isStopped = true;
    }

    private async follow(peer: Peer, onAnswer: () => void): Promise<void> {
        const { address, callTimeoutMs, pollIntervalMs } = this.options;
        // Changes may have been missed while disconnected, so the first poll requests them.
        let wantsUpstreams = true;
        let isFirstAnswer = true;
        while (!this.isStopped) {
            if (wantsUpstreams) {
                this.upstreamsPolledAt = this.clock.getMonotonicMs();
            }
            const { unheardMs } = this.followedUpstreams;
            const since = this.followedUpstreams.tryGetCursor();
            const { routersCursor: routersSince, suspectIndex } = this;
            const params = { address, wantsUpstreams, since, unheardMs, routersSince, suspectIndex };
            const answer = await peer.call(followMethod, params, callTimeoutMs);
            this.lastAnsweredAt = this.clock.getMonotonicMs();
            this.hasMajority = answer.hasMajority;
            onAnswer();
            if (isFirstAnswer) {
                isFirstAnswer = false;
                this.listener.receiveReconnected(this.address);
            }
            this.routers = answer.routers ?? this.routers;
            this.routersCursor = answer.routersCursor;
            this.suspectIndex = answer.suspects?.index ?? this.suspectIndex;
            this.listener.receiveFollowAnswer(answer, this.routers);
            if (answer.news !== undefined) {
                this.listener.receiveUpstreamUpdate(answer.news, this.followedUpstreams.applyUpdate(answer.news));
            }
            if (answer.bundleRevision !== undefined) {
                void this.fetcher.fetchAnnouncement(this.address, answer.bundleRevision);
            }
            await this.clock.wait(pollIntervalMs);
            wantsUpstreams = this.isUpstreamPollDue(this);
        }
    }
}

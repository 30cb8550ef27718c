/**
 * Follows one controller: a task that keeps a connection to it, hears of bundles and upstreams, and asks again
 * regularly, so that a notice that was lost is made good.
 */
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { Peer, PeerNetwork } from "../../ports/peer.js";
import { type FollowAnswer, followMethod } from "../../protocol/fleetMethods.js";
import type { BundleFetcher } from "./bundleFetcher.js";

/** Times in milliseconds. */
export interface ControllerFeedOptions {
    /** Where other routers reach this one. */
    readonly address: string;
    /** Pause between questions to one controller. */
    readonly followPeriodMs: number;
    readonly callTimeoutMs: number;
    /** Pause after a connection that was lost or not made. */
    readonly redialMs: number;
}

/** Told of what a controller answers. */
export interface FeedListener {
    /** Takes a controller's answer to the regular question. */
    receiveFollowAnswer(answer: FollowAnswer): void;
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
    ) {}

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
            const answer = await peer.call(followMethod, { address, wantsUpstreams }, callTimeoutMs);
            this.heardAt = this.clock.getMonotonicMs();
            this.hasMajority = answer.hasMajority;
            onAnswer();
            this.listener.receiveFollowAnswer(answer);
            if (answer.bundleRevision !== undefined) {
                void this.fetcher.fetch(this.address, answer.bundleRevision);
            }
            await this.clock.wait(followPeriodMs);
            wantsUpstreams = this.isUpstreamTurn(this);
        }
    }
}

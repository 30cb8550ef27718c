/**
 * A daemon's subscription to the declared configuration. Prefers the nearest controller that is connected to a majority;
 * while there is none, takes the controllers in turn, nearest first.
 */
import type { ConfigView } from "../domain/configView.js";
import { formatRefusal, getRefusal } from "../domain/resultCodes.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { Peer, PeerHandlers, PeerNetwork } from "../ports/peer.js";
import {
    type ConfigUpdate,
    membershipMethod,
    type MembershipUpdate,
    reportMethod,
    subscribeMethod,
    updateMethod,
} from "../protocol/configMethods.js";
import { type ControllerAddress, sortByZone } from "./controllerAddress.js";

const SUBSCRIBE_TIMEOUT_MS = 4_000;
const POLL_INTERVAL_MS = 200;
const REPORT_PERIOD_MS = 2_000;
/** Without an update for this long the subscription is dropped. */
const CONTROLLER_TIMEOUT_MS = 2_500;
/** Without a confirmed update for this long the next controller is tried. */
const UNCONFIRMED_TIMEOUT_MS = 3_000;

/** Above this many consecutive updates that could not be applied, the daemon subscribes again. */
const MAX_MISSED_UPDATES = 3;

export class ConfigClient {
    private readonly controllers: readonly ControllerAddress[];
    private peer: Peer | undefined;
    private lastUpdateAt = 0;
    private lastConfirmedAt = -Infinity;
    private reportedRevision = -1;
    private reportedAt = -Infinity;
    private startedAt = 0;
    private missedUpdates = 0;
    private stopped = false;
    private readonly changeHandlers: (() => void)[] = [];
    private readonly membershipHandlers: ((membership: MembershipUpdate) => void)[] = [];

    constructor(
        readonly view: ConfigView,
        controllers: readonly ControllerAddress[],
        zone: string,
        private readonly ownAddress: string,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        /** Returns the numbers that the daemon's status shows. */
        private readonly getFigures: () => Record<string, number>,
        /** Time after which a daemon without a confirmed configuration becomes ready with an unconfirmed one. */
        private readonly unconfirmedReadyMs: number,
    ) {
        this.controllers = sortByZone(controllers, zone);
    }

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(updateMethod, (update, peer) => {
            if (peer === this.peer) {
                this.handleUpdate(update);
            }
        });
        handlers.add(membershipMethod, membership => this.membershipHandlers.forEach(handler => handler(membership)));
    }

    onChange(handler: () => void): void {
        this.changeHandlers.push(handler);
    }

    onMembership(handler: (membership: MembershipUpdate) => void): void {
        this.membershipHandlers.push(handler);
    }

    start(): void {
        void this.run();
    }

    stop(): void {
        this.stopped = true;
    }

    /** Whether a configuration has been confirmed by a majority, or one is present and the wait for it has timed out. */
    isReady(): boolean {
        const waitedMs = this.clock.getMonotonicMs() - this.startedAt;
        return this.view.isConfirmed() || (this.view.getRevision() > 0 && waitedMs > this.unconfirmedReadyMs);
    }

    /** Whether the configuration was recently confirmed to be the latest. */
    isFresh(): boolean {
        return this.clock.getMonotonicMs() - this.lastConfirmedAt < CONTROLLER_TIMEOUT_MS;
    }

    private async run(): Promise<void> {
        this.startedAt = this.clock.getMonotonicMs();
        let nextIndex = 0;
        while (!this.stopped) {
            const controller = this.controllers[nextIndex % this.controllers.length]!;
            nextIndex += 1;
            try {
                await this.subscribe(controller);
                await this.monitorSubscription();
                nextIndex = this.isFresh() ? 0 : nextIndex;
            }
            catch (error) {
                this.log.warn("config_controller_failed", {
                    controller: controller.name,
                    reason: formatRefusal(getRefusal(error)),
                });
            }
            this.peer = undefined;
            await this.clock.wait(POLL_INTERVAL_MS);
        }
    }

    private async subscribe(controller: ControllerAddress): Promise<void> {
        const peer = await this.network.connect(controller.address);
        this.peer = peer;
        this.lastUpdateAt = this.clock.getMonotonicMs();
        const params = { revision: this.view.getRevision(), address: this.ownAddress };
        const update = await peer.call(subscribeMethod, params, SUBSCRIBE_TIMEOUT_MS);
        this.reportedRevision = -1;
        this.missedUpdates = 0;
        this.handleUpdate(update);
        this.log.info("config_subscribed", {
            controller: controller.name,
            revision: update.revision,
            confirmed: update.confirmed,
        });
    }

    /** Returns when the controller times out, its updates cannot be applied, or it has lost its majority. */
    private async monitorSubscription(): Promise<void> {
        const subscribedAt = this.clock.getMonotonicMs();
        while (!this.stopped && this.peer?.isOpen() === true) {
            this.sendReport();
            await this.clock.wait(POLL_INTERVAL_MS);
            const now = this.clock.getMonotonicMs();
            if (
                now - this.lastUpdateAt > CONTROLLER_TIMEOUT_MS
                || this.missedUpdates > MAX_MISSED_UPDATES
            ) {
                return;
            }
            if (now - Math.max(subscribedAt, this.lastConfirmedAt) > UNCONFIRMED_TIMEOUT_MS) {
                return;
            }
        }
    }

    private handleUpdate(update: ConfigUpdate): void {
        this.lastUpdateAt = this.clock.getMonotonicMs();
        if (update.from > this.view.getRevision()) {
            // The preceding update is delayed or lost. If it is lost, later updates cannot be applied either.
            this.missedUpdates += 1;
            return;
        }
        this.missedUpdates = 0;
        if (update.confirmed && update.revision >= this.view.getRevision()) {
            this.lastConfirmedAt = this.lastUpdateAt;
        }
        if (this.view.apply(update)) {
            this.log.info("config_applied", { revision: update.revision });
            this.changeHandlers.forEach(handler => handler());
        }
        this.sendReport();
    }

    private sendReport(): void {
        const revision = this.view.getRevision();
        const now = this.clock.getMonotonicMs();
        if (revision !== this.reportedRevision || now - this.reportedAt > REPORT_PERIOD_MS) {
            this.reportedRevision = revision;
            this.reportedAt = now;
            this.peer?.notify(reportMethod, { revision, figures: this.getFigures() });
        }
    }
}

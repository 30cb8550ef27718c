/**
 * A daemon's subscription to the declared configuration: one task that keeps to the nearest controller that is
 * connected to a majority, and to the nearest one at all while there is none.
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
const TURN_MS = 200;
const REPORT_PERIOD_MS = 2_000;
/** A controller that is silent this long is given up. */
const SILENCE_MS = 2_500;
/** A controller without a majority is left after this long, to look for a better one. */
const UNCONFIRMED_MS = 3_000;

/** Updates in a row that could not be applied after which the daemon subscribes anew. */
const MISSED_LIMIT = 3;

export class ConfigClient {
    private readonly controllers: readonly ControllerAddress[];
    private peer: Peer | undefined;
    private heardAt = 0;
    private confirmedAt = -Infinity;
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
        /** Numbers worth a glance in the status. */
        private readonly getFigures: () => Record<string, number>,
        /** How long a daemon without a confirmed configuration waits before it serves with an unconfirmed one. */
        private readonly unconfirmedReadyMs: number,
    ) {
        this.controllers = sortByZone(controllers, zone);
    }

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(updateMethod, (update, peer) => {
            if (peer === this.peer) {
                this.takeUpdate(update);
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

    /** Ready once the configuration was read through a majority, or after long enough without one. */
    isReady(): boolean {
        const waitedMs = this.clock.getMonotonicMs() - this.startedAt;
        return this.view.isConfirmed() || (this.view.getRevision() > 0 && waitedMs > this.unconfirmedReadyMs);
    }

    /** Whether nothing newer can be in force elsewhere, give or take a heartbeat. */
    isFresh(): boolean {
        return this.clock.getMonotonicMs() - this.confirmedAt < SILENCE_MS;
    }

    private async run(): Promise<void> {
        this.startedAt = this.clock.getMonotonicMs();
        let next = 0;
        while (!this.stopped) {
            const controller = this.controllers[next % this.controllers.length]!;
            next += 1;
            try {
                await this.subscribe(controller);
                await this.keepSubscription();
                next = this.isFresh() ? 0 : next;
            }
            catch (error) {
                this.log.warn("config_controller_failed", {
                    controller: controller.name,
                    reason: formatRefusal(getRefusal(error)),
                });
            }
            this.peer = undefined;
            await this.clock.wait(TURN_MS);
        }
    }

    private async subscribe(controller: ControllerAddress): Promise<void> {
        const peer = await this.network.connect(controller.address);
        this.peer = peer;
        this.heardAt = this.clock.getMonotonicMs();
        const params = { revision: this.view.getRevision(), address: this.ownAddress };
        const update = await peer.call(subscribeMethod, params, SUBSCRIBE_TIMEOUT_MS);
        this.reportedRevision = -1;
        this.missedUpdates = 0;
        this.takeUpdate(update);
        this.log.info("config_subscribed", {
            controller: controller.name,
            revision: update.revision,
            confirmed: update.confirmed,
        });
    }

    /** Stays while the controller speaks, and while it has a majority or nothing better is known. */
    private async keepSubscription(): Promise<void> {
        const since = this.clock.getMonotonicMs();
        while (!this.stopped && this.peer?.isOpen() === true) {
            this.sendReport();
            await this.clock.wait(TURN_MS);
            const now = this.clock.getMonotonicMs();
            if (now - this.heardAt > SILENCE_MS || this.missedUpdates > MISSED_LIMIT) {
                return;
            }
            if (now - Math.max(since, this.confirmedAt) > UNCONFIRMED_MS) {
                return;
            }
        }
    }

    private takeUpdate(update: ConfigUpdate): void {
        this.heardAt = this.clock.getMonotonicMs();
        if (update.from > this.view.getRevision()) {
            // What it builds on is still on its way, or was lost: then the next heartbeat cannot be applied either.
            this.missedUpdates += 1;
            return;
        }
        this.missedUpdates = 0;
        if (update.confirmed && update.revision >= this.view.getRevision()) {
            this.confirmedAt = this.heardAt;
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

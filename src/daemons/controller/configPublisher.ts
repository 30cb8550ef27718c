/** Publishes the declared configuration to subscribed daemons and stores the status they report. */
import { createRefusal, formatRefusal, getRefusal, RefusalError } from "../../domain/resultCodes.js";
import type { BoxList } from "../../ports/membership.js";
import type { Peer, PeerHandlers } from "../../ports/peer.js";
import {
    type ConfigUpdate,
    type DaemonStatus,
    membershipMethod,
    type MembershipUpdate,
    reportMethod,
    subscribeMethod,
    updateMethod,
} from "../../protocol/configMethods.js";
import type { ControllerContext } from "./controllerContext.js";

interface Subscriber {
    readonly peer: Peer;
    readonly address: string;
    sentRevision: number;
    reportedRevision: number;
    lastReportAt: number;
    figures: Readonly<Record<string, number>>;
}

/** Time since the last report after which a disconnected subscriber is removed. */
const SUBSCRIBER_RETENTION_MS = 600_000;

export class ConfigPublisher {
    private readonly subscribers = new Map<string, Subscriber>();
    private isSendScheduled = false;
    private membership: MembershipUpdate = { leaving: [], gone: [] };

    constructor(private readonly context: ControllerContext) {
        context.log.onApplied(entry => {
            if (entry.command.type === "putObject" || entry.command.type === "deleteObject") {
                this.scheduleSend();
            }
        });
        context.log.onSnapshotLoaded(() => this.scheduleSend());
    }

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(subscribeMethod, (params, peer) => this.handleSubscribe(params.revision, params.address, peer));
        handlers.add(reportMethod, (params, peer) => this.handleReport(params.revision, params.figures, peer));
    }

    /** Sends a heartbeat with the majority status to connected subscribers and removes those long disconnected. */
    sendHeartbeats(): void {
        const now = this.context.clock.getMonotonicMs();
        for (const [name, subscriber] of this.subscribers) {
            if (subscriber.peer.isOpen()) {
                subscriber.peer.notify(updateMethod, this.createUpdate(subscriber.sentRevision));
            }
            else if (now - subscriber.lastReportAt > SUBSCRIBER_RETENTION_MS) {
                this.subscribers.delete(name);
            }
        }
    }

    /** Sends the platform's box membership to all subscribers if it has changed. */
    setMembership(boxes: BoxList): void {
        const membership: MembershipUpdate = { leaving: [...boxes.leaving], gone: [...boxes.gone] };
        if (JSON.stringify(membership) === JSON.stringify(this.membership)) {
            return;
        }
        this.membership = membership;
        this.context.events.info("membership_changed", {
            leaving: membership.leaving.join(","),
            gone: membership.gone.join(","),
        });
        for (const subscriber of this.subscribers.values()) {
            subscriber.peer.notify(membershipMethod, membership);
        }
    }

    getDaemons(): DaemonStatus[] {
        const now = this.context.clock.getMonotonicMs();
        return [...this.subscribers.values()].map(subscriber => ({
            name: subscriber.peer.identity.name,
            role: subscriber.peer.identity.role,
            zone: subscriber.peer.identity.zone,
            incarnation: subscriber.peer.identity.incarnation,
            address: subscriber.address,
            revision: subscriber.reportedRevision,
            silentMs: Math.round(now - subscriber.lastReportAt),
            figures: subscriber.figures,
        }));
    }

    /** Confirms the read index first, so that a restarted daemon does not receive an outdated configuration. */
    private async handleSubscribe(revision: number, address: string, peer: Peer): Promise<ConfigUpdate> {
        await this.context.log.confirmReadIndex().catch(error => {
            this.context.events.warn("subscribe_unconfirmed", {
                peer: peer.identity.name,
                reason: formatRefusal(getRefusal(error)),
            });
        });
        const update = this.createUpdate(revision);
        if (update.revision < revision) {
            const detail = `this controller is at revision ${update.revision}, the daemon at ${revision}`;
            throw new RefusalError(createRefusal("notReady", detail));
        }
        this.subscribers.set(peer.identity.name, {
            peer,
            address,
            sentRevision: update.revision,
            reportedRevision: revision,
            lastReportAt: this.context.clock.getMonotonicMs(),
            figures: {},
        });
        peer.notify(membershipMethod, this.membership);
        return update;
    }

    private handleReport(revision: number, figures: Readonly<Record<string, number>>, peer: Peer): void {
        const subscriber = this.subscribers.get(peer.identity.name);
        if (subscriber !== undefined) {
            subscriber.reportedRevision = revision;
            subscriber.figures = figures;
            subscriber.lastReportAt = this.context.clock.getMonotonicMs();
        }
    }

    /** Coalesces changes that are applied in the same turn of the event loop into one update. */
    private scheduleSend(): void {
        if (!this.isSendScheduled) {
            this.isSendScheduled = true;
            setImmediate(() => {
                this.isSendScheduled = false;
                this.sendChanges();
            });
        }
    }

    private sendChanges(): void {
        for (const subscriber of this.subscribers.values()) {
            const update = this.createUpdate(subscriber.sentRevision);
            if (update.revision > subscriber.sentRevision && subscriber.peer.isOpen()) {
                subscriber.peer.notify(updateMethod, update);
                subscriber.sentRevision = update.revision;
            }
        }
    }

    private createUpdate(since: number): ConfigUpdate {
        const { log } = this.context;
        const objects = log.state.objects;
        const changes = since === 0 ? undefined : objects.tryGetChangesSince(since);
        return {
            type: changes === undefined ? "snapshot" : "changes",
            changes: changes ?? objects.getSnapshotObjects(),
            from: changes === undefined ? 0 : since,
            revision: objects.getRevision(),
            confirmed: log.isConnectedToMajority(),
            term: log.getTerm(),
        };
    }
}

/**
 * Exchanges placements with the other routers, because all routers share each upstream's queue and prompt cache. In
 * large fleets, placements are batched and forwarded by group relays (see `routerGroups.ts`).
 */
import { createRouterGroups, findGroupLinks, type GroupLinks, type RouterContact } from "../../domain/routerGroups.js";
import type { Placement, PromptPart, UpstreamLoad } from "../../domain/upstreamLoad.js";
import type { ReportedEstimates } from "../../domain/upstreamModel.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { PeerHandlers } from "../../ports/peer.js";
import {
    MAX_NOTICE_PLACEMENTS,
    MAX_PART_ID_LENGTH,
    MAX_PLACEMENT_PARTS,
    placementNoticeMethod,
    type PlacementScope,
    type SharedPlacement,
} from "../../protocol/fleetMethods.js";
import type { RouterLinks } from "./routerLinks.js";

/** Times in milliseconds. */
export interface PlacementSharerOptions {
    /** Time for which placements are batched before they are sent. */
    readonly batchDelayMs: number;
    /** Batching time at a group relay. */
    readonly relayBatchDelayMs: number;
    /** Minimum number of uncached prompt tokens for a placement to be shared. */
    readonly minTokens: number;
}

/** A placement made by this router, or one that it forwards as a relay. */
interface OutgoingPlacement {
    readonly placement: SharedPlacement;
    readonly passTo: Exclude<PlacementScope, "none">;
}

export class PlacementSharer {
    private groups: readonly (readonly string[])[] = [];
    private groupLinks: GroupLinks = { relay: undefined, members: [], otherRelays: [] };
    private pending: OutgoingPlacement[] = [];
    private isFlushScheduled = false;

    constructor(
        private readonly self: RouterContact,
        private readonly upstreamLoad: UpstreamLoad,
        private readonly routerLinks: RouterLinks,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly options: PlacementSharerOptions,
    ) {
        routerLinks.onReachabilityChange(() => this.updateGroupLinks());
    }

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(placementNoticeMethod, ({ passTo, placements }) => this.receive(passTo, placements));
    }

    setOthers(others: readonly RouterContact[]): void {
        const all = [this.self, ...others];
        this.groups = createRouterGroups(all);
        this.routerLinks.pruneUnreachable(new Set(all.map(({ address }) => address)));
        this.updateGroupLinks();
    }

    /** Retries failed connections to the routers that this one sends to. */
    reconcileLinks(): void {
        this.routerLinks.reconcile(this.listLinkTargets());
    }

    /** Queues a placement for the next batch. `estimates`: omitted without a model of the upstreams. */
    share(
        { upstream, uncachedTokens, excessPrefillMs, isProbe }: Placement,
        parts: readonly PromptPart[],
        estimates: ReportedEstimates = {},
    ): void {
        // Probes are shared whatever their size, so that the other routers do not send one too.
        if (uncachedTokens >= this.options.minTokens || isProbe === true) {
            const router = this.self.address;
            const { id, bornAt } = upstream;
            const placement = {
                router,
                upstream: id,
                bornAt,
                newTokens: uncachedTokens,
                beyondMs: excessPrefillMs,
                parts: listSharedParts(parts),
                ...estimates,
            };
            this.enqueue({ placement, passTo: "all" });
        }
    }

    private receive(passTo: PlacementScope, placements: readonly SharedPlacement[]): void {
        const now = this.clock.getMonotonicMs();
        for (const placement of placements) {
            const { router, upstream, bornAt, newTokens, beyondMs, parts, outputTokens, priority } = placement;
            if (router === this.self.address) {
                continue;
            }
            const estimates = { outputTokens, priority };
            this.upstreamLoad.recordPeerRequest({ id: upstream, bornAt }, newTokens, beyondMs, parts, now, estimates);
            if (passTo !== "none") {
                this.enqueue({ placement, passTo });
            }
        }
    }

    /** Drops the placement if there are no recipients or the batch already fills one notice. */
    private enqueue(entry: OutgoingPlacement): void {
        const hasRecipients = this.groupLinks.members.length > 0 || this.groupLinks.otherRelays.length > 0;
        if (!hasRecipients || this.pending.length >= MAX_NOTICE_PLACEMENTS) {
            return;
        }
        this.pending.push(entry);
        if (!this.isFlushScheduled) {
            this.isFlushScheduled = true;
            void this.flushAfterDelay();
        }
    }

    private async flushAfterDelay(): Promise<void> {
        const { batchDelayMs, relayBatchDelayMs } = this.options;
        const isGroupRelay = this.groupLinks.relay === undefined && this.groupLinks.members.length > 0;
        await this.clock.wait(isGroupRelay ? relayBatchDelayMs : batchDelayMs);
        const batch = this.pending;
        this.pending = [];
        this.isFlushScheduled = false;
        const { relay } = this.groupLinks;
        if (relay === undefined) {
            this.forward(batch);
            return;
        }
        const isOwn = ({ placement }: OutgoingPlacement): boolean => placement.router === this.self.address;
        this.sendNotice([relay], "all", batch.filter(isOwn));
        // The rest was sent by routers that consider this one their relay.
        this.forward(batch.filter(entry => !isOwn(entry)));
    }

    /** Sends placements to the members of this router's group, and those of scope "all" to the other groups' relays. */
    private forward(batch: readonly OutgoingPlacement[]): void {
        this.sendNotice(this.groupLinks.members, "none", batch);
        this.sendNotice(this.groupLinks.otherRelays, "group", batch.filter(({ passTo }) => passTo === "all"));
    }

    /** Skips routers that are not connected: placements would be obsolete once a connection is established. */
    private sendNotice(
        addresses: readonly string[],
        passTo: PlacementScope,
        batch: readonly OutgoingPlacement[],
    ): void {
        if (batch.length > 0) {
            const placements = batch.map(({ placement }) => placement);
            this.routerLinks.notify(addresses, placementNoticeMethod, { passTo, placements });
        }
    }

    private updateGroupLinks(): void {
        const previousRelay = this.groupLinks.relay;
        this.groupLinks = findGroupLinks(
            this.self.address,
            this.groups,
            address => this.routerLinks.isReachable(address),
        );
        if (this.groupLinks.relay !== previousRelay) {
            this.log.info("placement_relay_changed", { relay: this.groupLinks.relay ?? this.self.address });
        }
        this.reconcileLinks();
    }

    /**
     * Lists the routers to stay connected to. Group members are always included because this router borrows tokens from
     * them, and the timeout of a loan may be too short to also establish a connection: 60 ms was too short for 17 loans in
     * the first 1.5 s of traffic of 21 routers.
     */
    private listLinkTargets(): string[] {
        const { relay, members, otherRelays } = this.groupLinks;
        return relay === undefined ? [...members, ...otherRelays] : [...members];
    }
}

/** Lists the ids of the first parts that a notice can hold: a part is only of use together with all parts before it. */
function listSharedParts(parts: readonly PromptPart[]): string[] {
    const tooLong = parts.findIndex(({ id }) => id.length > MAX_PART_ID_LENGTH);
    const end = Math.min(tooLong === -1 ? parts.length : tooLong, MAX_PLACEMENT_PARTS);
    return parts.slice(0, end).map(({ id }) => id);
}

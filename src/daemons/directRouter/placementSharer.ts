/**
 * Tells the other routers what this one sends to which model engine, and hears the same of them: all of them read from
 * one queue, and a part of a prompt that one router's request has brought there is kept for the others' too.
 */
import type { Placement, PromptPart, UpstreamLoad } from "../../domain/upstreamLoad.js";
import type { Clock } from "../../ports/clock.js";
import type { Log } from "../../ports/log.js";
import type { Peer, PeerHandlers, PeerNetwork } from "../../ports/peer.js";
import { placementNoticeMethod, type SharedPlacement } from "../../protocol/fleetMethods.js";

export interface PlacementSharerOptions {
    /** How long placements gather before they are told, in milliseconds. */
    readonly gatherMs: number;
    /** Prompts that leave less to read are not told of, in tokens. */
    readonly leastTokens: number;
}

/** Most placements that gather; what is beyond them is not told. */
const MAX_GATHERED = 500;

export class PlacementSharer {
    private others: readonly string[] = [];
    private readonly peers = new Map<string, Peer>();
    private readonly connecting = new Set<string>();
    /** Addresses that could not be connected to the last time. */
    private readonly unreached = new Set<string>();
    private gathered: SharedPlacement[] = [];
    private isFlushDue = false;

    constructor(
        private readonly load: UpstreamLoad,
        private readonly network: PeerNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly options: PlacementSharerOptions,
    ) {}

    addHandlers(handlers: PeerHandlers): void {
        handlers.add(placementNoticeMethod, ({ placements }) => {
            const now = this.clock.getMonotonicMs();
            for (const { upstream, newTokens, beyondMs, parts } of placements) {
                this.load.recordOther(upstream, newTokens, beyondMs, parts, now);
            }
        });
    }

    /** Takes the addresses of the other routers. */
    setOthers(others: readonly string[]): void {
        this.others = others;
        this.unreached.forEach(address => others.includes(address) || this.unreached.delete(address));
        others.forEach(address => this.tryGetPeer(address));
    }

    /** Tells the others of a placement soon. */
    share({ upstream, newTokens, beyondMs }: Placement, parts: readonly PromptPart[]): void {
        if (newTokens < this.options.leastTokens || this.gathered.length >= MAX_GATHERED) {
            return;
        }
        this.gathered.push({ upstream: upstream.id, newTokens, beyondMs, parts: parts.map(part => part.id) });
        if (!this.isFlushDue) {
            this.isFlushDue = true;
            void this.flushSoon();
        }
    }

    private async flushSoon(): Promise<void> {
        await this.clock.wait(this.options.gatherMs);
        const placements = this.gathered;
        this.gathered = [];
        this.isFlushDue = false;
        this.others.forEach(address => this.tell(address, placements));
    }

    /** Who cannot be told now is not told later: by then the prompts have been read. */
    private tell(address: string, placements: readonly SharedPlacement[]): void {
        this.tryGetPeer(address)?.notify(placementNoticeMethod, { placements });
    }

    /** The connection to a router; one is begun where there is none. */
    private tryGetPeer(address: string): Peer | undefined {
        const peer = this.peers.get(address);
        if (peer?.isOpen()) {
            return peer;
        }
        if (!this.connecting.has(address)) {
            void this.connect(address);
        }
        return undefined;
    }

    private async connect(address: string): Promise<void> {
        this.connecting.add(address);
        try {
            const peer = await this.network.connect(address);
            // Counts as waiting on the connection, so that one that was cut without a sign is closed in time.
            peer.onClose(() => this.peers.delete(address));
            this.peers.set(address, peer);
            this.unreached.delete(address);
        }
        catch (error) {
            this.noteUnreached(address, String(error));
        }
        finally {
            this.connecting.delete(address);
        }
    }

    /** Logs once until the router is reached again. */
    private noteUnreached(address: string, error: string): void {
        if (!this.unreached.has(address)) {
            this.unreached.add(address);
            this.log.info("router_not_told", { router: address, error });
        }
    }
}

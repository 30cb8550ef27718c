/** Connections to other routers that are kept open to tell them things without waiting for an answer. */
import type { Log } from "../../ports/log.js";
import type { Peer, PeerMethod, PeerNetwork } from "../../ports/peer.js";

interface Link {
    readonly peer: Peer;
    /** Takes back the handler that makes the connection count as waited on. */
    readonly release: () => void;
}

export class RouterLinks {
    private readonly links = new Map<string, Link>();
    private readonly connecting = new Set<string>();
    /** Kept addresses whose connection was lost, or could not be made the last time. */
    private readonly unreached = new Set<string>();
    private kept: readonly string[] = [];
    private reachableChanged: () => void = () => undefined;

    constructor(private readonly network: PeerNetwork, private readonly log: Log) {}

    /** Calls back when a router that was kept is lost, or is reached again. */
    onReachableChanged(handler: () => void): void {
        this.reachableChanged = handler;
    }

    /** Keeps connections to these addresses, and tries again those that were not reached; leaves the others alone. */
    keep(addresses: readonly string[]): void {
        this.kept = addresses;
        for (const [address, link] of this.links) {
            if (!addresses.includes(address)) {
                link.release();
                this.links.delete(address);
            }
        }
        [...addresses, ...this.unreached].forEach(address => this.tryGetPeer(address));
    }

    /** Forgets that routers were not reached, of those that are no longer there. */
    forgetExcept(known: ReadonlySet<string>): void {
        for (const address of this.unreached) {
            if (!known.has(address)) {
                this.unreached.delete(address);
            }
        }
    }

    /** False where a router was lost or not reached; those that nobody has tried count as reachable. */
    isReachable(address: string): boolean {
        return !this.unreached.has(address);
    }

    /** Tells those that are connected now. */
    notify<P>(addresses: readonly string[], method: PeerMethod<P, void>, params: P): void {
        addresses.forEach(address => this.tryNotify(address, method, params));
    }

    /** Tells one that is connected now. Answers whether it was told; it may not hear it all the same. */
    tryNotify<P>(address: string, method: PeerMethod<P, void>, params: P): boolean {
        const peer = this.tryGetPeer(address);
        peer?.notify(method, params);
        return peer !== undefined;
    }

    /** The connection to a router; one is begun where there is none. */
    private tryGetPeer(address: string): Peer | undefined {
        const peer = this.links.get(address)?.peer;
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
            const release = peer.onClose(() => this.noteLost(address));
            this.links.set(address, { peer, release });
            this.noteReached(address);
        }
        catch (error) {
            this.noteUnreached(address, String(error));
        }
        finally {
            this.connecting.delete(address);
        }
    }

    private noteReached(address: string): void {
        if (this.unreached.delete(address)) {
            this.reachableChanged();
        }
    }

    private noteLost(address: string): void {
        this.links.delete(address);
        if (this.kept.includes(address)) {
            this.noteUnreached(address, "connection lost");
        }
    }

    /** Logs once until the router is reached again. */
    private noteUnreached(address: string, error: string): void {
        if (!this.unreached.has(address)) {
            this.unreached.add(address);
            this.log.info("router_not_told", { router: address, error });
            this.reachableChanged();
        }
    }
}

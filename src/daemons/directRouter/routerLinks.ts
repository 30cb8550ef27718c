/** Maintains connections to other routers for one-way notifications. */
import type { Log } from "../../ports/log.js";
import type { Peer, PeerMethod, PeerNetwork } from "../../ports/peer.js";

interface Link {
    readonly peer: Peer;
    /** Unregisters the close handler, which also stops the detection of a silently broken connection. */
    readonly removeCloseHandler: () => void;
}

export class RouterLinks {
    private readonly links = new Map<string, Link>();
    private readonly connecting = new Set<string>();
    /** Addresses whose connection was lost, or whose last connection attempt failed. */
    private readonly unreachable = new Set<string>();
    private targets: readonly string[] = [];
    private readonly reachabilityHandlers: (() => void)[] = [];

    constructor(private readonly network: PeerNetwork, private readonly log: Log) {}

    /** Registers a handler that is called when a router becomes unreachable, or reachable again. */
    onReachabilityChange(handler: () => void): void {
        this.reachabilityHandlers.push(handler);
    }

    /** Connects to these addresses, retries all unreachable ones, and releases all other connections. */
    reconcile(addresses: readonly string[]): void {
        this.targets = addresses;
        for (const [address, link] of this.links) {
            if (!addresses.includes(address)) {
                link.removeCloseHandler();
                this.links.delete(address);
            }
        }
        [...addresses, ...this.unreachable].forEach(address => this.tryGetPeer(address));
    }

    /** Discards the unreachable state of routers that are no longer known. */
    pruneUnreachable(known: ReadonlySet<string>): void {
        for (const address of this.unreachable) {
            if (!known.has(address)) {
                this.unreachable.delete(address);
            }
        }
    }

    /** Returns whether a router is considered reachable, which includes routers that no connection was attempted to. */
    isReachable(address: string): boolean {
        return !this.unreachable.has(address);
    }

    /** Whether there is an open connection to a router. */
    hasLink(address: string): boolean {
        return this.links.get(address)?.peer.isOpen() === true;
    }

    /** Notifies the routers that are currently connected. */
    notify<P>(addresses: readonly string[], method: PeerMethod<P, void>, params: P): void {
        addresses.forEach(address => this.tryNotify(address, method, params));
    }

    /** Notifies a router if it is connected. Returns whether the notification was sent; delivery is not guaranteed. */
    tryNotify<P>(address: string, method: PeerMethod<P, void>, params: P): boolean {
        const peer = this.tryGetPeer(address);
        peer?.notify(method, params);
        return peer !== undefined;
    }

    /** Returns the open connection to a router; if there is none, starts connecting and returns undefined. */
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
            // The handler marks the connection as in use, so that a silently broken one is detected and closed.
            const removeCloseHandler = peer.onClose(() => this.handleClose(address));
            this.links.set(address, { peer, removeCloseHandler });
            this.recordReachable(address);
        }
        catch (error) {
            this.recordUnreachable(address, String(error));
        }
        finally {
            this.connecting.delete(address);
        }
    }

    private recordReachable(address: string): void {
        if (this.unreachable.delete(address)) {
            this.reachabilityHandlers.forEach(handler => handler());
        }
    }

    private handleClose(address: string): void {
        this.links.delete(address);
        if (this.targets.includes(address)) {
            this.recordUnreachable(address, "connection lost");
        }
    }

    /** Logs and calls the handler only on the transition to unreachable. */
    private recordUnreachable(address: string, error: string): void {
        if (!this.unreachable.has(address)) {
            this.unreachable.add(address);
            this.log.info("router_not_told", { router: address, error });
            this.reachabilityHandlers.forEach(handler => handler());
        }
    }
}

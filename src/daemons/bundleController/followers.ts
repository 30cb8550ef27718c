/** The routers that follow this controller, each over the connection it opened. */
import type { Peer, PeerMethod } from "../../ports/peer.js";

export class Followers {
    private readonly peers = new Map<Peer, string>();

    /** Adds a follower, or keeps one; it is forgotten when its connection is lost. Answers whether it is new. */
    add(peer: Peer, router: string): boolean {
        if (this.peers.has(peer)) {
            return false;
        }
        this.peers.set(peer, router);
        peer.onClose(() => this.peers.delete(peer));
        return true;
    }

    /** How many different routers follow. */
    count(): number {
        return new Set(this.peers.values()).size;
    }

    notifyAll<P>(method: PeerMethod<P, void>, params: P): void {
        this.peers.forEach((_router, peer) => peer.notify(method, params));
    }
}

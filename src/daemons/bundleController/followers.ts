/** The routers that follow this controller, each over the connection it opened. */
import type { RouterContact } from "../../domain/routerGroups.js";
import type { Peer, PeerMethod } from "../../ports/peer.js";

export class Followers {
    private readonly peers = new Map<Peer, string>();

    /** Adds a follower by its address, or keeps it until its connection is lost. Answers whether it is new. */
    add(peer: Peer, router: string): boolean {
        if (this.peers.has(peer)) {
            return false;
        }
        this.peers.set(peer, router);
        peer.onClose(() => this.peers.delete(peer));
        return true;
    }

    /** The routers that follow, each once. */
    list(): RouterContact[] {
        const zones = new Map([...this.peers].map(([peer, address]) => [address, peer.identity.zone]));
        return [...zones].map(([address, zone]) => ({ address, zone }));
    }

    notifyAll<P>(method: PeerMethod<P, void>, params: P): void {
        this.peers.forEach((_router, peer) => peer.notify(method, params));
    }
}

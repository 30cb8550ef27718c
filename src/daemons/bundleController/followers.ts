/** The routers that follow this controller, each over the connection it opened. */
import type { RouterContact } from "../../domain/routerGroups.js";
import type { ChangeCursor } from "../../domain/upstreamChanges.js";
import type { Peer, PeerMethod } from "../../ports/peer.js";

export class Followers {
    private readonly peers = new Map<Peer, string>();
    /** Counts the changes of the list. */
    private changes = 0;

    /** `epoch`: new at each start of the process. */
    constructor(private readonly epoch: string) {}

    /** Adds a follower by its address, or keeps it until its connection is lost. Answers whether it is new. */
    add(peer: Peer, router: string): boolean {
        if (this.peers.has(peer)) {
            return false;
        }
        this.peers.set(peer, router);
        this.changes += 1;
        peer.onClose(() => {
            this.peers.delete(peer);
            this.changes += 1;
        });
        return true;
    }

    /** The routers that follow, each once. */
    list(): RouterContact[] {
        const zones = new Map([...this.peers].map(([peer, address]) => [address, peer.identity.zone]));
        return [...zones].map(([address, zone]) => ({ address, zone }));
    }

    /** Which state of the list is the one now. */
    getCursor(): ChangeCursor {
        return { epoch: this.epoch, number: this.changes };
    }

    /** Whether the list is as it was at a cursor. */
    isUnchangedSince(cursor: ChangeCursor | undefined): boolean {
        return cursor?.epoch === this.epoch && cursor.number === this.changes;
    }

    notifyAll<P>(method: PeerMethod<P, void>, params: P): void {
        this.peers.forEach((_router, peer) => peer.notify(method, params));
    }
}

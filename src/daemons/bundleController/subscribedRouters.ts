/** The routers that are subscribed to this controller, each over the connection that it opened. */
import type { RouterContact } from "../../domain/routerGroups.js";
import type { ChangeCursor } from "../../domain/upstreamChanges.js";
import type { Peer, PeerMethod } from "../../ports/peer.js";

export class SubscribedRouters {
    private readonly addressByPeer = new Map<Peer, string>();
    /** Number of changes of the list. */
    private changeCount = 0;

    /** `startId`: identifies this run of the controller. */
    constructor(private readonly startId: string) {}

    /** Adds a router until its connection closes. Returns whether the connection was not subscribed before. */
    add(peer: Peer, address: string): boolean {
        if (this.addressByPeer.has(peer)) {
            return false;
        }
        this.addressByPeer.set(peer, address);
        this.changeCount += 1;
        peer.onClose(() => {
            this.addressByPeer.delete(peer);
            this.changeCount += 1;
        });
        return true;
    }

    /** Returns the subscribed routers without duplicates. */
    list(): RouterContact[] {
        const zoneByAddress = new Map([...this.addressByPeer].map(([peer, address]) => [address, peer.identity.zone]));
        return [...zoneByAddress].map(([address, zone]) => ({ address, zone }));
    }

    /** Returns a cursor for the current state of the list. */
    getCursor(): ChangeCursor {
        return { epoch: this.startId, number: this.changeCount };
    }

    /** Returns whether the list has not changed since a cursor. */
    isUnchangedSince(cursor: ChangeCursor | undefined): boolean {
        return cursor?.epoch === this.startId && cursor.number === this.changeCount;
    }

    notifyAll<P>(method: PeerMethod<P, void>, params: P): void {
        this.addressByPeer.forEach((_address, peer) => peer.notify(method, params));
    }
}

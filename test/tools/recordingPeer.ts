/** A peer that keeps what it is told. */
import { Peer, type PeerIdentity, type PeerMethod } from "../../src/ports/peer.js";

export class RecordingPeer extends Peer {
    override readonly identity: PeerIdentity = { name: "kept", role: "router", zone: "z", incarnation: "1" };
    private readonly notices: { readonly name: string; readonly params: unknown; }[] = [];

    override call<P, R>({ name }: PeerMethod<P, R>): Promise<R> {
        return Promise.reject(new Error(`${name} has no answer`));
    }

    override notify<P>({ name }: PeerMethod<P, void>, params: P): void {
        this.notices.push({ name, params });
    }

    override onClose(): () => void {
        return () => undefined;
    }

    override isOpen(): boolean {
        return true;
    }

    /** What it was told by a method, oldest first. */
    getParams<P>({ name }: PeerMethod<P, void>): P[] {
        return this.notices.filter(notice => notice.name === name).map(({ params }) => params as P);
    }
}

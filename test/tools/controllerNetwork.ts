/** A network of controllers that answer calls as a test says, and keep what they are notified of. */
import { createRefusal, RefusalError } from "../../src/domain/resultCodes.js";
import { type Peer, type PeerMethod, PeerNetwork } from "../../src/ports/peer.js";
import { RecordingPeer } from "./recordingPeer.js";

/** Answers a call; undefined if the controller does not answer. */
export type ControllerAnswer = (controller: string, method: string, params: unknown) => unknown;

export class ControllerNetwork extends PeerNetwork {
    /** Names of the methods called, with the controller. */
    readonly calls: string[] = [];
    /** Controllers to which no connection can be opened. */
    readonly unreachable = new Set<string>();
    private readonly peers = new Map<string, RecordingPeer>();

    constructor(private readonly answer: ControllerAnswer = () => undefined) {
        super();
    }

    override connect(address: string): Promise<Peer> {
        return this.unreachable.has(address)
            ? Promise.reject(new RefusalError(createRefusal("peerGone", address)))
            : Promise.resolve(this.getPeer(address));
    }

    override async call<P, R>(address: string, method: PeerMethod<P, R>, params: P, timeoutMs: number): Promise<R> {
        this.calls.push(`${address} ${method.name}`);
        await this.connect(address);
        const answer = this.answer(address, method.name, params);
        if (answer === undefined) {
            await new Promise(resolve => setTimeout(resolve, timeoutMs));
            throw new RefusalError(createRefusal("peerTimeout", method.name, "unknown"));
        }
        return answer as R;
    }

    getPeer(address: string): RecordingPeer {
        let peer = this.peers.get(address);
        if (peer === undefined) {
            peer = new RecordingPeer();
            this.peers.set(address, peer);
        }
        return peer;
    }
}

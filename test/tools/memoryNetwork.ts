/** A network in memory that loses, doubles and delays messages as a seeded generator says. */
import { createRefusal, RefusalError } from "../../src/domain/resultCodes.js";
import { Peer, PeerHandlers, type PeerIdentity, type PeerMethod, PeerNetwork } from "../../src/ports/peer.js";

const MAX_DELAY_MS = 4;

/** What is wrong with the network at present. */
export interface NetworkFaults {
    /** Part of the messages that is lost, and that is delivered twice. */
    loss: number;
    doubles: number;
    /** Addresses that reach nobody and are reached by nobody. */
    readonly cutOff: Set<string>;
}

/** The handlers of each process by its address; absent while it is down. */
export type MemoryProcesses = Map<string, PeerHandlers>;

export class MemoryNetwork extends PeerNetwork {
    constructor(
        private readonly self: string,
        private readonly processes: MemoryProcesses,
        private readonly faults: NetworkFaults,
        private readonly random: () => number,
    ) {
        super();
    }

    override connect(): Promise<Peer> {
        return Promise.reject(new RefusalError(createRefusal("peerGone")));
    }

    override async call<P, R>(address: string, method: PeerMethod<P, R>, params: P, timeoutMs: number): Promise<R> {
        const lost = new RefusalError(createRefusal("peerTimeout", method.name, "unknown"));
        const sent = JSON.parse(JSON.stringify(params)) as unknown;
        if (this.random() < this.faults.doubles) {
            void this.deliver(address, method.name, sent).catch(() => undefined);
        }
        const timeout = new Promise<never>((_resolve, reject) =>
            setTimeout(() => reject(lost), Math.min(timeoutMs, 60))
        );
        const answer = this.random() < this.faults.loss ? timeout : this.deliver(address, method.name, sent);
        const result = await Promise.race([answer, timeout]);
        if (this.random() < this.faults.loss) {
            throw lost;
        }
        return JSON.parse(JSON.stringify(result)) as R;
    }

    private async deliver(address: string, method: string, params: unknown): Promise<unknown> {
        await new Promise(resolve => setTimeout(resolve, this.random() * MAX_DELAY_MS));
        const handlers = this.processes.get(address);
        if (handlers === undefined || this.faults.cutOff.has(address) || this.faults.cutOff.has(this.self)) {
            throw new RefusalError(createRefusal("peerGone", address, "unknown"));
        }
        return handlers.handle(method, params, new NoPeer());
    }
}

class NoPeer extends Peer {
    override readonly identity: PeerIdentity = { name: "", role: "controller", zone: "", incarnation: "" };
    override call<P, R>(): Promise<R> {
        void (0 as unknown as P);
        return Promise.reject(new Error("no way back"));
    }
    override notify(): void {}
    override onClose(): () => void {
        return () => undefined;
    }
    override isOpen(): boolean {
        return true;
    }
}

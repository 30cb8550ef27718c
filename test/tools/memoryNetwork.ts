/** An in-memory network that loses, duplicates and delays messages as directed by a seeded generator. */
import { createRefusal, RefusalError } from "../../src/domain/resultCodes.js";
import { Peer, PeerHandlers, type PeerIdentity, type PeerMethod, PeerNetwork } from "../../src/ports/peer.js";

const MAX_DELAY_MS = 4;

/** Faults currently injected into the network. */
export interface NetworkFaults {
    /** Fraction of requests, and of answers, that are lost. */
    lossRate: number;
    /** Fraction of requests that are delivered twice. */
    duplicateRate: number;
    /** Addresses cut off from all others, in both directions. */
    readonly partitioned: Set<string>;
    /** Links on which nothing arrives, as formatted by `formatLink`. Default: none. */
    readonly cutLinks?: ReadonlySet<string>;
}

/** Formats the direction of a link. */
export function formatLink(from: string, to: string): string {
    return `${from}>${to}`;
}

/** Handlers of each running process by its address. */
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
        const timeoutError = new RefusalError(createRefusal("peerTimeout", method.name, "unknown"));
        const sent = JSON.parse(JSON.stringify(params)) as unknown;
        if (this.random() < this.faults.duplicateRate) {
            void this.deliver(address, method.name, sent).catch(() => undefined);
        }
        const timeout = new Promise<never>((_resolve, reject) =>
            setTimeout(() => reject(timeoutError), Math.min(timeoutMs, 60))
        );
        const answer = this.random() < this.faults.lossRate ? timeout : this.deliver(address, method.name, sent);
        const result = await Promise.race([answer, timeout]);
        if (this.random() < this.faults.lossRate) {
            throw timeoutError;
        }
        return JSON.parse(JSON.stringify(result)) as R;
    }

    private async deliver(address: string, method: string, params: unknown): Promise<unknown> {
        await new Promise(resolve => setTimeout(resolve, this.random() * MAX_DELAY_MS));
        const handlers = this.processes.get(address);
        if (handlers === undefined || this.faults.partitioned.has(address) || this.faults.partitioned.has(this.self)) {
            throw new RefusalError(createRefusal("peerGone", address, "unknown"));
        }
        await this.waitWhileCut(this.self, address);
        const answer = await handlers.handle(method, params, new UnreachablePeer());
        await this.waitWhileCut(address, this.self);
        return answer;
    }

    /** A message on a link that is cut is lost, which its sender notices only by its own timeout. */
    private waitWhileCut(from: string, to: string): Promise<void> {
        return this.faults.cutLinks?.has(formatLink(from, to)) === true
            ? new Promise(() => undefined)
            : Promise.resolve();
    }
}

class UnreachablePeer extends Peer {
    override readonly identity: PeerIdentity = { name: "", role: "controller", zone: "", incarnation: "" };
    override call<P, R>(): Promise<R> {
        void (0 as unknown as P);
        return Promise.reject(new Error("calls in the reverse direction are not supported"));
    }
    override notify(): void {}
    override onClose(): () => void {
        return () => undefined;
    }
    override isOpen(): boolean {
        return true;
    }
}

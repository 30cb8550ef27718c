/**
 * Reads the software versions of a service from the controllers, confirmed by a majority. Requests that wait at the same time
 * share a read, which begins after each of them has arrived, so that it includes the versions at which their streams began.
 */
import type { PeerNetwork } from "../../ports/peer.js";
import { readVersionsMethod } from "../../protocol/streamMethods.js";

/** Controllers that are asked at the same time, since one may have just ended. */
const ASKED_CONTROLLERS = 2;

type Versions = readonly string[] | undefined;

interface ServiceReads {
    readonly current: Promise<Versions>;
    next: Promise<Versions> | undefined;
}

export class ServiceVersionReader {
    private readonly reads = new Map<string, ServiceReads>();

    /** `getControllers`: addresses, the ones with a majority first. */
    constructor(
        private readonly network: PeerNetwork,
        private readonly getControllers: () => readonly string[],
    ) {}

    /** Resolves to undefined if no controller confirmed the versions within `timeoutMs`. Never rejects. */
    read(service: string, timeoutMs: number): Promise<Versions> {
        const reads = this.reads.get(service);
        if (reads === undefined) {
            return this.startRead(service, timeoutMs);
        }
        reads.next ??= reads.current.then(() => this.startRead(service, timeoutMs));
        return reads.next;
    }

    private startRead(service: string, timeoutMs: number): Promise<Versions> {
        const current = this.fetch(service, timeoutMs);
        const reads: ServiceReads = { current, next: undefined };
        this.reads.set(service, reads);
        void current.then(() => {
            if (reads.next === undefined) {
                this.reads.delete(service);
            }
        });
        return current;
    }

    private async fetch(service: string, timeoutMs: number): Promise<Versions> {
        const calls = this.getControllers().slice(0, ASKED_CONTROLLERS).map(address =>
            this.network.call(address, readVersionsMethod, { service }, timeoutMs)
        );
        try {
            return (await Promise.any(calls)).versions;
        }
        catch {
            return undefined;
        }
    }
}

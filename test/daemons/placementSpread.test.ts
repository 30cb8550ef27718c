/** Each router must receive each placement once, and the number of notices must be linear in the fleet size. */
import t from "tap";
import { PlacementSharer } from "../../src/daemons/directRouter/placementSharer.js";
import { RouterLinks } from "../../src/daemons/directRouter/routerLinks.js";
import type { RouterContact } from "../../src/domain/routerGroups.js";
import type { UpstreamLoad } from "../../src/domain/upstreamLoad.js";
import type { UpstreamIncarnation } from "../../src/domain/upstreamRegistry.js";
import type { Log } from "../../src/ports/log.js";
import { Peer, PeerHandlers, type PeerIdentity, type PeerMethod, PeerNetwork } from "../../src/ports/peer.js";
import { FakeClock, settlePromises } from "../tools/fakes.js";

const NO_LOG: Log = { info: () => undefined, warn: () => undefined, error: () => undefined };
const ZONES = ["a", "b", "c", "d", "e"];
/** Enough rounds for a placement to pass through two relays. */
const SETTLE_ROUNDS = 20;

/** Delivers notifications to the handlers of one router until it is disconnected. */
class RouterPeer extends Peer {
    override readonly identity: PeerIdentity = { name: "", role: "router", zone: "", incarnation: "" };
    private readonly closeHandlers = new Set<() => void>();
    private isConnected = true;

    constructor(private readonly fleet: Fleet, private readonly address: string) {
        super();
    }

    override call(): Promise<never> {
        return Promise.reject(new Error("not used"));
    }
    override notify<P>(method: PeerMethod<P, void>, params: P): void {
        this.fleet.noticeCount += 1;
        void this.fleet.handlers.get(this.address)?.handle(method.name, JSON.parse(JSON.stringify(params)), this);
    }
    override onClose(handler: () => void): () => void {
        this.closeHandlers.add(handler);
        return () => this.closeHandlers.delete(handler);
    }
    override isOpen(): boolean {
        return this.isConnected;
    }
    disconnect(): void {
        this.isConnected = false;
        this.closeHandlers.forEach(handler => handler());
    }
}

class FleetNetwork extends PeerNetwork {
    constructor(private readonly fleet: Fleet) {
        super();
    }
    override connect(address: string): Promise<Peer> {
        if (!this.fleet.handlers.has(address)) {
            return Promise.reject(new Error("unreachable"));
        }
        const peer = new RouterPeer(this.fleet, address);
        this.fleet.peers.push({ address, peer });
        return Promise.resolve(peer);
    }
}

/** Routers that exchange placements in memory. */
class Fleet {
    readonly handlers = new Map<string, PeerHandlers>();
    readonly peers: { readonly address: string; readonly peer: RouterPeer; }[] = [];
    readonly sharers = new Map<string, PlacementSharer>();
    /** By router address: the upstream ids of the placements received. */
    readonly receivedUpstreams = new Map<string, string[]>();
    noticeCount = 0;

    constructor(readonly contacts: readonly RouterContact[]) {
        for (const self of contacts) {
            const received: string[] = [];
            const load = {
                recordPeerRequest: (upstream: UpstreamIncarnation) => received.push(upstream.id),
            } as unknown as UpstreamLoad;
            const options = { batchDelayMs: 1, relayBatchDelayMs: 1, minTokens: 1 };
            const links = new RouterLinks(new FleetNetwork(this), NO_LOG);
            const sharer = new PlacementSharer(self, load, links, new FakeClock(), NO_LOG, options);
            const handlers = new PeerHandlers();
            sharer.addHandlers(handlers);
            this.handlers.set(self.address, handlers);
            this.sharers.set(self.address, sharer);
            this.receivedUpstreams.set(self.address, received);
        }
        this.updateOthers();
    }

    updateOthers(): void {
        for (const [address, sharer] of this.sharers) {
            sharer.setOthers(this.contacts.filter(contact => contact.address !== address));
        }
    }

    /** Shares one placement per router, at an upstream named after the router. */
    async sharePlacements(addresses: readonly string[]): Promise<void> {
        for (const address of addresses) {
            const upstream = {
                id: `u-${address}`,
                service: "s",
                address: "u:1",
                zone: "a",
                slots: 4,
                state: "ready",
                sequence: 1,
            } as const;
            this.sharers.get(address)!.share(
                { upstream, uncachedTokens: 900, queuedPrefillMs: 0, excessPrefillMs: 0 },
                [],
            );
        }
        await this.settle();
    }

    async settle(): Promise<void> {
        for (let i = 0; i < SETTLE_ROUNDS; i++) {
            await settlePromises();
        }
    }

    terminate(address: string): void {
        this.handlers.delete(address);
        this.peers.filter(entry => entry.address === address).forEach(({ peer }) => peer.disconnect());
    }
}

function createContacts(count: number): RouterContact[] {
    return Array.from({ length: count }, (_, i) => ({
        address: `r${String(i).padStart(3, "0")}`,
        zone: ZONES[i % ZONES.length]!,
    }));
}

for (const count of [2, 6, 12, 13, 30, 68, 150]) {
    void t.test(`each of ${count} routers receives every placement of the others once`, async t => {
        const contacts = createContacts(count);
        const fleet = new Fleet(contacts);
        await fleet.settle();
        const addresses = contacts.map(({ address }) => address);
        await fleet.sharePlacements(addresses);
        for (const address of addresses) {
            const others = addresses.filter(other => other !== address).map(other => `u-${other}`);
            t.same(fleet.receivedUpstreams.get(address)!.sort(), others, address);
        }
    });
}

void t.test("the number of notices is linear in the number of routers", async t => {
    // Without relays, each router would notify all others: 68 * 67 notices.
    const contacts = createContacts(68);
    const fleet = new Fleet(contacts);
    await fleet.settle();
    fleet.noticeCount = 0;
    await fleet.sharePlacements(contacts.map(({ address }) => address));
    t.ok(fleet.noticeCount <= 68 * 6, `${fleet.noticeCount} notices`);
});

void t.test("when relays terminate, the next routers of their groups replace them", async t => {
    const contacts = createContacts(30);
    const fleet = new Fleet(contacts);
    await fleet.settle();
    const terminated = contacts.slice(0, ZONES.length).map(({ address }) => address);
    terminated.forEach(address => fleet.terminate(address));
    await fleet.settle();
    fleet.updateOthers();
    await fleet.settle();
    const remaining = contacts.slice(ZONES.length).map(({ address }) => address);
    fleet.receivedUpstreams.forEach(received => received.splice(0));
    await fleet.sharePlacements(remaining);
    for (const address of remaining) {
        const others = remaining.filter(other => other !== address).map(other => `u-${other}`);
        t.same(fleet.receivedUpstreams.get(address)!.sort(), others, address);
    }
});

/** How placements spread among many routers: heard once by each, at a cost that grows with their number only. */
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
/** Enough turns for a placement to go through two relays. */
const SETTLE_ROUNDS = 20;

/** Hands what is told to the handlers of one router, until it is lost. */
class RouterPeer extends Peer {
    override readonly identity: PeerIdentity = { name: "", role: "router", zone: "", incarnation: "" };
    private readonly closeHandlers = new Set<() => void>();
    private open = true;

    constructor(private readonly fleet: Fleet, private readonly address: string) {
        super();
    }

    override call(): Promise<never> {
        return Promise.reject(new Error("not used"));
    }
    override notify<P>(method: PeerMethod<P, void>, params: P): void {
        this.fleet.notices += 1;
        void this.fleet.handlers.get(this.address)?.handle(method.name, JSON.parse(JSON.stringify(params)), this);
    }
    override onClose(handler: () => void): () => void {
        this.closeHandlers.add(handler);
        return () => this.closeHandlers.delete(handler);
    }
    override isOpen(): boolean {
        return this.open;
    }
    lose(): void {
        this.open = false;
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

/** Routers that tell each other placements, in memory. */
class Fleet {
    readonly handlers = new Map<string, PeerHandlers>();
    readonly peers: { readonly address: string; readonly peer: RouterPeer; }[] = [];
    readonly sharers = new Map<string, PlacementSharer>();
    /** How often each router heard of a placement at each upstream. */
    readonly heard = new Map<string, string[]>();
    notices = 0;

    constructor(readonly contacts: readonly RouterContact[]) {
        for (const self of contacts) {
            const heard: string[] = [];
            const load = {
                recordOther: (upstream: UpstreamIncarnation) => heard.push(upstream.id),
            } as unknown as UpstreamLoad;
            const options = { gatherMs: 1, relayGatherMs: 1, leastTokens: 1 };
            const links = new RouterLinks(new FleetNetwork(this), NO_LOG);
            const sharer = new PlacementSharer(self, load, links, new FakeClock(), NO_LOG, options);
            const handlers = new PeerHandlers();
            sharer.addHandlers(handlers);
            this.handlers.set(self.address, handlers);
            this.sharers.set(self.address, sharer);
            this.heard.set(self.address, heard);
        }
        this.updateOthers();
    }

    updateOthers(): void {
        for (const [address, sharer] of this.sharers) {
            sharer.setOthers(this.contacts.filter(contact => contact.address !== address));
        }
    }

    /** Each of the routers places one prompt, at an upstream of its own name. */
    async placeAll(addresses: readonly string[]): Promise<void> {
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

    end(address: string): void {
        this.handlers.delete(address);
        this.peers.filter(entry => entry.address === address).forEach(({ peer }) => peer.lose());
    }
}

function createContacts(count: number): RouterContact[] {
    return Array.from({ length: count }, (_, i) => ({
        address: `r${String(i).padStart(3, "0")}`,
        zone: ZONES[i % ZONES.length]!,
    }));
}

for (const count of [2, 6, 12, 13, 30, 68, 150]) {
    void t.test(`${count} routers hear once of every placement of the others`, async t => {
        const contacts = createContacts(count);
        const fleet = new Fleet(contacts);
        await fleet.settle();
        const addresses = contacts.map(({ address }) => address);
        await fleet.placeAll(addresses);
        for (const address of addresses) {
            const others = addresses.filter(other => other !== address).map(other => `u-${other}`);
            t.same(fleet.heard.get(address)!.sort(), others, address);
        }
    });
}

void t.test("what one placement costs grows with the number of routers, not its square", async t => {
    // Told by each to each, one placement of each of 68 routers came to 4,556 notices; relays that gather tell them in 280.
    const contacts = createContacts(68);
    const fleet = new Fleet(contacts);
    await fleet.settle();
    fleet.notices = 0;
    await fleet.placeAll(contacts.map(({ address }) => address));
    t.ok(fleet.notices <= 68 * 6, `${fleet.notices} notices`);
});

void t.test("when relays end, the next routers of their groups take their place", async t => {
    const contacts = createContacts(30);
    const fleet = new Fleet(contacts);
    await fleet.settle();
    const ended = contacts.slice(0, ZONES.length).map(({ address }) => address);
    ended.forEach(address => fleet.end(address));
    await fleet.settle();
    fleet.updateOthers();
    await fleet.settle();
    const left = contacts.slice(ZONES.length).map(({ address }) => address);
    fleet.heard.forEach(heard => heard.splice(0));
    await fleet.placeAll(left);
    for (const address of left) {
        const others = left.filter(other => other !== address).map(other => `u-${other}`);
        t.same(fleet.heard.get(address)!.sort(), others, address);
    }
});

/**
 * The load: 300 routers follow a controller that knows 3,004 upstreams, of which five change in a second; each router asks each
 * of five controllers once a second, and one of them for upstreams. What an answer holds, in kB: 448 of upstreams and
 * 13 of routers where each names all, as it was before; 0.8 and 0 now.
 */
import t from "tap";
import { Followers } from "../../src/daemons/bundleController/followers.js";
import { UpstreamUpdateTracker } from "../../src/daemons/directRouter/followedUpstreams.js";
import { UpstreamChanges, type UpstreamUpdate } from "../../src/domain/upstreamChanges.js";
import { type UpstreamRegistration, UpstreamRegistry } from "../../src/domain/upstreamRegistry.js";
import { Peer, type PeerIdentity } from "../../src/ports/peer.js";

const UPSTREAMS = 3_004;
const ROUTERS = 300;
const CHANGES_A_SECOND = 5;
/** A part of what a line between processes may hold, and of a link of 7 Mbit/s in a second. Bytes. */
const MOST_BYTES = 4_000;
const UNHEARD_MS = 1_800;
const SILENCE_MS = 4_800;

function createRegistration(id: string, part: Partial<UpstreamRegistration> = {}): UpstreamRegistration {
    const address = `10.64.0.1:${id}`;
    return { id, service: "s", address, zone: "z-1", slots: 64, state: "ready", sequence: 1, coldLeftMs: 0, ...part };
}

function countBytes(value: unknown): number {
    return JSON.stringify(value).length;
}

/** A controller's registry, what a router believes, and the word between them. */
function createWorld(epoch = "e1") {
    const registry = new UpstreamRegistry();
    const changes = new UpstreamChanges(registry, epoch);
    const report = (registration: UpstreamRegistration, now: number) => {
        if (registry.record(registration, now) === "state") {
            changes.recordChange(registration.id);
        }
    };
    return { registry, changes, report };
}

/** What a router makes of news. */
function take(router: UpstreamRegistry, followed: UpstreamUpdateTracker, news: UpstreamUpdate, now: number): void {
    const heard = followed.applyUpdate(news);
    news.changed.forEach(({ registration, ageMs }) => router.record(registration, now - ageMs));
    heard.forEach(({ id, ageMs }) => router.recordHeard(id, now - ageMs));
}

class FakePeer extends Peer {
    override readonly identity: PeerIdentity = { name: "r", role: "router", zone: "z-1", incarnation: "i" };
    private close: () => void = () => undefined;
    override call(): Promise<never> {
        return Promise.reject(new Error("not used"));
    }
    override notify(): void {}
    override onClose(handler: () => void): () => void {
        this.close = handler;
        return () => undefined;
    }
    override isOpen(): boolean {
        return true;
    }
    lose(): void {
        this.close();
    }
}

void t.test("what a router is told each second follows what has changed", t => {
    const { changes, report } = createWorld();
    for (let i = 0; i < UPSTREAMS; i++) {
        report(createRegistration(String(i)), 0);
    }
    const whole = changes.createUpdate(undefined, UNHEARD_MS, 0);
    t.equal(whole.changed.length, UPSTREAMS);
    for (let i = 0; i < UPSTREAMS; i++) {
        report(createRegistration(String(i), { sequence: 2 }), 900);
    }
    for (let i = 0; i < CHANGES_A_SECOND; i++) {
        report(createRegistration(String(i), { sequence: 3, state: "leaving" }), 950);
    }
    const news = changes.createUpdate(whole.cursor, UNHEARD_MS, 1_000);
    t.same(news.changed.map(({ registration }) => registration.state), Array(CHANGES_A_SECOND).fill("leaving"));
    t.ok(countBytes(news) < MOST_BYTES, `${countBytes(news)} bytes`);
    t.equal(countBytes(changes.createUpdate(news.cursor, UNHEARD_MS, 1_000).changed), 2, "nothing twice");
    t.end();
});

void t.test("the routers that follow are named only where they have changed", t => {
    const followers = new Followers("e1");
    const peers = Array.from({ length: ROUTERS }, () => new FakePeer());
    peers.forEach((peer, i) => followers.add(peer, `10.1.0.${i}:7340`));
    const cursor = followers.getCursor();
    t.ok(followers.isUnchangedSince(cursor));
    t.notOk(followers.isUnchangedSince(undefined));
    t.notOk(followers.isUnchangedSince({ ...cursor, epoch: "another start" }));
    peers[0]!.lose();
    t.notOk(followers.isUnchangedSince(cursor));
    t.end();
});

void t.test("an upstream that is heard stays, and one that is silent is lost, though no report of either is told", t => {
    const { changes, report } = createWorld();
    const router = new UpstreamRegistry();
    const followed = new UpstreamUpdateTracker(UNHEARD_MS);
    report(createRegistration("1"), 0);
    report(createRegistration("2"), 0);
    for (let now = 0; now <= 12_000; now += 1_000) {
        report(createRegistration("1", { sequence: 2 + now }), now);
        take(router, followed, changes.createUpdate(followed.tryGetCursor(), UNHEARD_MS, now), now);
        const ids = router.getReady("s", now, SILENCE_MS).map(({ id }) => id);
        t.same(ids, now <= SILENCE_MS ? ["1", "2"] : ["1"], `after ${now} ms`);
    }
    t.end();
});

void t.test("one that is silent for so long that the controller forgets it does not come back", t => {
    const { changes, report } = createWorld();
    const router = new UpstreamRegistry();
    const followed = new UpstreamUpdateTracker(UNHEARD_MS);
    report(createRegistration("1"), 0);
    report(createRegistration("2"), 0);
    for (let now = 0; now <= 620_000; now += 1_000) {
        report(createRegistration("1", { sequence: 2 + now }), now);
        take(router, followed, changes.createUpdate(followed.tryGetCursor(), UNHEARD_MS, now), now);
    }
    t.same(router.getReady("s", 620_000, SILENCE_MS).map(({ id }) => id), ["1"]);
    t.end();
});

void t.test("a router that missed hundreds of changes catches up with one answer", t => {
    const { changes, report } = createWorld();
    const router = new UpstreamRegistry();
    const followed = new UpstreamUpdateTracker(UNHEARD_MS);
    for (let i = 0; i < 400; i++) {
        report(createRegistration(String(i)), 0);
    }
    take(router, followed, changes.createUpdate(undefined, UNHEARD_MS, 0), 0);
    for (let i = 0; i < 400; i += 2) {
        report(createRegistration(String(i), { sequence: 5, state: "gone" }), 100);
    }
    take(router, followed, changes.createUpdate(followed.tryGetCursor(), UNHEARD_MS, 200), 200);
    t.equal(router.getReady("s", 200, SILENCE_MS).length, 200);
    t.end();
});

void t.test("a controller that starts anew tells all that it knows, and speaks of nothing else", t => {
    const first = createWorld();
    const router = new UpstreamRegistry();
    const followed = new UpstreamUpdateTracker(UNHEARD_MS);
    first.report(createRegistration("1"), 0);
    first.report(createRegistration("2"), 0);
    take(router, followed, first.changes.createUpdate(undefined, UNHEARD_MS, 0), 0);
    const second = createWorld("e2");
    for (let now = 1_000; now <= 7_000; now += 1_000) {
        second.report(createRegistration("1", { sequence: 10 + now }), now);
        const news = second.changes.createUpdate(followed.tryGetCursor(), UNHEARD_MS, now);
        t.equal(news.isWhole, now === 1_000);
        take(router, followed, news, now);
    }
    t.same(router.getReady("s", 7_000, SILENCE_MS).map(({ id }) => id), ["1"], "nobody has heard the other");
    t.end();
});

void t.test("one that was met by another at its address is out until it reports again", t => {
    const { registry, changes, report } = createWorld();
    const router = new UpstreamRegistry();
    const followed = new UpstreamUpdateTracker(UNHEARD_MS);
    report(createRegistration("1"), 0);
    take(router, followed, changes.createUpdate(undefined, UNHEARD_MS, 0), 0);
    report(createRegistration("1", { sequence: 7 }), 500);
    const gone = router.recordReplaced(createRegistration("1"), 600)!;
    t.equal(registry.record(gone, 600), "state", "though it has reported more than the router knows");
    t.same(registry.getReady("s", 600, SILENCE_MS), []);
    t.equal(registry.record(createRegistration("1", { sequence: 7 }), 700), undefined, "an old report");
    t.equal(registry.record(createRegistration("1", { sequence: 8 }), 800), "state");
    t.equal(registry.getReady("s", 800, SILENCE_MS).length, 1);
    t.end();
});

void t.test("an upstream whose address a late report of a silent one took has it again", t => {
    const router = new UpstreamRegistry();
    router.record(createRegistration("old", { address: "a:1" }), 0);
    router.record(createRegistration("new", { address: "a:1" }), 1_000);
    router.record(createRegistration("old", { address: "a:1", sequence: 2, state: "leaving" }), 5_000);
    router.recordHeard("new", 8_500);
    t.same(router.getReady("s", 8_500, SILENCE_MS).map(({ id }) => id), ["new"]);
    t.end();
});

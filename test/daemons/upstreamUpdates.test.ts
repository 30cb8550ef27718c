/**
 * Tests the incremental updates that routers poll from controllers. Guards against answers whose size grows with the number
 * of upstreams or routers, and against routers that diverge from the controller.
 */
import t from "tap";
import { SubscribedRouters } from "../../src/daemons/bundleController/subscribedRouters.js";
import { UpstreamUpdateTracker } from "../../src/daemons/directRouter/upstreamUpdateTracker.js";
import { UpstreamChanges, type UpstreamUpdate } from "../../src/domain/upstreamChanges.js";
import { type UpstreamRegistration, UpstreamRegistry } from "../../src/domain/upstreamRegistry.js";
import { Peer, type PeerIdentity } from "../../src/ports/peer.js";

const UPSTREAM_COUNT = 3_004;
const ROUTER_COUNT = 300;
const CHANGE_COUNT = 5;
const MAX_NEWS_BYTES = 4_000;
const UNHEARD_MS = 1_800;
const MAX_REPORT_AGE_MS = 4_800;

function createRegistration(id: string, part: Partial<UpstreamRegistration> = {}): UpstreamRegistration {
    const address = `10.64.0.1:${id}`;
    return { id, service: "s", address, zone: "z-1", slots: 64, state: "ready", sequence: 1, coldLeftMs: 0, ...part };
}

function countBytes(value: unknown): number {
    return JSON.stringify(value).length;
}

/** Creates a controller's registry with its numbered changes. */
function createController(epoch = "e1") {
    const registry = new UpstreamRegistry();
    const changes = new UpstreamChanges(registry, epoch);
    const report = (registration: UpstreamRegistration, now: number) => {
        if (registry.record(registration, now) === "state") {
            changes.recordChange(registration.id);
        }
    };
    return { registry, changes, report };
}

/** Applies a controller's update to a router's registry. */
function applyNews(router: UpstreamRegistry, followed: UpstreamUpdateTracker, news: UpstreamUpdate, now: number): void {
    const heard = followed.applyUpdate(news);
    news.changed.forEach(({ registration, ageMs }) => router.record(registration, now - ageMs));
    heard.forEach(({ id, ageMs }) => router.recordHeard(id, now - ageMs));
}

class FakePeer extends Peer {
    override readonly identity: PeerIdentity = { name: "r", role: "router", zone: "z-1", incarnation: "i" };
    private closeHandler: () => void = () => undefined;
    override call(): Promise<never> {
        return Promise.reject(new Error("not used"));
    }
    override notify(): void {}
    override onClose(handler: () => void): () => void {
        this.closeHandler = handler;
        return () => undefined;
    }
    override isOpen(): boolean {
        return true;
    }
    loseConnection(): void {
        this.closeHandler();
    }
}

void t.test("an update contains only the upstreams whose state has changed", t => {
    const { changes, report } = createController();
    for (let i = 0; i < UPSTREAM_COUNT; i++) {
        report(createRegistration(String(i)), 0);
    }
    const fullUpdate = changes.createUpdate(undefined, UNHEARD_MS, 0);
    t.equal(fullUpdate.changed.length, UPSTREAM_COUNT);
    for (let i = 0; i < UPSTREAM_COUNT; i++) {
        report(createRegistration(String(i), { sequence: 2 }), 900);
    }
    for (let i = 0; i < CHANGE_COUNT; i++) {
        report(createRegistration(String(i), { sequence: 3, state: "leaving" }), 950);
    }
    const news = changes.createUpdate(fullUpdate.cursor, UNHEARD_MS, 1_000);
    t.same(news.changed.map(({ registration }) => registration.state), Array(CHANGE_COUNT).fill("leaving"));
    t.ok(countBytes(news) < MAX_NEWS_BYTES, `${countBytes(news)} bytes`);
    t.equal(countBytes(changes.createUpdate(news.cursor, UNHEARD_MS, 1_000).changed), 2, "no change is sent twice");
    t.end();
});

void t.test("detects whether the subscribed routers have changed since a cursor", t => {
    const subscribers = new SubscribedRouters("e1");
    const peers = Array.from({ length: ROUTER_COUNT }, () => new FakePeer());
    peers.forEach((peer, i) => subscribers.add(peer, `10.1.0.${i}:7340`));
    const cursor = subscribers.getCursor();
    t.ok(subscribers.isUnchangedSince(cursor));
    t.notOk(subscribers.isUnchangedSince(undefined));
    t.notOk(subscribers.isUnchangedSince({ ...cursor, epoch: "e2" }));
    peers[0]!.loseConnection();
    t.notOk(subscribers.isUnchangedSince(cursor));
    t.end();
});

void t.test("an upstream that reports stays ready and a silent one expires, though heartbeats are not forwarded", t => {
    const { changes, report } = createController();
    const router = new UpstreamRegistry();
    const followed = new UpstreamUpdateTracker(UNHEARD_MS);
    report(createRegistration("1"), 0);
    report(createRegistration("2"), 0);
    for (let now = 0; now <= 12_000; now += 1_000) {
        report(createRegistration("1", { sequence: 2 + now }), now);
        applyNews(router, followed, changes.createUpdate(followed.tryGetCursor(), UNHEARD_MS, now), now);
        const ids = router.getReady("s", now, MAX_REPORT_AGE_MS).map(({ id }) => id);
        t.same(ids, now <= MAX_REPORT_AGE_MS ? ["1", "2"] : ["1"], `after ${now} ms`);
    }
    t.end();
});

void t.test("a silent upstream that the controller has evicted does not become ready again", t => {
    const { changes, report } = createController();
    const router = new UpstreamRegistry();
    const followed = new UpstreamUpdateTracker(UNHEARD_MS);
    report(createRegistration("1"), 0);
    report(createRegistration("2"), 0);
    for (let now = 0; now <= 620_000; now += 1_000) {
        report(createRegistration("1", { sequence: 2 + now }), now);
        applyNews(router, followed, changes.createUpdate(followed.tryGetCursor(), UNHEARD_MS, now), now);
    }
    t.same(router.getReady("s", 620_000, MAX_REPORT_AGE_MS).map(({ id }) => id), ["1"]);
    t.end();
});

void t.test("one update covers hundreds of missed changes", t => {
    const { changes, report } = createController();
    const router = new UpstreamRegistry();
    const followed = new UpstreamUpdateTracker(UNHEARD_MS);
    for (let i = 0; i < 400; i++) {
        report(createRegistration(String(i)), 0);
    }
    applyNews(router, followed, changes.createUpdate(undefined, UNHEARD_MS, 0), 0);
    for (let i = 0; i < 400; i += 2) {
        report(createRegistration(String(i), { sequence: 5, state: "gone" }), 100);
    }
    applyNews(router, followed, changes.createUpdate(followed.tryGetCursor(), UNHEARD_MS, 200), 200);
    t.equal(router.getReady("s", 200, MAX_REPORT_AGE_MS).length, 200);
    t.end();
});

void t.test("a restarted controller sends a full list and does not refresh upstreams that it does not know", t => {
    const first = createController();
    const router = new UpstreamRegistry();
    const followed = new UpstreamUpdateTracker(UNHEARD_MS);
    first.report(createRegistration("1"), 0);
    first.report(createRegistration("2"), 0);
    applyNews(router, followed, first.changes.createUpdate(undefined, UNHEARD_MS, 0), 0);
    const second = createController("e2");
    for (let now = 1_000; now <= 7_000; now += 1_000) {
        second.report(createRegistration("1", { sequence: 10 + now }), now);
        const news = second.changes.createUpdate(followed.tryGetCursor(), UNHEARD_MS, now);
        t.equal(news.isWhole, now === 1_000);
        applyNews(router, followed, news, now);
    }
    t.same(
        router.getReady("s", 7_000, MAX_REPORT_AGE_MS).map(({ id }) => id),
        ["1"],
        "the other upstream has not reported since",
    );
    t.end();
});

void t.test("a replaced upstream is not ready until it reports again", t => {
    const { registry, changes, report } = createController();
    const router = new UpstreamRegistry();
    const followed = new UpstreamUpdateTracker(UNHEARD_MS);
    report(createRegistration("1"), 0);
    applyNews(router, followed, changes.createUpdate(undefined, UNHEARD_MS, 0), 0);
    report(createRegistration("1", { sequence: 7 }), 500);
    const gone = router.recordReplaced(createRegistration("1"), 600)!;
    t.equal(registry.record(gone, 600), "state", "gone, though the registry has a newer report than the router");
    t.same(registry.getReady("s", 600, MAX_REPORT_AGE_MS), []);
    t.equal(registry.record(createRegistration("1", { sequence: 7 }), 700), undefined, "an outdated report");
    t.equal(registry.record(createRegistration("1", { sequence: 8 }), 800), undefined, "it may have been made before");
    t.same(registry.getReady("s", 800, MAX_REPORT_AGE_MS), []);
    t.equal(registry.record(createRegistration("1", { sequence: 8 }), 3_600), "state");
    t.equal(registry.getReady("s", 3_600, MAX_REPORT_AGE_MS).length, 1);
    t.end();
});

void t.test("an upstream reclaims its address after a late report of a silent one", t => {
    const router = new UpstreamRegistry();
    router.record(createRegistration("old", { address: "a:1" }), 0);
    router.record(createRegistration("new", { address: "a:1" }), 1_000);
    router.record(createRegistration("old", { address: "a:1", sequence: 2, state: "leaving" }), 5_000);
    router.recordHeard("new", 8_500);
    t.same(router.getReady("s", 8_500, MAX_REPORT_AGE_MS).map(({ id }) => id), ["new"]);
    t.end();
});

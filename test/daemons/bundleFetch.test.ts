/**
 * Guards against a router downloading the same bundle from several controllers at once, and against one that stays with an older bundle
 * than other routers because it is cut off from the controllers.
 */
import t, { type Test } from "tap";
import type { BundleListener } from "../../src/daemons/directRouter/bundleFetcher.js";
import type { FeedListener } from "../../src/daemons/directRouter/controllerFeed.js";
import { ControllerFeeds, type ControllerFeedsOptions } from "../../src/daemons/directRouter/controllerFeeds.js";
import { createRefusal, RefusalError } from "../../src/domain/resultCodes.js";
import { SystemClock } from "../../src/ports/clock.js";
import type { Log } from "../../src/ports/log.js";
import { type Peer, PeerHandlers, type PeerMethod, PeerNetwork } from "../../src/ports/peer.js";
import { decodeBundle, encodeBundle, type EncodedBundle } from "../../src/protocol/bundleTransfer.js";
import { getBundleMethod } from "../../src/protocol/fleetMethods.js";
import { settlePromises } from "../tools/fakes.js";
import { waitUntil } from "../tools/waiting.js";

const CONTROLLERS = ["c1", "c2", "c3", "c4", "c5"];
const NO_LOG: Log = { info: () => undefined, warn: () => undefined, error: () => undefined };
const IGNORING_LISTENER: FeedListener & BundleListener = {
    receiveFollowAnswer: () => undefined,
    receiveUpstreamUpdate: () => undefined,
    receiveReconnected: () => undefined,
    receiveBundle: () => undefined,
};
const OPTIONS: ControllerFeedsOptions = {
    address: "r1",
    pollIntervalMs: 50,
    callTimeoutMs: 1_000,
    reconnectDelayMs: 50,
    upstreamStaleMs: 1_800,
    controllerRetentionMs: 20_000,
    readinessTimeoutMs: 3_000,
};

interface FetchCall {
    readonly held: number | undefined;
    readonly timeoutMs: number;
}

/** Rejects all connections. Bundle fetches stay pending until the test answers or rejects them. */
class ManualNetwork extends PeerNetwork {
    /** Addresses that a bundle was requested from, in order. */
    readonly calledAddresses: string[] = [];
    readonly fetches: FetchCall[] = [];
    private readonly answers: ((bundle: EncodedBundle) => void)[] = [];
    private readonly rejections: (() => void)[] = [];

    override connect(address: string): Promise<Peer> {
        return Promise.reject(new RefusalError(createRefusal("peerGone", address)));
    }

    override call<P, R>(address: string, method: PeerMethod<P, R>, params: P, timeoutMs: number): Promise<R> {
        t.equal(method.name, getBundleMethod.name);
        this.calledAddresses.push(address);
        this.fetches.push({ held: (params as { held?: number; }).held, timeoutMs });
        return new Promise((resolve, reject) => {
            this.answers.push(bundle => resolve({ bundle } as R));
            this.rejections.push(() => reject(new RefusalError(createRefusal("peerTimeout", address, "unknown"))));
        });
    }

    /** Rejects the oldest pending fetch. */
    rejectNext(): void {
        this.answers.shift();
        this.rejections.shift()!();
    }

    async answerNext(bundle: EncodedBundle): Promise<void> {
        this.rejections.shift();
        this.answers.shift()!(bundle);
        await settlePromises();
    }
}

function startFeeds(t: Test): { network: ManualNetwork; feeds: ControllerFeeds; } {
    const network = new ManualNetwork();
    const feeds = new ControllerFeeds(network, new SystemClock(), NO_LOG, IGNORING_LISTENER, OPTIONS);
    feeds.setSeeds(CONTROLLERS);
    t.teardown(() => feeds.stop());
    return { network, feeds };
}

void t.test("a bundle announced by five controllers is fetched from one of them", async t => {
    const { network, feeds } = startFeeds(t);
    CONTROLLERS.forEach(controller => void feeds.handleBundleNotice(controller, 7));
    await settlePromises();
    t.same(network.calledAddresses, ["c1"]);
});

void t.test("if a fetch fails, the next controller that announced the bundle is tried", async t => {
    const { network, feeds } = startFeeds(t);
    CONTROLLERS.forEach(controller => void feeds.handleBundleNotice(controller, 7));
    network.rejectNext();
    await settlePromises();
    t.same(network.calledAddresses, ["c1", "c2"]);
});

void t.test("revisions superseded during a fetch are skipped", async t => {
    const { network, feeds } = startFeeds(t);
    void feeds.handleBundleNotice("c1", 1);
    [2, 3, 4].forEach(revision => void feeds.handleBundleNotice("c2", revision));
    await network.answerNext(await encodeBundle({ revision: 1, text: "{1}" }, undefined));
    await waitUntil("the next fetch", () => network.calledAddresses.length === 2);
    await network.answerNext(await encodeBundle({ revision: 4, text: "{4}" }, undefined));
    t.same(network.calledAddresses, ["c1", "c2"]);
    t.equal(network.fetches[1]!.held, 1);
});

void t.test("the full bundle is requested after a delta cannot be applied", async t => {
    const { network, feeds } = startFeeds(t);
    void feeds.handleBundleNotice("c1", 1);
    await network.answerNext(await encodeBundle({ revision: 1, text: "{1}" }, undefined));
    const change = await encodeBundle({ revision: 2, text: "{1}{2}" }, { revision: 1, text: "{1}" });
    void feeds.handleBundleNotice("c1", 2);
    await waitUntil("the fetch of the delta", () => network.calledAddresses.length === 2);
    await network.answerNext({ ...change, length: change.length + 1 });
    void feeds.handleBundleNotice("c1", 2);
    await waitUntil("the fetch of the full bundle", () => network.calledAddresses.length === 3);
    t.same(network.fetches.map(fetch => fetch.held), [undefined, 1, undefined]);
});

void t.test("the fetch timeout doubles after each failure, up to a limit", async t => {
    const { network, feeds } = startFeeds(t);
    for (let i = 0; i < 6; i++) {
        void feeds.handleBundleNotice("c1", 1);
        network.rejectNext();
        await settlePromises();
    }
    t.same(network.fetches.map(fetch => fetch.timeoutMs), [1_000, 2_000, 4_000, 8_000, 8_000, 8_000]);
});

/** Lets other routers be sources; returns what announces a bundle of one, and what asks for the own one. */
function enableRouters(feeds: ControllerFeeds) {
    let announce: (router: string, revision: number) => void = () => undefined;
    const handlers = new PeerHandlers();
    feeds.enableRouterSources({ onNewerRevision: handler => void (announce = handler) }, handlers);
    const ask = async (held: number | undefined): Promise<EncodedBundle | undefined> => {
        const answer = await handlers.handle(getBundleMethod.name, { held }, undefined as unknown as Peer);
        return (answer as { bundle?: EncodedBundle; }).bundle;
    };
    return { announce: (router: string, revision: number) => announce(router, revision), ask };
}

void t.test("a newer bundle of another router is fetched from it, and passed on to routers that have an older one", async t => {
    const { network, feeds } = startFeeds(t);
    const { announce, ask } = enableRouters(feeds);
    t.equal(await ask(undefined), undefined, "nothing to pass on yet");
    announce("r2", 3);
    await network.answerNext(await encodeBundle({ revision: 3, text: "{3}" }, undefined));
    t.same(network.calledAddresses, ["r2"]);
    t.same(decodeBundle(await ask(2), undefined), { revision: 3, text: "{3}" });
    t.same(decodeBundle(await ask(undefined), undefined), { revision: 3, text: "{3}" });
    t.equal(await ask(3), undefined);
    t.equal(await ask(4), undefined);
    announce("r3", 3);
    t.same(network.calledAddresses, ["r2"], "the same bundle is not fetched again");
});

void t.test("if a router does not pass on its bundle, the controllers that announced it are asked", async t => {
    const { network, feeds } = startFeeds(t);
    const { announce } = enableRouters(feeds);
    announce("r2", 3);
    void feeds.handleBundleNotice("c1", 3);
    network.rejectNext();
    await settlePromises();
    t.same(network.calledAddresses, ["r2", "c1"]);
});

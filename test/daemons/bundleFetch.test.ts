/** How a router fetches a bundle that several controllers tell of: once, from one of them at a time. */
import t, { type Test } from "tap";
import type { BundleListener } from "../../src/daemons/directRouter/bundleFetcher.js";
import type { FeedListener } from "../../src/daemons/directRouter/controllerFeed.js";
import { ControllerFeeds, type ControllerFeedsOptions } from "../../src/daemons/directRouter/controllerFeeds.js";
import { createRefusal, RefusalError } from "../../src/domain/resultCodes.js";
import { SystemClock } from "../../src/ports/clock.js";
import type { Log } from "../../src/ports/log.js";
import { type Peer, type PeerMethod, PeerNetwork } from "../../src/ports/peer.js";
import { encodeBundle, type EncodedBundle } from "../../src/protocol/bundleTransfer.js";
import { getBundleMethod } from "../../src/protocol/fleetMethods.js";
import { settlePromises } from "../tools/fakes.js";
import { waitUntil } from "../tools/waiting.js";

const CONTROLLERS = ["c1", "c2", "c3", "c4", "c5"];
const NO_LOG: Log = { info: () => undefined, warn: () => undefined, error: () => undefined };
const NO_BUNDLE: FeedListener & BundleListener = {
    receiveFollowAnswer: () => undefined,
    receiveUpstreamUpdate: () => undefined,
    receiveBundle: () => undefined,
};
const options: ControllerFeedsOptions = {
    address: "r1",
    followPeriodMs: 50,
    callTimeoutMs: 1_000,
    redialMs: 50,
    upstreamUnheardMs: 1_800,
    forgetControllerMs: 20_000,
    unconfirmedReadyMs: 3_000,
};

interface Fetch {
    readonly held: number | undefined;
    readonly timeoutMs: number;
}

/** Reaches no controller; fetches of bundles wait until the test ends them. */
class HeldNetwork extends PeerNetwork {
    /** Addresses that a bundle was asked of, in order. */
    readonly asked: string[] = [];
    readonly fetches: Fetch[] = [];
    private readonly answers: ((bundle: EncodedBundle) => void)[] = [];
    private readonly refusals: (() => void)[] = [];

    override connect(address: string): Promise<Peer> {
        return Promise.reject(new RefusalError(createRefusal("peerGone", address)));
    }

    override call<P, R>(address: string, method: PeerMethod<P, R>, params: P, timeoutMs: number): Promise<R> {
        t.equal(method.name, getBundleMethod.name);
        this.asked.push(address);
        this.fetches.push({ held: (params as { held?: number; }).held, timeoutMs });
        return new Promise((resolve, reject) => {
            this.answers.push(bundle => resolve({ bundle } as R));
            this.refusals.push(() => reject(new RefusalError(createRefusal("peerTimeout", address, "unknown"))));
        });
    }

    /** The fetch that waits longest comes to nothing. */
    refuseNext(): void {
        this.answers.shift();
        this.refusals.shift()!();
    }

    async answerNext(bundle: EncodedBundle): Promise<void> {
        this.refusals.shift();
        this.answers.shift()!(bundle);
        await settlePromises();
    }
}

function startFeeds(t: Test): { network: HeldNetwork; feeds: ControllerFeeds; } {
    const network = new HeldNetwork();
    const feeds = new ControllerFeeds(network, new SystemClock(), NO_LOG, NO_BUNDLE, options);
    feeds.setSeeds(CONTROLLERS);
    t.teardown(() => feeds.stop());
    return { network, feeds };
}

void t.test("a bundle that five controllers tell of is fetched from one of them", async t => {
    const { network, feeds } = startFeeds(t);
    CONTROLLERS.forEach(controller => void feeds.fetchBundle(controller, 7));
    await settlePromises();
    t.same(network.asked, ["c1"]);
});

void t.test("where one controller does not answer, another one that told of the bundle is asked", async t => {
    const { network, feeds } = startFeeds(t);
    CONTROLLERS.forEach(controller => void feeds.fetchBundle(controller, 7));
    network.refuseNext();
    await settlePromises();
    t.same(network.asked, ["c1", "c2"]);
});

void t.test("a bundle that was overtaken while another was fetched is passed over", async t => {
    const { network, feeds } = startFeeds(t);
    void feeds.fetchBundle("c1", 1);
    [2, 3, 4].forEach(revision => void feeds.fetchBundle("c2", revision));
    await network.answerNext(await encodeBundle({ revision: 1, text: "{1}" }, undefined));
    await waitUntil("the next fetch", () => network.asked.length === 2);
    await network.answerNext(await encodeBundle({ revision: 4, text: "{4}" }, undefined));
    t.same(network.asked, ["c1", "c2"]);
    t.equal(network.fetches[1]!.held, 1);
});

void t.test("after a change that does not fit, the whole is asked for", async t => {
    const { network, feeds } = startFeeds(t);
    void feeds.fetchBundle("c1", 1);
    await network.answerNext(await encodeBundle({ revision: 1, text: "{1}" }, undefined));
    const change = await encodeBundle({ revision: 2, text: "{1}{2}" }, { revision: 1, text: "{1}" });
    void feeds.fetchBundle("c1", 2);
    await waitUntil("the fetch of the change", () => network.asked.length === 2);
    await network.answerNext({ ...change, length: change.length + 1 });
    void feeds.fetchBundle("c1", 2);
    await waitUntil("the fetch of the whole", () => network.asked.length === 3);
    t.same(network.fetches.map(fetch => fetch.held), [undefined, 1, undefined]);
});

void t.test("each fetch that comes to nothing gives the next more time, up to a bound", async t => {
    const { network, feeds } = startFeeds(t);
    for (let i = 0; i < 6; i++) {
        void feeds.fetchBundle("c1", 1);
        network.refuseNext();
        await settlePromises();
    }
    t.same(network.fetches.map(fetch => fetch.timeoutMs), [1_000, 2_000, 4_000, 8_000, 8_000, 8_000]);
});
